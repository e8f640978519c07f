package config

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/lab/eventqueue"
)

// Times of the simulation, in ms.
const (
	gossipInterval = 1000.0 // between two exchanges of membership, which carry summaries
	deadAfter      = 6000.0 // until a member that is down is seen as dead
	aliveAfter     = 300.0  // until a restarted member is seen as alive
	leaderAfter    = 200.0  // until others know a new leader
	voteAfter      = 800.0  // until a voter that restarted votes
	commitAfter    = 15.0   // until the quorum agrees on a proposal
)

// folder is what a controller has on its disk.
type folder struct {
	current     Version
	documents   map[Hash][]byte
	lastApplied uint64 // by any run with this folder, to check that it never decreases
}

func (f *folder) copy() *folder {
	return &folder{current: f.current, documents: maps.Clone(f.documents), lastApplied: f.lastApplied}
}

// controller is a simulated controller: its replica, its folder, and what it did.
type controller struct {
	fleet     *fleet
	id        members.ID
	run       uint64
	replica   *Replica
	folder    *folder
	up        bool
	changedAt float64 // when it last went up or down
	left      bool
	partition int // controllers in different partitions don't reach each other
	tickAt    float64

	voter          bool
	votesAt        float64
	state          State // what this voter has applied of the quorum's log
	learnedEntries int   // how many entries of the log state includes

	checking       bool
	storing        bool
	applying       bool
	diskFull       bool
	checkDocument  func(document []byte) error
	applyErr       func(v Version) (err error, retryable bool)
	corrupt        bool // it sends chunks with wrong bytes
	delay          float64
	extraCheckTime float64 // ms that a check takes longer than usual
	clockOffset    float64 // ms that its clock is ahead

	runApplied map[uint64]uint64 // by run, the version in force
	appliedAt  map[uint64]float64
	results    map[uint64]ProposalResult
	answers    map[uint64]QueryResult
	documents  map[uint64]DocumentResult
	sentBytes  int64
	sent       int64
}

// clock returns the time by this controller's clock.
func (c *controller) clock() float64 { return c.fleet.now + c.clockOffset }

// fleet is a simulation in virtual time.
type fleet struct {
	t      testing.TB
	rng    *rand.Rand
	now    float64
	events eventqueue.Queue

	all             []*controller
	byID            map[members.ID]*controller
	voters          []members.ID
	log             []Proposal
	agreed          State
	leader          members.ID
	previousLeader  members.ID // leader before the last change
	leaderChangedAt float64
	lossRate        float64
	partitionedAt   float64
	lastRef         uint64
	lastRun         uint64

	onStored  func(c *controller, request *StoreRequest) // right before Stored
	onMessage func(from, to *controller, m *Message) bool
	violation string
}

// newFleet starts size controllers, of which the first ones are voters.
func newFleet(t testing.TB, seed int64, size, voters int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewSource(seed)), byID: map[members.ID]*controller{}}
	for i := range size {
		f.add(i < voters, &folder{documents: map[Hash][]byte{}})
	}
	f.leader = f.all[0].id
	f.leaderChangedAt = -leaderAfter
	for _, c := range f.all {
		f.start(c)
		c.votesAt = 0
	}
	return f
}

func (f *fleet) add(voter bool, on *folder) *controller {
	c := &controller{fleet: f, id: members.ID(fmt.Sprintf("n%03d", len(f.all))), voter: voter, folder: on,
		runApplied: map[uint64]uint64{}, appliedAt: map[uint64]float64{}, results: map[uint64]ProposalResult{},
		answers: map[uint64]QueryResult{}, documents: map[uint64]DocumentResult{}}
	f.all = append(f.all, c)
	f.byID[c.id] = c
	if voter {
		f.voters = append(f.voters, c.id)
	}
	return c
}

