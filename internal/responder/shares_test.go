package responder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/budgeter"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// TestDaemonsThatKnowNoOtherKeepTheRetryBudget guards against daemons that cannot find each
// other, and each spend the whole slack that all share.
func TestDaemonsThatKnowNoOtherKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	const daemons, requests = 15, 100
	bounds := platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 126, RetryBudgetWindow: 10 * time.Second}
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	// spend returns the extra requests of all daemons together.
	spend := func(state follower.State) int {
		extra := 0
		for range daemons {
			r := &Responder{budget: budgeter.New(budgetConfig(bounds), start, false), limiter: limiter.New(start)}
			r.ConfigureShares(bounds, &state)
			for range requests {
				r.budget.RecordRequest(now, "s")
			}
			for r.budget.Spend(now, "s") {
				extra++
			}
		}
		return extra
	}
	is := is.New(t)
	allowed := int(bounds.RetryBudgetRatio*daemons*requests + bounds.RetryBudgetSlack)
	alone := spend(follower.State{Daemons: 1})
	is.True(alone > 0)
	is.True(alone <= allowed)
	joined := spend(follower.State{Daemons: daemons, Joined: true})
	is.True(joined > alone)
	is.True(joined <= allowed)
}
