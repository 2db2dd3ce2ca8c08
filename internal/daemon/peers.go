package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/linker"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
)

// outcomeUpdateHops is the hop count that marks a hand-over message as an update
// of outcomes in a table that was handed over before.
const outcomeUpdateHops = 0

// peerServer implements the RPC service for other daemons.
type peerServer struct {
	daemon *Daemon
}

// Exchange runs shard requests of a peer's queries, with this daemon as the gateway.
func (p *peerServer) Exchange(stream messenger.DRPCPeer_ExchangeStream) error {
	d := p.daemon
	return linker.Gateway{
		Submit: func(batch *messenger.QueryBatch, deliver func(*messenger.ShardResult)) {
			d.sender.Submit(batch, deliver)
		},
		Cancel:  d.sender.Cancel,
		Leaving: d.leaving,
	}.Serve(stream)
}

// Once runs a non-idempotent request that a peer forwarded because this daemon
// should hold its ticket.
func (p *peerServer) Once(ctx context.Context, request *messenger.OnceRequest) (*messenger.OnceReply, error) {
	d := p.daemon
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	ticket, err := ticketer.Parse(request.GetTicket())
	if err != nil {
		return unknownReply(err.Error()), nil
	}
	table, ok := d.ticketTable(ticket.Incarnation)
	if !ok {
		return unknownReply("this daemon does not hold the ticket table of the process that issued the ticket"), nil
	}
	reply, err := d.runOnce(ctx, table, ticket, request)
	if hasKind(err, ticketer.KindTableClosed) {
		return d.forwardToSuccessor(ctx, request)
	}
	if err != nil {
		return rejectedReply(err), nil
	}
	return reply, nil
}

// HandOver takes over the closed ticket table of a stopping daemon, or updates
// outcomes in it.
func (p *peerServer) HandOver(_ context.Context, r *messenger.HandOverRequest) (*messenger.HandOverReply, error) {
	p.daemon.acceptHandOver(r)
	return &messenger.HandOverReply{}, nil
}

// Fetch returns the current document with the requested name, compressed.
func (p *peerServer) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchReply, error) {
	document := p.daemon.documents.CurrentDocument(r.GetDocument())
	content, err := packer.Compress(document.Content)
	if err != nil {
		return nil, err
	}
	return &messenger.FetchReply{
		Document:   r.GetDocument(),
		Generation: document.Generation,
		Digest:     document.Digest,
		Content:    content,
	}, nil
}

// ListNews returns all news of this daemon.
func (p *peerServer) ListNews(context.Context, *messenger.News) (*messenger.News, error) {
	now := time.Now()
	out := &messenger.News{Holdings: p.daemon.news.unexpired(now)}
	for searcher, since := range p.daemon.picker.DrainingServers(now) {
		out.Draining = append(out.Draining, drainingMessage(now, searcher, since))
	}
	return out, nil
}

// acceptHandOver takes over the tickets of a stopping daemon. If this daemon holds
// them already, it only updates unknown outcomes.
func (d *Daemon) acceptHandOver(r *messenger.HandOverRequest) {
	handOver := ticketer.HandOver{
		Incarnation: r.GetIncarnation(),
		Secret:      r.GetSecret(),
		Age:         time.Duration(r.GetElapsedMillis()) * time.Millisecond,
	}
	for _, e := range r.GetEntries() {
		handOver.Entries = append(handOver.Entries, ticketer.Entry{
			Sequence: e.GetSequence(),
			Digest:   e.GetDigest(),
			State:    ticketState(e.GetOutcome()),
			Result:   ticketer.Result{Detail: e.GetDetail(), Snapshot: e.GetSnapshot(), Hits: e.GetHits()},
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if table, ok := d.takenOver[handOver.Incarnation]; ok {
		table.UpdateOutcomes(handOver.Entries)
		return
	}
	if r.GetHops() == outcomeUpdateHops {
		// The process that took over the table no longer runs and its tickets are
		// lost, so there is no table to update.
		return
	}
	lifetime := time.Duration(d.settings.Tickets.Lifetime)
	d.takenOver[handOver.Incarnation] = ticketer.NewFromHandOver(time.Now(), handOver, lifetime, d.settings.Tickets.Capacity)
	d.news.record(handOver.Incarnation, holding{holder: d.settings.PeerAddress, hops: r.GetHops(), since: time.Now()})
	d.scheduler.At(time.Now().Add(lifetime), func(time.Time) { d.dropTakenOver(handOver.Incarnation) })
}

// dropTakenOver deletes a table that was taken over, once all its tickets have expired.
func (d *Daemon) dropTakenOver(incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.takenOver, incarnation)
}

func handOverMessage(h ticketer.HandOver, hops uint32) *messenger.HandOverRequest {
	out := &messenger.HandOverRequest{
		Hops:          hops,
		Incarnation:   h.Incarnation,
		Secret:        h.Secret,
		ElapsedMillis: h.Age.Milliseconds(),
	}
	for _, e := range h.Entries {
		out.Entries = append(out.Entries, &messenger.TicketEntry{
			Sequence: e.Sequence,
			Digest:   e.Digest,
			Outcome:  ticketOutcome(e.State),
			Detail:   e.Result.Detail,
			Snapshot: e.Result.Snapshot,
			Hits:     e.Result.Hits,
		})
	}
	return out
}

func ticketState(o messenger.Outcome) ticketer.State {
	switch o {
	case messenger.Outcome_ANSWERED:
		return ticketer.StateAnswered
	case messenger.Outcome_NOT_RUN:
		return ticketer.StateNotRun
	default:
		return ticketer.StateUnknown
	}
}

func ticketOutcome(s ticketer.State) messenger.Outcome {
	switch s {
	case ticketer.StateAnswered:
		return messenger.Outcome_ANSWERED
	case ticketer.StateNotRun:
		return messenger.Outcome_NOT_RUN
	default:
		return messenger.Outcome_UNKNOWN
	}
}

// peerTLS returns the TLS configuration for mutual authentication of daemons, or
// nil if none is configured.
func peerTLS(files *loader.TLS) (*tls.Config, error) {
	const op = "load TLS files"
	if files == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, failer.Wrap(op, KindTLS, err)
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, failer.Wrap(op, KindTLS, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, failer.New(op, KindTLS, "%s contains no PEM certificate", files.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
