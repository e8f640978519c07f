package members

import "math"

// transmitLimit returns how often an update is sent before it is removed from the queue.
func (t *Table) transmitLimit() int {
	return int(retransmitMult*math.Log2(float64(t.Size())+1)) + 1
}

// send sends a message with updates. For a member that is suspect or dead, or that restarted, the
// first update is what this controller believes of it, so that it can refute.
func (t *Table) send(to *entry, m Message) {
	deadSeenAlive := to.State == Dead && to.Run != 0 // not a seed that was never heard from
	if to.State == Suspect || deadSeenAlive || to.mustBeNotified {
		m.Updates = append(m.Updates, to.Member)
		to.mustBeNotified = false
	}
	if m.Kind == Ping {
		// A receiver that does not know this controller's address could not answer, and would be
		// suspected.
		m.Updates = append(m.Updates, t.self.Member)
	}
	sentAlready := func(about *entry) bool { return about == to || m.Kind == Ping && about == t.self }
	m.Updates = t.updates.take(m.Updates, t.config.MaxUpdates, t.transmitLimit(), sentAlready)
	t.enqueue(to, m)
}

// enqueue adds a message to the output unchanged.
func (t *Table) enqueue(to *entry, m Message) {
	t.outgoing = append(t.outgoing, Envelope{To: to.ID, Addr: to.Addr, Message: m})
}
