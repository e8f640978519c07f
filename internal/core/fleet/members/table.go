package members

import "math/rand"

// entry is the state that a Table holds about a member.
type entry struct {
	Member
	ringHash  uint64  // hash of the ID, from which its positions on the rings are derived
	changedAt float64 // ms, when its state or incarnation last changed

	suspectedAt float64     // ms, when it became a suspect
	suspectors  map[ID]bool // members that failed to reach it by their own probes; nil: no suspect

	// mustBeNotified is set if the member sent an update about itself that does not override what
	// this controller believes, as it restarted. The next message to it carries that belief, which it
	// then refutes.
	mustBeNotified bool
	conflictPingAt float64 // ms, before which no other ping is sent because of a run conflict

	queued    bool // it is in the update queue
	transmits int  // how often the queued update was sent
}

// newEntry returns the entry of a member that this controller learned of at now, in ms.
func newEntry(m Member, now float64) *entry {
	return &entry{Member: m, ringHash: ringHash(m.ID), changedAt: now}
}

// Table is one controller's view of the membership. It is not safe for concurrent use.
type Table struct {
	config  Config
	rng     *rand.Rand
	now     float64 // ms, the latest time passed in
	self    *entry
	entries map[ID]*entry
	index   index // the entries in sorted lists

	// Outputs since the last calls of TakeMessages and TakeChanges.
	outgoing []Envelope
	changes  []Change

	// Failure detection.
	probe       probe
	probeAt     float64 // ms, when the next probe begins
	round       []ID    // the order in which members are probed in this round
	roundNext   int     // index into round of the next member
	seq         uint32  // of the last ping
	relays      relays
	healthScore int // 0: healthy, up to maxHealthScore

	// Dissemination.
	updates          updates
	initialTransmits int // how often the updates of the message being handled count as sent

	// Anti-entropy and reconnects.
	syncAt      float64 // ms
	reconnectAt float64 // ms

	leaving     bool // Leave was called
	refutations int

	// The time in ms at which the first suspect is declared dead, valid while expiryKnown.
	expiry      float64
	expiryKnown bool
}

// New returns the view of a controller that starts: it knows only the addresses of the seeds.
func New(self Member, seeds []Member, config Config, seed int64, now float64) *Table {
	t := &Table{
		config:  config,
		rng:     rand.New(rand.NewSource(seed)),
		now:     now,
		entries: map[ID]*entry{},
	}
	self.State = Alive
	t.self = newEntry(self, now)
	t.entries[self.ID] = t.self
	insertEntry(&t.index.all, t.self)
	for _, s := range seeds {
		if s.ID != self.ID && t.entries[s.ID] == nil {
			s.State = Dead // until it is heard from; a reconnect or the first sync contacts it
			s.Incarnation = 0
			t.entries[s.ID] = newEntry(s, now)
			t.index.add(t.entries[s.ID])
		}
	}
	t.probeAt = now + t.rng.Float64()*config.ProbeInterval
	t.syncAt = now
	t.reconnectAt = now + t.rng.Float64()*config.ReconnectInterval
	t.updates.add(t.self, 0)
	return t
}

// TakeMessages returns the messages to send that were enqueued since the last call.
func (t *Table) TakeMessages() []Envelope {
	outgoing := t.outgoing
	t.outgoing = nil
	return outgoing
}

// TakeChanges returns the changes of the membership since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Next returns the latest time at which Tick has to be called, in ms.
func (t *Table) Next() float64 {
	next := min(t.probeAt, t.syncAt, t.reconnectAt)
	if t.probe.awaitsAck() && !t.probe.indirect {
		next = min(next, t.probeDeadline())
	}
	if waiting := t.relays.waiting; len(waiting) > 0 {
		next = min(next, waiting[0].deadline)
	}
	return min(next, t.firstExpiry())
}

// Members returns all known members including this controller, sorted by ID.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.index.all))
	for _, e := range t.index.all {
		list = append(list, e.Member)
	}
	return list
}

// Lookup returns what is believed of a member, and whether it is known.
func (t *Table) Lookup(id ID) (Member, bool) {
	if e := t.entries[id]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Self returns this controller's own member, as it announces it.
func (t *Table) Self() Member { return t.self.Member }

// Size returns how many members are alive or suspect, including this controller unless it left.
func (t *Table) Size() int {
	n := len(t.index.active)
	if t.self.State.active() {
		n++
	}
	return n
}

// Refutations returns how often this controller had to refute that it is suspect or dead.
func (t *Table) Refutations() int { return t.refutations }

// SetWilling sets and announces whether this controller accepts leases.
func (t *Table) SetWilling(now float64, willing bool) {
	t.now = max(t.now, now)
	if t.self.Willing == willing {
		return
	}
	t.self.Willing = willing
	t.self.Incarnation++
	t.updates.add(t.self, 0)
}

// Leave announces that this controller shuts down. It continues to answer messages until the caller
// stops it.
func (t *Table) Leave(now float64) {
	t.now = max(t.now, now)
	t.leaving = true
	t.self.State = Left
	t.expiryKnown = false
	t.updates.add(t.self, 0)
	for _, e := range t.pick(t.config.IndirectProbes, t.index.alive, nil) {
		t.sendPing(e)
	}
}

// Tick advances the time and carries out what is due.
func (t *Table) Tick(now float64) {
	late := now - t.probeAt
	t.now = max(t.now, now)
	if late > t.config.ProbeInterval {
		t.recoverFromPause(late)
	}
	t.sendNacks()
	t.expireSuspects()
	if t.probe.awaitsAck() && !t.probe.indirect && t.now >= t.probeDeadline() {
		t.sendIndirectProbes()
	}
	if t.now >= t.probeAt {
		t.endProbe()
		t.beginProbe()
	}
	if t.now >= t.syncAt {
		t.syncWithRandomMember()
	}
	if t.now >= t.reconnectAt {
		t.reconnect()
		t.reclaim()
	}
}

// recoverFromPause handles a pause of this process of more than a probe interval. It could not
// receive acks and refutations meanwhile, so it suspects no member: the current probe is abandoned
// and the timeouts of suspects are extended by the delay.
func (t *Table) recoverFromPause(late float64) {
	t.addHealthPenalty(pauseHealthPenalty)
	t.probe = probe{}
	t.expiryKnown = false
	for _, e := range t.index.suspects {
		e.suspectedAt += late
	}
}

// Receive handles a message from a member. The transport must have authenticated from.
func (t *Table) Receive(now float64, from ID, m Message) {
	t.now = max(t.now, now)
	if len(m.Updates) > max(t.config.MaxSyncMembers, t.config.MaxUpdates+requiredUpdates) ||
		from == t.self.ID {
		return
	}
	t.applyUpdates(from, m)
	sender := t.entries[from]
	if sender == nil {
		return // without the sender's address no answer can be sent
	}
	switch m.Kind {
	case Ping:
		t.send(sender, Message{Kind: Ack, Seq: m.Seq})
	case PingRequest:
		t.relayPing(from, m)
	case Ack:
		t.receiveAck(from, m)
	case Nack:
		if m.Target == t.probe.target {
			t.probe.nacks++
		}
	case Sync:
		t.receiveSync(sender, m)
	}
}

// withJitter returns an interval that is randomly shorter or longer by at most intervalJitter.
func (t *Table) withJitter(interval float64) float64 {
	return interval * (1 - intervalJitter + 2*intervalJitter*t.rng.Float64())
}
