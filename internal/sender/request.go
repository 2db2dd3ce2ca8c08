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
)

// requestHeaders is how many headers a request has at the most.
const requestHeaders = 8

// send carries one call to its searcher and back.
func (s *Sender) send(c *call) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	c.lane.mu.Lock()
	c.cancel = cancel
	given := c.cancelled
	c.lane.mu.Unlock()
	if given {
		cancel()
	}
	started := time.Now()
	result := s.roundTrip(ctx, c)
	if c.lane.retired.Load() {
		// Its connection goes back to a lane that nothing is sent on any more.
		c.lane.transport.CloseIdleConnections()
	}
	took := time.Since(started)
	result.ServiceMicros = took.Microseconds()
	if result.GetOutcome() != messenger.Outcome_ANSWERED {
		took = 0
	}
	shed := result.GetReason() == messenger.Reason_SHED
	c.lane.mu.Lock()
	decisions := c.lane.core.Done(time.Now(), took, shed)
	result.GatewayQueued = int32(c.lane.core.Len())
	c.lane.mu.Unlock()
	s.end(c, result)
	s.carryOut(decisions)
	if result.GetDraining() {
		s.config.OnDraining(c.searcher)
		s.Drain(c.searcher)
	}
}

// end delivers the one result of a call.
func (s *Sender) end(c *call, result *messenger.ShardResult) {
	result.Attempt = c.attempt
	result.Shard = c.shard
	s.calls.Delete(c.attempt)
	c.deliver(result)
	s.active.Add(-1)
}

func notRun(reason messenger.Reason) *messenger.ShardResult {
	return &messenger.ShardResult{Outcome: messenger.Outcome_NOT_RUN, Reason: reason}
}

func unknown(reason messenger.Reason) *messenger.ShardResult {
	return &messenger.ShardResult{Outcome: messenger.Outcome_UNKNOWN, Reason: reason}
}

// roundTrip makes one HTTP request. The body has no GetBody and the request no
// Idempotency-Key, so that the HTTP client never sends it a second time.
func (s *Sender) roundTrip(ctx context.Context, c *call) *messenger.ShardResult {
	request := framer.Request{
		RequestID: c.batch.GetRequestId(),
		Attempt:   c.attempt,
		Snapshot:  c.batch.GetSnapshot(),
		Shard:     c.shard,
		Remaining: max(0, time.Until(c.deadline)),
		Once:      c.batch.GetOnce(),
	}
	onWire := &atomic.Bool{}
	if request.Once {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { onWire.Store(true) },
		})
	}
	body := c.batch.GetBody()
	r := (&http.Request{
		Method:        http.MethodPost,
		URL:           c.lane.url,
		Host:          c.lane.url.Host,
		Header:        make(http.Header, requestHeaders),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}).WithContext(ctx)
	request.SetHeaders(r.Header)
	s.sent.Add(1)
	c.lane.usedAt.Store(time.Now().UnixNano())
	response, err := c.lane.transport.RoundTrip(r)
	if err != nil {
		return failure(err, request.Once && !onWire.Load())
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(c, request, response)
}

// failure classifies a request without a reply. It is not run only if no
// connection ever carried it.
func failure(err error, neverOnWire bool) *messenger.ShardResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(messenger.Reason_CONNECT_FAILED)
	}
	if neverOnWire {
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

// read checks a reply. One that is not the request's own closes its connection.
func (s *Sender) read(c *call, request framer.Request, response *http.Response) *messenger.ShardResult {
	h := response.Header
	load := framer.ParseLoad(h.Get(framer.HeaderLoad))
	out := &messenger.ShardResult{
		Load:     &messenger.Load{Slots: int32(load.Slots), InFlight: int32(load.InFlight), Queued: int32(load.Queued)},
		Draining: h.Get(framer.HeaderDraining) == "true",
	}
	if refusal := framer.Refusal(h.Get(framer.HeaderRefusal)); response.StatusCode == http.StatusServiceUnavailable && refusal != "" {
		return s.refused(out, refusal, h.Get(framer.HeaderNewerSnapshot))
	}
	if response.StatusCode != http.StatusOK || !request.Echoes(h) {
		return bad(out)
	}
	hits, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil || len(hits) > maxReplyBytes {
		return bad(out)
	}
	if framer.Digest(hits) != h.Get(framer.HeaderDigest) {
		c.lane.transport.CloseIdleConnections()
		return bad(out)
	}
	out.Outcome = messenger.Outcome_ANSWERED
	out.RequestId = request.RequestID
	out.Snapshot = request.Snapshot
	out.Hits = hits
	return out
}

func bad(out *messenger.ShardResult) *messenger.ShardResult {
	out.Outcome = messenger.Outcome_UNKNOWN
	out.Reason = messenger.Reason_BAD_REPLY
	return out
}

// refused is the server's own word that it did not run the request.
func (s *Sender) refused(out *messenger.ShardResult, refusal framer.Refusal, newer string) *messenger.ShardResult {
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
