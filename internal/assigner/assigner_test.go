package assigner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
)

func names(kind string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint(kind, i)
	}
	return out
}

func TestSplitStaysWithinTheLimit(t *testing.T) {
	is := is.New(t)
	for _, limit := range []int{1, 5, 55, 90, 100, 250} {
		for daemons := 1; daemons <= 600; daemons += 7 {
			b := assigner.SplitConnections(limit, daemons)
			is.True(b.Gateways >= 1 && b.Gateways <= daemons)
			is.True(b.PerGateway >= 1)
			is.True(b.Gateways*b.PerGateway <= limit)
		}
	}
	is.Equal(assigner.SplitConnections(90, 18), assigner.Budget{Gateways: 18, PerGateway: 4}) // today: all direct
	is.Equal(assigner.SplitConnections(55, 18), assigner.Budget{Gateways: 18, PerGateway: 2})
	is.Equal(assigner.SplitConnections(90, 520), assigner.Budget{Gateways: 18, PerGateway: 4})
}

// TestGroupsAreBalancedAndMoveLittle takes a failure domain of the size to
// design for, and a VM that leaves it.
func TestGroupsAreBalancedAndMoveLittle(t *testing.T) {
	is := is.New(t)
	daemons, searchers := names("d", 74), names("s", 486)
	before := assigner.New(daemons, searchers, 18)
	shuffled := slices.Clone(daemons)
	slices.Reverse(shuffled)
	same := assigner.New(shuffled, searchers, 18)
	after := assigner.New(daemons[:73], searchers, 18)
	perGroup := map[int]int{}
	moved := 0
	for _, s := range searchers {
		is.Equal(before.Gateways(s), same.Gateways(s))
		is.True(len(before.Gateways(s)) <= 18)
		is.True(len(before.Gateways(s)) >= 10)
		group, _ := before.Group(s)
		perGroup[group]++
		if other, _ := after.Group(s); other != group {
			moved++
		}
	}
	is.Equal(len(perGroup), 5)
	for _, n := range perGroup {
		is.True(n <= 98)
	}
	is.Equal(moved, 0) // searchers stay in their groups while the number of groups does
	is.Equal(assigner.New(nil, searchers, 18).Gateways("s1"), nil)
}
