package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

const (
	// onceAttempts is the maximum number of searchers to which a request is sent.
	// The next one is tried only if it is certain that the previous one did not run it.
	onceAttempts = 3
	// forwardReserve is added to the timeout of a forwarded request for the reply's
	// network latency.
	forwardReserve = 50 * time.Millisecond
)

// handleOnce serves a caller's non-idempotent request.
func (d *Daemon) handleOnce(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	id := d.newRequestID()
	request, err := readRequest(w, r)
	if err != nil {
		d.rejectRequest(w, id, request, started, err)
		return
	}
	reply, class, err := d.once(r.Context(), request, id)
	if err != nil {
		d.rejectRequest(w, id, request, started, err)
		return
	}
	answer := answerFromReply(request, id, reply)
	answer.ElapsedMillis = float64(time.Since(started).Microseconds()) / 1000
	d.metrics.recordRequest(class.Name, request.Tenant, answer.Outcome, time.Since(started), answer.Coverage.Fraction)
	d.writeAnswer(w, answer)
}

func answerFromReply(request caller.Request, id string, reply *messenger.OnceReply) caller.Answer {
	answer := caller.Answer{
		RequestID: id,
		Service:   request.Service,
		Class:     request.Class,
		Snapshot:  reply.GetSnapshot(),
		Replayed:  reply.GetReplayed(),
		Hits:      []caller.Hit{},
		Coverage:  caller.Coverage{Known: true, Shards: 1},
	}
	switch reply.GetOutcome() {
	case messenger.Outcome_ANSWERED:
		answer.Outcome = caller.OutcomeAnswered
		answer.Coverage.Answered = 1
		answer.Coverage.Fraction = 1
		if err := json.Unmarshal(reply.GetHits(), &answer.Hits); err != nil {
			// The request has run, so the outcome stays answered; only its result is lost.
			klog.ErrorS(err, "failed to decode the result of a request that ran", "id", id, "service", request.Service)
		}
	case messenger.Outcome_NOT_RUN:
		answer.Outcome = caller.OutcomeNotRun
	case messenger.Outcome_UNKNOWN, messenger.Outcome_OUTCOME_UNSPECIFIED:
		answer.Outcome = caller.OutcomeUnknown
	}
	if answer.Outcome != caller.OutcomeAnswered {
		answer.Coverage.Missing = map[string]string{request.Key: reply.GetDetail()}
	}
	return answer
}

// once runs a non-idempotent request at most once. Only the daemon that owns its
// ticket may send it to a searcher. If the class does not require tickets and the
// request has none, this daemon issues one.
func (d *Daemon) once(ctx context.Context, request caller.Request, id string) (*messenger.OnceReply, declarer.Class, error) {
	class, err := d.documents.View().Class(request.Class)
	if err != nil {
		return nil, class, err
	}
	if _, err := d.documents.View().Plan(request.Service); err != nil {
		return nil, class, err
	}
	if class.Idempotent {
		return nil, class, failer.New("once", KindInvalidRequest, "class %q is idempotent; use /v1/search/{service}", class.Name)
	}
	if request.Ticket == "" && class.Tickets == declarer.TicketsRequired {
		return nil, class, failer.New("once", KindTicketNeeded, "class %q needs a ticket; this response contains a new one", class.Name)
	}
	if request.Ticket == "" {
		if request.Ticket, err = d.tickets.Issue(time.Now()); err != nil {
			return nil, class, err
		}
	}
	ticket, err := ticketer.Parse(request.Ticket)
	if err != nil {
		return nil, class, err
	}
	timeout := requestTimeout(class, time.Duration(request.DeadlineMillis)*time.Millisecond)
	if err := d.checkStop(time.Now(), timeout); err != nil {
		return nil, class, err
	}
	onceRequest := &messenger.OnceRequest{
		Ticket:          request.Ticket,
		RequestId:       id,
		Service:         request.Service,
		Class:           request.Class,
		Key:             request.Key,
		RemainingMicros: timeout.Microseconds(),
		Body:            request.Body,
	}
	reply, err := d.forwardToOwner(ctx, ticket, onceRequest)
	return reply, class, err
}

