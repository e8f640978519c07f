// Package members decides who of a fleet of controllers is there: SWIM with suspicion and incarnations, and with the
// awareness of its own slowness that Lifeguard adds, from the published papers. It is free of I/O and clocks: it is told
// the time, asks for a wake-up, takes messages in and hands messages out, so that hundreds run in one process in
// virtual time. It stands beside the loop: nothing that serves a client asks it.
//
// What it says of another is a guess and is called so: Suspect and Gone are what this one believes, by what it heard.
package members

import (
	"math"
	"math/rand"
	"slices"
)

// ID is a controller's name, the same after a restart.
type ID string

// Incarnation rises each time a controller refutes what others say of it.
type Incarnation uint64

// State is what is believed of a member.
type State uint8

const (
	Alive   State = iota
	Suspect       // it did not answer, and has some time to say that it is there
	Gone          // it did not say so in time
	Left          // it said that it ends
)

var stateNames = [...]string{"alive", "suspect", "gone", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is what is said of one: of a controller at an address.
type Member struct {
	ID          ID          `cbor:"1,keyasint"`
	Addr        string      `cbor:"2,keyasint"`
	State       State       `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	Willing     bool        `cbor:"5,keyasint,omitempty"` // it would take on works
	Run         uint64      `cbor:"6,keyasint,omitempty"` // drawn at its start
	By          ID          `cbor:"7,keyasint,omitempty"` // of a suspect: who found that it does not answer
}

// overrides tells whether a is news to who believes b.
func (a Member) overrides(b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Kind tells messages apart.
type Kind uint8

const (
	Ping    Kind = iota + 1 // asks for an Ack
	PingFor                 // asks the receiver to ping About and to pass the Ack on, or to say Nack
	Ack
	Nack // "I am here, but have not heard of About": tells who asked that it is heard itself
	Sync // compares the sender's view with the receiver's by Sums, or carries what differs, in parts; asks for the same if Want is set
)

// Message is one of the protocol. Each carries news.
type Message struct {
	Kind  Kind     `cbor:"1,keyasint"`
	Seq   uint32   `cbor:"2,keyasint,omitempty"`
	About ID       `cbor:"3,keyasint,omitempty"`
	Want  bool     `cbor:"4,keyasint,omitempty"`
	News  []Member `cbor:"5,keyasint,omitempty"`
	Sums  Sums     `cbor:"6,keyasint,omitempty"` // of the sender's view: the receiver sends what differs
	// Buckets are, as bits, those of which News has all that the sender knows.
	Buckets uint64 `cbor:"7,keyasint,omitempty"`
}

// Out is a message to be sent.
type Out struct {
	To      ID
	Addr    string
	Message Message
}

// Change is that something else is believed of a member now.
type Change struct {
	Member Member
	Was    State
	New    bool // it was not known
}

// Pace are the times in ms and counts of the protocol.
type Pace struct {
	Period   float64 // between two pings of one member; longer while this one is slow itself
	Answer   float64 // until others are asked to ping in its place
	Helpers  int     // who are asked
	Suspect  float64 // times the logarithm of the fleet's size times Period: the shortest time as a suspect
	Longest  float64 // times that, while nobody else says so too
	SyncEach float64 // between comparisons of the whole view with one member's
	Retry    float64 // between pings of members that are gone, in case a cut has healed
	Forget   float64 // after which who is gone or has left is forgotten
	News     int     // of a message
	Part     int     // members in a part of Sync
	Most     int     // members that are known at once; more are not taken in
}

// Usual is the pace that fleets of three to a thousand run at. A ping each second is what the paper measured; with five
// of the fleet's logarithm a suspect has 5 to 30 s in a thousand, which spares who pauses for some seconds.
func Usual() Pace {
	return Pace{Period: 1000, Answer: 400, Helpers: 3, Suspect: 4, Longest: 6, SyncEach: 10000, Retry: 5000,
		Forget: 24 * 3600 * 1000, News: 8, Part: 200, Most: 4096}
}

const (
	mostSlow   = 8   // steps by which a slow one stretches its own period
	spreadEach = 4.0 // times the logarithm of the fleet's size: so often a piece of news is passed on
	bulkSent   = 10  // so often is news that came with a view's differences taken to have been passed on: fresh news goes first
	confirmers = 3   // who say so too, after whom a suspect has the shortest time
)

// entry is what is kept of a member.
type entry struct {
	Member
	position   uint64 // of its id in the rings
	suspectAt  float64
	suspectors map[ID]bool
	changedAt  float64
	odd        bool    // it said of itself what does not override what is believed: it began anew, and has to be told
	askAt      float64 // it is not asked before which of two runs is its own
	queued     bool    // it is among the updates to be passed on,
	sent       int     // and was passed on so often
}

func newEntry(m Member, now float64) *entry {
	return &entry{Member: m, position: positionOf(m.ID), changedAt: now}
}

// Table is one controller's view. It is for one goroutine.
type Table struct {
	pace  Pace
	rng   *rand.Rand
	now   float64
	self  *entry
	all   map[ID]*entry
	index index
	order []ID // the round in which members are pinged
	at    int

	updates     updates
	alreadySent int // of the news that is being taken in
	changes     []Change
	outs        []Out

	seq      uint32
	target   ID // of the ping under way
	targetAt float64
	asked    bool // helpers have been asked
	acked    bool
	nacks    int
	expected int
	periodAt float64
	syncAt   float64
	retryAt  float64
	slow     int // how slow this one takes itself to be, from 0
	relays   relays
	left     bool
	refuted  int

	expiry      float64 // when the first suspect is taken to be gone,
	expiryKnown bool    // if that was worked out since something of it changed
}

// New is the view of a controller that knows nobody yet but the seeds, of whom it knows an address alone.
func New(self Member, seeds []Member, pace Pace, seed int64, now float64) *Table {
	t := &Table{pace: pace, rng: rand.New(rand.NewSource(seed)), now: now, all: map[ID]*entry{}}
	self.State = Alive
	t.self = newEntry(self, now)
	t.all[self.ID] = t.self
	insertEntry(&t.index.all, t.self)
	for _, s := range seeds {
		if s.ID != self.ID && t.all[s.ID] == nil {
			s.State, s.Incarnation = Gone, 0 // until it is heard of; Retry and the first Sync reach it
			t.all[s.ID] = newEntry(s, now)
			t.index.add(t.all[s.ID])
		}
	}
	t.periodAt = now + t.rng.Float64()*pace.Period
	t.syncAt, t.retryAt = now, now+t.rng.Float64()*pace.Retry
	t.updates.add(t.self, 0)
	return t
}

// Out hands over what is to be sent since the last call.
func (t *Table) Out() []Out {
	out := t.outs
	t.outs = nil
	return out
}

// Changes hands over what has changed since the last call.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Next is when Tick is to be called at the latest.
func (t *Table) Next() float64 {
	next := min(t.periodAt, t.syncAt, t.retryAt)
	if t.target != "" && !t.asked && !t.acked {
		next = min(next, t.targetAt+t.pace.Answer*t.stretch())
	}
	if waiting := t.relays.waiting; len(waiting) > 0 {
		next = min(next, waiting[0].until)
	}
	return min(next, t.firstExpiry())
}

// Members are all that are known, this one among them, by id.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.index.all))
	for _, e := range t.index.all {
		list = append(list, e.Member)
	}
	return list
}

// Of is what is believed of one.
func (t *Table) Of(id ID) (Member, bool) {
	if e := t.all[id]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Self is this one, as it says it of itself.
func (t *Table) Self() Member { return t.self.Member }

// Slow is how slow this one takes itself to be: 0 well, up to 8.
func (t *Table) Slow() int { return t.slow }

// Refuted counts how often this one had to say that it is there.
func (t *Table) Refuted() int { return t.refuted }

// SetWilling says anew whether this one would take on works.
func (t *Table) SetWilling(now float64, willing bool) {
	if t.now = max(t.now, now); t.self.Willing != willing {
		t.self.Willing = willing
		t.self.Incarnation++
		t.updates.add(t.self, 0)
	}
}

// Leave says that this one ends. It goes on answering.
func (t *Table) Leave(now float64) {
	t.now = max(t.now, now)
	t.left, t.self.State, t.expiryKnown = true, Left, false
	t.updates.add(t.self, 0)
	for _, e := range t.pick(t.pace.Helpers, t.index.alive, nil) {
		t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
	}
}

func (t *Table) nextSeq() uint32 {
	t.seq++
	return t.seq
}

// stretch is by how much this one's own times are longer, as it is slow: Lifeguard's local health.
func (t *Table) stretch() float64 { return float64(1 + t.slow) }

func (t *Table) setSlow(by int) { t.slow = max(0, min(mostSlow, t.slow+by)) }

// Size is how many members are taken to be there, this one among them.
func (t *Table) Size() int {
	n := len(t.index.active)
	if t.self.State <= Suspect {
		n++
	}
	return n
}

func (t *Table) logSize() float64 { return max(1, math.Log10(float64(t.Size()))) }

// sendLimit is how often a piece of news is passed on.
func (t *Table) sendLimit() int { return int(spreadEach*math.Log2(float64(t.Size())+1)) + 1 }

// goneAt is when a suspect is taken to be gone: late while nobody else suspects it, for the fault may be ours.
func (t *Table) goneAt(e *entry) float64 {
	return e.suspectAt + t.suspicionTimes()[e.confirmations()]
}

// confirmations counts who else found that a suspect does not answer.
func (e *entry) confirmations() int { return max(0, min(confirmers, len(e.suspectors)-1)) }

// suspicionTimes are for how long one is a suspect, by confirmations.
func (t *Table) suspicionTimes() (times [confirmers + 1]float64) {
	least := t.pace.Suspect * t.logSize() * t.pace.Period
	most := least * t.pace.Longest
	for others := range times {
		share := math.Log(float64(others)+1) / math.Log(confirmers+1)
		times[others] = max(least, most-(most-least)*share)
	}
	return times
}

// firstExpiry is when the first suspect is taken to be gone.
func (t *Table) firstExpiry() float64 {
	if t.expiryKnown {
		return t.expiry
	}
	t.expiry, t.expiryKnown = math.Inf(1), true
	if len(t.index.suspects) > 0 {
		times := t.suspicionTimes()
		for _, e := range t.index.suspects {
			t.expiry = min(t.expiry, e.suspectAt+times[e.confirmations()])
		}
	}
	return t.expiry
}

// expired are the suspects whose time is over, by id.
func (t *Table) expired() (list []*entry) {
	if t.now < t.firstExpiry() {
		return nil
	}
	times := t.suspicionTimes()
	for _, e := range t.index.suspects {
		if t.now >= e.suspectAt+times[e.confirmations()] {
			list = append(list, e)
		}
	}
	return list
}

// Tick takes in that time has passed.
func (t *Table) Tick(now float64) {
	late := now - t.periodAt
	t.now = max(t.now, now)
	if late > t.pace.Period { // this process stood still: what it missed is nobody's fault but its own
		t.setSlow(2)
		t.target = ""
		t.expiryKnown = false
		for _, e := range t.index.suspects {
			e.suspectAt += late
		}
	}
	for _, r := range t.relays.expired(t.now, t.pace.Period-t.pace.Answer) {
		if e := t.all[r.asker]; e != nil {
			t.send(e, Message{Kind: Nack, Seq: r.seq, About: r.about})
		}
	}
	for _, e := range t.expired() {
		gone := e.Member
		gone.State = Gone
		t.believe(gone, t.self.ID)
	}
	if t.target != "" && !t.acked && !t.asked && t.now >= t.targetAt+t.pace.Answer*t.stretch() {
		t.askOthers()
	}
	if t.now >= t.periodAt {
		t.endPeriod()
		t.beginPeriod()
	}
	if t.now >= t.syncAt {
		t.syncAt = t.now + t.pace.SyncEach*(0.9+0.2*t.rng.Float64())
		if some := t.pick(1, t.index.active, nil); len(some) > 0 {
			t.compare(some[0])
		} else if some := t.pick(1, t.index.all, t.self); len(some) > 0 { // nobody yet: a seed
			t.syncAt = t.now + t.pace.Period
			t.compare(some[0])
		}
	}
	if t.now >= t.retryAt {
		t.retryAt = t.now + t.pace.Retry*(0.9+0.2*t.rng.Float64())
		for _, e := range t.pick(1, t.index.gone, nil) {
			t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
		}
		t.forget()
	}
}

// forget takes those out that have been gone for long.
func (t *Table) forget() {
	var old []*entry
	for _, e := range t.index.absent {
		if t.now-e.changedAt > t.pace.Forget {
			old = append(old, e)
		}
	}
	for _, e := range old {
		delete(t.all, e.ID)
		t.index.remove(e)
		t.updates.remove(e)
	}
}

// endPeriod judges the ping under way.
func (t *Table) endPeriod() {
	e := t.all[t.target]
	if t.target == "" || e == nil {
		return
	}
	if t.acked {
		t.setSlow(-1)
		return
	}
	if missed := t.expected - t.nacks; missed > 0 { // helpers that say nothing at all: it may be us who are not heard
		t.setSlow(missed)
	}
	if e.State <= Suspect { // of one that others suspect already it is a confirmation, which shortens its time
		suspect := e.Member
		suspect.State, suspect.By = Suspect, t.self.ID
		t.believe(suspect, t.self.ID)
	}
}

// beginPeriod pings the next member of the round; each is reached once a round, in an order drawn anew.
func (t *Table) beginPeriod() {
	t.periodAt = t.now + t.pace.Period*t.stretch()
	t.target, t.acked, t.asked, t.nacks, t.expected = "", false, false, 0, 0
	for range len(t.order) + 1 {
		if t.at >= len(t.order) {
			t.order = t.order[:0]
			for _, e := range t.subjects() {
				t.order = append(t.order, e.ID)
			}
			t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
			if t.at = 0; len(t.order) == 0 {
				return
			}
		}
		id := t.order[t.at]
		t.at++
		if e := t.all[id]; e != nil && e.State <= Suspect {
			t.target, t.targetAt = id, t.now
			t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
			return
		}
	}
}

// askOthers has others ping the target, which has not answered in time, and pings it once more itself, as either may have
// been lost.
func (t *Table) askOthers() {
	t.asked = true
	if e := t.all[t.target]; e != nil {
		t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
	}
	for _, e := range t.pick(t.pace.Helpers, t.helpers(), t.all[t.target]) {
		t.expected++
		t.send(e, Message{Kind: PingFor, Seq: t.seq, About: t.target})
	}
}

// helpers are members that can be asked to ping another: those that are pinged anyway, as a connection to them is open.
func (t *Table) helpers() (list []*entry) {
	for _, e := range t.subjects() {
		if e.State == Alive {
			list = append(list, e)
		}
	}
	return list
}

// pick draws n members of a list, without the one excluded if it is not nil.
func (t *Table) pick(n int, list []*entry, exclude *entry) (picked []*entry) {
	var taken []int // places that are not drawn any more, in order
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

// send adds news to a message: who is suspected is told so first, that it can say otherwise.
func (t *Table) send(e *entry, m Message) {
	if e.State == Suspect || e.State == Gone && e.Run != 0 || e.odd {
		m.News, e.odd = append(m.News, e.Member), false
	}
	if m.Kind == Ping { // who has not heard of this one yet could not answer, and would be suspected for it
		m.News = append(m.News, t.self.Member)
	}
	m.News = t.updates.take(m.News, t.pace.News, t.sendLimit(), func(about *entry) bool {
		return about == e || m.Kind == Ping && about == t.self
	})
	t.outs = append(t.outs, Out{e.ID, e.Addr, m})
}

// Receive takes in a message of a member at an address. From is who its frame proves to have sent it.
func (t *Table) Receive(now float64, from ID, m Message) {
	t.now = max(t.now, now)
	if len(m.News) > max(t.pace.Part, t.pace.News+2) || from == t.self.ID {
		return
	}
	if m.Kind == Sync && len(m.Sums) == 0 {
		t.alreadySent = min(bulkSent, t.sendLimit()/2)
	}
	for _, n := range m.News {
		t.believe(n, from)
	}
	t.alreadySent = 0
	e := t.all[from]
	if e == nil {
		return // nobody says where it is
	}
	switch m.Kind {
	case Ping:
		t.send(e, Message{Kind: Ack, Seq: m.Seq})
	case PingFor:
		if about := t.all[m.About]; about != nil && about != t.self && t.relays.len() < t.pace.Most {
			seq := t.nextSeq()
			t.relays.waiting = append(t.relays.waiting, relay{seq, from, m.Seq, m.About, t.now + t.pace.Answer})
			t.send(about, Message{Kind: Ping, Seq: seq})
		}
	case Ack:
		if r, ok := t.relays.answered(m.Seq, from); ok {
			if back := t.all[r.asker]; back != nil {
				t.send(back, Message{Kind: Ack, Seq: r.seq, About: r.about})
			}
		} else if from == t.target || m.About == t.target {
			t.acked = true
		}
	case Nack:
		if m.About == t.target {
			t.nacks++
		}
	case Sync:
		t.answerSync(e, m)
	}
}

// believe takes in what somebody says of a member.
func (t *Table) believe(n Member, by ID) {
	if n.ID == "" || n.State > Left {
		return
	}
	if n.ID == t.self.ID {
		t.refute(n)
		return
	}
	e := t.all[n.ID]
	if e == nil {
		if len(t.all) >= t.pace.Most || n.Addr == "" {
			return
		}
		if n.State >= Gone { // nothing is to be done about it, and what all forget in turn would never end if it were passed on
			return
		}
		e = newEntry(n, t.now)
		t.all[n.ID] = e
		t.index.add(e)
		t.suspected(e)
		t.updates.add(e, t.alreadySent)
		t.changes = append(t.changes, Change{Member: n, Was: n.State, New: true})
		if len(t.index.active) <= rings { // into the round, at a place drawn, that no newcomer waits for the next
			i := t.at + t.rng.Intn(len(t.order)-t.at+1)
			t.order = slices.Insert(t.order, i, n.ID)
		}
		return
	}
	if n.State == Suspect && e.State == Suspect && n.Incarnation == e.Incarnation { // who passes it on has not found it out
		if len(e.suspectors) <= confirmers && n.By != "" && !e.suspectors[n.By] {
			e.suspectors[n.By], e.By = true, n.By
			t.expiryKnown = false
			t.updates.add(e, t.alreadySent)
		}
		return
	}
	heard := e.Run == 0 && n.Run != 0 // a seed that is heard of for the first time
	if !n.overrides(e.Member) && !heard {
		e.odd = e.odd || by == n.ID && (n.Run != e.Run || n.State < e.State)
		t.askRun(e, n)
		return
	}
	was := e.State
	e.Member, e.changedAt = n, t.now
	t.index.move(e, was)
	t.suspected(e)
	t.updates.add(e, t.alreadySent)
	if was != n.State || heard {
		t.changes = append(t.changes, Change{Member: n, Was: was})
	}
}

// suspected begins or ends the time of a suspect, as its state has changed or it is new.
func (t *Table) suspected(e *entry) {
	t.expiryKnown = false // it depends on the size of the fleet too
	if e.suspectors = nil; e.State == Suspect {
		e.suspectAt, e.suspectors = t.now, map[ID]bool{e.By: true}
	}
}

// askRun pings a member of which another one knows a different run with the same incarnation: neither overrides the other,
// and the member itself, which is told what is believed here, ends it by a higher incarnation.
func (t *Table) askRun(e *entry, n Member) {
	conflict := n.Run != 0 && n.Run != e.Run && n.Incarnation == e.Incarnation && e.State <= Suspect && e != t.self
	if !conflict || t.now < e.askAt {
		return
	}
	e.odd, e.askAt = true, t.now+t.pace.Period
	t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
}

// refute says that this one is there, if somebody says otherwise; who is said to be gone was slow, it seems.
func (t *Table) refute(n Member) {
	if t.left {
		if n.State != Left && n.Incarnation >= t.self.Incarnation {
			t.self.Incarnation = n.Incarnation + 1
			t.updates.add(t.self, 0)
		}
		return
	}
	same := n.Run == t.self.Run && n.State == Alive
	if n.Incarnation < t.self.Incarnation || n.Incarnation == t.self.Incarnation && same && n.Addr == t.self.Addr {
		return
	}
	if n.State != Alive && n.Run == t.self.Run {
		t.refuted++
		t.setSlow(1)
	}
	t.self.Incarnation = n.Incarnation + 1
	t.updates.add(t.self, 0)
}
