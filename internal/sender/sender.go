// Package sender is the gateway's side towards backend servers: a lane with a
// bounded queue and a connection budget for each, and HTTP requests whose
// replies are checked for identity, snapshot and wholeness.
package sender

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

const (
	// maxReplyBytes is the largest reply that is read from a backend server.
	maxReplyBytes = 4 << 20
	// dialTimeout bounds the time for a new connection.
	dialTimeout = 500 * time.Millisecond
	// warmTime is how long a connection is relied upon to be open after a request.
	warmTime = idleTimeout / 2
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
	// probeRequest is the request id of probes.
	probeRequest = "probe"
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
)

// Deliver takes the end of a shard request. It must not block.
type Deliver func(*messenger.ShardResult)

// Config is what a gateway needs from its surroundings.
type Config struct {
	Network dialer.Network
	// Budget returns how many connections this daemon may hold to a searcher;
	// zero means that it is not a gateway of it.
	Budget func(searcher string) int
	// Draining reports whether a searcher said that it is leaving.
	Draining func(searcher string) bool
	// OnDraining is told of a searcher that says so first-hand.
	OnDraining func(searcher string)
	// QueueLimit is how many requests may wait for one searcher.
	QueueLimit int
	// Adaptive turns adaptive concurrency on.
	Adaptive bool
}

// call is one shard request at this gateway.
type call struct {
	batch    *messenger.QueryBatch
	searcher string
	shard    string
	attempt  uint64
	deadline time.Time
	deliver  Deliver
	lane     *lane
	// cancel ends the request once it was sent; it is set under the lane's lock.
	cancel context.CancelFunc
	// cancelled is set, under the lane's lock, when the entry gave the request up.
	cancelled bool
}

// Sender holds the lanes of a gateway.
type Sender struct {
	config Config
	lanes  *xsync.Map[string, *lane]
	calls  *xsync.Map[uint64, *call]
	// connections counts those to each searcher that this daemon is or was a gateway of.
	connections *xsync.Map[string, *connections]
	// active counts calls that were submitted and have not ended.
	active atomic.Int64
	// refusing is set while the daemon stops.
	refusing atomic.Bool
	// sent counts requests that reached the wire.
	sent atomic.Int64
}

// New returns a sender without connections.
func New(config Config) *Sender {
	return &Sender{
		config: config,
		lanes:  xsync.NewMap[string, *lane](),
		calls:  xsync.NewMap[uint64, *call](),

		connections: xsync.NewMap[string, *connections](),
	}
}

// Active returns how many calls have not ended.
func (s *Sender) Active() int64 { return s.active.Load() }

// Probe asks a searcher for its load and whether it is leaving, with a request
// whose time is up, so that it is never run.
func (s *Sender) Probe(searcher string) (*messenger.Load, bool) {
	l, ok := s.lane(searcher)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c := &call{batch: &messenger.QueryBatch{RequestId: probeRequest}, searcher: searcher, lane: l, deadline: time.Now()}
	result := s.roundTrip(ctx, c)
	if result.GetDraining() {
		s.config.OnDraining(searcher)
	}
	return result.GetLoad(), result.GetLoad() != nil
}

// IsCold reports whether there may be no open connection to a searcher.
func (s *Sender) IsCold(now time.Time, searcher string) bool {
	l, ok := s.lanes.Load(searcher)
	return !ok || now.UnixNano()-l.usedAt.Load() > int64(warmTime)
}

// StopAccepting makes the gateway refuse all new calls as not run; those under way go on.
func (s *Sender) StopAccepting() { s.refusing.Store(true) }

// SentRequests returns how many requests were sent to backend servers.
func (s *Sender) SentRequests() int64 { return s.sent.Load() }

// Submit takes all calls of a batch; each ends with exactly one Deliver.
func (s *Sender) Submit(batch *messenger.QueryBatch, deliver Deliver) {
	now := time.Now()
	deadline := now.Add(time.Duration(batch.GetRemainingMicros()) * time.Microsecond)
	for _, c := range batch.GetCalls() {
		s.active.Add(1)
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
	if s.refusing.Load() {
		s.end(c, notRun(messenger.Reason_STOPPING))
		return
	}
	if s.config.Draining(c.searcher) {
		s.end(c, notRun(messenger.Reason_DRAINING))
		return
	}
	l, ok := s.lane(c.searcher)
	if !ok {
		s.end(c, notRun(messenger.Reason_NOT_GATEWAY))
		return
	}
	c.lane = l
	s.calls.Store(c.attempt, c)
	l.mu.Lock()
	l.core.Reopen()
	decisions := l.core.Offer(now, admitter.Item[*call]{
		Attempt:  c.attempt,
		Priority: int(c.batch.GetPriority()),
		Deadline: c.deadline,
		Value:    c,
	})
	l.mu.Unlock()
	s.carryOut(decisions)
}

// Cancel gives up calls by their attempts. A waiting one ends as not run; one
// that was sent is cancelled at the server.
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
	c.lane.mu.Lock()
	decision, waiting := c.lane.core.Cancel(c.attempt)
	c.cancelled = true
	cancel := c.cancel
	c.lane.mu.Unlock()
	switch {
	case waiting:
		s.carryOut([]admitter.Decision[*call]{decision})
	case cancel != nil:
		cancel()
	}
}

// Drain returns everything that waits for a searcher as not run and keeps new work from it.
func (s *Sender) Drain(searcher string) {
	l, ok := s.lanes.Load(searcher)
	if !ok {
		return
	}
	l.mu.Lock()
	decisions := l.core.Close(admitter.RefusedDraining)
	l.mu.Unlock()
	s.carryOut(decisions)
	l.transport.CloseIdleConnections()
}

// Forget closes the lanes of searchers that this daemon is no gateway of any more.
func (s *Sender) Forget() {
	s.lanes.Range(func(searcher string, l *lane) bool {
		if s.config.Budget(searcher) > 0 {
			return true
		}
		s.lanes.Delete(searcher)
		l.mu.Lock()
		decisions := l.core.Close(admitter.RefusedStopping)
		l.mu.Unlock()
		s.carryOut(decisions)
		l.retired.Store(true)
		l.transport.CloseIdleConnections()
		return true
	})
	s.connections.Range(func(searcher string, held *connections) bool {
		if s.config.Budget(searcher) == 0 && held.idle() {
			s.connections.Delete(searcher)
		}
		return true
	})
}

func (s *Sender) carryOut(decisions []admitter.Decision[*call]) {
	for _, d := range decisions {
		c := d.Item.Value
		if d.Refusal == admitter.RefusedNone {
			go s.send(c)
			continue
		}
		s.end(c, notRun(reasonOf(d.Refusal)))
	}
}

func reasonOf(r admitter.Refusal) messenger.Reason {
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

// Close ends every connection.
func (s *Sender) Close() {
	s.lanes.Range(func(_ string, l *lane) bool {
		l.transport.CloseIdleConnections()
		return true
	})
}
