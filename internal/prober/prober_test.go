package prober_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

var start = time.Unix(1000, 0)

// cluster runs state machines in simulated time over a network that may lose packets.
type cluster struct {
	now      time.Time
	machines []*prober.Machine
	indexes  map[string]int
	// silent members neither receive nor send packets.
	silent map[int]bool
	loss   float64
	rng    *rand.Rand
	// packets and bytes count the packets sent, with 28 bytes of UDP and IP headers
	// for each.
	packets, bytes int
}

const headerBytes = 28

func newCluster(n int, loss float64, seed uint64) *cluster {
	c := &cluster{now: start, indexes: map[string]int{}, silent: map[int]bool{}, loss: loss, rng: rand.New(rand.NewPCG(seed, 0))}
	var all []*messenger.Member
	for i := range n {
		self := &messenger.Member{Address: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256), Incarnation: fmt.Sprintf("10.0.%d.%d:7001/%016x", i/256, i%256, i), Revision: 1_764_000_000_000, FailureDomain: "a", Region: "r"}
		all = append(all, self)
		c.indexes[self.GetAddress()] = i
	}
	for i, self := range all {
		m := prober.New(prober.DefaultConfig(proto.Clone(self).(*messenger.Member), rand.New(rand.NewPCG(seed, uint64(i)+1))))
		m.Seed(start, all)
		c.machines = append(c.machines, m)
	}
	return c
}

func (c *cluster) deliver(out []prober.Outgoing) {
	for len(out) > 0 {
		p := out[0]
		out = out[1:]
		c.packets++
		c.bytes += headerBytes + proto.Size(p.Packet)
		from, to := c.indexes[p.Packet.GetFrom()], c.indexes[p.To]
		if c.silent[from] || c.silent[to] || c.rng.Float64() < c.loss {
			continue
		}
		out = append(out, c.machines[to].Receive(c.now, p.Packet)...)
	}
}

// run advances the time in small steps until the condition is true or the span is
// over, and returns the time that passed.
func (c *cluster) run(span time.Duration, condition func() bool) time.Duration {
	const step = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		if condition != nil && condition() {
			return elapsed
		}
		c.now = c.now.Add(step)
		for i, m := range c.machines {
			if !c.silent[i] && !c.now.Before(m.NextTick()) {
				c.deliver(m.Tick(c.now))
			}
		}
	}
	return span
}

// countViews returns how many of the other members see a member in a state.
func (c *cluster) countViews(target int, s prober.State) int {
	n := 0
	for i, m := range c.machines {
		if i == target || c.silent[i] {
			continue
		}
		for _, record := range m.Members() {
			if c.indexes[record.GetAddress()] == target && prober.StateOf(record) == s {
				n++
			}
		}
	}
	return n
}

// wronglyDead counts the pairs of a member that is not silent and a member that it
// considers dead. Callers use it while no member is silent.
func (c *cluster) wronglyDead() int {
	n := 0
	for i, m := range c.machines {
		for _, record := range m.Members() {
			if !c.silent[i] && prober.StateOf(record) == prober.Dead {
				n++
			}
		}
	}
	return n
}

func TestSilentMemberIsDeclaredDeadAndRecovers(t *testing.T) {
	is := is.New(t)
	c := newCluster(16, 0, 1)
	c.run(5*time.Second, nil)
	c.silent[3] = true
	c.run(time.Minute, func() bool { return c.countViews(3, prober.Dead) == 15 })
	is.Equal(c.countViews(3, prober.Dead), 15)
	c.silent[3] = false
	c.run(2*time.Minute, func() bool { return c.countViews(3, prober.Alive) == 15 })
	is.Equal(c.countViews(3, prober.Alive), 15) // member 3 refuted its death
}

func TestLeaveAndSuccessorReachAllMembers(t *testing.T) {
	is := is.New(t)
	c := newCluster(16, 0, 2)
	c.run(5*time.Second, nil)
	c.deliver(c.machines[5].Leave("10.0.0.1:7001"))
	c.silent[5] = true
	c.run(time.Minute, func() bool { return c.countViews(5, prober.Left) == 15 })
	is.Equal(c.countViews(5, prober.Left), 15)
	m := c.machines[5]
	m.Tick(c.now)
	is.True(m.NextTick().After(c.now)) // a member that left must not stay due
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	is := is.New(t)
	c := newCluster(74, 0.05, 3)
	wronglyDead := 0
	for range 60 {
		c.run(time.Second, nil)
		wronglyDead += c.wronglyDead()
	}
	is.Equal(wronglyDead, 0)
}

func TestPartitionedMembersRecover(t *testing.T) {
	is := is.New(t)
	c := newCluster(16, 0, 4)
	c.run(5*time.Second, nil)
	for i := range 5 {
		c.silent[i] = true // isolated from all others
	}
	c.run(30*time.Second, nil)
	for i := range 5 {
		is.Equal(c.countViews(i, prober.Dead), 11)
		c.silent[i] = false
	}
	recovered := func() bool {
		for i := range 5 {
			if c.countViews(i, prober.Alive) != 15 {
				return false
			}
		}
		return true
	}
	c.run(3*time.Minute, recovered)
	is.True(recovered())
}