// start starts a controller from its folder.
func (f *fleet) start(c *controller) {
	f.lastRun++
	c.run, c.up, c.changedAt = f.lastRun, true, f.now
	c.votesAt = f.now + voteAfter
	c.checking, c.storing, c.applying, c.state, c.learnedEntries = false, false, false, State{}, 0
	kept := StoredState{Current: c.folder.current, Documents: maps.Clone(c.folder.documents)}
	if v := kept.Current; v.Number > 0 {
		f.recordApplied(c, v, c.folder.documents[v.Hash])
	}
	c.replica = New(Options{Self: c.id, Run: c.run, Seed: f.rng.Int63()}, c, kept, c.clock())
	c.replica.QuorumChanged(c.clock())
	if c.voter {
		f.learnAgreedLater(c)
	}
	run := c.run
	f.after(f.rng.Float64()*gossipInterval, func() { f.gossip(c, run) })
	f.carryOut(c)
}

// kill stops a controller. What it had not stored is lost.
func (f *fleet) kill(c *controller) {
	c.up, c.changedAt = false, f.now
	if f.leader == c.id {
		f.setLeader("")
	}
}

func (f *fleet) setLeader(id members.ID) {
	f.previousLeader, f.leader, f.leaderChangedAt = f.leader, id, f.now
	for _, c := range f.all {
		if c.voter && c.up {
			c.replica.QuorumChanged(c.clock())
			f.carryOut(c)
		}
	}
}

func (f *fleet) after(delay float64, run func()) {
	f.events.Add(f.now+delay, run)
}

// step runs the next event.
func (f *fleet) step() {
	e := f.events.Pop()
	f.now = max(f.now, e.At)
	e.Run()
	if f.violation != "" {
		f.t.Fatalf("at %.0f ms: %s", f.now, f.violation)
	}
}

// runFor advances the time.
func (f *fleet) runFor(ms float64) {
	until := f.now + ms
	for f.events.NextTime() <= until {
		f.step()
	}
	f.now = until
}

// runUntil advances the time until a condition holds, and returns how long that took in ms, or -1
// if it does not hold within the limit.
func (f *fleet) runUntil(limit float64, holds func() bool) float64 {
	began := f.now
	for !holds() {
		if f.events.NextTime() > began+limit {
			f.now = began + limit
			return -1
		}
		f.step()
	}
	return f.now - began
}

func (f *fleet) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

// gossip exchanges summaries with a random controller, as membership messages do, and repeats that.
func (f *fleet) gossip(c *controller, run uint64) {
	if !c.up || c.run != run {
		return
	}
	f.after(gossipInterval, func() { f.gossip(c, run) })
	other := f.all[f.rng.Intn(len(f.all))]
	if other == c {
		return
	}
	f.deliver(c, other, Message{Summary: c.replica.Summary()}, func() {
		f.deliver(other, c, Message{Summary: other.replica.Summary()}, nil)
	})
}

// carryOut carries out a replica's output, and schedules its next tick.
func (f *fleet) carryOut(c *controller) {
	out := c.replica.Take()
	for _, s := range out.Messages {
		if to := f.byID[s.To]; to != nil {
			f.deliver(c, to, s.Message, nil)
		}
	}
	if out.Check != nil {
		f.checkLater(c, out.Check)
	}
	if out.Store != nil {
		f.storeLater(c, out.Store)
	}
	if out.Apply != nil {
		f.applyLater(c, out.Apply)
	}
	for _, o := range out.ProposalResults {
		if _, twice := c.results[o.Ref]; twice {
			f.reportViolation("%s: proposal %d has two results", c.id, o.Ref)
		}
		c.results[o.Ref] = o
	}
	for _, a := range out.QueryResults {
		c.answers[a.Ref] = a
		if a.Answer.Status != nil {
			f.verifyStatus(f.byID[a.From], a.Answer.Status)
		}
	}
	for _, d := range out.DocumentResults {
		c.documents[d.Ref] = d
		if d.Document != nil && HashOf(d.Document) != d.Hash {
			f.reportViolation("%s: FetchDocument returns a document that does not match its hash", c.id)
		}
	}
	f.scheduleTick(c)
}

