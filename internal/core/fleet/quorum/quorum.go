// Package quorum is a small group of controllers that agrees, for the fleet, on who owns which lease. The consensus is a
// library's state machine (go.etcd.io/raft/v3); here stand what is agreed on, who may vote, and what has to be kept
// before anything is said. It is free of I/O and clocks: it is told the time, takes messages in, and hands out batches
// of which the record has to be durable before the rest may have any effect. It stands beside the loop.
//
// A member must not vote as itself if its disk does not hold all that it ever said. It can't see that by itself, as an
// old copy of a folder looks like a good one. So each record has a serial number that rises, each message that rests on
// a record carries it, and whoever is told one keeps it durably before it makes use of the message. A member that
// starts is doubted: it says nothing of weight until each other member has told the highest number that it was ever told.
// If one of them knows more than the disk holds, or the disk is empty though somebody was told something, this incarnation of
// the member is over: it comes back as another, which the others take in as a newcomer, or never.
package quorum

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Incarnation is a member with one disk: who lost it or got an old copy of it back is another incarnation of the same name. Disk is 0
// for the first one.
type Incarnation struct {
	Name members.ID `cbor:"1,keyasint"`
	Disk uint64     `cbor:"2,keyasint"`
}

// Number is the life's id in the consensus.
func (l Incarnation) Number() uint64 {
	h := fnv.New64a()
	h.Write([]byte(l.Name))
	h.Write(binary.BigEndian.AppendUint64([]byte{0}, l.Disk))
	return cmp.Or(h.Sum64(), 1)
}

// Mark is the highest serial number that a incarnation told.
type Mark struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Serial      uint64      `cbor:"2,keyasint"`
}

// Record is what has to be durable before the rest of its batch has an effect. Records are kept in order; what a later
// one says replaces what an earlier one said.
type Record struct {
	Serial      uint64       `cbor:"1,keyasint"`
	Incarnation *Incarnation `cbor:"2,keyasint,omitempty"` // a incarnation begins: all records before it are void
	Hard        []byte       `cbor:"3,keyasint,omitempty"`
	Entries     [][]byte     `cbor:"4,keyasint,omitempty"`
	Snap        []byte       `cbor:"5,keyasint,omitempty"`
	Marks       []Mark       `cbor:"6,keyasint,omitempty"`
	Whole       bool         `cbor:"7,keyasint,omitempty"` // it holds all: the records before it are not needed
}

// Message is one between members.
type Message struct {
	From   Incarnation `cbor:"1,keyasint"`
	To     Incarnation `cbor:"2,keyasint"`
	Raft   []byte      `cbor:"3,keyasint,omitempty"`
	Serial uint64      `cbor:"4,keyasint,omitempty"`
	Ask    *Ask        `cbor:"5,keyasint,omitempty"`
	Answer *Answer     `cbor:"6,keyasint,omitempty"`
	Join   *Join       `cbor:"7,keyasint,omitempty"`
	Run    uint64      `cbor:"8,keyasint,omitempty"` // of the sender's process
	Invite bool        `cbor:"9,keyasint,omitempty"` // the leader asks one outside to join
}

// Ask is of one that starts: what was the highest number that you were ever told by this incarnation of mine?
type Ask struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Answer answers an Ask of a run.
type Answer struct {
	Run     uint64 `cbor:"1,keyasint"`
	Mark    uint64 `cbor:"2,keyasint"`
	Retired bool   `cbor:"3,keyasint,omitempty"` // that incarnation is over
	Led     bool   `cbor:"4,keyasint,omitempty"` // the quorum has a leader without the asker
}

// Join asks to be taken in, as a new life.
type Join struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Role is what a controller is in the quorum.
type Role uint8

const (
	Outside  Role = iota // it is no member
	Doubted              // its disk has not been vouched for yet
	Joining              // its former incarnation is over; it waits to be taken in as another
	Learning             // it has been taken in and does not vote yet
	Voting
)

var standings = [...]string{"outside", "doubted", "joining", "learning", "voting"}

func (s Role) String() string { return standings[s] }

// Times in ms, and counts.
const (
	tick          = 100.0
	electionTicks = 10
	beatTicks     = 3                    // between two signs of life of a leader
	election      = tick * electionTicks // without a word of a leader until one stands for election, and up to as much more
	askEach       = 500.0
	joinEach      = 1000.0
	giveUpAsking  = 5000.0 // after which one that some don't answer comes back as another incarnation, if the others do without it
	snapEach      = 256    // entries between two snapshots
	replaceWithin = 600000 // after which an exchange that did not come about is forgotten
	mostRetired   = 64
	mostPending   = 256 // proposals that are not agreed on yet
	mostWaiting   = 256 // messages that wait for the disk
)