// forwardToOwner runs a request here if this daemon holds its ticket's table, and
// forwards it to the daemon that does otherwise. If that daemon cannot be
// reached the outcome is unknown, because this or an earlier attempt may have
// run.
func (d *Daemon) forwardToOwner(ctx context.Context, ticket ticketer.Ticket, request *messenger.OnceRequest) (*messenger.OnceReply, error) {
	if table, ok := d.ticketTable(ticket.Incarnation); ok {
		reply, err := d.runOnce(ctx, table, ticket, request)
		if hasKind(err, ticketer.KindTableClosed) {
			return d.forwardToSuccessor(ctx, request)
		}
		return reply, err
	}
	owner, ok := d.ticketOwner(ticket.Incarnation)
	if !ok {
		return unknownReply("this daemon does not hold the ticket table of the process that issued the ticket"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetRemainingMicros())*time.Microsecond+forwardReserve)
	defer cancel()
	reply, err := d.linker.Peer(ctx, owner).Once(ctx, request)
	if err != nil {
		return unknownReply("the daemon that owns the ticket did not answer"), nil
	}
	return reply, nil
}

func unknownReply(detail string) *messenger.OnceReply {
	return &messenger.OnceReply{Outcome: messenger.Outcome_UNKNOWN, Detail: detail}
}

// rejectedReply returns the reply for an attempt that the ticket's owner rejects.
func rejectedReply(err error) *messenger.OnceReply {
	if hasKind(err, ticketer.KindReused, ticketer.KindMalformed) {
		return notRunReply(err.Error())
	}
	return unknownReply(err.Error())
}

func notRunReply(detail string) *messenger.OnceReply {
	return &messenger.OnceReply{Outcome: messenger.Outcome_NOT_RUN, Detail: detail}
}

// ticketTable returns the ticket table of an incarnation if this daemon holds it.
func (d *Daemon) ticketTable(incarnation string) (*ticketer.Table, bool) {
	if incarnation == d.incarnation {
		return d.tickets, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	table, ok := d.takenOver[incarnation]
	return table, ok
}

// ticketOwner returns the peer to which requests with an incarnation's tickets are
// forwarded: the daemon that took over its table, or else the one at the
// incarnation's address. If another process runs at that address by now, it replies
// with outcome unknown. ticketOwner returns false if the address is this daemon's
// own.
func (d *Daemon) ticketOwner(incarnation string) (string, bool) {
	holder, ok := d.news.holder(incarnation)
	if !ok {
		holder, _, _ = strings.Cut(incarnation, "/")
	}
	return holder, holder != d.settings.PeerAddress
}

// runOnce claims a ticket in its table. The first use of the ticket sends the
// request; every other one waits for the outcome of the first.
func (d *Daemon) runOnce(ctx context.Context, table *ticketer.Table, ticket ticketer.Ticket, request *messenger.OnceRequest) (*messenger.OnceReply, error) {
	entry, first, err := table.Claim(time.Now(), ticket, digestInput(request))
	if hasKind(err, ticketer.KindExpired) {
		return unknownReply("the ticket has expired and its outcome is no longer stored"), nil
	}
	if err != nil {
		return nil, err
	}
	if first {
		// The request continues even if the caller disconnects, since a retry with
		// the same ticket then receives its outcome.
		go d.executeOnce(table, entry, request)
	}
	select {
	case <-entry.Done():
	case <-ctx.Done():
		return unknownReply("the request is still in progress"), nil
	}
	state, result := table.EntryOutcome(entry)
	switch state {
	case ticketer.StateAnswered:
		return &messenger.OnceReply{Outcome: messenger.Outcome_ANSWERED, Snapshot: result.Snapshot, Hits: result.Hits, Replayed: !first}, nil
	case ticketer.StateNotRun:
		return notRunReply(result.Detail), nil
	case ticketer.StateUnknown, ticketer.StatePending:
		return unknownReply(result.Detail), nil
	default:
		return unknownReply(result.Detail), nil
	}
}

// digestInput returns the parts of a request that must be the same on every use of
// its ticket.
func digestInput(request *messenger.OnceRequest) []byte {
	return []byte(request.GetService() + "\x00" + request.GetClass() + "\x00" + request.GetKey() + "\x00" + string(request.GetBody()))
}

// executeOnce sends the request and records its outcome in the ticket table.
func (d *Daemon) executeOnce(table *ticketer.Table, entry *ticketer.Entry, request *messenger.OnceRequest) {
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	result, detail := d.sendOnce(request)
	recorded := ticketer.Result{Detail: detail, Snapshot: result.GetSnapshot(), Hits: result.GetHits()}
	switch result.GetOutcome() {
	case messenger.Outcome_ANSWERED:
		table.Finish(entry, ticketer.StateAnswered, recorded)
	case messenger.Outcome_NOT_RUN:
		table.Finish(entry, ticketer.StateNotRun, recorded)
	case messenger.Outcome_UNKNOWN, messenger.Outcome_OUTCOME_UNSPECIFIED:
		table.Finish(entry, ticketer.StateUnknown, recorded)
	}
}

// sendOnce sends the request to one searcher, and to another one only as long as
// it is certain that none has run it.
func (d *Daemon) sendOnce(request *messenger.OnceRequest) (*messenger.ShardResult, string) {
	view := d.documents.View()
	class, err := view.Class(request.GetClass())
	if err != nil {
		return &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN}, err.Error()
	}
	deadline := time.Now().Add(time.Duration(request.GetRemainingMicros())*time.Microsecond - mergeReserve)
	last := &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: messenger.Reason_NOT_GATEWAY}
	var excluded []string
	for range onceAttempts {
		plan, err := d.documents.View().Plan(request.GetService())
		if err != nil {
			return last, err.Error()
		}
		searcher, result := d.attemptOnce(request, class, plan, deadline, excluded)
		if searcher == "" {
			return last, "no backend server is available"
		}
		last = result
		excluded = append(excluded, searcher)
		if last.GetOutcome() != messenger.Outcome_NOT_RUN || time.Now().After(deadline) {
			break
		}
	}
	return last, strings.ToLower(last.GetReason().String())
}

