package regionlog

import "github.com/masticmount/masticmount/pkg/peerpb"

// silences are the members that did not respond to the last leader, as this keeper knows: a
// follower from the last heartbeat, a leader that stepped down from its own term.
type silences struct {
	ticks map[uint64]int
	// age is the number of ticks since ticks was recorded.
	age int
}

// silentMembers returns the members that have not responded for a minimum election timeout.
// A shorter silence is not worth a message.
func (m *Machine) silentMembers() []*peerpb.Silence {
	var silent []*peerpb.Silence
	for _, id := range m.peers {
		if ticks := m.progress[id].silentTicks; ticks >= m.cfg.ElectionTicks {
			silent = append(silent, &peerpb.Silence{Identity: id, Ticks: uint32(ticks)})
		}
	}
	return silent
}

func (m *Machine) recordSilences(silent []*peerpb.Silence) {
	m.silences = silences{ticks: make(map[uint64]int, len(silent))}
	for _, s := range silent {
		m.silences.ticks[s.GetIdentity()] = int(s.GetTicks())
	}
}

// inheritSilences counts the silence of members on from the term before. The limit leaves
// time in this term in which a member that has returned responds.
func (m *Machine) inheritSilences() {
	for id, ticks := range m.silences.ticks {
		if p, ok := m.progress[id]; ok && id != m.cfg.Identity {
			p.silentTicks = max(p.silentTicks, min(ticks+m.silences.age, m.cfg.MaxInheritedSilence))
		}
	}
}
