package daemon

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// mergedAnswer builds the caller's answer from the shard results received so far.
func (r *queryRunner) mergedAnswer(started time.Time) caller.Answer {
	merged := r.query.Answer()
	out := caller.Answer{
		RequestID:     r.id,
		Outcome:       caller.OutcomeAnswered,
		Service:       r.service,
		Class:         r.class.Name,
		Snapshot:      merged.Snapshot,
		Coverage:      coverageOf(merged),
		ShardRequests: merged.Sent,
		ExtraRequests: merged.Extra,
	}
	var unreadable int
	out.Hits, unreadable = mergeHits(merged.ShardHits)
	out.Coverage = subtractUnreadable(out.Coverage, unreadable)
	if out.Coverage.Answered == 0 {
		out.Outcome = caller.OutcomeNotRun
		if merged.MayHaveRun {
			out.Outcome = caller.OutcomeUnknown
		}
	}
	out.ElapsedMillis = float64(time.Since(started).Microseconds()) / 1000
	return out
}

func coverageOf(a gatherer.Answer) caller.Coverage {
	c := caller.Coverage{Known: true, Shards: a.Shards, Answered: a.Answered, Fraction: float64(a.Answered) / float64(a.Shards)}
	for shard, reason := range a.Missing {
		if c.Missing == nil {
			c.Missing = map[string]string{}
		}
		c.Missing[shard] = string(reason)
	}
	return c
}

// subtractUnreadable reduces a coverage by the shard results whose hits could
// not be decoded.
func subtractUnreadable(c caller.Coverage, unreadable int) caller.Coverage {
	c.Answered -= unreadable
	c.Fraction = float64(c.Answered) / float64(c.Shards)
	return c
}

// mergeHits returns the hits of all shards with the highest scores, at most
// maxHits, and the number of shard results that could not be decoded.
func mergeHits(parts [][]byte) (hits []caller.Hit, unreadable int) {
	hits = []caller.Hit{}
	for _, part := range parts {
		var partHits []caller.Hit
		if err := json.Unmarshal(part, &partHits); err != nil {
			unreadable++
			continue
		}
		hits = append(hits, partHits...)
	}
	slices.SortFunc(hits, func(a, b caller.Hit) int {
		switch {
		case a.Score != b.Score && a.Score > b.Score:
			return -1
		case a.Score != b.Score:
			return 1
		case a.ID < b.ID:
			return -1
		default:
			return 1
		}
	})
	return hits[:min(maxHits, len(hits))], unreadable
}

// hasKind reports whether err is, or wraps, an error with one of the given kinds.
func hasKind[K ~string](err error, kinds ...K) bool {
	var typed *failer.Error[K]
	return errors.As(err, &typed) && slices.Contains(kinds, typed.Kind)
}