// Facts are what a member is told at its start.
type Facts struct {
	Self     members.ID
	Founders []members.ID // the operator's quorum, until another is agreed on
	Run      uint64       // drawn at its start
	Disk     uint64       // drawn too: the next life's, if there has to be one
	Seed     int64
}

// agreed is the state that all members have alike.
type agreed struct {
	Grants  []lease.Lease `cbor:"1,keyasint"`
	Lives   []Incarnation `cbor:"2,keyasint"`
	Retired []Incarnation `cbor:"3,keyasint"`
	Out     []members.ID  `cbor:"4,keyasint,omitempty"` // taken out by an operator's word: they don't come back by themselves
}

// changing is what a change of the quorum says of itself.
type changing struct {
	Life Incarnation `cbor:"1,keyasint"`
	Out  bool        `cbor:"2,keyasint,omitempty"`
}

// Applied is a command that has been agreed on.
type Applied struct {
	Command lease.Command
	Changed []lease.Name
	By      members.ID // who proposed it
	Ref     uint64     // its number of it
}

type envelope struct {
	By      members.ID    `cbor:"1,keyasint"`
	Ref     uint64        `cbor:"2,keyasint"`
	Command lease.Command `cbor:"3,keyasint"`
}

// Batch is what one look at the quorum asks for: first Record is made durable, if there is one; then Done is called.
type Batch struct {
	Record *Record
	ready  *raft.Ready
	marks  map[Incarnation]uint64
	steps  []*pb.Message
	mine   bool // a record that is no part of the consensus: a new life, or marks alone
}

// Replica is one controller's part. It is for one goroutine.
type Replica struct {
	facts       Facts
	rng         *rand.Rand
	now         float64
	incarnation Incarnation
	run         uint64

	role         Role
	why          string // it is not voting
	node         *raft.RawNode
	storage      *raft.MemoryStorage
	conf         *pb.ConfState
	state        lease.State
	incarnations map[uint64]Incarnation
	retired      []Incarnation
	replaced     []members.ID
	serial       uint64 // of the last record that is durable
	marks        map[Incarnation]uint64
	spoke        Incarnation            // the last that spoke to one that knows nobody
	inflight     map[Incarnation]uint64 // marks that are being made durable
	asked        map[Incarnation]uint64 // which run of a incarnation asked last: what earlier ones wrote is not heeded any more
	applied      uint64
	snapAt       uint64

	told       map[members.ID]bool // who has vouched for this disk
	led        bool                // somebody says that the others do without this one
	hoping     bool                // it asks to be taken in as another incarnation, and goes on as itself if all vouch for it first
	startedAt  float64
	askAt      float64
	tickAt     float64
	electAt    float64
	leading    bool
	joins      map[members.ID]joining
	waiting    []*pb.Message
	waitMarks  map[Incarnation]uint64
	newLife    bool
	busy       bool // a batch is out
	out        []Message
	done       []Applied
	confOut    bool // a change of the quorum has been proposed
	confAt     float64
	replaceOut []replacing
	snapWanted bool
}

type joining struct {
	life Incarnation
	at   float64
}

var errOrder = errors.New("records are not in order")

// New takes up what the records of a folder tell; none, for one that is new. Named tells whether this controller is one
// of the quorum at all.
func New(f Facts, kept []Record, now float64) (*Replica, error) {
	c := &Replica{facts: f, rng: rand.New(rand.NewSource(f.Seed)), now: now, incarnation: Incarnation{Name: f.Self}, run: f.Run,
		marks: map[Incarnation]uint64{}, incarnations: map[uint64]Incarnation{}, told: map[members.ID]bool{}, asked: map[Incarnation]uint64{}, joins: map[members.ID]joining{},
		waitMarks: map[Incarnation]uint64{}, startedAt: now, tickAt: now, askAt: now}
	c.reset()
	if err := c.replay(kept); err != nil {
		return nil, err
	}
	switch {
	case c.incarnation.Disk == 0 && !slices.Contains(f.Founders, f.Self) && len(kept) == 0:
		c.role, c.why = Outside, "not one of the council"
	default: // a later life too: a copy of its folder from before it was taken in looks like one that never was
		c.role, c.why = Doubted, "its disk has not been vouched for yet"
		if len(c.others()) == 0 {
			c.trust()
		}
	}
	return c, nil
}

