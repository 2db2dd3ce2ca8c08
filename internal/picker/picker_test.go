package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

var (
	start = time.Unix(1000, 0)
	anyOf = declarer.TrafficRule{Locality: declarer.LocalityAny}
	near  = planner.Searcher{Address: "near", FailureDomain: "a", Region: "r"}
	far   = planner.Searcher{Address: "far", FailureDomain: "b", Region: "r"}
	other = planner.Searcher{Address: "other", FailureDomain: "c", Region: "s"}
	all   = []planner.Searcher{near, far, other}
)

func newPicker() *picker.Picker {
	p := picker.New(picker.Config{FailureDomain: "a", Region: "r", Policy: picker.PolicyLoadAware, Rand: rand.New(rand.NewPCG(1, 1))})
	p.RecordDomainSync(start, "b")
	p.RecordDomainSync(start, "c")
	return p
}

func pick(p *picker.Picker, now time.Time, rule declarer.TrafficRule) string {
	address, _ := p.Pick(now, rule, all, nil)
	p.Release(address)
	return address
}

func TestPickPrefersNearReplicaUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	is.Equal(pick(p, start, anyOf), "near")
	for range 20 {
		p.RecordReply(start, "near", 20*time.Millisecond, framer.Load{Slots: 2, InFlight: 2, Queued: 6})
	}
	is.Equal(pick(p, start, anyOf), "far")
	is.Equal(pick(p, start.Add(2*time.Second), anyOf), "near") // the load report has expired
}

func TestPickRespectsLocality(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	_, ok := p.Pick(start, declarer.TrafficRule{Locality: declarer.LocalityFailureDomain}, all, []string{"near"})
	is.True(!ok)
	address, ok := p.Pick(start, declarer.TrafficRule{Locality: declarer.LocalityRegion}, all, []string{"near"})
	is.True(ok)
	is.Equal(address, "far")
}

func TestEjectionKeepsLastReplica(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	for _, s := range all {
		for range 3 {
			p.RecordFailure(start, s.Address)
		}
	}
	_, ok := p.Pick(start, anyOf, all, nil)
	is.True(ok)
	p.RecordReply(start, "near", time.Millisecond, framer.Load{Slots: 1})
	for range 3 {
		p.RecordFailure(start, "near")
	}
	is.True(pick(p, start.Add(1100*time.Millisecond), anyOf) != "")
}

func TestDrainingServerIsNeverPicked(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	is.True(p.MarkDraining(start, "near"))
	is.True(!p.MarkDraining(start, "near")) // already marked
	p.Forget(start, nil)                    // an outdated server list may contain it again
	_, ok := p.Pick(start, anyOf, []planner.Searcher{near}, nil)
	is.True(!ok)
}

func TestStaleDomainIsLastResort(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	now := start.Add(10 * time.Second)
	p.RecordDomainSync(now, "c")
	address, _ := p.Pick(now, anyOf, all, []string{"near"})
	is.Equal(address, "other") // b has had no recent sync
}

func TestHedgesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	h := hedger.New(0.98, 0.02)
	spent := 0
	for range 100_000 {
		h.RecordFirstAttempts(1)
		if h.Spend() {
			spent++
		}
	}
	is.True(spent <= 2050) // 2% and the initial burst
	for range 2000 {
		h.RecordLatency(time.Millisecond, true)
	}
	spent = 0
	for range 100_000 {
		h.RecordFirstAttempts(1)
		if h.Spend() {
			spent++
		}
	}
	is.True(spent < 300) // a tenth of the refill if every reply reports a queue
}

// TestLeavingServerIsNotUsedWhileItIsListed guards against a leaving server that is used
// again because the mark of its announcement ran out before its registration did.
func TestLeavingServerIsNotUsedWhileItIsListed(t *testing.T) {
	is := is.New(t)
	const address, listedFor, ttl = "1", time.Hour, 10 * time.Minute
	p := newPicker()
	is.True(p.MarkLeaving(start, address))
	is.True(!p.MarkLeaving(start.Add(time.Second), address))
	now := start
	for ; now.Before(start.Add(listedFor)); now = now.Add(time.Minute) {
		p.Forget(now, map[string]bool{address: true})
		is.True(p.IsDraining(now, address))
	}
	unlisted := now
	for ; now.Before(unlisted.Add(ttl - time.Minute)); now = now.Add(time.Minute) {
		p.Forget(now, nil)
		is.True(p.IsDraining(now, address))
	}
	p.Forget(unlisted.Add(2*ttl), nil)
	is.True(!p.IsDraining(unlisted.Add(2*ttl), address))
}
