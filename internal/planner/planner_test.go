package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// newTier returns the inputs of a tier with the given number of searchers, in
// services of 190 shards with 3 replicas each.
func newTier(searchers int) (declarer.Declarations, declarer.Indexes, []declarer.VM) {
	const shards, replicas = 190, 3
	d := declarer.Declarations{}
	x := declarer.Indexes{Services: map[string]declarer.Snapshot{}}
	var vms []declarer.VM
	for n := 0; len(vms) < searchers; n++ {
		name := fmt.Sprint("service-", n)
		d.Services = append(d.Services, declarer.Service{Name: name, Selector: "app=" + name, ConnectionLimit: 90, Slots: 5})
		snapshot := declarer.Snapshot{Name: "v1"}
		for s := range shards {
			shard := fmt.Sprint("s", s)
			snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{Name: shard, Selector: "shard=" + shard})
			for r := range replicas {
				vms = append(vms, declarer.VM{Name: fmt.Sprint(name, "-", s, "-", r), Address: fmt.Sprintf("10.%d.%d.%d:9100", n, s, r), FailureDomain: fmt.Sprint("d", r), Region: "r", State: declarer.VMLive, Labels: map[string]string{"app": name, "shard": shard}})
			}
		}
		x.Services[name] = snapshot
	}
	return d, x, vms[:searchers]
}

func TestPlanCoversWholePartitionMap(t *testing.T) {
	is := is.New(t)
	d, x, vms := newTier(570)
	d.VMLabels = map[string]map[string]string{vms[0].Name: {"shard": "s1"}}
	vms[3].State = declarer.VMLeaving
	v := planner.New().WithDeclarations(d).WithIndexes(x).WithVMs(vms)
	plan, err := v.Plan("service-0")
	is.NoErr(err)
	is.Equal(len(plan.Shards), 190)
	is.Equal(len(plan.Shards[0].Candidates), 2) // one is relabelled to shard s1
	is.Equal(len(plan.Shards[1].Candidates), 3) // which gains it and lacks a leaving VM
	is.Equal(len(planner.New().WithDeclarations(d).WithIndexes(x).Plans()["service-0"].Shards), 190)
	is.Equal(plan.ShardFor("order-7").Name, plan.ShardFor("order-7").Name)

	_, err = planner.New().WithDeclarations(d).Plan("service-0")
	is.True(failer.Is(err, planner.KindUnknownSnapshot))
	_, err = v.Plan("another")
	is.True(failer.Is(err, planner.KindUnknownService))
	_, err = v.Class("another")
	is.True(failer.Is(err, planner.KindUnknownClass))
}

// BenchmarkView compiles views up to the maximum design size, as every daemon does
// after each change.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{340, 3400} {
		b.Run(fmt.Sprintf("searchers=%d", n), func(b *testing.B) {
			d, x, vms := newTier(n)
			b.ReportAllocs()
			for b.Loop() {
				planner.New().WithDeclarations(d).WithIndexes(x).WithVMs(vms)
			}
		})
	}
}
