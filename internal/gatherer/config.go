package gatherer

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Config is what a query needs from its surroundings.
type Config struct {
	RequestID string
	Plan      planner.Plan
	Class     declarer.Class
	// Deadline is when the answer must be given.
	Deadline time.Time
	// HedgeDelay is how long to wait before a second attempt; zero turns hedging off.
	HedgeDelay time.Duration
	// MaxSearchers is how many searchers a shard's request may be sent to; zero
	// leaves maxAttemptsPerShard attempts.
	MaxSearchers int
	// AtMostOnce forbids another attempt after one that may have run.
	AtMostOnce bool
	// RequiredShards is how many shards an answer must have. A query that cannot get them
	// any more ends at once; zero means that any answer will do.
	RequiredShards int
	// PartialAnswerAt is when an answer with the needed shards is given without waiting
	// for the others; zero means never.
	PartialAnswerAt time.Time
	// Unavailable reports whether no searcher of a shard is likely to answer soon; nil
	// means that there is always hope. An answer with the needed shards does not
	// wait for shards without.
	Unavailable func(planner.Shard) bool
	// NextAttempt returns an attempt id that was never used before.
	NextAttempt func() uint64
	// Pick chooses a replica that is not excluded.
	Pick func(candidates []planner.Searcher, excluded []string) (string, bool)
	// TakeBudget takes one further attempt at a shard from the budget of its kind.
	TakeBudget func(shard string, extra ExtraKind) bool
	// Replan returns the newest plan of the service.
	Replan func() (planner.Plan, bool)
}
