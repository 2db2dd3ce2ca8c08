package gatherer

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Config holds the parameters and callbacks of a query.
type Config struct {
	RequestID string
	Plan      planner.Plan
	Class     declarer.Class
	// Deadline is when the query ends, whatever its coverage.
	Deadline time.Time
	// HedgeDelay is how long a request is in flight before a hedge is sent. Zero
	// disables hedging.
	HedgeDelay time.Duration
	// MaxSearchers is the maximum number of searchers that a shard request may
	// be sent to. If zero, maxAttemptsPerShard applies instead.
	MaxSearchers int
	// Once forbids a further attempt after one that may have run.
	Once bool
	// Needed is the number of shards that an answer must contain. A query that
	// can no longer reach it ends at once. Zero means that any answer is accepted.
	Needed int
	// ThinAt is the time from which an answer with the needed shards is returned
	// without waiting for the others. Zero means never.
	ThinAt time.Time
	// Hopeless reports whether no searcher of a shard is likely to answer soon.
	// Once the needed shards have answered, the query doesn't wait for such
	// shards. If nil, every shard is waited for.
	Hopeless func(planner.Shard) bool
	// NextAttempt returns an attempt ID that has never been used before.
	NextAttempt func() uint64
	// Pick selects a candidate that is not in excluded.
	Pick func(candidates []planner.Searcher, excluded []string) (string, bool)
	// Spend takes one extra attempt at a shard from the budget of its kind, and
	// reports false if that budget is exhausted.
	Spend func(shard string, extra Extra) bool
	// Replan returns the latest plan of the service.
	Replan func() (planner.Plan, bool)
}