func (f *fleet) scheduleTick(c *controller) {
	next := max(c.replica.Next()-c.clockOffset, f.now)
	if next > f.now+1e9 || c.tickAt > f.now && c.tickAt <= next {
		return
	}
	c.tickAt = next
	run := c.run
	f.after(next-f.now, func() {
		if c.up && c.run == run && c.clock() >= c.replica.Next() {
			c.tickAt = 0
			c.replica.Tick(c.clock())
			if next := c.replica.Next(); next <= c.clock() {
				f.reportViolation("%s: Next is due again right after Tick", c.id)
			}
			f.carryOut(c)
		} else if c.up && c.run == run && c.tickAt <= f.now {
			f.scheduleTick(c)
		}
	})
}

func (f *fleet) connected(a, b *controller) bool { return a.up && b.up && a.partition == b.partition }

// deliver encodes a message, and has it received and decoded after a random delay, unless it is
// lost.
func (f *fleet) deliver(from, to *controller, m Message, then func()) {
	if m == (Message{}) {
		return
	}
	if from.corrupt && m.Chunk != nil && len(m.Chunk.Data) > 0 {
		bad := *m.Chunk
		bad.Data = slices.Clone(bad.Data)
		bad.Data[len(bad.Data)/2] ^= 1
		m.Chunk = &bad
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		f.reportViolation("encoding: %v", err)
	}
	from.sentBytes += int64(len(data))
	from.sent++
	if f.onMessage != nil && !f.onMessage(from, to, &m) {
		return
	}
	if !f.connected(from, to) || f.rng.Float64() < f.lossRate {
		return
	}
	run := to.run
	f.after(1+f.rng.Float64()*9+from.delay+to.delay, func() {
		if !f.connected(from, to) || to.run != run {
			return
		}
		var got Message
		if err := cbor.Unmarshal(data, &got); err != nil {
			f.reportViolation("decoding: %v", err)
			return
		}
		to.replica.Receive(to.clock(), from.id, &got)
		f.carryOut(to)
		if then != nil {
			then()
		}
	})
}

var errDisk = errors.New("no space left on device")

// checkLater checks a document after a random delay.
func (f *fleet) checkLater(c *controller, request *CheckRequest) {
	if c.checking {
		f.reportViolation("%s: a CheckRequest is made while one is pending", c.id)
	}
	if HashOf(request.Document) != request.Hash {
		f.reportViolation("%s checks a document that does not match its hash", c.id)
	}
	c.checking = true
	run := c.run
	f.after(1+f.rng.Float64()*9+c.extraCheckTime, func() {
		if !c.up || c.run != run {
			return
		}
		c.checking = false
		c.replica.Checked(c.clock(), request.Hash, c.check(request.Document))
		f.carryOut(c)
	})
}

// storeLater writes to the folder after a random delay.
func (f *fleet) storeLater(c *controller, request *StoreRequest) {
	if c.storing {
		f.reportViolation("%s: a StoreRequest is made while one is pending", c.id)
	}
	c.storing = true
	run := c.run
	f.after(1+f.rng.Float64()*4, func() {
		if !c.up || c.run != run {
			return
		}
		err := f.write(c, request)
		if f.onStored != nil {
			f.onStored(c, request)
		}
		if !c.up || c.run != run {
			return
		}
		c.storing = false
		c.replica.Stored(c.clock(), err)
		f.carryOut(c)
	})
}

func (f *fleet) write(c *controller, request *StoreRequest) error {
	if c.diskFull {
		return errDisk
	}
	if request.Document != nil {
		if HashOf(request.Document) != request.Hash {
			f.reportViolation("%s stores a document that does not match its hash", c.id)
		}
		c.folder.documents[request.Hash] = request.Document
	}
	if v := request.Current; v != nil {
		if v.Number > 0 && c.folder.documents[v.Hash] == nil {
			f.reportViolation("%s: version %d becomes the current one while its document is not stored", c.id, v.Number)
		}
		c.folder.current = *v
	}
	for _, h := range request.Remove {
		if h == c.folder.current.Hash {
			f.reportViolation("%s removes the document of the version to be in force after a restart", c.id)
		}
		delete(c.folder.documents, h)
	}
	bytes := 0
	for _, d := range c.folder.documents {
		bytes += len(d)
	}
	if bytes > MaxStored+(MaxProposals+4)*MaxDocument {
		f.reportViolation("%s stores %d bytes of documents, which exceeds the bound", c.id, bytes)
	}
	return nil
}

