// Package sender sends a gateway's shard requests to backend servers over HTTP.
// Each server has a bounded queue and a connection budget; replies are checked
// for identity, snapshot and completeness.
package sender

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/fuchsiastile/fuchsiastile/internal/accumulator"
	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

const (
	// maxReplyBytes is the maximum size of a backend server's reply.
	maxReplyBytes = 4 << 20
	// maxHeadBytes is the maximum size of a reply's head, whose headers package framer
	// defines. The default of net/http is 10 MB for each connection.
	maxHeadBytes = 16 << 10
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// warmDuration is how long after a request a connection is assumed to be still open.
	warmDuration = idleTimeout / 2
	// probeTimeout bounds the duration of a probe.
	probeTimeout = 500 * time.Millisecond
	// probeRequestID is the request ID of probes.
	probeRequestID = "probe"
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

// Deliver receives the result of a shard request. It must not block.
type Deliver func(*messenger.ShardResult)

// Config holds the settings and callbacks of a Sender.
type Config struct {
	Network dialer.Network
	// Budget returns how many connections this daemon may open to a searcher;
	// zero means that the daemon is not one of the searcher's gateways.
	Budget func(searcher string) int
	// Draining reports whether a searcher is marked as draining.
	Draining func(searcher string) bool
	// OnDraining is called when a searcher's reply reports that it is draining.
	OnDraining func(searcher string)
	// QueueLimit is the maximum number of requests queued for one searcher.
	QueueLimit int
	// Adaptive enables the adaptive concurrency limit.
	Adaptive bool
}

// call is one shard request submitted to this gateway.
type call struct {
	batch    *messenger.QueryBatch
	searcher string
	shard    string
	attempt  uint64
	deadline time.Time
	deliver  Deliver
	upstream *upstream
	// cancel aborts the HTTP request. It is set when the request is sent and
	// protected by the upstream's mutex.
	cancel context.CancelFunc
	// cancelled is set when the entry cancels the request; it is protected by the
	// upstream's mutex.
	cancelled bool
}

// Sender holds a gateway's upstreams, one for each searcher, and its unfinished calls.
type Sender struct {
	config    Config
	upstreams *xsync.Map[string, *upstream]
	calls     *xsync.Map[uint64, *call]
	// connections holds the connection count of each searcher that this daemon is
	// or was a gateway of.
	connections *xsync.Map[string, *connections]
	// bodies reads the bodies of all replies.
	bodies *accumulator.Accumulator
	// activeCalls is the number of submitted calls that have not finished.
	activeCalls atomic.Int64
	// stopAccepting is set while the daemon stops.
	stopAccepting atomic.Bool
	// sentRequests counts the HTTP requests made, probes included.
	sentRequests atomic.Int64
}

// New returns a Sender without connections.
func New(config Config) *Sender {
	return &Sender{
		config:    config,
		upstreams: xsync.NewMap[string, *upstream](),
		calls:     xsync.NewMap[uint64, *call](),
		bodies:    accumulator.New(),

		connections: xsync.NewMap[string, *connections](),
	}
}

// Active returns the number of submitted calls that have not finished.
func (s *Sender) Active() int64 { return s.activeCalls.Load() }

// Probe requests a searcher's load and draining state. The probe is a request
// without remaining time, which a server never runs. Probe returns false if no load
// was received.
func (s *Sender) Probe(searcher string) (*messenger.Load, bool) {
	u, ok := s.upstream(searcher)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c := &call{batch: &messenger.QueryBatch{RequestId: probeRequestID}, searcher: searcher, upstream: u, deadline: time.Now()}
	result := s.roundTrip(ctx, c)
	if result.GetDraining() {
		s.config.OnDraining(searcher)
	}
	return result.GetLoad(), result.GetLoad() != nil
}

// IsCold reports whether a searcher may have no open connection left, because no
// request was sent to it within warmDuration.
func (s *Sender) IsCold(now time.Time, searcher string) bool {
	u, ok := s.upstreams.Load(searcher)
	return !ok || now.UnixNano()-u.usedAt.Load() > int64(warmDuration)
}

// StopAccepting makes the Sender refuse all new calls with outcome NOT_RUN; submitted
// calls continue.
func (s *Sender) StopAccepting() { s.stopAccepting.Store(true) }

// SentRequests returns the number of HTTP requests made to backend servers.
func (s *Sender) SentRequests() int64 { return s.sentRequests.Load() }

// Submit accepts all calls of a batch and calls deliver exactly once for each.
func (s *Sender) Submit(batch *messenger.QueryBatch, deliver Deliver) {
	now := time.Now()
	deadline := now.Add(time.Duration(batch.GetRemainingMicros()) * time.Microsecond)
	for _, c := range batch.GetCalls() {
		s.activeCalls.Add(1)
		s.submit(now, &call{
			batch:    batch,
			searcher: c.GetSearcher(),
			shard:    c.GetShard(),
			attempt:  c.GetAttempt(),
			deadline: deadline,
			deliver:  deliver,
		})
	}
}

func (s *Sender) submit(now time.Time, c *call) {
	if s.stopAccepting.Load() {
		s.finish(c, notRun(messenger.Reason_STOPPING))
		return
	}
	if s.config.Draining(c.searcher) {
		s.finish(c, notRun(messenger.Reason_DRAINING))
		return
	}
	u, ok := s.upstream(c.searcher)
	if !ok {
		s.finish(c, notRun(messenger.Reason_NOT_GATEWAY))
		return
	}
	c.upstream = u
	s.calls.Store(c.attempt, c)
	u.mu.Lock()
	u.queue.Reopen()
	decisions := u.queue.Offer(now, admitter.Item[*call]{
		Attempt:  c.attempt,
		Priority: int(c.batch.GetPriority()),
		Deadline: c.deadline,
		Value:    c,
	})
	u.mu.Unlock()
	s.dispatch(decisions)
}

// Cancel cancels calls by their attempt IDs. A queued call ends with outcome
// NOT_RUN; the HTTP request of one that was sent is aborted. Non-idempotent calls
// are never cancelled.
func (s *Sender) Cancel(attempts []uint64) {
	for _, attempt := range attempts {
		c, ok := s.calls.Load(attempt)
		if !ok || c.batch.GetOnce() {
			continue
		}
		s.cancel(c)
	}
}

func (s *Sender) cancel(c *call) {
	c.upstream.mu.Lock()
	decision, waiting := c.upstream.queue.Cancel(c.attempt)
	c.cancelled = true
	cancel := c.cancel
	c.upstream.mu.Unlock()
	switch {
	case waiting:
		s.dispatch([]admitter.Decision[*call]{decision})
	case cancel != nil:
		cancel()
	}
}

// Drain ends all calls queued for a searcher with outcome NOT_RUN and closes its
// queue and idle connections.
func (s *Sender) Drain(searcher string) {
	u, ok := s.upstreams.Load(searcher)
	if !ok {
		return
	}
	u.mu.Lock()
	decisions := u.queue.Close(admitter.RefusedDraining)
	u.mu.Unlock()
	s.dispatch(decisions)
	u.transport.CloseIdleConnections()
}

// Forget removes the upstreams of searchers that this daemon is no longer a gateway
// of and ends their queued calls with outcome NOT_RUN.
func (s *Sender) Forget() {
	s.upstreams.Range(func(searcher string, u *upstream) bool {
		if s.config.Budget(searcher) > 0 {
			return true
		}
		s.upstreams.Delete(searcher)
		u.mu.Lock()
		decisions := u.queue.Close(admitter.RefusedStopping)
		u.mu.Unlock()
		s.dispatch(decisions)
		u.retired.Store(true)
		u.transport.CloseIdleConnections()
		return true
	})
	s.connections.Range(func(searcher string, conns *connections) bool {
		if s.config.Budget(searcher) == 0 && conns.idle() {
			s.connections.Delete(searcher)
		}
		return true
	})
}

// dispatch carries out admission decisions: it sends a call or ends it as refused.
func (s *Sender) dispatch(decisions []admitter.Decision[*call]) {
	for _, d := range decisions {
		c := d.Item.Value
		if d.Refusal == admitter.RefusedNone {
			go s.send(c)
			continue
		}
		s.finish(c, notRun(refusalReason(d.Refusal)))
	}
}

func refusalReason(r admitter.Refusal) messenger.Reason {
	switch r {
	case admitter.RefusedQueueFull:
		return messenger.Reason_QUEUE_FULL
	case admitter.RefusedTooLate:
		return messenger.Reason_TOO_LATE
	case admitter.RefusedDraining:
		return messenger.Reason_DRAINING
	case admitter.RefusedCancelled:
		return messenger.Reason_CANCELLED
	case admitter.RefusedStopping:
		return messenger.Reason_STOPPING
	case admitter.RefusedNone:
		return messenger.Reason_REASON_UNSPECIFIED
	default:
		return messenger.Reason_REASON_UNSPECIFIED
	}
}

// Close closes every idle connection.
func (s *Sender) Close() {
	s.upstreams.Range(func(_ string, u *upstream) bool {
		u.transport.CloseIdleConnections()
		return true
	})
}
