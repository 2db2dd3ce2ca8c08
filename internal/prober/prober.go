// Package prober implements the daemons' membership protocol as a state machine:
// random probing with indirect probes, suspicion and refutation (SWIM). Its cost
// per member does not depend on the number of members. It processes typed events
// with a timestamp and returns packets to send. It performs no I/O.
package prober

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// State is the state of a member.
type State uint32

// The states, in the order in which they override each other at one revision.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// The values of Packet.Kind; announcements outside the protocol have kind 0.
const (
	kindPing uint32 = iota + 1
	kindAck
	kindPingRequest
	kindGossip
)

const (
	// indirectProbes is the number of members that are sent a request to probe one
	// that did not acknowledge.
	indirectProbes = 3
	// maxUpdatesPerPacket is the maximum number of queued updates in a packet.
	maxUpdatesPerPacket = 12
	// randomRecords is the number of records of random members that a probe carries, so that
	// two members which missed the announcements of each other learn of each other.
	randomRecords = 2
	// pushTargets is the number of members that an urgent update is sent to at once.
	pushTargets = 4
	// retransmitFactor times the number of decimal digits of the member count is the
	// number of packets that carry an update.
	retransmitFactor = 4
	// deadProbePeriods is the number of periods between probes of a random dead or
	// departed member, so that the membership recovers after a partition, and whatever
	// the seeds of a member that returns are.
	deadProbePeriods = 5
	// returnTime is the time after its departure in which a member is probed more often,
	// by departing members too: most departures are restarts, and a process that has just
	// started may know no member that is alive.
	returnTime = 30 * time.Second
	// forgetTimeout is how long the record of a dead or departed member is kept.
	forgetTimeout = 10 * time.Minute
)

// Config holds the timing of a Machine.
type Config struct {
	Self *messenger.Member
	// Period is the time from one probe to the next.
	Period time.Duration
	// ProbeTimeout is the wait for an acknowledgment before indirect probes are sent;
	// less than Period.
	ProbeTimeout time.Duration
	// SuspectTimePerDoubling is multiplied by the bit length of the number of
	// members to get the time after which a suspect that has not refuted is
	// declared dead: refutations take longer to spread in a larger tier.
	SuspectTimePerDoubling time.Duration
	// MinSuspectTime is the lower bound of that time.
	MinSuspectTime time.Duration
	// CrossRegionEvery is the number of probe rounds of which one covers all
	// members; the others cover this daemon's region only. Below two, each round
	// covers all members. Probes between regions are expensive, and daemons in a
	// member's own region detect its failure sooner.
	CrossRegionEvery int
	Rand             *rand.Rand
}

// DefaultConfig returns the timing that daemons use.
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

// member is the view of one other daemon.
type member struct {
	record *messenger.Member
	// stateSince is when the record was last replaced.
	stateSince time.Time
}

// queuedUpdate is a record that is still to be disseminated.
type queuedUpdate struct {
	record *messenger.Member
	// transmitsLeft is how many more packets will carry it.
	transmitsLeft int
}

// relayedProbe is an indirect probe made on behalf of another member.
type relayedProbe struct {
	requester string
	sequence  uint64
	startedAt time.Time
}

// Machine is the membership state of one daemon. It is not safe for concurrent use.
type Machine struct {
	config  Config
	self    *messenger.Member
	members map[string]*member
	updates map[string]*queuedUpdate
	// probeOrder is the rest of the current round of members to probe, in shuffled
	// order.
	probeOrder []string

	roundCount int
	sequence   uint64
	// probeTarget is the member being probed; empty once it acknowledged.
	probeTarget    string
	probeSequence  uint64
	probeStartedAt time.Time
	indirectSent   bool
	nextPeriod     time.Time
	relayedProbes  map[uint64]relayedProbe
	periodCount    int
	left           bool
}

// New returns a machine whose only member is its own daemon.
func New(config Config) *Machine {
	m := &Machine{
		config:        config,
		self:          config.Self,
		members:       map[string]*member{},
		updates:       map[string]*queuedUpdate{},
		relayedProbes: map[uint64]relayedProbe{},
	}
	m.queueUpdate(m.self)
	return m
}

// Seed adds members from another source than gossip, such as the VM list. They
// count as alive until probes to them fail.
func (m *Machine) Seed(now time.Time, seeds []*messenger.Member) {
	for _, s := range seeds {
		if s.GetAddress() == m.self.GetAddress() || m.members[s.GetAddress()] != nil {
			continue
		}
		m.members[s.GetAddress()] = &member{record: s, stateSince: now}
	}
}

