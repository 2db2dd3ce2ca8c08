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

// answer merges the parts into what the caller gets.
func (r *runner) answer(started time.Time) caller.Answer {
	a := r.query.Answer()
	out := caller.Answer{
		RequestID:     r.id,
		Outcome:       caller.OutcomeAnswered,
		Service:       r.service,
		Class:         r.class.Name,
		Snapshot:      a.Snapshot,
		Coverage:      coverageOf(a),
		ShardRequests: a.Sent,
		ExtraRequests: a.Extra,
	}
	var bad int
	out.Hits, bad = merge(a.ShardHits)
	out.Coverage = withoutParts(out.Coverage, bad)
	if out.Coverage.Answered == 0 {
		out.Outcome = caller.OutcomeNotRun
		if a.MayHaveRun {
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

// withoutParts takes parts whose hits could not be read out of a coverage.
func withoutParts(c caller.Coverage, bad int) caller.Coverage {
	c.Answered -= bad
	c.Fraction = float64(c.Answered) / float64(c.Shards)
	return c
}

// merge returns the best hits of all parts and how many parts could not be read.
func merge(parts [][]byte) (hits []caller.Hit, bad int) {
	hits = []caller.Hit{}
	for _, part := range parts {
		var some []caller.Hit
		if err := json.Unmarshal(part, &some); err != nil {
			bad++
			continue
		}
		hits = append(hits, some...)
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
	return hits[:min(maxHits, len(hits))], bad
}

// kindIs reports whether an error has one of the kinds of its package.
func kindIs[K ~string](err error, kinds ...K) bool {
	var e *failer.Error[K]
	return errors.As(err, &e) && slices.Contains(kinds, e.Kind)
}
