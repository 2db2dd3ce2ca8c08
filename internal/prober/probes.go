package prober

import (
	"slices"
	"time"
)

func (m *Machine) startProbes(now time.Time) []Outgoing {
	var out []Outgoing
	if probeTarget, ok := m.nextTarget(); ok {
		m.sequence++
		m.probeTarget, m.probeSequence, m.probeStartedAt, m.indirectSent = probeTarget, m.sequence, now, false
		probe := m.newPacket(probeTarget, kindPing, m.sequence, "")
		for _, address := range m.randomAlive(randomRecords, probeTarget) {
			probe.Packet.Members = append(probe.Packet.Members, m.members[address].record)
		}
		out = append(out, probe)
	}
	out = append(out, m.pingReturning(now)...)
	if m.periodCount%deadProbePeriods != 0 {
		return out
	}
	if gone := m.addressesWhere(func(other *member) bool { return state(other.record) >= Dead }); len(gone) > 0 {
		out = append(out, m.pingRandom(gone))
	}
	return out
}

// pingReturning returns a ping to a member that left within returnTime, if there is one.
func (m *Machine) pingReturning(now time.Time) []Outgoing {
	returning := m.addressesWhere(func(other *member) bool {
		return state(other.record) == Left && now.Sub(other.stateSince) < returnTime
	})
	if len(returning) == 0 {
		return nil
	}
	return []Outgoing{m.pingRandom(returning)}
}

// pingRandom returns a ping to one of the addresses, whose loss has no consequence.
func (m *Machine) pingRandom(addresses []string) Outgoing {
	m.sequence++
	return m.newPacket(addresses[m.config.Rand.IntN(len(addresses))], kindPing, m.sequence, "")
}

// nextTarget returns the next alive or suspect member of the current round; a new
// shuffled round begins when it is used up.
func (m *Machine) nextTarget() (string, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			address := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if other, ok := m.members[address]; ok && state(other.record) <= Suspect {
				return address, true
			}
		}
		m.probeOrder = m.nextRound()
		m.config.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return "", false
}

// nextRound returns the members of the next probe round, which is limited to this
// daemon's region except for every CrossRegionEvery-th.
func (m *Machine) nextRound() []string {
	round := m.addressesWhere(func(other *member) bool { return state(other.record) <= Suspect })
	m.roundCount++
	if m.config.CrossRegionEvery < 2 || m.roundCount%m.config.CrossRegionEvery == 0 {
		return round
	}
	sameRegion := slices.DeleteFunc(slices.Clone(round), func(address string) bool {
		region := m.members[address].record.GetRegion()
		return region != "" && region != m.self.GetRegion()
	})
	if len(sameRegion) == 0 {
		return round
	}
	return sameRegion
}

// addressesWhere returns the addresses of the members that match, sorted so that runs
// with the same random seed are reproducible.
func (m *Machine) addressesWhere(match func(*member) bool) []string {
	var out []string
	for address, other := range m.members {
		if match(other) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Machine) startIndirectProbes() []Outgoing {
	var out []Outgoing
	for _, helper := range m.randomAlive(indirectProbes, m.probeTarget) {
		out = append(out, m.newPacket(helper, kindPingRequest, m.probeSequence, m.probeTarget))
	}
	return out
}

// randomAlive returns up to n random members in state Alive other than exclude.
func (m *Machine) randomAlive(n int, exclude string) []string {
	alive := m.addressesWhere(func(other *member) bool { return state(other.record) == Alive })
	alive = slices.DeleteFunc(alive, func(a string) bool { return a == exclude })
	m.config.Rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}
