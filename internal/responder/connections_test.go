package responder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// TestSubsetFollowsConnectionLimits guards against a daemon that goes on connecting to the
// searchers that an earlier configuration's connection limits allowed, until the number
// of daemons or the list of searchers changes.
func TestSubsetFollowsConnectionLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	state := largeTierState()
	spare := func(r *Responder) (n int) {
		for _, s := range r.subsetFor(state).searchers["shard"] {
			if s.Spare {
				n++
			}
		}
		return n
	}
	r := &Responder{}
	is.Equal(spare(r), 1)
	next := *state
	next.Table = planner.Compile(planner.Configuration{Version: 2, Services: map[string]planner.Service{"shard": {MaxConnections: 100 * state.Daemons}}})
	state = &next
	is.Equal(spare(r), 0)
}