// countOwn returns how many records of itself a member lists.
func (c *cluster) countOwn(member int) int {
	n := 0
	for _, record := range c.machines[member].Members() {
		if index, ok := c.indexes[record.GetAddress()]; ok && index == member {
			n++
		}
	}
	return n
}

// FuzzReceive checks that a machine does not panic on packets of any content, and
// that none of them makes it forget itself.
func FuzzReceive(f *testing.F) {
	sample, _ := proto.Marshal(&messenger.Packet{Kind: 1, From: "10.0.0.2:7001", Members: []*messenger.Member{{Address: "10.0.0.1:7001", State: 2, Revision: 1 << 60}}})
	f.Add(sample)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		packet := &messenger.Packet{}
		if proto.Unmarshal(data, packet) != nil {
			return
		}
		c := newCluster(3, 0, 1)
		c.machines[0].Receive(c.now, packet)
		c.machines[0].Tick(c.now.Add(time.Second))
		if c.countOwn(0) != 1 {
			t.Fatal("the machine does not list its own record exactly once")
		}
	})
}

// TestMembersThatMissedEachOtherAreFound guards against two members that missed the
// announcements of each other: neither probes the other, and no announcement follows.
func TestMembersThatMissedEachOtherAreFound(t *testing.T) {
	for _, size := range []int{4, 18, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				c := newCluster(size, 0.02, seed)
				var records [2]*messenger.Member
				var others []*messenger.Member
				for _, record := range c.machines[0].Members() {
					if index := c.indexes[record.GetAddress()]; index < 2 {
						records[index] = record
					} else {
						others = append(others, record)
					}
				}
				for n, self := range records {
					c.machines[n] = prober.New(prober.DefaultConfig(self, rand.New(rand.NewPCG(seed, uint64(n)))))
					c.machines[n].Seed(start, others)
				}
				found := func() bool { return c.countViews(0, prober.Alive) == size-1 && c.countViews(1, prober.Alive) == size-1 }
				// A record comes with one of size/randomRecords probes, of which there is one a second.
				c.run(10*time.Duration(size)*time.Second, found)
				is.True(found())
			}
		})
	}
}

// loseFirst silences the first n members for good and returns their addresses, as seeds.
func (c *cluster) loseFirst(n int) []*messenger.Member {
	seeds := make([]*messenger.Member, n)
	for address, index := range c.indexes {
		if index < n {
			seeds[index] = &messenger.Member{Address: address}
			c.silent[index] = true
		}
	}
	return seeds
}

// restart replaces a machine by one that knows nothing but the seeds.
func (c *cluster) restart(target int, seeds []*messenger.Member) {
	var self *messenger.Member
	for _, record := range c.machines[target].Members() {
		if c.indexes[record.GetAddress()] == target {
			self = &messenger.Member{
				Address: record.GetAddress(), Incarnation: record.GetIncarnation() + "+", Revision: uint64(c.now.UnixMilli()),
				FailureDomain: record.GetFailureDomain(), Region: record.GetRegion(),
			}
		}
	}
	c.machines[target] = prober.New(prober.DefaultConfig(self, rand.New(rand.NewPCG(uint64(c.now.UnixMilli()), uint64(target)))))
	c.machines[target].Seed(c.now, seeds)
	c.silent[target] = false
}

// TestRestartedMembersAreFoundWithoutSeeds guards against members that are restarted in turn
// while all seeds are gone, and stay alone: each knows only the seeds, and the members that
// remained looked for dead members but not for those that had left.
func TestRestartedMembersAreFoundWithoutSeeds(t *testing.T) {
	const (
		seedCount = 3
		// A member that leaves still runs for leavingTime; then it is gone for downTime.
		leavingTime = 2700 * time.Millisecond
		downTime    = 300 * time.Millisecond
		// found is the time after the last restart in which all must know each other: shared
		// limits go by the greatest number of members of that time.
		found = 45 * time.Second
		runs  = 20
	)
	for _, size := range []int{5, 9, 18} {
		for _, gap := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d members, gap of %s", size, gap), func(t *testing.T) {
				for seed := range uint64(runs) {
					c := newCluster(size, 0.02, seed)
					c.run(5*time.Second, nil)
					seeds := c.loseFirst(seedCount)
					for n := seedCount; n < size; n++ {
						c.deliver(c.machines[n].Leave(""))
						c.run(leavingTime, nil)
						c.silent[n] = true
						c.run(downTime, nil)
						c.restart(n, seeds)
						c.run(gap, nil)
					}
					allKnown := func() bool {
						for n := seedCount; n < size; n++ {
							if c.countViews(n, prober.Alive) != size-seedCount-1 {
								return false
							}
						}
						return true
					}
					c.run(found, allKnown)
					if !allKnown() {
						t.Error("seed", seed)
					}
				}
			})
		}
	}
}
