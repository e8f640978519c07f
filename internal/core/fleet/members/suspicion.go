package members

import "math"

// deadAt returns when a suspect is declared dead, in ms, given the suspicion timeouts by number of
// confirmations. Without confirmations that is late, as the fault may be on the side of the only
// suspector.
func (e *entry) deadAt(timeouts [maxSuspicionConfirmations + 1]float64) float64 {
	return e.suspectedAt + timeouts[e.confirmations()]
}

// confirmations returns how many members besides the first suspector have failed to reach a suspect
// by their own probes, at most maxSuspicionConfirmations.
func (e *entry) confirmations() int {
	return max(0, min(maxSuspicionConfirmations, len(e.suspectors)-1))
}

// suspicionTimeouts returns how long a member stays a suspect, in ms, indexed by the number of
// confirmations.
func (t *Table) suspicionTimeouts() (timeouts [maxSuspicionConfirmations + 1]float64) {
	shortest := t.config.SuspicionMult * t.logSize() * t.config.ProbeInterval
	longest := shortest * t.config.SuspicionMaxMult
	for confirmations := range timeouts {
		share := math.Log(float64(confirmations)+1) / math.Log(maxSuspicionConfirmations+1)
		timeouts[confirmations] = max(shortest, longest-(longest-shortest)*share)
	}
	return timeouts
}

// logSize returns the decimal logarithm of the fleet's size, at least 1.
func (t *Table) logSize() float64 { return max(1, math.Log10(float64(t.Size()))) }

// firstExpiry returns when the first suspect is declared dead, in ms; infinity if there is none.
func (t *Table) firstExpiry() float64 {
	if t.expiryKnown {
		return t.expiry
	}
	t.expiry = math.Inf(1)
	t.expiryKnown = true
	if len(t.index.suspects) > 0 {
		timeouts := t.suspicionTimeouts()
		for _, e := range t.index.suspects {
			t.expiry = min(t.expiry, e.deadAt(timeouts))
		}
	}
	return t.expiry
}

// expireSuspects declares the suspects dead that have not refuted in time.
func (t *Table) expireSuspects() {
	for _, e := range t.expiredSuspects() {
		dead := e.Member
		dead.State = Dead
		t.applyUpdate(dead, t.self.ID)
	}
}

// expiredSuspects returns the suspects that did not refute within their timeouts, sorted by ID.
func (t *Table) expiredSuspects() (expired []*entry) {
	if t.now < t.firstExpiry() {
		return nil
	}
	timeouts := t.suspicionTimeouts()
	for _, e := range t.index.suspects {
		if t.now >= e.deadAt(timeouts) {
			expired = append(expired, e)
		}
	}
	return expired
}

// resetSuspicion starts or ends the suspicion of an entry that is new or has changed, according to
// its state.
func (t *Table) resetSuspicion(e *entry) {
	t.expiryKnown = false // the timeouts depend on the size of the fleet too
	e.suspectors = nil
	if e.State == Suspect {
		e.suspectedAt = t.now
		e.suspectors = map[ID]bool{e.Suspector: true}
	}
}

// confirmSuspicion counts a suspector whose own probe of a suspect failed. A member that only
// passes the suspicion on names the same suspector and confirms nothing.
func (t *Table) confirmSuspicion(e *entry, suspector ID) {
	if len(e.suspectors) > maxSuspicionConfirmations || suspector == "" || e.suspectors[suspector] {
		return
	}
	e.suspectors[suspector] = true
	e.Suspector = suspector
	t.expiryKnown = false
	t.updates.add(e, t.initialTransmits)
}
