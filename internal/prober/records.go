package prober

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// merge installs a record if it overrides the known one.
func (m *Machine) merge(now time.Time, record *messenger.Member) {
	if record.GetAddress() == m.self.GetAddress() {
		m.refute(record)
		return
	}
	known, ok := m.members[record.GetAddress()]
	if !ok {
		// One that left is known from here on, since it may return.
		if state(record) == Dead && record.GetSuccessor() == "" {
			return
		}
		known = &member{record: &messenger.Member{Address: record.GetAddress()}}
		m.members[record.GetAddress()] = known
		m.setRecord(now, known, record)
		return
	}
	switch {
	case overrides(record, known.record):
		m.setRecord(now, known, record)
	case state(record) == Alive && record.GetIncarnation() != known.record.GetIncarnation():
		// A new process at a known address needs the old revision to choose a higher
		// one.
		m.queueUpdate(known.record)
	}
}

// refute raises this daemon's revision above that of a record which declares it
// suspect, dead or left, or which belongs to an earlier process at its address.
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
	m.queueUpdate(m.self)
}

func overrides(a, b *messenger.Member) bool {
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	return state(a) > state(b)
}

func (m *Machine) setRecord(now time.Time, known *member, record *messenger.Member) {
	known.record = record
	known.stateSince = now
	m.queueUpdate(record)
}

// queueUpdate queues a record for dissemination.
func (m *Machine) queueUpdate(record *messenger.Member) {
	transmits := 0
	for n := len(m.members) + 1; n > 0; n /= 10 {
		transmits += retransmitFactor
	}
	m.updates[record.GetAddress()] = &queuedUpdate{record: record, transmitsLeft: transmits}
}

// newPacket returns a packet that carries the updates with the most transmits left.
func (m *Machine) newPacket(to string, kind uint32, sequence uint64, target string) Outgoing {
	return Outgoing{To: to, Packet: &messenger.Packet{
		Kind:     kind,
		Sequence: sequence,
		From:     m.self.GetAddress(),
		Target:   target,
		Members:  m.takeUpdates(to),
	}}
}

// takeUpdates returns the records for a packet: the sender's own record; the
// receiver's, unless it is Alive, so that it can refute; and queued updates.
func (m *Machine) takeUpdates(to string) []*messenger.Member {
	out := []*messenger.Member{m.self}
	if receiver, ok := m.members[to]; ok && state(receiver.record) != Alive {
		out = append(out, receiver.record)
	}
	queued := make([]*queuedUpdate, 0, len(m.updates))
	for _, u := range m.updates {
		queued = append(queued, u)
	}
	slices.SortFunc(queued, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.record.GetAddress(), b.record.GetAddress()))
	})
	for _, u := range queued[:min(maxUpdatesPerPacket, len(queued))] {
		u.transmitsLeft--
		if u.transmitsLeft <= 0 {
			delete(m.updates, u.record.GetAddress())
		}
		if u.record != m.self {
			out = append(out, u.record)
		}
	}
	return out
}

func state(record *messenger.Member) State { return State(record.GetState()) }

// StateOf returns the state in a member record.
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