// reset begins with what the founders have alike.
func (c *Replica) reset() {
	c.storage, c.node, c.applied, c.snapAt = raft.NewMemoryStorage(), nil, 0, 0
	c.state, c.incarnations, c.retired, c.replaced = lease.State{}, map[uint64]Incarnation{}, nil, nil
	c.conf = &pb.ConfState{}
	if c.incarnation.Disk != 0 {
		return // a newcomer is told all by the leader
	}
	for _, name := range c.facts.Founders {
		l := Incarnation{Name: name}
		c.incarnations[l.Number()] = l
	}
	c.conf.Voters = slices.Sorted(maps.Keys(c.incarnations))
	data, _ := cbor.Marshal(c.agreed())
	c.storage.ApplySnapshot(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: c.conf, Index: new(uint64(1)),
		Term: new(uint64(1))}})
	c.applied, c.snapAt = 1, 1
}

func (c *Replica) agreed() agreed {
	a := agreed{Grants: c.state.List(), Retired: c.retired, Out: c.replaced}
	for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
		a.Lives = append(a.Lives, c.incarnations[n])
	}
	return a
}

func (c *Replica) restore(data []byte) error {
	var a agreed
	if err := cbor.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("agreed state: %w", err)
	}
	c.state.Restore(a.Grants)
	c.retired, c.replaced, c.incarnations = a.Retired, a.Out, map[uint64]Incarnation{}
	for _, l := range a.Lives {
		c.incarnations[l.Number()] = l
	}
	return nil
}

func (c *Replica) replay(kept []Record) error {
	for i, r := range kept {
		if i > 0 && r.Serial != c.serial+1 || r.Serial == 0 {
			return fmt.Errorf("%w: %d after %d", errOrder, r.Serial, c.serial)
		}
		c.serial = r.Serial
		if r.Incarnation != nil {
			c.incarnation = *r.Incarnation
			c.reset()
		}
		for _, m := range r.Marks {
			c.marks[m.Incarnation] = max(c.marks[m.Incarnation], m.Serial)
		}
		if err := c.keep(&r); err != nil {
			return err
		}
	}
	hard, _, err := c.storage.InitialState()
	if err != nil || hard == nil {
		return err
	}
	if hard.GetCommit() < c.applied { // what was committed is not kept by itself
		hard = &pb.HardState{Term: new(hard.GetTerm()), Vote: new(hard.GetVote()), Commit: new(c.applied)}
		if err := c.storage.SetHardState(hard); err != nil {
			return err
		}
	}
	first, _ := c.storage.FirstIndex() // what is committed shows who is in the quorum; the rest is agreed on again
	entries, err := c.storage.Entries(first, max(first, hard.GetCommit()+1), 1<<30)
	if err != nil && len(entries) > 0 {
		return err
	}
	for _, e := range entries {
		c.apply(e)
	}
	return nil
}

// keep takes a record into the storage that the consensus reads.
func (c *Replica) keep(r *Record) error {
	if r.Snap != nil {
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(r.Snap, snap); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if err := c.storage.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		if err := c.restore(snap.GetData()); err != nil {
			return err
		}
		c.conf = snap.GetMetadata().GetConfState()
		c.applied, c.snapAt = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	}
	var entries []*pb.Entry
	for _, b := range r.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		entries = append(entries, e)
	}
	if err := c.storage.Append(entries); err != nil {
		return err
	}
	if r.Hard != nil {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(r.Hard, hard); err != nil {
			return fmt.Errorf("hard state: %w", err)
		}
		return c.storage.SetHardState(hard)
	}
	return nil
}

func (c *Replica) member() bool { return c.incarnations[c.incarnation.Number()] == c.incarnation }

func (c *Replica) voter() bool { return slices.Contains(c.conf.GetVoters(), c.incarnation.Number()) }

