// Package node is one controller's part in a fleet as a whole: membership, the council, what this one owns and what it
// lets pass, with the messages in which they reach others. It is free of I/O and clocks, like all it puts together: a
// goroutine with sockets and a disk drives it in the daemon, a queue of events drives hundreds of it in virtual time, and
// both run the same program. It stands beside the loop, which neither waits for it nor asks it.
package node

import (
	"maps"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/council"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/works"
)

// Message is what one controller says to another; one of its fields is set.
type Message struct {
	Members *members.Message `cbor:"1,keyasint,omitempty"`
	Council *council.Message `cbor:"2,keyasint,omitempty"`
	Renew   *works.Renew     `cbor:"3,keyasint,omitempty"`
	Granted *Granted         `cbor:"4,keyasint,omitempty"`
	Offer   *Offer           `cbor:"5,keyasint,omitempty"`
	Release *works.Release   `cbor:"6,keyasint,omitempty"`
	Want    *works.Want      `cbor:"7,keyasint,omitempty"`
	Where   *Where           `cbor:"8,keyasint,omitempty"`
	View    *View            `cbor:"9,keyasint,omitempty"`
	Effect  *Effect          `cbor:"10,keyasint,omitempty"`
	Passed  *Passed          `cbor:"11,keyasint,omitempty"`
	Replace *Replace         `cbor:"12,keyasint,omitempty"`
	Word    []byte           `cbor:"13,keyasint,omitempty"` // of a work's own program, to that of another
	Put     *works.Put       `cbor:"14,keyasint,omitempty"`
	Get     *works.Get       `cbor:"15,keyasint,omitempty"`
	State   *Handed          `cbor:"16,keyasint,omitempty"`
}

// Handed is what the owners of a work hand on, as it was agreed upon a Put or Get of its owner.
type Handed struct {
	To     works.Holder `cbor:"1,keyasint"`
	Claim  works.Claim  `cbor:"2,keyasint"`
	Serial uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint"`
}

// Granted answers a Renew, when the council has agreed on it.
type Granted struct {
	Token  uint64        `cbor:"1,keyasint"`
	Held   []works.Claim `cbor:"2,keyasint"`
	Lost   []works.Claim `cbor:"3,keyasint,omitempty"` // claims that do not hold
	Yield  []works.Work  `cbor:"4,keyasint,omitempty"` // to be given up: an operator wants them elsewhere
	Leader members.ID    `cbor:"5,keyasint"`
	To     works.Holder  `cbor:"6,keyasint"` // tokens of another run count from the beginning too
}

// Offer says that the receiver's run owns a work.
type Offer struct {
	To    works.Holder `cbor:"1,keyasint"`
	Claim works.Claim  `cbor:"2,keyasint"`
}

// Where asks a member of the council for its view.
type Where struct{}

// View is what a member of the council knows: it may be late. Leader is empty if it knows none.
type View struct {
	Leader  members.ID    `cbor:"1,keyasint"`
	Council []members.ID  `cbor:"2,keyasint"`
	Grants  []works.Grant `cbor:"3,keyasint"`
}

// Effect is what an owner does at another controller.
type Effect struct {
	Claim works.Claim `cbor:"1,keyasint"`
	ID    uint64      `cbor:"2,keyasint"`
	Data  []byte      `cbor:"3,keyasint"`
}

// Passed answers an Effect: whether it was taken and, if not, for which epoch it is refused.
type Passed struct {
	Work works.Work  `cbor:"1,keyasint"`
	ID   uint64      `cbor:"2,keyasint"`
	Seen works.Epoch `cbor:"3,keyasint"`
	OK   bool        `cbor:"4,keyasint"`
}

// Replace is an operator's word to exchange a member of the council.
type Replace struct {
	Old  members.ID `cbor:"1,keyasint"`
	With members.ID `cbor:"2,keyasint"`
}

// Facts are what a controller is told at its start.
type Facts struct {
	Self     members.Member // Run is that of this start
	Seeds    []members.Member
	Founders []members.ID // of the council
	Works    []works.Work // that there are to be
	Terms    works.Terms
	Pace     members.Pace
	Disk     uint64 // drawn: the next life's in the council
	Seed     int64
}

