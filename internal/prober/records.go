package prober

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// merge takes a record if it overrides what is known.
func (m *Machine) merge(now time.Time, record *messenger.Member) {
	if record.GetAddress() == m.self.GetAddress() {
		m.refute(record)
		return
	}
	known, ok := m.members[record.GetAddress()]
	if !ok {
		if state(record) >= Dead && record.GetSuccessor() == "" {
			return
		}
		known = &member{record: &messenger.Member{Address: record.GetAddress()}}
		m.members[record.GetAddress()] = known
		m.set(now, known, record)
		return
	}
	switch {
	case overrides(record, known.record):
		m.set(now, known, record)
	case state(record) == Alive && record.GetIncarnation() != known.record.GetIncarnation():
		// A new process at a known address must hear what its revision has to exceed.
		m.pass(known.record)
	}
}

// refute outlives what others say of this daemon, or of one before it at its address.
func (m *Machine) refute(record *messenger.Member) {
	if m.left || record.GetRevision() < m.self.GetRevision() {
		return
	}
	same := record.GetIncarnation() == m.self.GetIncarnation()
	if same && state(record) == Alive {
		return
	}
	m.self = withState(m.self, Alive)
	m.self.Revision = record.GetRevision() + 1
	m.pass(m.self)
}

func overrides(a, b *messenger.Member) bool {
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	return state(a) > state(b)
}

func (m *Machine) set(now time.Time, known *member, record *messenger.Member) {
	known.record = record
	known.since = now
	m.pass(record)
}

// pass queues a record to be passed on to others.
func (m *Machine) pass(record *messenger.Member) {
	times := 0
	for n := len(m.members) + 1; n > 0; n /= 10 {
		times += retransmitFactor
	}
	m.updates[record.GetAddress()] = &update{record: record, left: times}
}

// packet makes a packet with the records that were passed on least often.
func (m *Machine) packet(to string, kind uint32, sequence uint64, target string) Outgoing {
	return Outgoing{To: to, Packet: &messenger.Packet{
		Kind:     kind,
		Sequence: sequence,
		From:     m.self.GetAddress(),
		Target:   target,
		Members:  m.takeUpdates(to),
	}}
}

// takeUpdates returns records to pass on. What is thought of the receiver comes
// first, so that it can refute; the sender's own record always goes along.
func (m *Machine) takeUpdates(to string) []*messenger.Member {
	out := []*messenger.Member{m.self}
	if about, ok := m.members[to]; ok && state(about.record) != Alive {
		out = append(out, about.record)
	}
	waiting := make([]*update, 0, len(m.updates))
	for _, u := range m.updates {
		waiting = append(waiting, u)
	}
	slices.SortFunc(waiting, func(a, b *update) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.record.GetAddress(), b.record.GetAddress()))
	})
	for _, u := range waiting[:min(piggyback, len(waiting))] {
		u.left--
		if u.left <= 0 {
			delete(m.updates, u.record.GetAddress())
		}
		if u.record != m.self {
			out = append(out, u.record)
		}
	}
	return out
}

func state(record *messenger.Member) State { return State(record.GetState()) }

// StateOf returns the state that a record gives its member.
func StateOf(record *messenger.Member) State { return state(record) }

func withState(record *messenger.Member, s State) *messenger.Member {
	return &messenger.Member{
		Address:       record.GetAddress(),
		Incarnation:   record.GetIncarnation(),
		Revision:      record.GetRevision(),
		State:         uint32(s),
		FailureDomain: record.GetFailureDomain(),
		Region:        record.GetRegion(),
		Successor:     record.GetSuccessor(),
	}
}
