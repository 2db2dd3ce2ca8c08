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
	// PartialAnswerAt is the time from which the query ends as soon as the required
	// shards have answered. If it or RequiredShards is zero, it has no effect.
	PartialAnswerAt time.Time
	// Unavailable reports whether no searcher of a shard is likely to answer soon.
	// Once the required shards have answered, the query ends if all unanswered
	// shards are unavailable. If nil, no shard counts as unavailable.
	Unavailable func(planner.Shard) bool
	// NextAttempt returns an attempt ID that has never been used before.
	NextAttempt func() uint64
	// Pick selects a candidate that is not in excluded.
	Pick func(candidates []planner.Searcher, excluded []string) (string, bool)
	// SpendBudget charges one extra attempt at a shard to the budget of its kind. It
	// returns false if that budget is exhausted.
	SpendBudget func(shard string, extra ExtraKind) bool
	// Replan returns the latest plan of the service.
	Replan func() (planner.Plan, bool)
}