// Send is a message to be sent.
type Send struct {
	To      members.ID
	Addr    string
	Message Message
}

// Taken is an effect that has passed the gate here.
type Taken struct {
	From   members.ID
	Effect Effect
}

// Word is what another controller's program of a work said to this one's.
type Word struct {
	From members.ID
	Data []byte
}

// Output is what is to be done after some input.
type Output struct {
	Sends   []Send
	Batch   *council.Batch  // to be made durable, then Saved; nothing of it has an effect before
	Whole   *council.Record // the same of a whole record that replaces all before it, then Kept
	Began   []works.Claim   // this one owns these from now on
	Ended   []works.Claim   // and no longer these
	Changes []members.Change
	Taken   []Taken
	Passed  []Passed
	Words   []Word
	Handed  []Handed
	Seen    bool // the gate has seen a higher epoch
}

const (
	viewEach   = 5000.0 // ms after which who is no member of the council asks for its view
	offerEach  = 1000.0
	giveEach   = 300.0   // between two words of what was given up,
	mostGiving = 10000.0 // for so long
	mostGiven  = 256
	mostAsked  = 4096
)

// Node is one controller's. It is for one goroutine.
type Node struct {
	facts   Facts
	now     float64
	members *members.Table
	council *council.Council
	steward *works.Steward // nil: this one does not lead
	hand    *works.Hand
	gate    *works.Gate
	out     Output

	leader   members.ID // as far as this one has been told
	names    []members.ID
	view     []works.Grant
	viewAt   float64 // to be asked for anew
	offerAt  float64
	stewdAt  float64
	askAt    int // whom to ask next
	heardAt  float64
	ref      uint64
	asked    map[uint64]bool // what this one proposed and is to be answered
	stopping bool
	wholeOut bool
	given    []given
	giveAt   float64
	wants    []wanted
	wantAt   float64
}

// given is a work that was given up, of which the council may not know yet.
type given struct {
	release *works.Release
	until   float64
}

// New begins with what the council's records tell, and with the epochs that the gate had seen, where these were kept.
func New(f Facts, kept []council.Record, seen map[works.Work]works.Epoch, now float64) (*Node, error) {
	c, err := council.New(council.Facts{Self: f.Self.ID, Founders: f.Founders, Run: f.Self.Run, Disk: f.Disk, Seed: f.Seed + 1},
		kept, now)
	if err != nil {
		return nil, err
	}
	n := &Node{facts: f, now: now, council: c, members: members.New(f.Self, f.Seeds, f.Pace, f.Seed, now),
		hand: works.NewHand(works.Holder{ID: f.Self.ID, Run: f.Self.Run}, f.Terms), gate: works.NewGate(seen),
		names: slices.Clone(f.Founders), viewAt: now, asked: map[uint64]bool{}, ref: uint64(rand.New(rand.NewSource(f.Seed + 2)).Int63())}
	return n, nil
}

// Receive takes in a message that a controller of this fleet and generation is proved to have sent.
func (n *Node) Receive(now float64, from members.ID, m *Message) {
	n.now = max(n.now, now)
	switch {
	case m.Members != nil:
		n.members.Receive(n.now, from, *m.Members)
	case m.Council != nil:
		n.council.Receive(n.now, from, m.Council)
	case m.Renew != nil:
		if m.Renew.Holder.ID == from {
			n.renew(from, m.Renew)
		}
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.leader, n.heardAt = from, n.now // who offers leads
			n.hand.Offered(n.now, m.Offer.Claim)
		}
	case m.Release != nil:
		n.ordered(from, m, works.Command{Release: m.Release})
	case m.Want != nil:
		n.ordered(from, m, works.Command{Want: m.Want})
	case m.Put != nil:
		n.ordered(from, m, works.Command{Put: m.Put})
	case m.Get != nil:
		n.ordered(from, m, works.Command{Get: m.Get})
	case m.State != nil:
		n.handed(m.State)
	case m.Replace != nil:
		if !n.forward(from, m) {
			n.council.Replace(m.Replace.Old, m.Replace.With)
		}
	case m.Where != nil:
		n.send(from, Message{View: n.viewOf()})
	case m.View != nil:
		n.seenView(m.View)
	case m.Effect != nil:
		n.effect(from, m.Effect)
	case m.Passed != nil:
		n.out.Passed = append(n.out.Passed, *m.Passed)
	case m.Word != nil:
		n.out.Words = append(n.out.Words, Word{from, m.Word})
	}
	n.turn()
}

