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
	RefusedQueueFull
	RefusedTooLate
	RefusedDraining
	RefusedCancelled
	RefusedStopping
)

// Item is a queued request.
type Item[T any] struct {
	// Attempt is the attempt ID, by which Cancel finds the request.
	Attempt uint64
	// Priority orders the queue: the highest value is sent first.
	Priority   int
	Deadline   time.Time
	Value      T
	arrivalSeq uint64
	index      int
}

// Decision is the result for one item: it is to be sent if Refusal is RefusedNone,
// otherwise it is refused for that reason.
type Decision[T any] struct {
	Item    *Item[T]
	Refusal Refusal
}

// Config holds the limits of a Queue.
type Config struct {
	// MaxConcurrency is the connection budget for the server.
	MaxConcurrency int
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// Adaptive enables the adaptive concurrency limit; otherwise MaxConcurrency applies.
	Adaptive bool
}

// Queue holds the requests that wait for one server and decides when to send them.
// It is not safe for concurrent use.
type Queue[T any] struct {
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

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	limit := float64(config.MaxConcurrency)
	if config.Adaptive {
		limit = min(limit, initialConcurrency)
	}
	return &Queue[T]{config: config, byID: map[uint64]*Item[T]{}, limit: limit}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Limit returns the current concurrency limit.
func (q *Queue[T]) Limit() int { return max(1, int(q.limit)) }

// Offer sends, queues or refuses a request. If the queue then exceeds its limit,
// the request that would be sent last is refused.
func (q *Queue[T]) Offer(now time.Time, item Item[T]) []Decision[T] {
	if q.closedReason != RefusedNone {
		return []Decision[T]{{Item: &item, Refusal: q.closedReason}}
	}
	if q.expectedSendTime(now, item.Priority).Sub(now) > item.Deadline.Sub(now)/maxWaitDivisor {
		return []Decision[T]{{Item: &item, Refusal: RefusedTooLate}}
	}
	q.lastArrivalSeq++
	item.arrivalSeq = q.lastArrivalSeq
	q.push(&item)
	out := q.dispatch(now)
	if len(q.items) > q.config.QueueLimit {
		out = append(out, Decision[T]{Item: q.evict(), Refusal: RefusedQueueFull})
	}
	return out
}

// Done ends a request that was sent. sample is its service time, or zero if the
// request is no measurement of that; shed is true if the server shed it.
func (q *Queue[T]) Done(now time.Time, sample time.Duration, shed bool) []Decision[T] {
	q.inFlight--
	switch {
	case shed && q.config.Adaptive:
		q.limit = max(1, q.limit*limitDecreaseFactor)
	case sample > 0:
		q.recordServiceTime(sample)
	}
	return q.dispatch(now)
}

// recordServiceTime adds a sample to the service time. While the concurrency
// limit is reached, each sample raises the limit by 1/limit.
func (q *Queue[T]) recordServiceTime(sample time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = sample
	}
	q.serviceTime += time.Duration(serviceTimeSmoothing * float64(sample-q.serviceTime))
	if !q.config.Adaptive || q.inFlight+1 < q.Limit() {
		return
	}
	q.limit = min(float64(q.config.MaxConcurrency), q.limit+1/q.limit)
}

// Cancel removes a queued request. It returns false if the request is not queued
// any more.
func (q *Queue[T]) Cancel(attempt uint64) (Decision[T], bool) {
	item, ok := q.byID[attempt]
	if !ok {
		return Decision[T]{}, false
	}
	q.remove(item)
	return Decision[T]{Item: item, Refusal: RefusedCancelled}, true
}

// Close refuses all queued and later requests for the given reason.
func (q *Queue[T]) Close(reason Refusal) []Decision[T] {
	q.closedReason = reason
	out := make([]Decision[T], 0, len(q.items))
	for len(q.items) > 0 {
		item := q.items[0]
		q.remove(item)
		out = append(out, Decision[T]{Item: item, Refusal: reason})
	}
	return out
}

// Reopen accepts requests again after Close.
func (q *Queue[T]) Reopen() { q.closedReason = RefusedNone }

// expectedSendTime estimates when a request of the given priority would be sent.
func (q *Queue[T]) expectedSendTime(now time.Time, priority int) time.Time {
	if q.inFlight < q.Limit() {
		return now
	}
	ahead := 0
	for _, item := range q.items {
		if item.Priority >= priority {
			ahead++
		}
	}
	return now.Add(q.serviceTime * time.Duration(ahead) / time.Duration(q.Limit()))
}

func (q *Queue[T]) dispatch(now time.Time) []Decision[T] {
	var out []Decision[T]
	for len(q.items) > 0 && q.inFlight < q.Limit() {
		item := q.items[0]
		q.remove(item)
		if now.Add(q.serviceTime / 2).After(item.Deadline) {
			out = append(out, Decision[T]{Item: item, Refusal: RefusedTooLate})
			continue
		}
		q.inFlight++
		out = append(out, Decision[T]{Item: item})
	}
	return out
}

// evict removes and returns the queued request that would be sent last.
func (q *Queue[T]) evict() *Item[T] {
	last := q.items[0]
	for _, item := range q.items {
		if last.sentBefore(item) {
			last = item
		}
	}
	q.remove(last)
	return last
}

func (q *Queue[T]) push(item *Item[T]) {
	q.byID[item.Attempt] = item
	heap.Push(&q.items, item)
}

func (q *Queue[T]) remove(item *Item[T]) {
	delete(q.byID, item.Attempt)
	heap.Remove(&q.items, item.index)
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
