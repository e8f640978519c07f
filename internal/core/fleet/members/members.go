// Package members decides who of a fleet of controllers is there: SWIM with suspicion and incarnations, and with the
// awareness of its own slowness that Lifeguard adds, from the published papers. It is free of I/O and clocks: it is told
// the time, asks for a wake-up, takes messages in and hands messages out, so that hundreds run in one process in
// virtual time. It stands beside the loop: nothing that serves a client asks it.
//
// What it says of another is a guess and is called so: Suspect and Gone are what this one believes, by what it heard.
package members

import (
	"cmp"
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
	Sync // all that the sender believes, in parts; asks for the same if Want is set
)

// Message is one of the protocol. Each carries news.
type Message struct {
	Kind  Kind     `cbor:"1,keyasint"`
	Seq   uint32   `cbor:"2,keyasint,omitempty"`
	About ID       `cbor:"3,keyasint,omitempty"`
	Want  bool     `cbor:"4,keyasint,omitempty"`
	News  []Member `cbor:"5,keyasint,omitempty"`
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
	SyncEach float64 // between exchanges of all with one member
	Retry    float64 // between pings of members that are gone, in case a cut has healed
	Forget   float64 // after which who is gone or has left is forgotten
	News     int     // of a message
	Part     int     // members in a part of Sync
	Most     int     // members that are known at once; more are not taken in
}

// Usual is the pace that fleets of three to a thousand run at. A ping each second is what the paper measured; with five
// of the fleet's logarithm a suspect has 5 to 30 s in a thousand, which spares who pauses for some seconds.
func Usual() Pace {
	return Pace{Period: 1000, Answer: 400, Helpers: 3, Suspect: 4, Longest: 6, SyncEach: 30000, Retry: 5000,
		Forget: 24 * 3600 * 1000, News: 8, Part: 200, Most: 4096}
}

const (
	mostSlow   = 8   // steps by which a slow one stretches its own period
	spreadEach = 4.0 // times the logarithm of the fleet's size: so often a piece of news is passed on
	confirmers = 3   // who say so too, after whom a suspect has the shortest time
)

// entry is what is kept of a member.
type entry struct {
	Member
	suspectAt  float64
	suspectors map[ID]bool
	changedAt  float64
	odd        bool // it said of itself what does not override what is believed: it began anew, and has to be told
}

// news is a piece to be passed on.
type news struct {
	id   ID
	sent int
}

// relayed is a ping made in another's place.
type relayed struct {
	for_  ID
	seq   uint32
	about ID
	until float64
}

// Table is one controller's view. It is for one goroutine.
type Table struct {
	pace  Pace
	rng   *rand.Rand
	now   float64
	self  *entry
	all   map[ID]*entry
	order []ID // the round in which members are pinged
	at    int

	news    []news
	changes []Change
	outs    []Out

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
	relays   map[uint32]relayed
	left     bool
	refuted  int
}

// New is the view of a controller that knows nobody yet but the seeds, of whom it knows an address alone.
func New(self Member, seeds []Member, pace Pace, seed int64, now float64) *Table {
	t := &Table{pace: pace, rng: rand.New(rand.NewSource(seed)), now: now, all: map[ID]*entry{},
		relays: map[uint32]relayed{}}
	self.State = Alive
	t.self = &entry{Member: self, changedAt: now}
	t.all[self.ID] = t.self
	for _, s := range seeds {
		if s.ID != self.ID && t.all[s.ID] == nil {
			s.State, s.Incarnation = Gone, 0 // until it is heard of; Retry and the first Sync reach it
			t.all[s.ID] = &entry{Member: s, changedAt: now}
		}
	}
	t.periodAt = now + t.rng.Float64()*pace.Period
	t.syncAt, t.retryAt = now, now+t.rng.Float64()*pace.Retry
	t.spread(self.ID)
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
	for _, e := range t.all {
		if e.State == Suspect {
			next = min(next, t.goneAt(e))
		}
	}
	for _, r := range t.relays {
		next = min(next, r.until)
	}
	return next
}

// Members are all that are known, this one among them, by id.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.all))
	for _, e := range t.all {
		list = append(list, e.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
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
		t.spread(t.self.ID)
	}
}