// Tick takes in that time has passed.
func (n *Node) Tick(now float64) {
	n.now = max(n.now, now)
	n.members.Tick(n.now)
	n.council.Tick(n.now)
	n.turn()
}

// Saved takes in that a batch is durable.
func (n *Node) Saved(now float64, b *council.Batch) {
	n.now = max(n.now, now)
	n.council.Done(n.now, b)
	n.turn()
}

// Kept takes in that a whole record is durable.
func (n *Node) Kept(now float64, r *council.Record) {
	n.now = max(n.now, now)
	n.council.Kept(r)
	n.wholeOut = false
	n.turn()
}

// Next is when Tick is to be called at the latest.
func (n *Node) Next() float64 {
	next := min(n.members.Next(), n.council.Next(), n.hand.Next(n.now))
	if n.steward != nil {
		next = min(next, n.stewdAt)
	}
	if len(n.given) > 0 {
		next = min(next, n.giveAt)
	}
	if len(n.wants) > 0 {
		next = min(next, n.wantAt)
	}
	if !n.council.Leads() {
		next = min(next, n.viewAt)
	}
	return max(next, n.now)
}

func (n *Node) self() works.Holder { return works.Holder{ID: n.facts.Self.ID, Run: n.facts.Self.Run} }

// send hands a message out, or to this one itself.
func (n *Node) send(to members.ID, m Message) {
	if to == n.facts.Self.ID {
		n.mine(m)
		return
	}
	addr := ""
	if about, ok := n.members.Of(to); ok {
		addr = about.Addr
	}
	n.out.Sends = append(n.out.Sends, Send{to, addr, m})
}

// mine takes in what this one says to itself, where it is owner and leader at once.
func (n *Node) mine(m Message) {
	switch {
	case m.Renew != nil:
		n.renew(n.facts.Self.ID, m.Renew)
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.hand.Offered(n.now, m.Offer.Claim)
		}
	case m.Release != nil:
		n.propose(n.facts.Self.ID, works.Command{Release: m.Release})
	case m.Want != nil:
		n.propose(n.facts.Self.ID, works.Command{Want: m.Want})
	case m.Put != nil:
		n.propose(n.facts.Self.ID, works.Command{Put: m.Put})
	case m.Get != nil:
		n.propose(n.facts.Self.ID, works.Command{Get: m.Get})
	case m.State != nil:
		n.handed(m.State)
	case m.Replace != nil:
		n.council.Replace(m.Replace.Old, m.Replace.With)
	case m.Effect != nil:
		n.effect(n.facts.Self.ID, m.Effect)
	case m.Passed != nil:
		n.out.Passed = append(n.out.Passed, *m.Passed)
	case m.Word != nil:
		n.out.Words = append(n.out.Words, Word{n.facts.Self.ID, m.Word})
	}
}

// propose asks for something to be agreed on. What a leader applies again after a restart was not asked of it, and is not
// answered: it may be of any age.
func (n *Node) propose(by members.ID, c works.Command) bool {
	n.ref++
	if !n.council.Propose(by, n.ref, c) {
		return false
	}
	if len(n.asked) >= mostAsked {
		clear(n.asked) // who is not answered asks again
	}
	n.asked[n.ref] = true
	return true
}

// renew has an owner's sign of life agreed on, or says where the leader is.
func (n *Node) renew(from members.ID, r *works.Renew) {
	if !n.propose(from, works.Command{Renew: r}) {
		n.send(from, Message{View: n.viewOf()})
	}
}

