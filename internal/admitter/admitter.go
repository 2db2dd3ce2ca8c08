// Package admitter implements admission control: the bounded queue of a gateway in
// front of one backend server, and a gate that sheds load before requests are sent.
// The queue is ordered by class priority, then by earliest deadline, and sends
// under an adaptive concurrency limit. The package performs no I/O.
package admitter

import (
	"container/heap"
	"time"
)

const (
	// limitDecreaseFactor is multiplied with the concurrency limit when the server
	// sheds a request.
	limitDecreaseFactor = 0.7
	// initialConcurrency is the concurrency limit for a server that has not replied yet.
	initialConcurrency = 2
	// maxWaitDivisor divides the time until the deadline of a request to get the
	// longest time it may wait in the queue. A request that would wait longer is
	// refused immediately, while there is time to send it to another replica.
	maxWaitDivisor = 4
	// serviceTimeSmoothing is the weight of a new sample in the moving average of
	// the service time.
	serviceTimeSmoothing = 0.1
)

// Refusal is the reason why a request was not sent.
type Refusal int

// The reasons for a refusal. A refused request was not run.
const (
	RefusedNone Refusal = iota
	RefusedFull
	RefusedLate
	RefusedDraining
	RefusedCancelled
	RefusedStopping
)

// Item is a queued request.
type Item[T any] struct {
	Attempt    uint64
	Priority   int
	Deadline   time.Time
	Value      T
	arrivalSeq uint64
	index      int
}

// Decision says whether to send an item (RefusedNone) or to refuse it.
type Decision[T any] struct {
	Item    *Item[T]
	Refusal Refusal
}

// Config holds the limits of a lane.
type Config struct {
	// MaxConcurrency is the connection budget for the server.
	MaxConcurrency int
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// Adaptive enables the adaptive concurrency limit; otherwise MaxConcurrency applies.
	Adaptive bool
}

// Lane is the queue in front of one server. It is not safe for concurrent use.
type Lane[T any] struct {
	config Config
	items  itemHeap[T]
	byID   map[uint64]*Item[T]
	// inFlight is the number of items that were sent and are not done.
	inFlight int
	// limit is the concurrency limit, from 1 to MaxConcurrency.
	limit          float64
	serviceTime    time.Duration
	lastArrivalSeq uint64
	closedReason   Refusal
}

// New returns an empty lane.
func New[T any](config Config) *Lane[T] {
	limit := float64(config.MaxConcurrency)
	if config.Adaptive {
		limit = min(limit, initialConcurrency)
	}
	return &Lane[T]{config: config, byID: map[uint64]*Item[T]{}, limit: limit}
}

// Queued returns the number of queued requests.
func (l *Lane[T]) Queued() int { return len(l.items) }

// Limit returns the current concurrency limit.
func (l *Lane[T]) Limit() int { return max(1, int(l.limit)) }

// Offer sends, queues or refuses a request. If the queue then exceeds its limit,
// the request that would be sent last is refused.
func (l *Lane[T]) Offer(now time.Time, item Item[T]) []Decision[T] {
	if l.closedReason != RefusedNone {
		return []Decision[T]{{Item: &item, Refusal: l.closedReason}}
	}
	if l.expectedSendTime(now, item.Priority).Sub(now) > item.Deadline.Sub(now)/maxWaitDivisor {
		return []Decision[T]{{Item: &item, Refusal: RefusedLate}}
	}
	l.lastArrivalSeq++
	item.arrivalSeq = l.lastArrivalSeq
	l.push(&item)
	out := l.dispatch(now)
	if len(l.items) > l.config.QueueLimit {
		out = append(out, Decision[T]{Item: l.evict(), Refusal: RefusedFull})
	}
	return out
}

// Done ends a request that was sent. sample is its service time, or zero if the
// request is no measurement of that; shed tells whether the server shed it.
func (l *Lane[T]) Done(now time.Time, sample time.Duration, shed bool) []Decision[T] {
	l.inFlight--
	switch {
	case shed && l.config.Adaptive:
		l.limit = max(1, l.limit*limitDecreaseFactor)
	case sample > 0:
		l.recordServiceTime(sample)
	}
	return l.dispatch(now)
}

// recordServiceTime adds a sample to the service time. While the concurrency
// limit is reached, each sample raises the limit by 1/limit.
func (l *Lane[T]) recordServiceTime(sample time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = sample
	}
	l.serviceTime += time.Duration(serviceTimeSmoothing * float64(sample-l.serviceTime))
	if !l.config.Adaptive || l.inFlight+1 < l.Limit() {
		return
	}
	l.limit = min(float64(l.config.MaxConcurrency), l.limit+1/l.limit)
}

// Cancel removes a queued request. It returns false if the request is not queued
// any more.
func (l *Lane[T]) Cancel(attempt uint64) (Decision[T], bool) {
	item, ok := l.byID[attempt]
	if !ok {
		return Decision[T]{}, false
	}
	l.remove(item)
	return Decision[T]{Item: item, Refusal: RefusedCancelled}, true
}

// Close refuses all queued and later requests for the given reason.
func (l *Lane[T]) Close(reason Refusal) []Decision[T] {
	l.closedReason = reason
	out := make([]Decision[T], 0, len(l.items))
	for len(l.items) > 0 {
		item := l.items[0]
		l.remove(item)
		out = append(out, Decision[T]{Item: item, Refusal: reason})
	}
	return out
}

// Open accepts requests again after Close.
func (l *Lane[T]) Open() { l.closedReason = RefusedNone }

// expectedSendTime estimates when a request of the given priority would be sent.
func (l *Lane[T]) expectedSendTime(now time.Time, priority int) time.Time {
	if l.inFlight < l.Limit() {
		return now
	}
	ahead := 0
	for _, item := range l.items {
		if item.Priority >= priority {
			ahead++
		}
	}
	return now.Add(l.serviceTime * time.Duration(ahead) / time.Duration(l.Limit()))
}

func (l *Lane[T]) dispatch(now time.Time) []Decision[T] {
	var out []Decision[T]
	for len(l.items) > 0 && l.inFlight < l.Limit() {
		item := l.items[0]
		l.remove(item)
		if now.Add(l.serviceTime / 2).After(item.Deadline) {
			out = append(out, Decision[T]{Item: item, Refusal: RefusedLate})
			continue
		}
		l.inFlight++
		out = append(out, Decision[T]{Item: item})
	}
	return out
}

// evict removes and returns the queued request that would be sent last.
func (l *Lane[T]) evict() *Item[T] {
	last := l.items[0]
	for _, item := range l.items {
		if last.sentBefore(item) {
			last = item
		}
	}
	l.remove(last)
	return last
}

func (l *Lane[T]) push(item *Item[T]) {
	l.byID[item.Attempt] = item
	heap.Push(&l.items, item)
}

func (l *Lane[T]) remove(item *Item[T]) {
	delete(l.byID, item.Attempt)
	heap.Remove(&l.items, item.index)
}

// sentBefore reports whether i is sent before j.
func (i *Item[T]) sentBefore(j *Item[T]) bool {
	switch {
	case i.Priority != j.Priority:
		return i.Priority > j.Priority
	case !i.Deadline.Equal(j.Deadline):
		return i.Deadline.Before(j.Deadline)
	default:
		return i.arrivalSeq < j.arrivalSeq
	}
}

// itemHeap implements heap.Interface, ordered by sentBefore.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].sentBefore(h[j]) }

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
