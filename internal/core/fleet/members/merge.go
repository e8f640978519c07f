package members

// applyUpdates merges the updates of a message.
func (t *Table) applyUpdates(from ID, m Message) {
	if m.Kind == Sync && len(m.Checksums) == 0 {
		// The message carries differing members, which other controllers learn by their own syncs too.
		t.initialTransmits = min(syncedUpdateTransmits, t.transmitLimit()/2)
	}
	for _, update := range m.Updates {
		t.applyUpdate(update, from)
	}
	t.initialTransmits = 0
}

// applyUpdate merges one update, which is from another member or from this controller's own failure
// detection.
func (t *Table) applyUpdate(update Member, from ID) {
	if update.ID == "" || update.State > Left {
		return
	}
	if update.ID == t.self.ID {
		t.refute(update)
		return
	}
	e := t.entries[update.ID]
	if e == nil {
		t.addMember(update)
		return
	}
	if update.State == Suspect && e.State == Suspect && update.Incarnation == e.Incarnation {
		t.confirmSuspicion(e, update.Suspector)
		return
	}
	firstContact := e.Run == 0 && update.Run != 0 // only the address of this seed was known
	if !update.overrides(e.Member) && !firstContact {
		t.handleStaleUpdate(e, update, from)
		return
	}
	previous := e.State
	e.Member = update
	e.changedAt = t.now
	t.index.move(e, previous)
	t.resetSuspicion(e)
	t.updates.add(e, t.initialTransmits)
	if previous != update.State || firstContact {
		t.changes = append(t.changes, Change{Member: update, Previous: previous})
	}
}

// addMember adds a member that was not known. One that is dead or has left is not added:
// controllers reclaim it at different times, and would gossip it to each other forever.
func (t *Table) addMember(update Member) {
	if len(t.entries) >= t.config.MaxMembers || update.Addr == "" || !update.State.active() {
		return
	}
	e := newEntry(update, t.now)
	t.entries[update.ID] = e
	t.index.add(e)
	t.resetSuspicion(e)
	t.updates.add(e, t.initialTransmits)
	t.changes = append(t.changes, Change{Member: update, Previous: update.State, New: true})
	// If there are more members than rings, this controller may not have to probe the new one.
	if len(t.index.active) <= rings {
		t.insertIntoRound(update.ID)
	}
}

// handleStaleUpdate handles an update that does not override what is believed. If it came from the
// member itself, the member restarted and does not know what the others believe: it is notified,
// and refutes.
func (t *Table) handleStaleUpdate(e *entry, update Member, from ID) {
	if from == update.ID && (update.Run != e.Run || update.State < e.State) {
		e.mustBeNotified = true
	}
	t.pingOnRunConflict(e, update)
}

// pingOnRunConflict pings a member of which this controller and another know two different runs
// with the same incarnation, so that neither update overrides the other. The ping carries what this
// controller believes, and the member ends the conflict by a higher incarnation.
func (t *Table) pingOnRunConflict(e *entry, update Member) {
	conflict := update.Run != 0 && update.Run != e.Run && update.Incarnation == e.Incarnation &&
		e.State.active()
	if !conflict || t.now < e.conflictPingAt {
		return
	}
	e.mustBeNotified = true
	e.conflictPingAt = t.now + t.config.ProbeInterval
	t.sendPing(e)
}

// refute answers a false update about this controller by a higher incarnation. If the update says
// that the current run is not alive, this controller was slow to answer, and its health score
// worsens.
func (t *Table) refute(update Member) {
	if t.leaving {
		if update.State != Left && update.Incarnation >= t.self.Incarnation {
			t.announceHigherIncarnation(update.Incarnation)
		}
		return
	}
	if update.Incarnation < t.self.Incarnation || t.isOwnState(update) {
		return
	}
	if update.State != Alive && update.Run == t.self.Run {
		t.refutations++
		t.addHealthPenalty(1)
	}
	t.announceHigherIncarnation(update.Incarnation)
}

// isOwnState reports whether an update about this controller equals what it announces itself.
func (t *Table) isOwnState(update Member) bool {
	return update.Incarnation == t.self.Incarnation &&
		update.Run == t.self.Run &&
		update.State == Alive &&
		update.Addr == t.self.Addr
}

// announceHigherIncarnation announces this controller's own state with the incarnation after a
// given one, which it overrides.
func (t *Table) announceHigherIncarnation(incarnation Incarnation) {
	t.self.Incarnation = incarnation + 1
	t.updates.add(t.self, 0)
}