func (n *Node) viewOf() *View {
	v := &View{Leader: n.council.Leader(), Council: n.council.Names()}
	if standing, _ := n.council.Standing(); standing == council.Outside {
		v.Leader, v.Council = n.leader, n.names
	} else {
		v.Grants = n.council.State().List()
		for i := range v.Grants { // what owners hand on is for them
			v.Grants[i].Data = nil
		}
	}
	return v
}

func (n *Node) seenView(v *View) {
	if v.Leader != "" {
		if n.leader != v.Leader { // what it asked of another comes too late if it waits for its turn
			n.hand.Hurry(n.now)
		}
		n.leader, n.heardAt = v.Leader, n.now
	}
	if len(v.Council) > 0 {
		n.names = v.Council
	}
	if v.Grants != nil {
		n.view = v.Grants
		n.raise(v.Grants)
	}
}

// raise takes in which epochs have begun: one that restarted and lost what its gate had seen learns it again.
func (n *Node) raise(grants []works.Grant) {
	before := n.gate.Seen()
	for _, g := range grants {
		if g.Epoch > before[g.Work] {
			n.gate.Raise(g.Work, g.Epoch)
			n.out.Seen = true
		}
	}
}

// granted takes in what was agreed upon a renewal of this one.
func (n *Node) granted(g *Granted) {
	if g.To != n.self() {
		return
	}
	n.leader, n.heardAt = g.Leader, n.now
	n.hand.Renewed(n.now, g.Token, g.Held)
	for _, c := range g.Lost {
		n.hand.Refused(c)
		n.given = slices.DeleteFunc(n.given, func(g given) bool { return g.release.Claim == c })
	}
	for _, w := range g.Yield {
		n.GiveUp(n.now, w, false)
	}
}

// ordered has something agreed on, or passes it on to who leads.
func (n *Node) ordered(from members.ID, m *Message, c works.Command) {
	if !n.forward(from, m) {
		n.propose(from, c)
	}
}

// forward passes a message on to who leads, if that is another than this one and than who sent it.
func (n *Node) forward(from members.ID, m *Message) bool {
	lead := n.council.Leader()
	if n.council.Leads() || lead == "" || lead == n.facts.Self.ID || lead == from {
		return false
	}
	n.send(lead, *m)
	return true
}

// GiveUp stops a work and tells the council, that another can have it at once.
func (n *Node) GiveUp(now float64, w works.Work, failed bool) {
	n.now = max(n.now, now)
	if r := n.hand.GiveUp(w, failed); r != nil {
		if len(n.given) < mostGiven {
			n.given = append(n.given, given{r, n.now + mostGiving})
		}
		n.giveAt = n.now
		n.tellGiven()
	}
}

// tellGiven says again what was given up, until somebody says that it is known: else the council would wait for the lease.
func (n *Node) tellGiven() {
	n.given = slices.DeleteFunc(n.given, func(g given) bool { return n.now > g.until })
	if len(n.given) == 0 || n.now < n.giveAt {
		return
	}
	n.giveAt = n.now + giveEach
	for _, g := range n.given {
		n.toLeader(Message{Release: g.release})
	}
}

// HandOver has a work go to another controller, by an operator's word.
func (n *Node) HandOver(now float64, w works.Work, to members.ID) {
	n.now = max(n.now, now)
	n.wants = slices.DeleteFunc(n.wants, func(o wanted) bool { return o.want.Work == w })
	if len(n.wants) < mostGiven {
		n.wants = append(n.wants, wanted{&works.Want{Work: w, To: to}, n.now + mostGiving})
	}
	n.wantAt = n.now
	n.tellWants()
	n.turn()
}

// wanted is an operator's word that the council may not have heard yet.
type wanted struct {
	want  *works.Want
	until float64
}

