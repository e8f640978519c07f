// Package node is one controller's part in a fleet as a whole: membership, the quorum, what this one owns and what it
// lets pass, with the messages in which they reach others. It is free of I/O and clocks, like all it puts together: a
// goroutine with sockets and a disk drives it in the daemon, a queue of events drives hundreds of it in virtual time, and
// both run the same program. It stands beside the loop, which neither waits for it nor asks it.
package node

import (
	"maps"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Message is what one controller says to another; one of its fields is set.
type Message struct {
	Members *members.Message `cbor:"1,keyasint,omitempty"`
	Council *quorum.Message  `cbor:"2,keyasint,omitempty"`
	Renew   *lease.Renew     `cbor:"3,keyasint,omitempty"`
	Granted *Granted         `cbor:"4,keyasint,omitempty"`
	Offer   *Offer           `cbor:"5,keyasint,omitempty"`
	Release *lease.Release   `cbor:"6,keyasint,omitempty"`
	Want    *lease.Prefer    `cbor:"7,keyasint,omitempty"`
	Where   *ViewRequest     `cbor:"8,keyasint,omitempty"`
	View    *View            `cbor:"9,keyasint,omitempty"`
	Effect  *Effect          `cbor:"10,keyasint,omitempty"`
	Passed  *Verdict         `cbor:"11,keyasint,omitempty"`
	Replace *Replace         `cbor:"12,keyasint,omitempty"`
	Word    []byte           `cbor:"13,keyasint,omitempty"` // of a lease's own program, to that of another
	Put     *lease.Put       `cbor:"14,keyasint,omitempty"`
	Get     *lease.Get       `cbor:"15,keyasint,omitempty"`
	State   *Checkpoint      `cbor:"16,keyasint,omitempty"`
	Config  *config.Message  `cbor:"17,keyasint,omitempty"` // may ride on a Members message
}

// Checkpoint is what the holders of a lease hand on, as it was agreed upon a Put or Get of its holder.
type Checkpoint struct {
	To     lease.Holder `cbor:"1,keyasint"`
	Claim  lease.Grant  `cbor:"2,keyasint"`
	Serial uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint"`
}

// Granted answers a Renew, when the quorum has agreed on it.
type Granted struct {
	Token  uint64        `cbor:"1,keyasint"`
	Held   []lease.Grant `cbor:"2,keyasint"`
	Lost   []lease.Grant `cbor:"3,keyasint,omitempty"` // claims that do not hold
	Yield  []lease.Name  `cbor:"4,keyasint,omitempty"` // to be given up: an operator wants them elsewhere
	Leader members.ID    `cbor:"5,keyasint"`
	To     lease.Holder  `cbor:"6,keyasint"` // tokens of another run count from the beginning too
}

// Offer says that the receiver's run owns a lease.
type Offer struct {
	To    lease.Holder `cbor:"1,keyasint"`
	Claim lease.Grant  `cbor:"2,keyasint"`
}

// ViewRequest asks a member of the quorum for its view.
type ViewRequest struct{}

// View is what a member of the quorum knows: it may be late. Leader is empty if it knows none.
type View struct {
	Leader  members.ID    `cbor:"1,keyasint"`
	Council []members.ID  `cbor:"2,keyasint"`
	Grants  []lease.Lease `cbor:"3,keyasint"`
}

// Effect is what an holder does at another controller.
type Effect struct {
	Claim lease.Grant `cbor:"1,keyasint"`
	ID    uint64      `cbor:"2,keyasint"`
	Data  []byte      `cbor:"3,keyasint"`
}

// Verdict answers an Effect: whether it was taken and, if not, for which fencing token it is refused.
type Verdict struct {
	Work lease.Name  `cbor:"1,keyasint"`
	ID   uint64      `cbor:"2,keyasint"`
	Seen lease.Token `cbor:"3,keyasint"`
	OK   bool        `cbor:"4,keyasint"`
}

// Replace is an operator's word to exchange a member of the quorum.
type Replace struct {
	Old  members.ID `cbor:"1,keyasint"`
	With members.ID `cbor:"2,keyasint"`
}

// Facts are what a controller is told at its start.
type Facts struct {
	Self     members.Member // Run is that of this start
	Seeds    []members.Member
	Founders []members.ID // of the quorum
	Works    []lease.Name // that there are to be
	Terms    lease.Terms
	Pace     members.Pace
	Disk     uint64 // drawn: the next life's in the quorum
	Seed     int64
	Config   *ConfigFacts // nil: the fleet does not agree on configuration
}

// Send is a message to be sent.
type Send struct {
	To      members.ID
	Addr    string
	Message Message
}

// Accepted is an effect that has passed the fencing check here.
type Accepted struct {
	From   members.ID
	Effect Effect
}

// JobMessage is what another controller's program of a lease said to this one's.
type JobMessage struct {
	From members.ID
	Data []byte
}

// Output is what is to be done after some input.
type Output struct {
	Sends   []Send
	Batch   *quorum.Batch  // to be made durable, then Saved; nothing of it has an effect before
	Whole   *quorum.Record // the same of a whole record that replaces all before it, then Kept
	Began   []lease.Grant  // this one owns these from now on
	Ended   []lease.Grant  // and no longer these
	Changes []members.Change
	Taken   []Accepted
	Passed  []Verdict
	Words   []JobMessage
	Handed  []Checkpoint
	Seen    bool          // the fencing check has seen a higher fencing token
	Config  config.Output // its Sends are among Sends
}

const (
	viewEach   = 5000.0 // ms after which who is no member of the quorum asks for its view
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
	quorum  *quorum.Replica
	leases  *lease.Manager // nil: this one does not lead
	client  *lease.Client
	fencing *lease.FencingCheck
	out     Output

	leader     members.ID // as far as this one has been told
	names      []members.ID
	view       []lease.Lease
	viewAt     float64 // to be asked for anew
	offerAt    float64
	stewdAt    float64
	askAt      int // whom to ask next
	heardAt    float64
	ref        uint64
	asked      map[uint64]bool // what this one proposed and is to be answered
	stopping   bool
	wholeOut   bool
	given      []given
	giveAt     float64
	wants      []wanted
	wantAt     float64
	config     *config.Replica // nil: off
	configSeen configSeen
}

// given is a lease that was given up, of which the quorum may not know yet.
type given struct {
	release *lease.Release
	until   float64
}

// New begins with what the quorum's records tell, and with the fencing tokens that the fencing check had seen, where these were kept.
func New(f Facts, kept []quorum.Record, seen map[lease.Name]lease.Token, now float64) (*Node, error) {
	c, err := quorum.New(quorum.Facts{Self: f.Self.ID, Founders: f.Founders, Run: f.Self.Run, Disk: f.Disk, Seed: f.Seed + 1},
		kept, now)
	if err != nil {
		return nil, err
	}
	n := &Node{facts: f, now: now, quorum: c, members: members.New(f.Self, f.Seeds, f.Pace, f.Seed, now),
		client: lease.NewClient(lease.Holder{ID: f.Self.ID, Run: f.Self.Run}, f.Terms), fencing: lease.NewFencingCheck(seen),
		names: slices.Clone(f.Founders), viewAt: now, asked: map[uint64]bool{}, ref: uint64(rand.New(rand.NewSource(f.Seed + 2)).Int63())}
	n.startConfig()
	return n, nil
}

// Receive takes in a message that a controller of this fleet and generation is proved to have sent.
func (n *Node) Receive(now float64, from members.ID, m *Message) {
	n.now = max(n.now, now)
	if m.Config != nil && n.config != nil {
		n.config.Receive(n.now, from, m.Config)
	}
	switch {
	case m.Members != nil:
		n.members.Receive(n.now, from, *m.Members)
	case m.Council != nil:
		n.quorum.Receive(n.now, from, m.Council)
	case m.Renew != nil:
		if m.Renew.Holder.ID == from {
			n.renew(from, m.Renew)
		}
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.leader, n.heardAt = from, n.now // who offers leads
			n.client.Offered(n.now, m.Offer.Claim)
		}
	case m.Release != nil:
		n.ordered(from, m, lease.Command{Release: m.Release})
	case m.Want != nil:
		n.ordered(from, m, lease.Command{Prefer: m.Want})
	case m.Put != nil:
		n.ordered(from, m, lease.Command{Put: m.Put})
	case m.Get != nil:
		n.ordered(from, m, lease.Command{Get: m.Get})
	case m.State != nil:
		n.handed(m.State)
	case m.Replace != nil:
		if !n.forward(from, m) {
			n.quorum.Replace(m.Replace.Old, m.Replace.With)
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
		n.out.Words = append(n.out.Words, JobMessage{from, m.Word})
	}
	n.turn()
}

// Tick takes in that time has passed.
func (n *Node) Tick(now float64) {
	n.now = max(n.now, now)
	n.members.Tick(n.now)
	n.quorum.Tick(n.now)
	if n.config != nil {
		n.config.Tick(n.now)
	}
	n.turn()
}

// Saved takes in that a batch is durable.
func (n *Node) Saved(now float64, b *quorum.Batch) {
	n.now = max(n.now, now)
	n.quorum.Done(n.now, b)
	n.turn()
}

// Kept takes in that a whole record is durable.
func (n *Node) Kept(now float64, r *quorum.Record) {
	n.now = max(n.now, now)
	n.quorum.Kept(r)
	n.wholeOut = false
	n.turn()
}

// Next is when Tick is to be called at the latest.
func (n *Node) Next() float64 {
	next := min(n.members.Next(), n.quorum.Next(), n.client.Next(n.now))
	if n.leases != nil {
		next = min(next, n.stewdAt)
	}
	if len(n.given) > 0 {
		next = min(next, n.giveAt)
	}
	if len(n.wants) > 0 {
		next = min(next, n.wantAt)
	}
	if !n.quorum.Leads() {
		next = min(next, n.viewAt)
	}
	if n.config != nil {
		next = min(next, n.config.Next())
	}
	return max(next, n.now)
}

func (n *Node) self() lease.Holder { return lease.Holder{ID: n.facts.Self.ID, Run: n.facts.Self.Run} }

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

// mine takes in what this one says to itself, where it is holder and leader at once.
func (n *Node) mine(m Message) {
	switch {
	case m.Renew != nil:
		n.renew(n.facts.Self.ID, m.Renew)
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.client.Offered(n.now, m.Offer.Claim)
		}
	case m.Release != nil:
		n.propose(n.facts.Self.ID, lease.Command{Release: m.Release})
	case m.Want != nil:
		n.propose(n.facts.Self.ID, lease.Command{Prefer: m.Want})
	case m.Put != nil:
		n.propose(n.facts.Self.ID, lease.Command{Put: m.Put})
	case m.Get != nil:
		n.propose(n.facts.Self.ID, lease.Command{Get: m.Get})
	case m.State != nil:
		n.handed(m.State)
	case m.Replace != nil:
		n.quorum.Replace(m.Replace.Old, m.Replace.With)
	case m.Effect != nil:
		n.effect(n.facts.Self.ID, m.Effect)
	case m.Passed != nil:
		n.out.Passed = append(n.out.Passed, *m.Passed)
	case m.Word != nil:
		n.out.Words = append(n.out.Words, JobMessage{n.facts.Self.ID, m.Word})
	}
}

