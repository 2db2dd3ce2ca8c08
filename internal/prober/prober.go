// Package prober is the membership state machine of daemons: random probing
// with indirect probes, suspicion and self-refutation (SWIM). Its cost per
// member does not depend on the number of members. It takes typed events with
// a time and returns packets to send; it does no input or output.
package prober

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// State is what is thought of a member.
type State uint32

// The states, in the order in which they override each other at one revision.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// The kinds of packets.
const (
	kindPing uint32 = iota + 1
	kindAck
	kindPingRequest
	kindGossip
)

const (
	// indirectProbes is how many members are asked to probe one that is silent.
	indirectProbes = 3
	// piggyback is how many member records a packet carries.
	piggyback = 12
	// pushFanout is how many members an urgent change is pushed to.
	pushFanout = 4
	// retransmitFactor times the decimal digits of the number of members is how
	// often a record is passed on.
	retransmitFactor = 4
	// revivePeriods is how often, in periods, a member held dead is probed, so that a cut heals.
	revivePeriods = 5
	// forgetAfter is how long a member that died or left is remembered.
	forgetAfter = 10 * time.Minute
)

// Config is the timing of a machine.
type Config struct {
	Self *messenger.Member
	// Period is the time from one probe to the next.
	Period time.Duration
	// ProbeTimeout is the wait for an answer before others are asked; below Period.
	ProbeTimeout time.Duration
	// SuspectTimePerDoubling is how long a suspect may refute before it is held dead, for
	// each doubling of the number of members: word of the refutation takes
	// longer in a larger tier.
	SuspectTimePerDoubling time.Duration
	// MinSuspectTime is the least such time.
	MinSuspectTime time.Duration
	// CrossRegionEvery is how many rounds over the members of this daemon's region pass for
	// one that includes the others; below two, each round includes all. Probes
	// between regions are dear, and those there find out sooner.
	CrossRegionEvery int
	Rand             *rand.Rand
}

// DefaultConfig returns the timing that daemons run with.
func DefaultConfig(self *messenger.Member, rng *rand.Rand) Config {
	return Config{
		Self:                   self,
		Period:                 time.Second,
		ProbeTimeout:           300 * time.Millisecond,
		SuspectTimePerDoubling: 900 * time.Millisecond,
		MinSuspectTime:         3 * time.Second,
		Rand:                   rng,
	}
}

// Outgoing is a packet to send.
type Outgoing struct {
	To     string
	Packet *messenger.Packet
}

// member is what is known of one other daemon.
type member struct {
	record *messenger.Member
	// since is when the state was taken.
	since time.Time
}

// update is a record that is still to be passed on.
type update struct {
	record *messenger.Member
	// left is how many more packets carry it.
	left int
}

// relayed is a probe made for another member.
type relayed struct {
	from     string
	sequence uint64
	at       time.Time
}

// Machine is the membership state of one daemon. It is not safe for concurrent use.
type Machine struct {
	config  Config
	self    *messenger.Member
	members map[string]*member
	updates map[string]*update
	// order is the shuffled round of members to probe next.
	order []string
	// rounds counts the rounds.
	rounds   int
	sequence uint64
	// target is the member being probed, empty once it answered.
	target        string
	targetSeq     uint64
	probedAt      time.Time
	askedIndirect bool
	nextPeriod    time.Time
	relays        map[uint64]relayed
	periods       int
	left          bool
}

// New returns a machine that knows only itself.
func New(config Config) *Machine {
	m := &Machine{
		config:  config,
		self:    config.Self,
		members: map[string]*member{},
		updates: map[string]*update{},
		relays:  map[uint64]relayed{},
	}
	m.pass(m.self)
	return m
}

// Seed adds members that a hint, such as the VM list, names. They count as
// alive until probing shows otherwise.
func (m *Machine) Seed(now time.Time, seeds []*messenger.Member) {
	for _, s := range seeds {
		if s.GetAddress() == m.self.GetAddress() || m.members[s.GetAddress()] != nil {
			continue
		}
		m.members[s.GetAddress()] = &member{record: s, since: now}
	}
}