// tellWants says operators' words again until it is seen that they were heard: the first may go to who does not lead.
func (n *Node) tellWants() {
	list, _ := n.Grants()
	n.wants = slices.DeleteFunc(n.wants, func(o wanted) bool {
		return n.now > o.until || slices.ContainsFunc(list, func(g works.Grant) bool {
			return g.Work == o.want.Work && (g.Wanted == o.want.To || g.Holder.ID == o.want.To)
		})
	})
	if len(n.wants) == 0 || n.now < n.wantAt {
		return
	}
	n.wantAt = n.now + offerEach
	for _, o := range n.wants {
		n.toLeader(Message{Want: o.want})
	}
	n.viewAt = min(n.viewAt, n.now+offerEach/2)
}

// Exchange has a member of the council replaced, by an operator's word.
func (n *Node) Exchange(now float64, old, with members.ID) {
	n.now = max(n.now, now)
	n.toLeader(Message{Replace: &Replace{old, with}})
	n.turn()
}

// toLeader sends to whoever is said to lead; if nobody is, to one of the council after another.
func (n *Node) toLeader(m Message) {
	if n.council.Leads() {
		n.mine(m)
		return
	}
	if lead := n.council.Leader(); lead != "" {
		n.leader = lead
	}
	to := n.leader
	if to == "" || n.now > n.heardAt+n.facts.Terms.RenewEach()*2 || to == n.facts.Self.ID {
		names := n.names
		if standing, _ := n.council.Standing(); standing != council.Outside {
			names = n.council.Names()
		}
		if n.askAt++; len(names) > 0 {
			to = names[n.askAt%len(names)]
		}
	}
	if to != "" && to != n.facts.Self.ID {
		n.send(to, m)
	}
}

// effect lets an effect of another pass, or not.
func (n *Node) effect(from members.ID, e *Effect) {
	ok, risen := n.gate.Pass(e.Claim.Work, e.Claim.Epoch)
	if ok {
		n.out.Taken = append(n.out.Taken, Taken{from, *e})
	}
	n.out.Seen = n.out.Seen || risen
	n.send(from, Message{Passed: &Passed{Work: e.Claim.Work, ID: e.ID, OK: ok, Seen: n.gate.Seen()[e.Claim.Work]}})
}

// Act sends an effect of a work that this one owns now; it is false where it does not, and then nothing is sent. The clock
// is looked at here, and the message goes after that: what a pause in between does is for the receiver's gate.
func (n *Node) Act(now float64, w works.Work, to members.ID, id uint64, data []byte) bool {
	n.now = max(n.now, now)
	epoch, _, ok := n.hand.May(n.now, w)
	if !ok {
		return false
	}
	n.send(to, Message{Effect: &Effect{works.Claim{Work: w, Epoch: epoch}, id, data}})
	return true
}

// Say sends a word of a work's program to that of another controller.
func (n *Node) Say(now float64, to members.ID, data []byte) {
	n.now = max(n.now, now)
	n.send(to, Message{Word: data})
}

// May tells whether this one owns a work now, in which epoch, and until when what it begins has to be done.
func (n *Node) May(now float64, w works.Work) (works.Epoch, float64, bool) { return n.hand.May(now, w) }

// Stop gives up all works, says that this one ends, and takes on no more.
func (n *Node) Stop(now float64) {
	n.now = max(n.now, now)
	n.stopping = true
	for _, c := range n.hand.Works(n.now) {
		n.GiveUp(n.now, c.Work, false)
	}
	n.members.Leave(n.now)
	n.turn()
}

// Trust is an operator's word that this member's folder is the latest.
func (n *Node) Trust(now float64) bool {
	n.now = max(n.now, now)
	ok := n.council.Trust()
	n.turn()
	return ok
}

// SetWilling says whether this one would take on works.
func (n *Node) SetWilling(now float64, willing bool) {
	n.members.SetWilling(now, willing && !n.stopping)
}