// others are the names of the other members, as this one knows it.
func (c *Replica) others() (names []members.ID) {
	for _, l := range c.incarnations {
		if l.Name != c.facts.Self && !slices.Contains(names, l.Name) {
			names = append(names, l.Name)
		}
	}
	if len(c.incarnations) == 0 {
		for _, name := range c.facts.Founders {
			if name != c.facts.Self {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// start runs the consensus from the last snapshot on: it knows the quorum of that one alone, and is told the changes since by
// applying them again.
func (c *Replica) start() {
	if snap, err := c.storage.Snapshot(); err == nil && !raft.IsEmptySnap(snap) {
		if err := c.restore(snap.GetData()); err != nil {
			c.why = err.Error()
			return
		}
		c.conf = snap.GetMetadata().GetConfState()
		c.applied, c.snapAt = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	}
	node, err := raft.NewRawNode(&raft.Config{ID: c.incarnation.Number(), ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: c.storage,
		Applied: c.applied, MaxSizePerMsg: 64 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 1 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		c.node, c.why = nil, err.Error()
		return
	}
	c.node = node
	c.heard()
}

// trust begins to take part: this disk holds all that this incarnation ever said.
func (c *Replica) trust() {
	if c.incarnation.Disk != 0 && !c.member() {
		c.role, c.why = Joining, "its former life is over"
		c.start()
		return
	}
	c.role, c.why = Voting, ""
	c.start()
	c.stand()
}

// Trust is an operator's word that the folder is the latest there is.
func (c *Replica) Trust() bool {
	if c.role != Doubted {
		return false
	}
	c.trust()
	return true
}

// stand says anew what this one is, by the quorum that is agreed on.
func (c *Replica) stand() {
	switch {
	case c.role == Outside || c.role == Doubted:
	case c.voter():
		c.role, c.why = Voting, ""
	case c.member():
		c.role, c.why = Learning, "it has not caught up yet"
	case slices.Contains(c.replaced, c.facts.Self):
		c.role, c.why, c.node, c.leading = Outside, "taken out of the council by an operator's word", nil, false
	case c.role != Joining:
		c.over("the council goes on without it")
	}
}

// heard puts off the next election: by chance, that not all stand at once.
func (c *Replica) heard() { c.electAt = c.now + election*(1+c.rng.Float64()) }

// Tick takes in that time has passed.
func (c *Replica) Tick(now float64) {
	c.now = max(c.now, now)
	switch c.role {
	case Outside:
		return
	case Doubted:
		if c.now >= c.askAt {
			c.askAt = c.now + askEach
			for _, name := range c.others() {
				c.send(Incarnation{Name: name}, Message{Ask: &Ask{c.run}})
			}
			if c.hoping = c.led && c.now > c.startedAt+giveUpAsking; c.hoping { // whichever comes first
				c.why = "not all others can vouch for its disk; asking to be taken in as another life"
				for _, name := range c.others() {
					c.out = append(c.out, Message{From: c.next(), To: Incarnation{Name: name}, Run: c.run, Join: &Join{c.run}})
				}
			}
		}
		return
	case Joining:
		if c.now >= c.askAt && !c.newLife {
			c.askAt = c.now + joinEach
			asked := c.others()
			if c.spoke.Name != "" && !slices.Contains(asked, c.spoke.Name) {
				asked = append(asked, c.spoke.Name)
			}
			for _, name := range asked {
				c.send(Incarnation{Name: name}, Message{Join: &Join{c.run}})
			}
		}
	}
	if c.node == nil {
		return
	}
	for n := 0; c.tickAt <= c.now; n++ {
		if c.tickAt += tick; n >= electionTicks { // it stood still: what it missed is not to be made up for
			c.tickAt = c.now + tick
		}
		if c.leading {
			c.node.Tick()
		} else {
			c.node.TickQuiesced() // elections go by this one's own draws: the library's are not by a seed
		}
	}
	if !c.leading && c.role == Voting && c.now >= c.electAt {
		c.heard()
		c.node.Campaign()
	}
	if c.leading {
		c.exchange()
	}
}

// Next is when Tick is to be called at the latest.
func (c *Replica) Next() float64 {
	if c.role == Outside {
		return c.now + 60000
	}
	if c.node == nil {
		return c.askAt
	}
	return c.tickAt
}

func (c *Replica) send(to Incarnation, m Message) {
	m.From, m.To, m.Run = c.incarnation, to, c.run
	c.out = append(c.out, m)
}

// next is the life that this one would come back as.
func (c *Replica) next() Incarnation { return Incarnation{Name: c.facts.Self, Disk: c.facts.Disk} }

// over ends this incarnation: nothing that its disk says is taken as said by it, and it comes back as another.
func (c *Replica) over(why string) {
	c.role, c.why, c.node, c.leading, c.newLife = Joining, why, nil, false, true
	c.waiting, c.waitMarks = nil, map[Incarnation]uint64{}
	c.askAt, c.hoping = c.now, false
	if c.incarnation == c.next() { // the second of one process
		c.facts.Disk = max(1, c.rng.Uint64())
	}
}

// Receive takes in a message of a member.
func (c *Replica) Receive(now float64, from members.ID, m *Message) {
	c.now = max(c.now, now)
	if m.From.Name != from || m.To.Name != c.facts.Self || from == c.facts.Self {
		return
	}
	switch {
	case m.Ask != nil:
		c.answer(m)
	case m.Answer != nil:
		c.vouched(from, m.Answer)
	case m.Join != nil:
		if c.leading && len(c.joins) < mostRetired && (c.invited(from) || !slices.Contains(c.replaced, from) &&
			(c.knows(from) || slices.Contains(c.facts.Founders, from))) {
			c.joins[from] = joining{m.From, c.now}
		}
	case m.Invite:
		if c.role == Outside && !c.newLife {
			c.spoke = m.From
			c.over("asked to join the council")
		}
	case m.Raft != nil:
		c.step(m)
	}
}

func (c *Replica) knows(name members.ID) bool {
	for _, l := range c.incarnations {
		if l.Name == name {
			return true
		}
	}
	return false
}

// answer tells one that starts what it is known to have said: what waits for the disk here too, as it will be made use of.
// What an earlier run of it wrote and that is still on its way is not heeded from now on, or it could be made use of
// after it was denied.
func (c *Replica) answer(m *Message) {
	if m.Ask.Run != m.Run || c.newLife {
		return
	}
	if len(c.asked) >= mostRetired && c.asked[m.From] == 0 {
		return
	}
	c.asked[m.From] = m.Run
	t := &Answer{Run: m.Ask.Run, Mark: max(c.marks[m.From], c.waitMarks[m.From], c.inflight[m.From]),
		Retired: slices.Contains(c.retired, m.From)}
	if c.node != nil && c.role == Voting {
		lead := c.incarnations[c.node.BasicStatus().Lead]
		t.Led = lead.Name != "" && lead.Name != m.From.Name
	}
	c.send(m.From, Message{Answer: t})
}

// vouched takes in what another knows of this incarnation.
func (c *Replica) vouched(from members.ID, t *Answer) {
	if c.role != Doubted || t.Run != c.run {
		return
	}
	if t.Retired {
		c.over(fmt.Sprintf("%s says that this life is over", from))
		return
	}
	if t.Mark > c.serial {
		c.over(fmt.Sprintf("%s was told of record %d, the folder ends with %d: an older copy", from, t.Mark, c.serial))
		return
	}
	c.led = c.led || t.Led
	c.told[from] = true
	for _, name := range c.others() {
		if !c.told[name] {
			return
		}
	}
	c.trust()
}

// step takes in a message of the consensus: at once, or when the number that it carries is durable here.
func (c *Replica) step(m *Message) {
	if run, ok := c.asked[m.From]; ok && run != m.Run {
		return
	}
	if m.To == c.next() && m.To != c.incarnation && !c.newLife { // its old incarnation has left the quorum, whether or not it was vouched for since
		c.over("taken in as another life, as not all others could vouch for its disk")
		return
	}
	if c.node == nil || c.role == Doubted || m.To != c.incarnation || slices.Contains(c.retired, m.From) {
		return
	}
	r := &pb.Message{}
	if proto.Unmarshal(m.Raft, r) != nil || r.GetFrom() != m.From.Number() || r.GetTo() != c.incarnation.Number() {
		return
	}
	if len(c.incarnations) == 0 { // one that is taken in knows nobody yet but who speaks to it
		c.spoke = m.From
	}
	if m.Serial > c.marks[m.From] {
		if len(c.waiting) < mostWaiting {
			c.waitMarks[m.From] = max(c.waitMarks[m.From], m.Serial)
			c.waiting = append(c.waiting, r)
		}
		return
	}
	c.take(r)
}

func (c *Replica) take(r *pb.Message) {
	switch r.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		c.heard()
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return // no member asks another for these
	}
	c.node.Step(r) // what it can't use it says by an error, and has not taken in
}

// Propose asks for a command to be agreed on; it is false where this one does not lead, or too much is on its way.
func (c *Replica) Propose(by members.ID, ref uint64, cmd lease.Command) bool {
	if !c.leading || c.node == nil {
		return false
	}
	data, err := cbor.Marshal(envelope{by, ref, cmd})
	return err == nil && c.node.Propose(data) == nil
}

// replacing is an operator's word: old leaves, with comes in its place, or nobody.
type replacing struct {
	old, with members.ID
	until     float64
	askAt     float64
}

// Replace has a member leave, by an operator's word; first another one joins in its place and has a vote, unless that is
// empty. It is false where this one does not lead, or the first is no member.
func (c *Replica) Replace(old, with members.ID) bool {
	if !c.leading || !c.knows(old) || old == with || len(c.replaceOut) >= mostRetired {
		return false
	}
	c.replaceOut = append(c.replaceOut, replacing{old: old, with: with, until: c.now + replaceWithin})
	return true
}

// votes tells whether one of a name has a vote.
func (c *Replica) votes(name members.ID) bool {
	for n, l := range c.incarnations {
		if l.Name == name && slices.Contains(c.conf.GetVoters(), n) {
			return true
		}
	}
	return false
}

// invited tells whether one outside has been asked to join.
func (c *Replica) invited(name members.ID) bool {
	return slices.ContainsFunc(c.replaceOut, func(r replacing) bool { return r.with == name })
}

// replace goes on with what operators asked for, and tells whether it changed the quorum.
func (c *Replica) replace() bool {
	c.replaceOut = slices.DeleteFunc(c.replaceOut, func(r replacing) bool { return c.now > r.until || !c.knows(r.old) })
	for i := range c.replaceOut {
		r := &c.replaceOut[i]
		if r.with != "" && !c.votes(r.with) {
			if c.now >= r.askAt {
				r.askAt = c.now + joinEach
				c.send(Incarnation{Name: r.with}, Message{Invite: true})
			}
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
			if l := c.incarnations[n]; l.Name == r.old {
				c.change(pb.ConfChangeRemoveNode, l, true)
				return true
			}
		}
	}
	return false
}

// exchange brings the quorum's incarnations to those wanted, one change at a time: who came back as another incarnation is taken in
// as a learner in place of the one that is over, and votes when it has caught up.
func (c *Replica) exchange() {
	if c.confOut && c.now < c.confAt+3000 {
		return
	}
	c.confOut = false
	for _, name := range slices.Sorted(maps.Keys(c.joins)) {
		j := c.joins[name]
		if c.now > j.at+5*joinEach {
			delete(c.joins, name)
			continue
		}
		if slices.Contains(c.retired, j.life) {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
			if l := c.incarnations[n]; l.Name == name && l != j.life {
				c.change(pb.ConfChangeRemoveNode, l, false)
				return
			}
		}
		if c.incarnations[j.life.Number()] != j.life {
			c.change(pb.ConfChangeAddLearnerNode, j.life, false)
			return
		}
	}
	last, _ := c.storage.LastIndex()
	promote := Incarnation{}
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr raftProgress) {
		if l, ok := c.incarnations[id]; ok && pr.IsLearner && pr.Match+16 > last && pr.RecentActive {
			promote = l
		}
	})
	if promote.Name != "" {
		c.change(pb.ConfChangeAddNode, promote, false)
		return
	}
	c.replace()
}

func (c *Replica) change(t pb.ConfChangeType, l Incarnation, out bool) {
	context, err := cbor.Marshal(changing{l, out})
	if err != nil {
		return
	}
	c.confOut, c.confAt = true, c.now
	c.node.ProposeConfChange(&pb.ConfChange{Type: &t, NodeId: new(l.Number()), Context: context})
}

// Batch is the next thing to be done, nil if there is none or one is under way.
func (c *Replica) Batch() *Batch {
	if c.busy {
		return nil
	}
	b := &Batch{Record: &Record{Serial: c.serial + 1}}
	if c.newLife { // the folder is begun anew ahead of anything that the new life says
		life := c.next()
		b.Record.Incarnation = &life
		b.Record.Marks = c.allMarks()
		b.Record.Whole, b.mine, c.busy = true, true, true
		return b
	}
	if len(c.waiting) > 0 {
		b.marks, b.steps = c.waitMarks, c.waiting
		c.inflight, c.waitMarks, c.waiting = c.waitMarks, map[Incarnation]uint64{}, nil
		for l, serial := range b.marks {
			b.Record.Marks = append(b.Record.Marks, Mark{l, serial})
		}
		slices.SortFunc(b.Record.Marks, func(x, y Mark) int { return cmp.Compare(x.Incarnation.Number(), y.Incarnation.Number()) })
	}
	if c.node != nil && c.node.HasReady() {
		ready := c.node.Ready()
		b.ready = &ready
		c.fill(b.Record, &ready)
	}
	if b.ready == nil && b.steps == nil {
		return nil
	}
	if r := b.Record; r.Hard == nil && r.Entries == nil && r.Snap == nil && r.Marks == nil {
		b.Record = nil
	}
	c.busy = true
	return b
}

func (c *Replica) allMarks() (marks []Mark) {
	for l, serial := range c.marks {
		marks = append(marks, Mark{l, serial})
	}
	slices.SortFunc(marks, func(x, y Mark) int { return cmp.Compare(x.Incarnation.Number(), y.Incarnation.Number()) })
	return marks
}

func (c *Replica) fill(r *Record, ready *raft.Ready) {
	if ready.HardState != nil && (ready.MustSync || ready.Snapshot != nil) { // what is committed alone is found out again
		r.Hard, _ = proto.Marshal(ready.HardState)
	}
	for _, e := range ready.Entries {
		b, _ := proto.Marshal(e)
		r.Entries = append(r.Entries, b)
	}
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		r.Snap, _ = proto.Marshal(ready.Snapshot)
	}
}

// Done takes in that a batch's record is durable: now its messages may go and its commands hold.
func (c *Replica) Done(now float64, b *Batch) {
	c.now, c.busy, c.inflight = max(c.now, now), false, nil
	if b.Record != nil {
		c.serial = b.Record.Serial
	}
	if b.mine {
		if c.newLife = false; b.Record.Incarnation != nil {
			c.incarnation = *b.Record.Incarnation
			c.reset()
			c.start()
		}
		return
	}
	for l, serial := range b.marks {
		c.marks[l] = max(c.marks[l], serial)
	}
	if b.ready != nil && c.node != nil && !c.newLife {
		c.advance(b)
	}
	if c.node != nil && !c.newLife {
		for _, r := range b.steps {
			c.take(r)
		}
	}
}

func (c *Replica) advance(b *Batch) {
	ready := b.ready
	if b.Record != nil {
		if err := c.keep(b.Record); err != nil {
			c.node, c.why = nil, err.Error()
			return
		}
	}
	if ready.SoftState != nil {
		if led := ready.SoftState.RaftState == raft.StateLeader; led != c.leading {
			c.leading, c.confOut = led, false
			c.joins, c.replaceOut = map[members.ID]joining{}, nil // an operator asks the next leader again
		}
	}
	for _, m := range ready.Messages {
		to, ok := c.incarnations[m.GetTo()]
		if !ok && c.spoke.Number() == m.GetTo() {
			to, ok = c.spoke, true
		}
		if !ok {
			continue
		}
		if data, err := proto.Marshal(m); err == nil {
			serial := uint64(0)
			if rests(m) {
				serial = c.serial
			}
			c.send(to, Message{Raft: data, Serial: serial})
		}
		if m.GetType() == pb.MsgSnap { // if it is lost, the next one is not held up
			c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range ready.CommittedEntries {
		c.apply(e)
	}
	c.node.Advance(*ready)
	c.stand()
	if c.applied >= c.snapAt+snapEach {
		c.snapWanted = true
	}
}

// rests tells whether a message promises something by what is kept: a vote, entries, or that they have been taken. Signs of
// life do not, or each would have the other side keep a record, which its own would tell of, without end.
func rests(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return false
	case pb.MsgApp:
		return len(m.GetEntries()) > 0
	}
	return true
}

// apply takes in an entry that has been agreed on.
func (c *Replica) apply(e *pb.Entry) {
	if e.GetIndex() <= c.applied {
		return
	}
	c.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryNormal:
		var env envelope
		if len(e.GetData()) == 0 || cbor.Unmarshal(e.GetData(), &env) != nil {
			return
		}
		changed := c.state.Apply(env.Command)
		c.done = append(c.done, Applied{env.Command, changed, env.By, env.Ref})
	case pb.EntryConfChange:
		change := &pb.ConfChange{}
		if proto.Unmarshal(e.GetData(), change) != nil {
			return
		}
		var what changing
		if l := &what.Life; cbor.Unmarshal(change.GetContext(), &what) == nil && l.Number() == change.GetNodeId() {
			if change.GetType() == pb.ConfChangeRemoveNode {
				delete(c.incarnations, l.Number())
				if what.Out && !slices.Contains(c.replaced, l.Name) && len(c.replaced) < mostRetired {
					c.replaced = append(c.replaced, l.Name)
				}
				if c.retired = append(c.retired, *l); len(c.retired) > mostRetired {
					c.retired = c.retired[1:]
				}
			} else {
				c.incarnations[l.Number()] = *l
				c.replaced = slices.DeleteFunc(c.replaced, func(id members.ID) bool { return id == l.Name })
				c.snapWanted = c.snapWanted || change.GetType() == pb.ConfChangeAddLearnerNode // it takes none without itself
			}
		}
		c.confOut = false
		if c.node != nil {
			c.conf = c.node.ApplyConfChange(change)
		} else {
			c.conf = changed(c.conf, change)
		}
	}
}

// changed is a quorum after a change, where no consensus runs that would tell: at a start.
func changed(was *pb.ConfState, change *pb.ConfChange) *pb.ConfState {
	id := change.GetNodeId()
	without := func(ids []uint64) []uint64 {
		return slices.DeleteFunc(slices.Clone(ids), func(x uint64) bool { return x == id })
	}
	is := &pb.ConfState{Voters: without(was.GetVoters()), Learners: without(was.GetLearners())}
	switch change.GetType() {
	case pb.ConfChangeAddNode:
		is.Voters = append(is.Voters, id)
		slices.Sort(is.Voters)
	case pb.ConfChangeAddLearnerNode:
		is.Learners = append(is.Learners, id)
		slices.Sort(is.Learners)
	}
	return is
}

// Compact is a record that holds all, if the log has grown long; the records before it may go once it is durable. It is
// to be kept as a batch is, with nothing else under way.
func (c *Replica) Compact() *Record {
	if !c.snapWanted || c.busy || c.node == nil || c.newLife {
		return nil
	}
	c.snapWanted = false
	data, err := cbor.Marshal(c.agreed())
	if err != nil {
		return nil
	}
	snap, err := c.storage.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		return nil
	}
	c.storage.Compact(c.applied)
	c.snapAt = c.applied
	return c.Whole(snap)
}

