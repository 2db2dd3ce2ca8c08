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
	// AtMostOnce forbids a further attempt after one that may have run.
	AtMostOnce bool
	// RequiredShards is the number of shards that an answer must contain. A query that
	// can no longer reach it ends at once. Zero means that any answer is accepted.
	RequiredShards int
	// PartialAnswerAt is the time from which an answer with the required shards is
	// returned without waiting for the others. Zero means never.
	PartialAnswerAt time.Time
	// Unavailable reports whether no searcher of a shard is likely to answer soon.
	// After the required shards have answered, the query does not wait for such
	// shards. If nil, every shard is waited for.
	Unavailable func(planner.Shard) bool
	// NextAttempt returns an attempt ID that has never been used before.
	NextAttempt func() uint64
	// Pick selects a candidate that is not in excluded.
	Pick func(candidates []planner.Searcher, excluded []string) (string, bool)
	// SpendBudget takes one extra attempt at a shard from the budget of its kind, and
	// reports false if that budget is exhausted.
	SpendBudget func(shard string, extra ExtraKind) bool
	// Replan returns the latest plan of the service.
	Replan func() (planner.Plan, bool)
}