// applyLater applies a version after a random delay.
func (f *fleet) applyLater(c *controller, request *ApplyRequest) {
	if c.applying {
		f.reportViolation("%s: an ApplyRequest is made while one is pending", c.id)
	}
	if c.folder.current.Number != request.Version.Number {
		f.reportViolation("%s applies version %d while version %d is stored as the current one",
			c.id, request.Version.Number, c.folder.current.Number)
	}
	c.applying = true
	run := c.run
	f.after(1+f.rng.Float64()*9, func() {
		if !c.up || c.run != run {
			return
		}
		c.applying = false
		if c.applyErr != nil {
			if err, retryable := c.applyErr(request.Version); err != nil {
				c.replica.Applied(c.clock(), err, retryable)
				f.carryOut(c)
				return
			}
		}
		f.recordApplied(c, request.Version, request.Document)
		c.replica.Applied(c.clock(), nil, false)
		f.carryOut(c)
	})
}

// recordApplied checks that an applied version is later than those before and the one that was
// committed.
func (f *fleet) recordApplied(c *controller, v Version, document []byte) {
	if HashOf(document) != v.Hash {
		f.reportViolation("%s applies a document that does not match the hash of version %d", c.id, v.Number)
	}
	if v.Number == 0 || v.Number > uint64(len(f.history())) || f.history()[v.Number-1] != v.Hash {
		f.reportViolation("%s applies version %d with a document that was not committed", c.id, v.Number)
	}
	if before := c.runApplied[c.run]; v.Number <= before {
		f.reportViolation("%s goes from version %d to %d within one run", c.id, before, v.Number)
	}
	if v.Number < c.folder.lastApplied {
		f.reportViolation("%s goes from version %d to %d on the same folder", c.id, c.folder.lastApplied, v.Number)
	}
	c.folder.lastApplied = v.Number
	c.runApplied[c.run] = v.Number
	if c.appliedAt[v.Number] == 0 {
		c.appliedAt[v.Number] = f.now
	}
}

// history returns the hashes of all versions, as computed from the log.
func (f *fleet) history() (hashes []Hash) {
	seen := map[ProposalID]bool{}
	for _, p := range f.log {
		if !seen[p.Version.ID] && p.Expect == uint64(len(hashes)) && p.invalid() == "" {
			seen[p.Version.ID] = true
			hashes = append(hashes, p.Version.Hash)
		}
	}
	return hashes
}

// verifyStatus compares a status with the versions that the controllers applied.
func (f *fleet) verifyStatus(leader *controller, s *Status) {
	inForce, count := 0, 0
	for _, m := range f.view(leader) {
		if m.State == members.Left {
			continue
		}
		count++
		if m.State == members.Alive && f.byID[m.ID].runApplied[m.Run] >= s.Latest.Number {
			inForce++
		}
	}
	if s.Members > count || s.InForce > inForce {
		f.reportViolation("status: got %d of %d members in force, want at most %d of %d",
			s.InForce, s.Members, inForce, count)
	}
	listed := len(s.Rejected) + len(s.Behind) + len(s.Unreachable) + s.Omitted
	if s.Latest.Number > 0 && s.InForce+listed != s.Members {
		f.reportViolation("status: %d members in force and %d listed, want %d in total: %+v",
			s.InForce, listed, s.Members, s)
	}
	sum := 0
	for _, n := range s.ByVersion {
		sum += n
	}
	if sum > s.Members {
		f.reportViolation("status: %d members counted by version, want at most %d", sum, s.Members)
	}
	seen := map[members.ID]bool{}
	for _, list := range [][]ControllerReport{s.Rejected, s.Behind, s.Unreachable} {
		if len(list) > MaxListed {
			f.reportViolation("status: a list has %d entries, want at most MaxListed", len(list))
		}
		for _, c := range list {
			if seen[c.ID] {
				f.reportViolation("status: %s is listed twice", c.ID)
			}
			seen[c.ID] = true
		}
	}
}

