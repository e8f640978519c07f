package members

import "slices"

// probe is the state of the probe of one member during one probe interval. The zero value is no
// probe.
type probe struct {
	target        ID      // empty: none
	sentAt        float64 // ms
	indirect      bool    // other members have been asked to ping the target
	acked         bool
	nacks         int // received from the members that were asked
	expectedNacks int // how many members were asked
}

// awaitsAck reports whether the target has not answered yet.
func (p probe) awaitsAck() bool { return p.target != "" && !p.acked }

// probeDeadline returns when other members are asked to ping the target, in ms.
func (t *Table) probeDeadline() float64 {
	return t.probe.sentAt + t.config.ProbeTimeout*t.healthMultiplier()
}

// HealthScore returns Lifeguard's local health score: 0 if this controller is healthy, up to
// maxHealthScore if its own probes and refutations show that it is slow or badly connected itself.
func (t *Table) HealthScore() int { return t.healthScore }

// addHealthPenalty adds a penalty to the health score; a negative penalty improves the score.
func (t *Table) addHealthPenalty(penalty int) {
	t.healthScore = max(0, min(maxHealthScore, t.healthScore+penalty))
}

// healthMultiplier returns the factor by which this controller's probe interval and timeout are
// longer because of its health score.
func (t *Table) healthMultiplier() float64 { return float64(1 + t.healthScore) }

// beginProbe pings the next member of the round. Each probe target is probed once in a round, in a
// random order.
func (t *Table) beginProbe() {
	t.probeAt = t.now + t.config.ProbeInterval*t.healthMultiplier()
	t.probe = probe{}
	for range len(t.round) + 1 {
		if t.roundNext >= len(t.round) {
			t.beginRound()
			if len(t.round) == 0 {
				return
			}
		}
		id := t.round[t.roundNext]
		t.roundNext++
		if e := t.entries[id]; e != nil && e.State.active() {
			t.probe = probe{target: id, sentAt: t.now}
			t.sendPing(e)
			return
		}
	}
}

// beginRound chooses the random order of the next round.
func (t *Table) beginRound() {
	t.round = t.round[:0]
	for _, e := range t.probeTargets() {
		t.round = append(t.round, e.ID)
	}
	t.rng.Shuffle(len(t.round), func(i, j int) { t.round[i], t.round[j] = t.round[j], t.round[i] })
	t.roundNext = 0
}

// insertIntoRound inserts a new member at a random position in the rest of the round, so that it is
// probed before the next round.
func (t *Table) insertIntoRound(id ID) {
	i := t.roundNext + t.rng.Intn(len(t.round)-t.roundNext+1)
	t.round = slices.Insert(t.round, i, id)
}

// sendIndirectProbes asks other members to ping the target, which has not answered in time: only
// the network path from this controller may be broken. It also pings the target again itself, as
// the ping or the ack may have been lost.
func (t *Table) sendIndirectProbes() {
	t.probe.indirect = true
	target := t.entries[t.probe.target]
	if target != nil {
		t.sendPing(target)
	}
	for _, e := range t.pick(t.config.IndirectProbes, t.aliveProbeTargets(), target) {
		t.probe.expectedNacks++
		t.send(e, Message{Kind: PingRequest, Seq: t.seq, Target: t.probe.target})
	}
}

// aliveProbeTargets returns the members that can be asked to ping another one. They are probe
// targets, because connections to those are open already.
func (t *Table) aliveProbeTargets() (list []*entry) {
	for _, e := range t.probeTargets() {
		if e.State == Alive {
			list = append(list, e)
		}
	}
	return list
}

// receiveAck handles the answer to this controller's own probe, direct or indirect, or to a ping
// sent on behalf of another.
func (t *Table) receiveAck(from ID, m Message) {
	if r, found := t.relays.takeAnswered(m.Seq, from); found {
		if requester := t.entries[r.requester]; requester != nil {
			t.send(requester, Message{Kind: Ack, Seq: r.requestSeq, Target: r.target})
		}
		return
	}
	if from == t.probe.target || m.Target == t.probe.target {
		t.probe.acked = true
	}
}

// endProbe suspects the target if neither it nor a member that was asked has sent an ack within the
// probe interval.
func (t *Table) endProbe() {
	e := t.entries[t.probe.target]
	if t.probe.target == "" || e == nil {
		return
	}
	if t.probe.acked {
		t.addHealthPenalty(-1)
		return
	}
	// Members that were asked and did not even send a nack may not receive this controller's messages.
	if missed := t.probe.expectedNacks - t.probe.nacks; missed > 0 {
		t.addHealthPenalty(missed)
	}
	if e.State.active() {
		// If the member is suspected already, this is a confirmation, which shortens its timeout.
		suspect := e.Member
		suspect.State = Suspect
		suspect.Suspector = t.self.ID
		t.applyUpdate(suspect, t.self.ID)
	}
}

// sendPing sends a ping with the next sequence number.
func (t *Table) sendPing(e *entry) {
	t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
}

// nextSeq returns the sequence number of the next ping.
func (t *Table) nextSeq() uint32 {
	t.seq++
	return t.seq
}

// pick returns up to n distinct random entries of a sorted list, without the excluded one, which
// may be nil.
func (t *Table) pick(n int, list []*entry, exclude *entry) (picked []*entry) {
	var taken []int // indexes that are picked or excluded, sorted
	if exclude != nil {
		if i, found := findEntry(list, exclude.ID); found {
			taken = append(taken, i)
		}
	}
	for ; n > 0 && len(taken) < len(list); n-- {
		i := t.rng.Intn(len(list) - len(taken))
		before := 0
		for before < len(taken) && taken[before] <= i {
			i++
			before++
		}
		taken = slices.Insert(taken, before, i)
		picked = append(picked, list[i])
	}
	return picked
}