// turn lets each part do what is to be done by now.
func (n *Node) turn() {
	for range 4 { // what one part says to another of the same controller is heard at once
		n.lead()
		n.own()
		n.tellGiven()
		n.tellWants()
		if n.council.Leads() {
			n.viewAt = n.now + viewEach
		} else if n.now >= n.viewAt {
			n.viewAt = n.now + viewEach
			n.toLeader(Message{Where: &Where{}})
		}
		if !n.agreed() {
			break
		}
	}
	for _, o := range n.members.Out() {
		m := o.Message
		n.out.Sends = append(n.out.Sends, Send{o.To, o.Addr, Message{Members: &m}})
	}
	for _, m := range n.council.Out() {
		n.send(m.To.Name, Message{Council: &m})
	}
	n.out.Changes = append(n.out.Changes, n.members.Changes()...)
	began, ended := n.hand.Turns(n.now)
	n.out.Began, n.out.Ended = append(n.out.Began, began...), append(n.out.Ended, ended...)
}

// agreed takes in what the council has agreed on, and tells whether there was something.
func (n *Node) agreed() bool {
	list := n.council.Agreed()
	for _, a := range list {
		for _, w := range a.Changed {
			if g := n.council.State().Grants[w]; g != nil {
				n.raise([]works.Grant{*g})
			}
		}
		if n.steward == nil {
			continue
		}
		n.steward.Applied(n.now, a.Command, a.Changed)
		if a.Command.Give != nil && len(a.Changed) > 0 {
			n.offer(a.Changed[0])
		}
		if !n.asked[a.Ref] {
			continue
		}
		delete(n.asked, a.Ref)
		if r := a.Command.Renew; r != nil {
			n.answerRenewal(a, r)
		}
		if p := a.Command.Put; p != nil {
			n.answerState(p.Holder, p.Claim)
		}
		if g := a.Command.Get; g != nil {
			n.answerState(g.Holder, g.Claim)
		}
		if r := a.Command.Release; r != nil {
			n.send(r.Holder.ID, Message{Granted: &Granted{To: r.Holder, Lost: []works.Claim{r.Claim}, Leader: n.facts.Self.ID}})
		}
	}
	return len(list) > 0
}

func (n *Node) answerRenewal(a council.Applied, r *works.Renew) {
	reply := &Granted{To: r.Holder, Token: r.Token, Leader: n.facts.Self.ID}
	for _, c := range r.Claims {
		if !slices.Contains(a.Changed, c.Work) {
			reply.Lost = append(reply.Lost, c)
			continue
		}
		reply.Held = append(reply.Held, c)
		if g := n.council.State().Grants[c.Work]; g.Wanted != "" && g.Wanted != a.By || g.Dropped {
			reply.Yield = append(reply.Yield, c.Work)
		}
	}
	n.send(r.Holder.ID, Message{Granted: reply})
}

// answerState tells an owner what is handed on, whether or not its own word was taken: the serial tells it.
func (n *Node) answerState(h works.Holder, c works.Claim) {
	if g := n.council.State().Grants[c.Work]; g != nil && g.Holder == h && g.Epoch == c.Epoch {
		n.send(h.ID, Message{State: &Handed{To: h, Claim: c, Serial: g.Serial, Data: g.Data}})
	}
}

// handed takes in what the owners of a work hand on.
func (n *Node) handed(s *Handed) {
	if e, _, ok := n.hand.May(n.now, s.Claim.Work); s.To == n.self() && ok && e == s.Claim.Epoch {
		n.out.Handed = append(n.out.Handed, *s)
	}
}

// Put asks for the state of a work that this one owns to be handed on; what was agreed comes as Handed. It may be lost: ask
// again, with the same serial.
func (n *Node) Put(now float64, w works.Work, serial uint64, data []byte) bool {
	n.now = max(n.now, now)
	e, _, ok := n.hand.May(n.now, w)
	if ok {
		n.toLeader(Message{Put: &works.Put{Holder: n.self(), Claim: works.Claim{Work: w, Epoch: e}, Serial: serial, Data: data}})
	}
	return ok
}

// Get asks for what was handed on.
func (n *Node) Get(now float64, w works.Work) bool {
	n.now = max(n.now, now)
	e, _, ok := n.hand.May(n.now, w)
	if ok {
		n.toLeader(Message{Get: &works.Get{Holder: n.self(), Claim: works.Claim{Work: w, Epoch: e}}})
	}
	return ok
}