// Members returns every record that is known, itself included, sorted by address.
func (m *Machine) Members() []*messenger.Member {
	out := []*messenger.Member{m.self}
	for _, other := range m.members {
		out = append(out, other.record)
	}
	slices.SortFunc(out, func(a, b *messenger.Member) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return out
}

// NextTick returns when Tick is due next.
func (m *Machine) NextTick() time.Time {
	if m.target != "" && !m.askedIndirect {
		return m.probedAt.Add(m.config.ProbeTimeout)
	}
	return m.nextPeriod
}

// Tick takes the passing of time.
func (m *Machine) Tick(now time.Time) []Outgoing {
	if m.left {
		m.target = ""
		m.nextPeriod = now.Add(m.config.Period)
		return nil
	}
	var out []Outgoing
	if m.target != "" && !m.askedIndirect && !now.Before(m.probedAt.Add(m.config.ProbeTimeout)) {
		m.askedIndirect = true
		out = append(out, m.askOthers()...)
	}
	if now.Before(m.nextPeriod) {
		return out
	}
	late := now.Sub(m.nextPeriod) > m.config.Period/2
	m.nextPeriod = now.Add(m.config.Period)
	m.periods++
	if late {
		// This daemon was paused: the answer may have come and gone unread.
		m.target = ""
	}
	m.endProbe(now)
	m.age(now)
	return append(out, m.startProbes(now)...)
}

// endProbe suspects the member that did not answer in its period.
func (m *Machine) endProbe(now time.Time) {
	target, ok := m.members[m.target]
	m.target = ""
	if !ok || state(target.record) != Alive {
		return
	}
	m.set(now, target, withState(target.record, Suspect))
}

// age ends suspicions and forgets members long gone.
func (m *Machine) age(now time.Time) {
	suspectTime := max(m.config.MinSuspectTime, m.config.SuspectTimePerDoubling*time.Duration(bits.Len(uint(len(m.members)))))
	for address, other := range m.members {
		in := now.Sub(other.since)
		switch s := state(other.record); {
		case s == Suspect && in >= suspectTime:
			m.set(now, other, withState(other.record, Dead))
		case s >= Dead && in >= forgetAfter:
			delete(m.members, address)
		}
	}
	for sequence, r := range m.relays {
		if now.Sub(r.at) > m.config.Period {
			delete(m.relays, sequence)
		}
	}
}

func (m *Machine) startProbes(now time.Time) []Outgoing {
	var out []Outgoing
	if target, ok := m.nextTarget(); ok {
		m.sequence++
		m.target, m.targetSeq, m.probedAt, m.askedIndirect = target, m.sequence, now, false
		out = append(out, m.packet(target, kindPing, m.sequence, ""))
	}
	if m.periods%revivePeriods != 0 {
		return out
	}
	if dead := m.addresses(func(s State) bool { return s == Dead }); len(dead) > 0 {
		m.sequence++
		out = append(out, m.packet(dead[m.config.Rand.IntN(len(dead))], kindPing, m.sequence, ""))
	}
	return out
}

// nextTarget returns the next member of a shuffled round over all that may be alive.
func (m *Machine) nextTarget() (string, bool) {
	for range 2 {
		for len(m.order) > 0 {
			address := m.order[0]
			m.order = m.order[1:]
			if other, ok := m.members[address]; ok && state(other.record) <= Suspect {
				return address, true
			}
		}
		m.order = m.nextRound()
		m.config.Rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return "", false
}

// nextRound returns the members to probe next.
func (m *Machine) nextRound() []string {
	round := m.addresses(func(s State) bool { return s <= Suspect })
	m.rounds++
	if m.config.CrossRegionEvery < 2 || m.rounds%m.config.CrossRegionEvery == 0 {
		return round
	}
	near := slices.DeleteFunc(slices.Clone(round), func(address string) bool {
		region := m.members[address].record.GetRegion()
		return region != "" && region != m.self.GetRegion()
	})
	if len(near) == 0 {
		return round
	}
	return near
}

// addresses returns the members whose state is wanted, sorted so that a seed decides all.
func (m *Machine) addresses(wanted func(State) bool) []string {
	var out []string
	for address, other := range m.members {
		if wanted(state(other.record)) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Machine) askOthers() []Outgoing {
	var out []Outgoing
	for _, helper := range m.random(indirectProbes, m.target) {
		out = append(out, m.packet(helper, kindPingRequest, m.targetSeq, m.target))
	}
	return out
}

// random returns up to n members held alive, without one.
func (m *Machine) random(n int, without string) []string {
	alive := m.addresses(func(s State) bool { return s == Alive })
	alive = slices.DeleteFunc(alive, func(a string) bool { return a == without })
	m.config.Rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// Push returns packets that carry urgent changes to a few members at once.
func (m *Machine) Push() []Outgoing {
	var out []Outgoing
	for _, to := range m.random(pushFanout, "") {
		out = append(out, m.packet(to, kindGossip, 0, ""))
	}
	return out
}

// Leave announces that this daemon stops and who took over its tickets.
func (m *Machine) Leave(successor string) []Outgoing {
	m.self = withState(m.self, Left)
	m.self.Revision++
	m.self.Successor = successor
	m.pass(m.self)
	m.left = true
	return m.Push()
}

// Receive takes a packet.
func (m *Machine) Receive(now time.Time, p *messenger.Packet) []Outgoing {
	if p.GetFrom() == m.self.GetAddress() {
		return nil
	}
	revision := m.self.GetRevision()
	for _, record := range p.GetMembers() {
		m.merge(now, record)
	}
	out := m.answer(now, p)
	if m.self.GetRevision() != revision {
		// A refutation is urgent: the suspicion is on its way to everybody.
		out = append(out, m.Push()...)
	}
	return out
}

func (m *Machine) answer(now time.Time, p *messenger.Packet) []Outgoing {
	switch p.GetKind() {
	case kindPing:
		return []Outgoing{m.packet(p.GetFrom(), kindAck, p.GetSequence(), m.self.GetAddress())}
	case kindPingRequest:
		m.sequence++
		m.relays[m.sequence] = relayed{from: p.GetFrom(), sequence: p.GetSequence(), at: now}
		return []Outgoing{m.packet(p.GetTarget(), kindPing, m.sequence, "")}
	case kindAck:
		return m.acknowledged(p)
	default:
		return nil
	}
}

func (m *Machine) acknowledged(p *messenger.Packet) []Outgoing {
	if r, ok := m.relays[p.GetSequence()]; ok {
		delete(m.relays, p.GetSequence())
		return []Outgoing{m.packet(r.from, kindAck, r.sequence, p.GetTarget())}
	}
	if p.GetTarget() == m.target && p.GetSequence() == m.targetSeq {
		m.target = ""
	}
	return nil
}
