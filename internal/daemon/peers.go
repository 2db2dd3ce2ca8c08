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

// amendment is the number of hops of a message that only adds to a table.
const amendment = 0

// peerServer is what daemons offer each other.
type peerServer struct {
	daemon *Daemon
}

// Exchange carries shard requests of a peer's queries.
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

// Once takes a non-idempotent request whose ticket this daemon should hold.
func (p *peerServer) Once(ctx context.Context, message *messenger.OnceRequest) (*messenger.OnceReply, error) {
	d := p.daemon
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	ticket, err := ticketer.Parse(message.GetTicket())
	if err != nil {
		return unknownOnce(err.Error()), nil
	}
	table, ok := d.tableOf(ticket.Incarnation)
	if !ok {
		return unknownOnce("the daemon that issued the ticket is gone"), nil
	}
	reply, err := d.runOnce(ctx, table, ticket, message)
	if kindIs(err, ticketer.KindTableClosed) {
		return d.passToSuccessor(ctx, message)
	}
	if err != nil {
		return refusedOnce(err), nil
	}
	return reply, nil
}

// HandOver takes the closed ticket table of a daemon that stops.
func (p *peerServer) HandOver(_ context.Context, r *messenger.HandOverRequest) (*messenger.HandOverReply, error) {
	p.daemon.adopt(r)
	return &messenger.HandOverReply{}, nil
}

// Fetch sends a document, packed.
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

// ListNews sends all news that this daemon has.
func (p *peerServer) ListNews(context.Context, *messenger.News) (*messenger.News, error) {
	now := time.Now()
	out := &messenger.News{Holdings: p.daemon.news.all(now)}
	for searcher, since := range p.daemon.picker.DrainingServers(now) {
		out.Draining = append(out.Draining, drainingRecord(now, searcher, since))
	}
	return out, nil
}

// adopt takes over, or adds to, the tickets of a daemon that stops.
func (d *Daemon) adopt(r *messenger.HandOverRequest) {
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
	if table, ok := d.adopted[handOver.Incarnation]; ok {
		table.UpdateOutcomes(handOver.Entries)
		return
	}
	if r.GetHops() == amendment {
		// The daemon that was handed the table is gone, with all it knew.
		return
	}
	lifetime := time.Duration(d.settings.Tickets.Lifetime)
	d.adopted[handOver.Incarnation] = ticketer.NewFromHandOver(time.Now(), handOver, lifetime, d.settings.Tickets.Capacity)
	d.news.note(handOver.Incarnation, holding{holder: d.settings.PeerAddress, hops: r.GetHops(), since: time.Now()})
	d.scheduler.At(time.Now().Add(lifetime), func(time.Time) { d.dropAdopted(handOver.Incarnation) })
}

// dropAdopted forgets a table once all its tickets have expired.
func (d *Daemon) dropAdopted(incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.adopted, incarnation)
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

// peerTLS returns the configuration with which daemons prove themselves to each other.
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
		return nil, failer.New(op, KindTLS, "%s holds no certificate", files.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
