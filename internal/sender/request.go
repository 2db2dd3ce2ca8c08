package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

// maxRequestHeaders is the maximum number of headers of a request, used to size its
// header map.
const maxRequestHeaders = 8

// send sends one call to its searcher, delivers the result and dispatches the
// queued calls that its completion admits.
func (s *Sender) send(c *call) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	c.upstream.mu.Lock()
	c.cancel = cancel
	alreadyCancelled := c.cancelled
	c.upstream.mu.Unlock()
	if alreadyCancelled {
		cancel()
	}
	started := time.Now()
	result := s.roundTrip(ctx, c)
	if c.upstream.retired.Load() {
		// The connection was returned to the idle pool of an upstream that sends
		// no more requests.
		c.upstream.transport.CloseIdleConnections()
	}
	elapsed := time.Since(started)
	result.ServiceMicros = elapsed.Microseconds()
	if result.GetOutcome() != messenger.Outcome_ANSWERED {
		elapsed = 0
	}
	shed := result.GetReason() == messenger.Reason_SHED
	c.upstream.mu.Lock()
	decisions := c.upstream.queue.Done(time.Now(), elapsed, shed)
	result.GatewayQueued = int32(c.upstream.queue.Len())
	c.upstream.mu.Unlock()
	s.finish(c, result)
	s.dispatch(decisions)
	if result.GetDraining() {
		s.config.OnDraining(c.searcher)
		s.Drain(c.searcher)
	}
}

// finish removes a call and delivers its only result.
func (s *Sender) finish(c *call, result *messenger.ShardResult) {
	result.Attempt = c.attempt
	result.Shard = c.shard
	s.calls.Delete(c.attempt)
	c.deliver(result)
	s.activeCalls.Add(-1)
}

func notRun(reason messenger.Reason) *messenger.ShardResult {
	return &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: reason}
}

func unknown(reason messenger.Reason) *messenger.ShardResult {
	return &messenger.ShardResult{Outcome: messenger.Outcome_UNKNOWN, Reason: reason}
}

// roundTrip makes one HTTP request. It sets neither GetBody nor an
// Idempotency-Key header, so that http.Transport never retries the request.
func (s *Sender) roundTrip(ctx context.Context, c *call) *messenger.ShardResult {
	request := framer.Request{
		RequestID: c.batch.GetRequestId(),
		Attempt:   c.attempt,
		Snapshot:  c.batch.GetSnapshot(),
		Shard:     c.shard,
		Remaining: max(0, time.Until(c.deadline)),
		Once:      c.batch.GetOnce(),
	}
	gotConn := &atomic.Bool{}
	if request.Once {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
		})
	}
	body := c.batch.GetBody()
	r := (&http.Request{
		Method:        http.MethodPost,
		URL:           c.upstream.url,
		Host:          c.upstream.url.Host,
		Header:        make(http.Header, maxRequestHeaders),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}).WithContext(ctx)
	request.SetHeaders(r.Header)
	s.sentRequests.Add(1)
	c.upstream.usedAt.Store(time.Now().UnixNano())
	response, err := c.upstream.transport.RoundTrip(r)
	if err != nil {
		return classifyError(err, request.Once && !gotConn.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if validator.Reply(response) != nil {
		return badReply(&messenger.ShardResult{})
	}
	return s.readReply(c, request, response)
}

// classifyError returns the result of a request without a reply. Its outcome is
// NOT_RUN only if the request cannot have been written to a connection.
func classifyError(err error, neverSent bool) *messenger.ShardResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(messenger.Reason_CONNECT_FAILED)
	}
	if neverSent {
		return notRun(messenger.Reason_TOO_LATE)
	}
	if errors.Is(err, context.Canceled) {
		return unknown(messenger.Reason_CANCELLED)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return unknown(messenger.Reason_TOO_LATE)
	}
	return unknown(messenger.Reason_LINK_LOST)
}

// readReply reads a reply and checks its identity, snapshot, size and digest. An
// unread body makes the transport close the connection; after a wrong digest the
// idle connections are closed as well.
func (s *Sender) readReply(c *call, request framer.Request, response *http.Response) *messenger.ShardResult {
	h := response.Header
	load := framer.ParseLoad(h.Get(framer.HeaderLoad))
	out := &messenger.ShardResult{
		Load:     &messenger.Load{Slots: int32(load.Slots), InFlight: int32(load.InFlight), Queued: int32(load.Queued)},
		Draining: h.Get(framer.HeaderDraining) == "true",
	}
	if refusal := framer.Refusal(h.Get(framer.HeaderRefusal)); response.StatusCode == http.StatusServiceUnavailable && refusal != "" {
		return s.refusalResult(out, refusal, h.Get(framer.HeaderNewerSnapshot))
	}
	if response.StatusCode != http.StatusOK || !request.Echoes(h) {
		return badReply(out)
	}
	hits, err := s.bodies.Read(response.Body, maxReplyBytes)
	if err != nil {
		return badReply(out)
	}
	if framer.Digest(hits) != h.Get(framer.HeaderDigest) {
		c.upstream.transport.CloseIdleConnections()
		return badReply(out)
	}
	out.Outcome = messenger.Outcome_ANSWERED
	out.RequestId = request.RequestID
	out.Snapshot = request.Snapshot
	out.Hits = hits
	return out
}

func badReply(out *messenger.ShardResult) *messenger.ShardResult {
	out.Outcome = messenger.Outcome_UNKNOWN
	out.Reason = messenger.Reason_BAD_REPLY
	return out
}

// refusalResult returns the result of a request that the backend server refused.
// The server states that it did not run the request; an unknown refusal is a bad
// reply.
func (s *Sender) refusalResult(out *messenger.ShardResult, refusal framer.Refusal, newer string) *messenger.ShardResult {
	out.Outcome = messenger.Outcome_NOT_RUN
	switch refusal {
	case framer.RefusedShed:
		out.Reason = messenger.Reason_SHED
	case framer.RefusedDraining:
		out.Reason = messenger.Reason_DRAINING
		out.Draining = true
	case framer.RefusedSnapshotGone:
		out.Reason = messenger.Reason_SNAPSHOT_GONE
		out.NewerSnapshot = newer
	case framer.RefusedTooLate:
		out.Reason = messenger.Reason_TOO_LATE
	default:
		out.Outcome = messenger.Outcome_UNKNOWN
		out.Reason = messenger.Reason_BAD_REPLY
	}
	return out
}