// propose asks for something to be agreed on. What a leader applies again after a restart was not asked of it, and is not
// answered: it may be of any age.
func (n *Node) propose(by members.ID, c lease.Command) bool {
	n.ref++
	if !n.quorum.Propose(by, n.ref, c) {
		return false
	}
	if len(n.asked) >= mostAsked {
		clear(n.asked) // who is not answered asks again
	}
	n.asked[n.ref] = true
	return true
}

// renew has an holder's sign of life agreed on, or says where the leader is.
func (n *Node) renew(from members.ID, r *lease.Renew) {
	if !n.propose(from, lease.Command{Renew: r}) {
		n.send(from, Message{View: n.viewOf()})
	}
}

func (n *Node) viewOf() *View {
	v := &View{Leader: n.quorum.Leader(), Council: n.quorum.Names()}
	if standing, _ := n.quorum.Role(); standing == quorum.Outside {
		v.Leader, v.Council = n.leader, n.names
	} else {
		v.Grants = n.quorum.State().List()
		for i := range v.Grants { // what holders hand on is for them
			v.Grants[i].State = nil
		}
	}
	return v
}

func (n *Node) seenView(v *View) {
	if v.Leader != "" {
		if n.leader != v.Leader { // what it asked of another comes too late if it waits for its turn
			n.client.Hurry(n.now)
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

// raise takes in which fencing tokens have begun: one that restarted and lost what its fencing check had seen learns it again.
func (n *Node) raise(grants []lease.Lease) {
	before := n.fencing.Seen()
	for _, g := range grants {
		if g.Token > before[g.Name] {
			n.fencing.Raise(g.Name, g.Token)
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
	n.client.Renewed(n.now, g.Token, g.Held)
	for _, c := range g.Lost {
		n.client.Refused(c)
		n.given = slices.DeleteFunc(n.given, func(g given) bool { return g.release.Grant == c })
	}
	for _, w := range g.Yield {
		n.Release(n.now, w, false)
	}
}

// ordered has something agreed on, or passes it on to who leads.
func (n *Node) ordered(from members.ID, m *Message, c lease.Command) {
	if !n.forward(from, m) {
		n.propose(from, c)
	}
}

// forward passes a message on to who leads, if that is another than this one and than who sent it.
func (n *Node) forward(from members.ID, m *Message) bool {
	lead := n.quorum.Leader()
	if n.quorum.Leads() || lead == "" || lead == n.facts.Self.ID || lead == from {
		return false
	}
	n.send(lead, *m)
	return true
}

// Release stops a lease and tells the quorum, that another can have it at once.
func (n *Node) Release(now float64, w lease.Name, failed bool) {
	n.now = max(n.now, now)
	if r := n.client.GiveUp(w, failed); r != nil {
		if len(n.given) < mostGiven {
			n.given = append(n.given, given{r, n.now + mostGiving})
		}
		n.giveAt = n.now
		n.tellGiven()
	}
}

// tellGiven says again what was given up, until somebody says that it is known: else the quorum would wait for the lease.
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

// HandOver has a lease go to another controller, by an operator's word.
func (n *Node) HandOver(now float64, w lease.Name, to members.ID) {
	n.now = max(n.now, now)
	n.wants = slices.DeleteFunc(n.wants, func(o wanted) bool { return o.want.Name == w })
	if len(n.wants) < mostGiven {
		n.wants = append(n.wants, wanted{&lease.Prefer{Name: w, To: to}, n.now + mostGiving})
	}
	n.wantAt = n.now
	n.tellWants()
	n.turn()
}

// wanted is an operator's word that the quorum may not have heard yet.
type wanted struct {
	want  *lease.Prefer
	until float64
}

// tellWants says operators' words again until it is seen that they were heard: the first may go to who does not lead.
func (n *Node) tellWants() {
	list, _ := n.Leases()
	n.wants = slices.DeleteFunc(n.wants, func(o wanted) bool {
		return n.now > o.until || slices.ContainsFunc(list, func(g lease.Lease) bool {
			return g.Name == o.want.Name && (g.Preferred == o.want.To || g.Holder.ID == o.want.To)
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

// Exchange has a member of the quorum replaced, by an operator's word.
func (n *Node) Exchange(now float64, old, with members.ID) {
	n.now = max(n.now, now)
	n.toLeader(Message{Replace: &Replace{old, with}})
	n.turn()
}

// toLeader sends to whoever is said to lead; if nobody is, to one of the quorum after another.
func (n *Node) toLeader(m Message) {
	if n.quorum.Leads() {
		n.mine(m)
		return
	}
	if lead := n.quorum.Leader(); lead != "" {
		n.leader = lead
	}
	to := n.leader
	if to == "" || n.now > n.heardAt+n.facts.Terms.RenewEach()*2 || to == n.facts.Self.ID {
		names := n.names
		if standing, _ := n.quorum.Role(); standing != quorum.Outside {
			names = n.quorum.Names()
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
	ok, risen := n.fencing.Pass(e.Claim.Name, e.Claim.Token)
	if ok {
		n.out.Taken = append(n.out.Taken, Accepted{from, *e})
	}
	n.out.Seen = n.out.Seen || risen
	n.send(from, Message{Passed: &Verdict{Work: e.Claim.Name, ID: e.ID, OK: ok, Seen: n.fencing.Seen()[e.Claim.Name]}})
}

// TryEffect sends an effect of a lease that this one owns now; it is false where it does not, and then nothing is sent. The clock
// is looked at here, and the message goes after that: what a pause in between does is for the receiver's fencing check.
func (n *Node) TryEffect(now float64, w lease.Name, to members.ID, id uint64, data []byte) bool {
	n.now = max(n.now, now)
	epoch, _, ok := n.client.CanAct(n.now, w)
	if !ok {
		return false
	}
	n.send(to, Message{Effect: &Effect{lease.Grant{Name: w, Token: epoch}, id, data}})
	return true
}

// SendMessage sends a word of a lease's program to that of another controller.
func (n *Node) SendMessage(now float64, to members.ID, data []byte) {
	n.now = max(n.now, now)
	n.send(to, Message{Word: data})
}

// CanAct tells whether this one owns a lease now, in which fencing token, and until when what it begins has to be done.
func (n *Node) CanAct(now float64, w lease.Name) (lease.Token, float64, bool) {
	return n.client.CanAct(now, w)
}

// Stop gives up all leases, says that this one ends, and takes on no more.
func (n *Node) Stop(now float64) {
	n.now = max(n.now, now)
	n.stopping = true
	for _, c := range n.client.Held(n.now) {
		n.Release(n.now, c.Name, false)
	}
	n.members.Leave(n.now)
	n.turn()
}

// Trust is an operator's word that this member's folder is the latest.
func (n *Node) Trust(now float64) bool {
	n.now = max(n.now, now)
	ok := n.quorum.Trust()
	n.turn()
	return ok
}

// SetWilling says whether this one would take on leases.
func (n *Node) SetWilling(now float64, willing bool) {
	n.members.SetWilling(now, willing && !n.stopping)
}

// SetLeases says anew which leases there are to be. It counts where this one leads the quorum.
func (n *Node) SetLeases(now float64, names []lease.Name) {
	n.now = max(n.now, now)
	n.facts.Works = slices.Clone(names)
	n.stewdAt = n.now
	n.turn()
}

// turn lets each part do what is to be done by now.
func (n *Node) turn() {
	for range 4 { // what one part says to another of the same controller is heard at once
		n.lead()
		n.own()
		n.tellGiven()
		n.tellWants()
		if n.quorum.Leads() {
			n.viewAt = n.now + viewEach
		} else if n.now >= n.viewAt {
			n.viewAt = n.now + viewEach
			n.toLeader(Message{Where: &ViewRequest{}})
		}
		if !n.agreed() {
			break
		}
	}
	n.turnConfig()
	summary := n.summary()
	for _, o := range n.members.Out() {
		m := o.Message
		n.out.Sends = append(n.out.Sends, Send{o.To, o.Addr, Message{Members: &m, Config: summary}})
	}
	for _, m := range n.quorum.Out() {
		n.send(m.To.Name, Message{Council: &m})
	}
	n.out.Changes = append(n.out.Changes, n.members.Changes()...)
	began, ended := n.client.Turns(n.now)
	n.out.Began, n.out.Ended = append(n.out.Began, began...), append(n.out.Ended, ended...)
}

// agreed takes in what the quorum has agreed on, and tells whether there was something.
func (n *Node) agreed() bool {
	list := n.quorum.Agreed()
	for _, a := range list {
		for _, w := range a.Changed {
			if g := n.quorum.State().Leases[w]; g != nil {
				n.raise([]lease.Lease{*g})
			}
		}
		if n.leases == nil {
			continue
		}
		n.leases.Applied(n.now, a.Command, a.Changed)
		if a.Command.Assign != nil && len(a.Changed) > 0 {
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
			n.answerState(p.Holder, p.Grant)
		}
		if g := a.Command.Get; g != nil {
			n.answerState(g.Holder, g.Grant)
		}
		if r := a.Command.Release; r != nil {
			n.send(r.Holder.ID, Message{Granted: &Granted{To: r.Holder, Lost: []lease.Grant{r.Grant}, Leader: n.facts.Self.ID}})
		}
	}
	return len(list) > 0
}

func (n *Node) answerRenewal(a quorum.Applied, r *lease.Renew) {
	reply := &Granted{To: r.Holder, Token: r.Sequence, Leader: n.facts.Self.ID}
	for _, c := range r.Grants {
		if !slices.Contains(a.Changed, c.Name) {
			reply.Lost = append(reply.Lost, c)
			continue
		}
		reply.Held = append(reply.Held, c)
		if g := n.quorum.State().Leases[c.Name]; g.Preferred != "" && g.Preferred != a.By || g.Retired {
			reply.Yield = append(reply.Yield, c.Name)
		}
	}
	n.send(r.Holder.ID, Message{Granted: reply})
}

// answerState tells an holder what is handed on, whether or not its own word was taken: the serial tells it.
func (n *Node) answerState(h lease.Holder, c lease.Grant) {
	if g := n.quorum.State().Leases[c.Name]; g != nil && g.Holder == h && g.Token == c.Token {
		n.send(h.ID, Message{State: &Checkpoint{To: h, Claim: c, Serial: g.Serial, Data: g.State}})
	}
}

// handed takes in what the holders of a lease hand on.
func (n *Node) handed(s *Checkpoint) {
	if e, _, ok := n.client.CanAct(n.now, s.Claim.Name); s.To == n.self() && ok && e == s.Claim.Token {
		n.out.Handed = append(n.out.Handed, *s)
	}
}

// ProposeState asks for the state of a lease that this one owns to be handed on; what was agreed comes as Handed. It may be lost: ask
// again, with the same serial.
func (n *Node) ProposeState(now float64, w lease.Name, serial uint64, data []byte) bool {
	n.now = max(n.now, now)
	e, _, ok := n.client.CanAct(n.now, w)
	if ok {
		n.toLeader(Message{Put: &lease.Put{Holder: n.self(), Grant: lease.Grant{Name: w, Token: e}, Serial: serial, Data: data}})
	}
	return ok
}

// RequestState asks for what was handed on.
func (n *Node) RequestState(now float64, w lease.Name) bool {
	n.now = max(n.now, now)
	e, _, ok := n.client.CanAct(n.now, w)
	if ok {
		n.toLeader(Message{Get: &lease.Get{Holder: n.self(), Grant: lease.Grant{Name: w, Token: e}}})
	}
	return ok
}

func (n *Node) offer(w lease.Name) {
	if g := n.quorum.State().Leases[w]; g != nil && g.Held() {
		n.send(g.Holder.ID, Message{Offer: &Offer{g.Holder, lease.Grant{Name: w, Token: g.Token}}})
	}
}

// lead does what the quorum's leader does.
func (n *Node) lead() {
	if !n.quorum.Leads() {
		n.leases = nil
		return
	}
	state := n.quorum.State()
	if n.leases == nil {
		n.leases = lease.NewManager(n.facts.Terms, n.now)
		n.stewdAt, n.offerAt = n.now, n.now
	}
	if n.now < n.stewdAt {
		return
	}
	if wanted := n.facts.Works; !named(state, wanted) {
		n.propose(n.facts.Self.ID, lease.Command{Declare: &lease.Declare{Names: wanted}})
	}
	for _, c := range n.leases.Decide(n.now, state, n.candidates()) {
		n.propose(n.facts.Self.ID, c)
	}
	if n.now >= n.offerAt { // an offer may be lost; who renews already does not mind
		n.offerAt = n.now + offerEach
		for _, w := range slices.Sorted(maps.Keys(state.Leases)) {
			n.offer(w)
		}
	}
	n.stewdAt = min(n.now+offerEach, max(n.now+50, n.leases.Next(n.now, state)))
}

// named tells whether the leases are those wanted.
func named(s *lease.State, wanted []lease.Name) bool {
	there := 0
	for w, g := range s.Leases {
		if g.Retired {
			continue
		}
		if there++; !slices.Contains(wanted, w) {
			return false
		}
	}
	return there == len(wanted)
}

// candidates are the members that are there, as far as this one believes.
func (n *Node) candidates() (list []lease.Candidate) {
	for _, m := range n.members.Members() {
		if m.State <= members.Suspect && m.Run != 0 {
			list = append(list, lease.Candidate{Holder: lease.Holder{ID: m.ID, Run: m.Run}, Willing: m.Willing,
				Slow: m.State == members.Suspect || m.ID == n.facts.Self.ID}) // with this one the count of its leases would go
		}
	}
	return list
}

// own does what an holder does.
func (n *Node) own() {
	if n.stopping {
		return
	}
	if r := n.client.Renewal(n.now); r != nil {
		n.toLeader(Message{Renew: r})
	}
}

// Take hands over what is to be done.
func (n *Node) Take() Output {
	if n.out.Batch == nil && !n.wholeOut {
		if whole := n.quorum.Compact(); whole != nil {
			n.out.Whole, n.wholeOut = whole, true
		} else {
			n.out.Batch = n.quorum.Batch()
		}
	}
	out := n.out
	n.out = Output{}
	return out
}

// Members are all that this one knows, itself among them.
func (n *Node) Members() []members.Member { return n.members.Members() }

// Held are what this one owns now.
func (n *Node) Held(now float64) []lease.Grant { return n.client.Held(now) }

// Quorum is this one's part of it.
func (n *Node) Quorum() *quorum.Replica { return n.quorum }

// Table is this one's view of the members.
func (n *Node) Table() *members.Table { return n.members }

// Seen are the fencing tokens that the fencing check has seen.
func (n *Node) Seen() map[lease.Name]lease.Token { return n.fencing.Seen() }

// Leases is what this one knows of who owns what, and whether it is the quorum's own word: else it may be late.
func (n *Node) Leases() (list []lease.Lease, own bool) {
	if standing, _ := n.quorum.Role(); standing == quorum.Voting {
		return n.quorum.State().List(), true
	}
	return n.view, false
}

// Voters are the quorum's members, as far as this one knows.
func (n *Node) Voters() []members.ID {
	if standing, _ := n.quorum.Role(); standing != quorum.Outside {
		return n.quorum.Names()
	}
	return n.names
}

// Leader is who is said to lead the quorum; empty: nobody.
func (n *Node) Leader() members.ID {
	if lead := n.quorum.Leader(); lead != "" {
		return lead
	}
	return n.leader
}
