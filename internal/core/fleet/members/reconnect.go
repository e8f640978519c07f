package members

// reconnect pings one dead member, chosen at random. After a network partition has healed, that
// member learns from the ping that it is believed dead, and refutes. Seeds that were never heard
// from are contacted this way too.
func (t *Table) reconnect() {
	t.reconnectAt = t.now + t.withJitter(t.config.ReconnectInterval)
	for _, e := range t.pick(1, t.index.dead, nil) {
		t.sendPing(e)
	}
}

// reclaim removes the members that have been dead or have left for longer than Config.ReclaimTime.
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
