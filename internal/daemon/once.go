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
	// onceAttempts bounds how many searchers are tried while each one certainly
	// did not run the request.
	onceAttempts = 3
	// forwardReserve is added to a forwarded request's time for the way back.
	forwardReserve = 50 * time.Millisecond
)

// handleOnce takes a non-idempotent request.
func (d *Daemon) handleOnce(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	id := d.newRequestID()
	request, err := readRequest(w, r)
	if err != nil {
		d.refuse(w, id, request, started, err)
		return
	}
	reply, class, err := d.once(r.Context(), request, id)
	if err != nil {
		d.refuse(w, id, request, started, err)
		return
	}
	answer := answerOnce(request, id, reply)
	answer.ElapsedMillis = float64(time.Since(started).Microseconds()) / 1000
	d.metrics.request(class.Name, request.Tenant, answer.Outcome, time.Since(started), answer.Coverage.Fraction)
	writeAnswer(w, answer)
}

func answerOnce(request caller.Request, id string, reply *messenger.OnceReply) caller.Answer {
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
			// The request has run; only what it said is lost.
			klog.ErrorS(err, "result of a request that ran is unreadable", "id", id, "service", request.Service)
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

// once runs a non-idempotent request at most once. Its ticket decides which
// daemon may send it on; a class may let callers go without one.
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
		return nil, class, failer.New("once", KindTicketNeeded, "class %q needs a ticket; a fresh one is in this reply", class.Name)
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
	wanted := time.Duration(request.DeadlineMillis) * time.Millisecond
	message := &messenger.OnceRequest{
		Ticket:          request.Ticket,
		RequestId:       id,
		Service:         request.Service,
		Class:           request.Class,
		Key:             request.Key,
		RemainingMicros: deadlineOf(class, wanted).Microseconds(),
		Body:            request.Body,
	}
	reply, err := d.passToOwner(ctx, ticket, message)
	return reply, class, err
}

// passToOwner carries a request to the daemon that may send it on. Where that
// daemon cannot be asked the answer is unknown, whatever really happened.
func (d *Daemon) passToOwner(ctx context.Context, ticket ticketer.Ticket, message *messenger.OnceRequest) (*messenger.OnceReply, error) {
	if table, ok := d.tableOf(ticket.Incarnation); ok {
		reply, err := d.runOnce(ctx, table, ticket, message)
		if kindIs(err, ticketer.KindTableClosed) {
			return d.passToSuccessor(ctx, message)
		}
		return reply, err
	}
	owner, ok := d.ownerOf(ticket.Incarnation)
	if !ok {
		return unknownOnce("the daemon that issued the ticket is gone"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.GetRemainingMicros())*time.Microsecond+forwardReserve)
	defer cancel()
	reply, err := d.linker.Peer(ctx, owner).Once(ctx, message)
	if err != nil {
		return unknownOnce("the daemon that owns the ticket did not answer"), nil
	}
	return reply, nil
}

func unknownOnce(detail string) *messenger.OnceReply {
	return &messenger.OnceReply{Outcome: messenger.Outcome_UNKNOWN, Detail: detail}
}

// refusedOnce is the reply of the daemon that owns the ticket to a try that it refuses.
func refusedOnce(err error) *messenger.OnceReply {
	if kindIs(err, ticketer.KindReused, ticketer.KindMalformed) {
		return notRunOnce(err.Error())
	}
	return unknownOnce(err.Error())
}

func notRunOnce(detail string) *messenger.OnceReply {
	return &messenger.OnceReply{Outcome: messenger.Outcome_NOT_RUN, Detail: detail}
}

