// Package admitter is the bounded queue of a gateway in front of one backend
// server: class priority, then earliest deadline, under adaptive concurrency.
// It does no input or output.
package admitter

import (
	"container/heap"
	"time"
)

const (
	// decrease is what a shed leaves of the concurrency limit.
	decrease = 0.7
	// initialLimit is the concurrency towards a server that has not answered yet.
	initialLimit = 2
	// waitShare is the part of a request's time that it may wait; one that would
	// wait longer is refused at once, while another replica can still take it.
	waitShare = 4
	// serviceSmoothing is the weight of a new service time in the average.
	serviceSmoothing = 0.1
)

// Refusal tells why a request was not sent.
type Refusal int

// The refusals; after each, the request was not run.
const (
	RefusedNone Refusal = iota
	RefusedQueueFull
	RefusedTooLate
	RefusedDraining
	RefusedCancelled
	RefusedStopping
)

// Item is one waiting request.
type Item[T any] struct {
	Attempt  uint64
	Priority int
	Deadline time.Time
	Value    T
	arrived  uint64
	index    int
}

// Decision either sends an item (RefusedNone) or refuses it.
type Decision[T any] struct {
	Item    *Item[T]
	Refusal Refusal
}

// Config bounds a lane.
type Config struct {
	// MaxConcurrency is the connection budget towards the server.
	MaxConcurrency int
	// QueueLimit is how many requests may wait.
	QueueLimit int
	// Adaptive turns the concurrency limit on; without it MaxConcurrency is used.
	Adaptive bool
}

// Queue is the queue in front of one server. It is not safe for concurrent use.
type Queue[T any] struct {
	config Config
	queue  itemHeap[T]
	byID   map[uint64]*Item[T]
	// inFlight counts items sent and not done.
	inFlight int
	// limit is the adaptive concurrency, from 1 to MaxConcurrency.
	limit    float64
	service  time.Duration
	arrivals uint64
	closed   Refusal
}

// New returns an empty lane.
func New[T any](config Config) *Queue[T] {
	limit := float64(config.MaxConcurrency)
	if config.Adaptive {
		limit = min(limit, initialLimit)
	}
	return &Queue[T]{config: config, byID: map[uint64]*Item[T]{}, limit: limit}
}

// Len returns how many requests wait.
func (l *Queue[T]) Len() int { return len(l.queue) }

// Limit returns the concurrency limit in force.
func (l *Queue[T]) Limit() int { return max(1, int(l.limit)) }

// Offer takes a request: it is sent, queued or refused, and may push out a
// request of lower priority.
func (l *Queue[T]) Offer(now time.Time, item Item[T]) []Decision[T] {
	if l.closed != RefusedNone {
		return []Decision[T]{{Item: &item, Refusal: l.closed}}
	}
	if l.expectedStart(now, item.Priority).Sub(now) > item.Deadline.Sub(now)/waitShare {
		return []Decision[T]{{Item: &item, Refusal: RefusedTooLate}}
	}
	l.arrivals++
	item.arrived = l.arrivals
	l.push(&item)
	out := l.dispatch(now)
	if len(l.queue) > l.config.QueueLimit {
		out = append(out, Decision[T]{Item: l.evict(), Refusal: RefusedQueueFull})
	}
	return out
}

// Done ends a request that was sent; took is zero where it tells nothing of the service time.
func (l *Queue[T]) Done(now time.Time, took time.Duration, shed bool) []Decision[T] {
	l.inFlight--
	switch {
	case shed && l.config.Adaptive:
		l.limit = max(1, l.limit*decrease)
	case took > 0:
		l.learn(took)
	}
	return l.dispatch(now)
}

func (l *Queue[T]) learn(took time.Duration) {
	if l.service == 0 {
		l.service = took
	}
	l.service += time.Duration(serviceSmoothing * float64(took-l.service))
	if !l.config.Adaptive || l.inFlight+1 < l.Limit() {
		return
	}
	l.limit = min(float64(l.config.MaxConcurrency), l.limit+1/l.limit)
}

// Cancel removes a waiting request; ok is false if it does not wait any more.
func (l *Queue[T]) Cancel(attempt uint64) (Decision[T], bool) {
	item, ok := l.byID[attempt]
	if !ok {
		return Decision[T]{}, false
	}
	l.remove(item)
	return Decision[T]{Item: item, Refusal: RefusedCancelled}, true
}

// Close refuses every waiting and every later request for the given reason.
func (l *Queue[T]) Close(reason Refusal) []Decision[T] {
	l.closed = reason
	out := make([]Decision[T], 0, len(l.queue))
	for len(l.queue) > 0 {
		item := l.queue[0]
		l.remove(item)
		out = append(out, Decision[T]{Item: item, Refusal: reason})
	}
	return out
}

// Reopen takes requests again after Close.
func (l *Queue[T]) Reopen() { l.closed = RefusedNone }

// expectedStart estimates when a request of the priority would be sent.
func (l *Queue[T]) expectedStart(now time.Time, priority int) time.Time {
	if l.inFlight < l.Limit() {
		return now
	}
	ahead := 0
	for _, item := range l.queue {
		if item.Priority >= priority {
			ahead++
		}
	}
	return now.Add(l.service * time.Duration(ahead) / time.Duration(l.Limit()))
}

func (l *Queue[T]) dispatch(now time.Time) []Decision[T] {
	var out []Decision[T]
	for len(l.queue) > 0 && l.inFlight < l.Limit() {
		item := l.queue[0]
		l.remove(item)
		if now.Add(l.service / 2).After(item.Deadline) {
			out = append(out, Decision[T]{Item: item, Refusal: RefusedTooLate})
			continue
		}
		l.inFlight++
		out = append(out, Decision[T]{Item: item})
	}
	return out
}

// evict removes the waiting request that would be sent last.
func (l *Queue[T]) evict() *Item[T] {
	last := l.queue[0]
	for _, item := range l.queue {
		if last.before(item) {
			last = item
		}
	}
	l.remove(last)
	return last
}

func (l *Queue[T]) push(item *Item[T]) {
	l.byID[item.Attempt] = item
	heap.Push(&l.queue, item)
}

func (l *Queue[T]) remove(item *Item[T]) {
	delete(l.byID, item.Attempt)
	heap.Remove(&l.queue, item.index)
}

// before reports whether i is sent before j.
func (i *Item[T]) before(j *Item[T]) bool {
	switch {
	case i.Priority != j.Priority:
		return i.Priority > j.Priority
	case !i.Deadline.Equal(j.Deadline):
		return i.Deadline.Before(j.Deadline)
	default:
		return i.arrived < j.arrived
	}
}

// itemHeap implements heap.Interface in order of sending.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