// Whole is a record that holds all that the records so far do.
func (c *Replica) Whole(snap *pb.Snapshot) *Record {
	life := c.incarnation
	r := &Record{Serial: c.serial + 1, Incarnation: &life, Marks: c.allMarks(), Whole: true}
	r.Snap, _ = proto.Marshal(snap)
	if hard, _, err := c.storage.InitialState(); err == nil && hard != nil {
		r.Hard, _ = proto.Marshal(hard)
	}
	first, _ := c.storage.FirstIndex()
	last, _ := c.storage.LastIndex()
	if entries, err := c.storage.Entries(first, last+1, 1<<30); err == nil {
		for _, e := range entries {
			b, _ := proto.Marshal(e)
			r.Entries = append(r.Entries, b)
		}
	}
	return r
}

// Kept takes in that a record of Compact is durable.
func (c *Replica) Kept(r *Record) { c.serial = r.Serial }

// Out hands over what is to be sent since the last call.
func (c *Replica) Out() []Message {
	out := c.out
	c.out = nil
	return out
}

// Done hands over what has been agreed on since the last call.
func (c *Replica) Agreed() []Applied {
	done := c.done
	c.done = nil
	return done
}

// State is what is agreed, as far as this one knows. It may be late unless this one leads.
func (c *Replica) State() *lease.State { return &c.state }

