package members

// reconnect pings a dead member, drawn: if a network partition has healed, it hears that it is
// believed dead, and refutes.
func (t *Table) reconnect() {
	t.reconnectAt = t.now + t.jittered(t.config.ReconnectInterval)
	for _, e := range t.pick(1, t.index.dead, nil) {
		t.sendPing(e)
	}
}

// reclaim removes the members that have been dead or have left for long.
func (t *Table) reclaim() {
	var old []*entry
	for _, e := range t.index.absent {
		if t.now-e.changedAt > t.config.ReclaimTime {
			old = append(old, e)
		}
	}
	for _, e := range old {
		delete(t.entries, e.ID)
		t.index.remove(e)
		t.updates.remove(e)
	}
}