// tableOf returns the table of an incarnation if this daemon holds it.
func (d *Daemon) tableOf(incarnation string) (*ticketer.Table, bool) {
	if incarnation == d.incarnation {
		return d.tickets, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	table, ok := d.adopted[incarnation]
	return table, ok
}

// ownerOf returns the peer to ask about an incarnation: the holder that took
// its table over, else the daemon at its address. A process that is not the
// incarnation answers that it does not know.
func (d *Daemon) ownerOf(incarnation string) (string, bool) {
	holder, ok := d.news.holder(incarnation)
	if !ok {
		holder, _, _ = strings.Cut(incarnation, "/")
	}
	return holder, holder != d.settings.PeerAddress
}

// runOnce uses a ticket at the table that owns it: the first use sends the
// request on, every other one waits for how that ended.
func (d *Daemon) runOnce(ctx context.Context, table *ticketer.Table, ticket ticketer.Ticket, message *messenger.OnceRequest) (*messenger.OnceReply, error) {
	entry, first, err := table.Claim(time.Now(), ticket, digestInput(message))
	if kindIs(err, ticketer.KindExpired) {
		return unknownOnce("the ticket has expired; its fate is no longer kept"), nil
	}
	if err != nil {
		return nil, err
	}
	if first {
		// The request goes on even if its caller is gone: a retry will ask for the outcome.
		go d.finishOnce(table, entry, message)
	}
	select {
	case <-entry.Done():
	case <-ctx.Done():
		return unknownOnce("the request is still under way"), nil
	}
	state, result := table.EntryOutcome(entry)
	switch state {
	case ticketer.StateAnswered:
		return &messenger.OnceReply{Outcome: messenger.Outcome_ANSWERED, Snapshot: result.Snapshot, Hits: result.Hits, Replayed: !first}, nil
	case ticketer.StateNotRun:
		return notRunOnce(result.Detail), nil
	case ticketer.StateUnknown, ticketer.StatePending:
		return unknownOnce(result.Detail), nil
	default:
		return unknownOnce(result.Detail), nil
	}
}

// digestInput is what must be the same on every use of a ticket.
func digestInput(m *messenger.OnceRequest) []byte {
	return []byte(m.GetService() + "\x00" + m.GetClass() + "\x00" + m.GetKey() + "\x00" + string(m.GetBody()))
}

// finishOnce sends the request and records how it ended.
func (d *Daemon) finishOnce(table *ticketer.Table, entry *ticketer.Entry, message *messenger.OnceRequest) {
	d.onceActive.Add(1)
	defer d.onceActive.Add(-1)
	result, detail := d.sendOnce(message)
	kept := ticketer.Result{Detail: detail, Snapshot: result.GetSnapshot(), Hits: result.GetHits()}
	switch result.GetOutcome() {
	case messenger.Outcome_ANSWERED:
		table.Finish(entry, ticketer.StateAnswered, kept)
	case messenger.Outcome_NOT_RUN:
		table.Finish(entry, ticketer.StateNotRun, kept)
	case messenger.Outcome_UNKNOWN, messenger.Outcome_OUTCOME_UNSPECIFIED:
		table.Finish(entry, ticketer.StateUnknown, kept)
	}
}

// sendOnce sends the request to one searcher, and to another only while it is
// certain that none has run it.
func (d *Daemon) sendOnce(message *messenger.OnceRequest) (*messenger.ShardResult, string) {
	view := d.documents.View()
	class, err := view.Class(message.GetClass())
	if err != nil {
		return &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN}, err.Error()
	}
	deadline := time.Now().Add(time.Duration(message.GetRemainingMicros())*time.Microsecond - mergeReserve)
	last := &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: messenger.Reason_NOT_GATEWAY}
	var excluded []string
	for range onceAttempts {
		plan, err := d.documents.View().Plan(message.GetService())
		if err != nil {
			return last, err.Error()
		}
		searcher, result := d.tryOnce(message, class, plan, deadline, excluded)
		if searcher == "" {
			return last, "no backend server could be asked"
		}
		last = result
		excluded = append(excluded, searcher)
		if last.GetOutcome() != messenger.Outcome_NOT_RUN || time.Now().After(deadline) {
			break
		}
	}
	return last, strings.ToLower(last.GetReason().String())
}

// tryOnce sends the request to one searcher that was not tried.
func (d *Daemon) tryOnce(message *messenger.OnceRequest, class declarer.Class, plan planner.Plan, deadline time.Time, excluded []string) (string, *messenger.ShardResult) {
	shard := plan.ShardFor(message.GetKey())
	now := time.Now()
	searcher, ok := d.picker.Pick(now, plan.Rule, shard.Candidates, excluded)
	if !ok {
		return "", nil
	}
	attempt := d.nextAttempt()
	gateway, ok := d.gatewayFor(searcher, xxhash.Sum64String(message.GetRequestId())+attempt)
	if !ok {
		d.picker.Release(searcher)
		return searcher, &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: messenger.Reason_NOT_GATEWAY}
	}
	results := make(chan *messenger.ShardResult, 1)
	d.submit(gateway, &messenger.QueryBatch{
		RequestId:       message.GetTicket(),
		Service:         message.GetService(),
		Snapshot:        plan.Snapshot,
		Class:           class.Name,
		Priority:        int32(class.Priority),
		RemainingMicros: deadline.Sub(now).Microseconds(),
		Once:            true,
		Body:            message.GetBody(),
		Calls:           []*messenger.ShardCall{{Attempt: attempt, Searcher: searcher, Shard: shard.Name}},
	}, func(r *messenger.ShardResult) { results <- r })
	result := awaitOnce(results, deadline)
	d.learn(time.Now(), d.hedgerFor(class, plan), sentAttempt{searcher: searcher, gateway: gateway, at: now}, result)
	return searcher, result
}

// awaitOnce waits for a result; one that does not come in time is unknown.
func awaitOnce(results <-chan *messenger.ShardResult, deadline time.Time) *messenger.ShardResult {
	timer := time.NewTimer(time.Until(deadline) + mergeReserve)
	defer timer.Stop()
	select {
	case r := <-results:
		return r
	case <-timer.C:
		return &messenger.ShardResult{Outcome: messenger.Outcome_UNKNOWN, Reason: messenger.Reason_TOO_LATE}
	}
}