// Leads tells whether this one leads, as far as it knows.
func (c *Replica) Leads() bool { return c.leading }

// Leader is who leads, as far as this one knows; empty: nobody.
func (c *Replica) Leader() members.ID {
	if c.node == nil {
		return ""
	}
	return c.incarnations[c.node.BasicStatus().Lead].Name
}

// Role tells what this one is in the quorum, and why it does not vote.
func (c *Replica) Role() (Role, string) { return c.role, c.why }

// Members are the quorum's incarnations, with whether each votes.
func (c *Replica) Members() (list []Incarnation, votes []bool) {
	for _, n := range slices.Sorted(maps.Keys(c.incarnations)) {
		list = append(list, c.incarnations[n])
		votes = append(votes, slices.Contains(c.conf.GetVoters(), n))
	}
	return list, votes
}

// Names are the quorum's members, for who asks them.
func (c *Replica) Names() []members.ID {
	names := append(c.others(), c.facts.Self)
	slices.Sort(names)
	return names
}

// Incarnation is this one's.
func (c *Replica) Incarnation() Incarnation { return c.incarnation }

// Serial is that of the last durable record.
func (c *Replica) Serial() uint64 { return c.serial }

// Term is that of the consensus; 0: it does not run.
func (c *Replica) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.BasicStatus().GetTerm()
}