// Leave says that this one ends. It goes on answering.
func (t *Table) Leave(now float64) {
	t.now = max(t.now, now)
	t.left, t.self.State = true, Left
	t.spread(t.self.ID)
	for _, e := range t.pick(t.pace.Helpers, func(e *entry) bool { return e.State == Alive }) {
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

// size is of how many the fleet is taken to be.
func (t *Table) size() int {
	n := 0
	for _, e := range t.all {
		if e.State <= Suspect {
			n++
		}
	}
	return n
}

func (t *Table) logSize() float64 { return max(1, math.Log10(float64(t.size()))) }

// goneAt is when a suspect is taken to be gone: late while nobody else suspects it, for the fault may be ours.
func (t *Table) goneAt(e *entry) float64 {
	least := t.pace.Suspect * t.logSize() * t.pace.Period
	most := least * t.pace.Longest
	others := max(0, len(e.suspectors)-1)
	share := math.Log(float64(others)+1) / math.Log(confirmers+1)
	return e.suspectAt + max(least, most-(most-least)*share)
}

// Tick takes in that time has passed.
func (t *Table) Tick(now float64) {
	late := now - t.periodAt
	t.now = max(t.now, now)
	if late > t.pace.Period { // this process stood still: what it missed is nobody's fault but its own
		t.setSlow(2)
		t.target = ""
		for _, e := range t.all {
			if e.State == Suspect {
				e.suspectAt += late
			}
		}
	}
	for seq, r := range t.relays {
		if t.now >= r.until {
			delete(t.relays, seq)
			if e := t.all[r.for_]; e != nil {
				t.send(e, Message{Kind: Nack, Seq: r.seq, About: r.about})
			}
		}
	}
	for _, id := range t.sorted(func(e *entry) bool { return e.State == Suspect && t.now >= t.goneAt(e) }) {
		e := t.all[id]
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
		if some := t.pick(1, func(e *entry) bool { return e.State <= Suspect }); len(some) > 0 {
			t.sync(some[0], true)
		} else if some := t.pick(1, func(*entry) bool { return true }); len(some) > 0 { // nobody yet: a seed
			t.syncAt = t.now + t.pace.Period
			t.sync(some[0], true)
		}
	}
	if t.now >= t.retryAt {
		t.retryAt = t.now + t.pace.Retry*(0.9+0.2*t.rng.Float64())
		for _, e := range t.pick(1, func(e *entry) bool { return e.State == Gone }) {
			t.send(e, Message{Kind: Ping, Seq: t.nextSeq()})
		}
		for id, e := range t.all {
			if e.State >= Gone && t.now-e.changedAt > t.pace.Forget {
				delete(t.all, id)
			}
		}
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
	if e.State == Alive {
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
			t.order = t.sorted(func(e *entry) bool { return e != t.self && e.State <= Suspect })
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

func (t *Table) askOthers() {
	t.asked = true
	for _, e := range t.pick(t.pace.Helpers, func(e *entry) bool { return e.State == Alive && e.ID != t.target }) {
		t.expected++
		t.send(e, Message{Kind: PingFor, Seq: t.seq, About: t.target})
	}
}

// sorted are the ids of some, in order: maps have none, and the same events lead to the same messages.
func (t *Table) sorted(which func(*entry) bool) []ID {
	var ids []ID
	for id, e := range t.all {
		if which(e) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pick draws some others.
func (t *Table) pick(n int, which func(*entry) bool) (some []*entry) {
	ids := t.sorted(func(e *entry) bool { return e != t.self && which(e) })
	for ; n > 0 && len(ids) > 0; n-- {
		i := t.rng.Intn(len(ids))
		some = append(some, t.all[ids[i]])
		ids = slices.Delete(ids, i, i+1)
	}
	return some
}

// send adds news to a message: who is suspected is told so first, that it can say otherwise.
func (t *Table) send(e *entry, m Message) {
	if e.State == Suspect || e.State == Gone && e.Run != 0 || e.odd {
		m.News, e.odd = append(m.News, e.Member), false
	}
	if m.Kind == Ping { // who has not heard of this one yet could not answer, and would be suspected for it
		m.News = append(m.News, t.self.Member)
	}
	most := int(spreadEach*math.Log2(float64(t.size())+1)) + 1
	slices.SortStableFunc(t.news, func(a, b news) int { return cmp.Compare(a.sent, b.sent) })
	for i := range t.news {
		if len(m.News) >= t.pace.News {
			break
		}
		if about := t.all[t.news[i].id]; about != nil && about != e && (m.Kind != Ping || about != t.self) {
			m.News = append(m.News, about.Member)
			t.news[i].sent++
		}
	}
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return n.sent >= most || t.all[n.id] == nil })
	t.outs = append(t.outs, Out{e.ID, e.Addr, m})
}

// spread has something passed on, ahead of what was passed on before.
func (t *Table) spread(id ID) {
	t.news = slices.DeleteFunc(t.news, func(n news) bool { return n.id == id })
	t.news = append(t.news, news{id: id})
}

// sync tells one all that is believed, in parts.
func (t *Table) sync(e *entry, want bool) {
	ids := t.sorted(func(x *entry) bool { return x.Run != 0 })
	for part := range slices.Chunk(ids, t.pace.Part) {
		m := Message{Kind: Sync, Want: want}
		for _, id := range part {
			m.News = append(m.News, t.all[id].Member)
		}
		t.outs = append(t.outs, Out{e.ID, e.Addr, m})
		want = false // one answer is enough
	}
}

// Receive takes in a message of a member at an address. From is who its frame proves to have sent it.
func (t *Table) Receive(now float64, from ID, m Message) {
	t.now = max(t.now, now)
	if len(m.News) > max(t.pace.Part, t.pace.News+2) || from == t.self.ID {
		return
	}
	for _, n := range m.News {
		t.believe(n, from)
	}
	e := t.all[from]
	if e == nil {
		return // nobody says where it is
	}
	switch m.Kind {
	case Ping:
		t.send(e, Message{Kind: Ack, Seq: m.Seq})
	case PingFor:
		if about := t.all[m.About]; about != nil && about != t.self && len(t.relays) < t.pace.Most {
			seq := t.nextSeq()
			t.relays[seq] = relayed{from, m.Seq, m.About, t.now + t.pace.Answer}
			t.send(about, Message{Kind: Ping, Seq: seq})
		}
	case Ack:
		if r, ok := t.relays[m.Seq]; ok && (r.about == from) {
			delete(t.relays, m.Seq)
			if back := t.all[r.for_]; back != nil {
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
		if m.Want {
			t.sync(e, false)
		}
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
		e = &entry{Member: n, changedAt: t.now}
		t.all[n.ID] = e
		t.suspected(e)
		t.spread(n.ID)
		t.changes = append(t.changes, Change{Member: n, Was: n.State, New: true})
		if n.State <= Suspect { // into the round, at a place drawn, that no newcomer waits for the next
			i := t.at + t.rng.Intn(len(t.order)-t.at+1)
			t.order = slices.Insert(t.order, i, n.ID)
		}
		return
	}
	if n.State == Suspect && e.State == Suspect && n.Incarnation == e.Incarnation { // who passes it on has not found it out
		if len(e.suspectors) <= confirmers && n.By != "" && !e.suspectors[n.By] {
			e.suspectors[n.By], e.By = true, n.By
			t.spread(n.ID)
		}
		return
	}
	heard := e.Run == 0 && n.Run != 0 // a seed that is heard of for the first time
	if !n.overrides(e.Member) && !heard {
		e.odd = e.odd || by == n.ID && (n.Run != e.Run || n.State < e.State)
		return
	}
	was := e.State
	e.Member, e.changedAt = n, t.now
	t.suspected(e)
	t.spread(n.ID)
	if was != n.State || heard {
		t.changes = append(t.changes, Change{Member: n, Was: was})
	}
}

func (t *Table) suspected(e *entry) {
	if e.suspectors = nil; e.State == Suspect {
		e.suspectAt, e.suspectors = t.now, map[ID]bool{e.By: true}
	}
}

// refute says that this one is there, if somebody says otherwise; who is said to be gone was slow, it seems.
func (t *Table) refute(n Member) {
	if t.left {
		if n.State != Left && n.Incarnation >= t.self.Incarnation {
			t.self.Incarnation = n.Incarnation + 1
			t.spread(t.self.ID)
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
	t.spread(t.self.ID)
}