// attemptOnce sends the request to a searcher that is not excluded and returns the
// searcher, or an empty string if there is none.
func (d *Daemon) attemptOnce(request *messenger.OnceRequest, class declarer.Class, plan planner.Plan, deadline time.Time, excluded []string) (string, *messenger.ShardResult) {
	shard := plan.ShardFor(request.GetKey())
	now := time.Now()
	searcher, ok := d.picker.Pick(now, plan.Rule, shard.Candidates, excluded)
	if !ok {
		return "", nil
	}
	attempt := d.nextAttempt()
	gateway, ok := d.gatewayFor(searcher, xxhash.Sum64String(request.GetRequestId())+attempt)
	if !ok {
		d.picker.Release(searcher)
		return searcher, &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: messenger.Reason_NOT_GATEWAY}
	}
	results := make(chan *messenger.ShardResult, 1)
	d.submit(gateway, &messenger.QueryBatch{
		RequestId:       request.GetTicket(),
		Service:         request.GetService(),
		Snapshot:        plan.Snapshot,
		Class:           class.Name,
		Priority:        int32(class.Priority),
		RemainingMicros: deadline.Sub(now).Microseconds(),
		Once:            true,
		Body:            request.GetBody(),
		Calls:           []*messenger.ShardCall{{Attempt: attempt, Searcher: searcher, Shard: shard.Name}},
	}, func(r *messenger.ShardResult) { results <- r })
	result := awaitResult(results, deadline)
	d.recordResult(time.Now(), d.hedgerFor(class, plan), sentAttempt{searcher: searcher, gateway: gateway, sentAt: now}, result)
	return searcher, result
}

// awaitResult waits for a result. If none arrives by the deadline plus
// mergeReserve the outcome is unknown.
func awaitResult(results <-chan *messenger.ShardResult, deadline time.Time) *messenger.ShardResult {
	timer := time.NewTimer(time.Until(deadline) + mergeReserve)
	defer timer.Stop()
	select {
	case r := <-results:
		return r
	case <-timer.C:
		return &messenger.ShardResult{Outcome: messenger.Outcome_UNKNOWN, Reason: messenger.Reason_TOO_LATE}
	}
}
