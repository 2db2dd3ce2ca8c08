// Package driver runs the event loop of one query: it feeds timer events, shard
// results and cancellation to the query's state machine until the query has ended.
package driver

import (
	"context"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// Driver runs the event loop of one query. R is the type of a shard request's result.
type Driver[R any] struct {
	Query     *gatherer.Query
	Scheduler *scheduler.Scheduler
	Results   <-chan R
	// Perform executes actions and reports whether the query has ended.
	Perform func(gatherer.Actions) bool
	// Deliver processes the result of a shard request and reports whether the query has ended.
	Deliver func(R) bool
	// Expired is closed when the query must end before its deadline; nil if it never must.
	Expired <-chan struct{}
	// OnCancelled is called if the context is cancelled, before the actions that end the
	// query; nil if nothing depends on it.
	OnCancelled func()
}

// Run blocks until the query has ended. If ctx is cancelled, as when the caller
// disconnects, the query ends as its deadline would end it, so that its answer considers the
// requests in flight.
func (d Driver[R]) Run(ctx context.Context) {
	wake := make(chan struct{}, 1)
	signalWake := func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	done := d.Perform(d.Query.Start(time.Now()))
	due := d.Query.NextWake()
	timer := d.Scheduler.At(due, signalWake)
	defer func() { timer.Stop() }()
	for !done {
		if next := d.Query.NextWake(); !next.Equal(due) {
			timer.Stop()
			due = next
			timer = d.Scheduler.At(due, signalWake)
		}
		select {
		case result := <-d.Results:
			done = d.Deliver(result)
		case <-wake:
			due = time.Time{}
			done = d.Perform(d.Query.Wake(time.Now()))
		case <-d.Expired:
			done = d.Perform(d.Query.Expire(time.Now()))
		case <-ctx.Done():
			if d.OnCancelled != nil {
				d.OnCancelled()
			}
			done = d.Perform(d.Query.Expire(time.Now()))
		}
	}
}