// Members returns all known records, including its own, sorted by address.
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
	if m.probeTarget != "" && !m.indirectSent {
		return m.probeStartedAt.Add(m.config.ProbeTimeout)
	}
	return m.nextPeriod
}

// Tick sends the probes and expires the states that are due at a time.
func (m *Machine) Tick(now time.Time) []Outgoing {
	if m.left {
		m.probeTarget = ""
		m.nextPeriod = now.Add(m.config.Period)
		// The announcement of the departure may have been lost.
		return append(m.Push(), m.pingReturning(now)...)
	}
	var out []Outgoing
	if m.probeTarget != "" && !m.indirectSent && !now.Before(m.probeStartedAt.Add(m.config.ProbeTimeout)) {
		m.indirectSent = true
		out = append(out, m.startIndirectProbes()...)
	}
	if now.Before(m.nextPeriod) {
		return out
	}
	wasPaused := now.Sub(m.nextPeriod) > m.config.Period/2
	m.nextPeriod = now.Add(m.config.Period)
	m.periodCount++
	if wasPaused {
		// This daemon did not run for a while: the acknowledgment may have arrived
		// and been dropped unread, so its absence does not indicate a failure.
		m.probeTarget = ""
	}
	m.endProbe(now)
	m.expireStates(now)
	return append(out, m.startProbes(now)...)
}

// endProbe marks the probed member as suspect if it did not acknowledge within the
// period.
func (m *Machine) endProbe(now time.Time) {
	probeTarget, ok := m.members[m.probeTarget]
	m.probeTarget = ""
	if !ok || state(probeTarget.record) != Alive {
		return
	}
	m.setRecord(now, probeTarget, withState(probeTarget.record, Suspect))
}

// expireStates declares suspects dead after the suspicion timeout, and drops records
// of dead and departed members and relayed probes that have expired.
func (m *Machine) expireStates(now time.Time) {
	suspectTime := max(m.config.MinSuspectTime, m.config.SuspectTimePerDoubling*time.Duration(bits.Len(uint(len(m.members)))))
	for address, other := range m.members {
		inState := now.Sub(other.stateSince)
		switch s := state(other.record); {
		case s == Suspect && inState >= suspectTime:
			m.setRecord(now, other, withState(other.record, Dead))
		case s >= Dead && inState >= forgetTimeout:
			delete(m.members, address)
		}
	}
	for sequence, r := range m.relayedProbes {
		if now.Sub(r.startedAt) > m.config.Period {
			delete(m.relayedProbes, sequence)
		}
	}
}

// Push returns packets that carry queued updates to a few members at once.
func (m *Machine) Push() []Outgoing {
	var out []Outgoing
	for _, to := range m.randomAlive(pushTargets, "") {
		out = append(out, m.newPacket(to, kindGossip, 0, ""))
	}
	return out
}

// Leave announces that this daemon stops, and the successor that took over its
// tickets.
func (m *Machine) Leave(successor string) []Outgoing {
	m.self = withState(m.self, Left)
	m.self.Revision++
	m.self.Successor = successor
	m.queueUpdate(m.self)
	m.left = true
	return m.Push()
}

// Receive merges the member records of a packet and returns the responses to it.
func (m *Machine) Receive(now time.Time, p *messenger.Packet) []Outgoing {
	if p.GetFrom() == m.self.GetAddress() {
		return nil
	}
	revision := m.self.GetRevision()
	for _, record := range p.GetMembers() {
		m.merge(now, record)
	}
	out := m.respond(now, p)
	if m.self.GetRevision() != revision {
		// A refutation is urgent: the suspicion is already spreading.
		out = append(out, m.Push()...)
	}
	return out
}

func (m *Machine) respond(now time.Time, p *messenger.Packet) []Outgoing {
	switch p.GetKind() {
	case kindPing:
		return []Outgoing{m.newPacket(p.GetFrom(), kindAck, p.GetSequence(), m.self.GetAddress())}
	case kindPingRequest:
		m.sequence++
		m.relayedProbes[m.sequence] = relayedProbe{requester: p.GetFrom(), sequence: p.GetSequence(), startedAt: now}
		return []Outgoing{m.newPacket(p.GetTarget(), kindPing, m.sequence, "")}
	case kindAck:
		return m.handleAck(p)
	default:
		return nil
	}
}

func (m *Machine) handleAck(p *messenger.Packet) []Outgoing {
	if r, ok := m.relayedProbes[p.GetSequence()]; ok {
		delete(m.relayedProbes, p.GetSequence())
		return []Outgoing{m.newPacket(r.requester, kindAck, r.sequence, p.GetTarget())}
	}
	if p.GetTarget() == m.probeTarget && p.GetSequence() == m.probeSequence {
		m.probeTarget = ""
	}
	return nil
}