func (n *Node) offer(w works.Work) {
	if g := n.council.State().Grants[w]; g != nil && g.Held() {
		n.send(g.Holder.ID, Message{Offer: &Offer{g.Holder, works.Claim{Work: w, Epoch: g.Epoch}}})
	}
}

// lead does what the council's leader does.
func (n *Node) lead() {
	if !n.council.Leads() {
		n.steward = nil
		return
	}
	state := n.council.State()
	if n.steward == nil {
		n.steward = works.NewSteward(n.facts.Terms, n.now)
		n.stewdAt, n.offerAt = n.now, n.now
	}
	if n.now < n.stewdAt {
		return
	}
	if wanted := n.facts.Works; !named(state, wanted) {
		n.propose(n.facts.Self.ID, works.Command{Name: &works.Name{Works: wanted}})
	}
	for _, c := range n.steward.Decide(n.now, state, n.candidates()) {
		n.propose(n.facts.Self.ID, c)
	}
	if n.now >= n.offerAt { // an offer may be lost; who renews already does not mind
		n.offerAt = n.now + offerEach
		for _, w := range slices.Sorted(maps.Keys(state.Grants)) {
			n.offer(w)
		}
	}
	n.stewdAt = min(n.now+offerEach, max(n.now+50, n.steward.Next(n.now, state)))
}

// named tells whether the works are those wanted.
func named(s *works.State, wanted []works.Work) bool {
	there := 0
	for w, g := range s.Grants {
		if g.Dropped {
			continue
		}
		if there++; !slices.Contains(wanted, w) {
			return false
		}
	}
	return there == len(wanted)
}

// candidates are the members that are there, as far as this one believes.
func (n *Node) candidates() (list []works.Candidate) {
	for _, m := range n.members.Members() {
		if m.State <= members.Suspect && m.Run != 0 {
			list = append(list, works.Candidate{Holder: works.Holder{ID: m.ID, Run: m.Run}, Willing: m.Willing,
				Slow: m.State == members.Suspect || m.ID == n.facts.Self.ID}) // with this one the count of its leases would go
		}
	}
	return list
}

// own does what an owner does.
func (n *Node) own() {
	if n.stopping {
		return
	}
	if r := n.hand.Renewal(n.now); r != nil {
		n.toLeader(Message{Renew: r})
	}
}

// Take hands over what is to be done.
func (n *Node) Take() Output {
	if n.out.Batch == nil && !n.wholeOut {
		if whole := n.council.Compact(); whole != nil {
			n.out.Whole, n.wholeOut = whole, true
		} else {
			n.out.Batch = n.council.Batch()
		}
	}
	out := n.out
	n.out = Output{}
	return out
}

// Members are all that this one knows, itself among them.
func (n *Node) Members() []members.Member { return n.members.Members() }

// Works are what this one owns now.
func (n *Node) Works(now float64) []works.Claim { return n.hand.Works(now) }

// Council is this one's part of it.
func (n *Node) Council() *council.Council { return n.council }

// Table is this one's view of the members.
func (n *Node) Table() *members.Table { return n.members }

// Seen are the epochs that the gate has seen.
func (n *Node) Seen() map[works.Work]works.Epoch { return n.gate.Seen() }

// Grants is what this one knows of who owns what, and whether it is the council's own word: else it may be late.
func (n *Node) Grants() (list []works.Grant, own bool) {
	if standing, _ := n.council.Standing(); standing == council.Voting {
		return n.council.State().List(), true
	}
	return n.view, false
}

// CouncilNames are the council's members, as far as this one knows.
func (n *Node) CouncilNames() []members.ID {
	if standing, _ := n.council.Standing(); standing != council.Outside {
		return n.council.Names()
	}
	return n.names
}

// Leader is who is said to lead the council; empty: nobody.
func (n *Node) Leader() members.ID {
	if lead := n.council.Leader(); lead != "" {
		return lead
	}
	return n.leader
}
