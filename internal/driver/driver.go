// Package driver feeds events to the state machine of one query until it ends.
package driver

import (
	"context"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
)

// Driver drives one query; R is how the end of a shard request is told.
type Driver[R any] struct {
	Query     *gatherer.Query
	Scheduler *scheduler.Scheduler
	Results   <-chan R
	// Perform carries out actions and reports whether the query has ended.
	Perform func(gatherer.Actions) bool
	// Deliver takes the end of a shard request and reports whether the query has ended.
	Deliver func(R) bool
	// CancelAll gives up everything that is out.
	CancelAll func()
}

// Run returns when the query has ended or its caller is gone.
func (d Driver[R]) Run(ctx context.Context) {
	wake := make(chan struct{}, 1)
	nudge := func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	done := d.Perform(d.Query.Start(time.Now()))
	due := d.Query.NextWake()
	timer := d.Scheduler.At(due, nudge)
	defer func() { timer.Stop() }()
	for !done {
		if next := d.Query.NextWake(); !next.Equal(due) {
			timer.Stop()
			due = next
			timer = d.Scheduler.At(due, nudge)
		}
		select {
		case result := <-d.Results:
			done = d.Deliver(result)
		case <-wake:
			due = time.Time{}
			done = d.Perform(d.Query.Wake(time.Now()))
		case <-ctx.Done():
			d.CancelAll()
			done = true
		}
	}
}