// proposeToQuorum simulates the quorum: a proposal is committed after commitAfter if its leader
// still leads with a majority, and in half of the other cases too.
func (f *fleet) proposeToQuorum(c *controller, p Proposal) bool {
	if f.leader != c.id || !f.majority(c) {
		return false
	}
	f.verifyMajorityHolds(p)
	kept := f.rng.Intn(2) == 0
	f.after(commitAfter, func() {
		if (f.leader != c.id || !f.majority(c)) && !kept {
			return
		}
		f.log = append(f.log, p)
		f.agreed.Apply(p)
		for _, id := range f.voters {
			f.learnAgreedLater(f.byID[id])
		}
	})
	return true
}

func (f *fleet) verifyMajorityHolds(p Proposal) {
	holds := 0
	for _, id := range f.voters {
		if f.byID[id].folder.documents[p.Version.Hash] != nil {
			holds++
		}
	}
	if 2*holds <= len(f.voters) {
		f.reportViolation("a proposal is made while %d of %d voters hold its document, want a majority",
			holds, len(f.voters))
	}
}

func (f *fleet) majority(c *controller) bool {
	count := 0
	for _, id := range f.voters {
		if f.connected(c, f.byID[id]) {
			count++
		}
	}
	return 2*count > len(f.voters)
}

// learnAgreedLater has a voter apply the committed entries after a random delay.
func (f *fleet) learnAgreedLater(c *controller) {
	run := c.run
	f.after(2+f.rng.Float64()*60, func() {
		if !c.up || c.run != run || c.learnedEntries == len(f.log) {
			return
		}
		if !f.majority(c) || f.now < c.votesAt {
			f.learnAgreedLater(c)
			return
		}
		for ; c.learnedEntries < len(f.log); c.learnedEntries++ {
			c.state.Apply(f.log[c.learnedEntries])
		}
		c.replica.QuorumChanged(c.clock())
		f.carryOut(c)
	})
}

// partition moves some controllers to a partition.
func (f *fleet) partition(controllers []*controller, side int) {
	f.partitionedAt = f.now
	for _, c := range controllers {
		c.partition = side
	}
}

// view returns all members as a controller sees them.
func (f *fleet) view(c *controller) (list []members.Member) {
	for _, m := range f.all {
		if known, ok := f.memberAsSeenBy(c, m); ok {
			list = append(list, known)
		}
	}
	return list
}

func (f *fleet) memberAsSeenBy(c, of *controller) (members.Member, bool) {
	m := members.Member{ID: of.id, Run: of.run}
	switch {
	case of.left:
		m.State = members.Left
	case of == c:
	case !of.up && f.now >= of.changedAt+deadAfter:
		m.State = members.Dead
	case of.partition != c.partition && f.now >= f.partitionedAt+deadAfter:
		m.State = members.Dead
	case of.up && of.changedAt > 0 && f.now < of.changedAt+aliveAfter:
		m.Run = 0
		m.State = members.Dead
	}
	return m, true
}

func (c *controller) Members() []members.Member { return c.fleet.view(c) }

func (c *controller) Member(id members.ID) (members.Member, bool) {
	of := c.fleet.byID[id]
	if of == nil {
		return members.Member{}, false
	}
	return c.fleet.memberAsSeenBy(c, of)
}

func (c *controller) Voters() []members.ID { return c.fleet.voters }

func (c *controller) Leader() members.ID {
	f := c.fleet
	if f.now < f.leaderChangedAt+leaderAfter && f.leader != c.id {
		return f.previousLeader
	}
	return f.leader
}

func (c *controller) Leads() bool { return c.fleet.leader == c.id && c.Voting() }

func (c *controller) Voting() bool { return c.voter && c.up && c.fleet.now >= c.votesAt }

func (c *controller) State() *State { return &c.state }

func (c *controller) Propose(p Proposal) bool { return c.fleet.proposeToQuorum(c, p) }

// check reports whether a document can be used here.
func (c *controller) check(document []byte) error {
	if strings.HasPrefix(string(document), "nonsense") {
		return errors.New("line 1: nonsense")
	}
	if c.checkDocument != nil {
		return c.checkDocument(document)
	}
	return nil
}
