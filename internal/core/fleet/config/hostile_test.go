package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
)

// fakeEnvironment is the environment of a replica whose messages all come from the test.
type fakeEnvironment struct {
	self       members.ID
	leads      bool
	catchingUp bool // it leads, but has not applied all committed entries
	voting     bool
	state      State
}

func (e *fakeEnvironment) Members() (list []members.Member) {
	for i := range 5 {
		list = append(list, members.Member{ID: members.ID(fmt.Sprint("n", i)), Run: uint64(i) + 1})
	}
	return list
}

func (e *fakeEnvironment) Member(id members.ID) (members.Member, bool) {
	for _, m := range e.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return members.Member{}, false
}

func (e *fakeEnvironment) Voters() []members.ID { return []members.ID{"n0", "n1", "n2"} }

func (e *fakeEnvironment) Leader() members.ID {
	if e.leads || e.catchingUp {
		return e.self
	}
	return "n1"
}

func (e *fakeEnvironment) Leads() bool { return e.leads }

func (e *fakeEnvironment) Voting() bool { return e.voting }

func (e *fakeEnvironment) State() *State { return &e.state }

func (e *fakeEnvironment) Propose(Proposal) bool { return true }

// check reports whether a document can be used here.
func (e *fakeEnvironment) check(document []byte) error {
	if bytes.HasPrefix(document, []byte("bad")) {
		return errors.New("bad")
	}
	return nil
}

// testReplica is a replica in one role to which a test sends messages.
type testReplica struct {
	env     *fakeEnvironment
	replica *Replica
	now     float64
	applied uint64
}

// newTestReplicas returns a leader, a voter and a controller that is no voter, each with version 1
// in force.
func newTestReplicas() []*testReplica {
	one := []byte("one")
	v := Version{Number: 1, Hash: HashOf(one), Size: len(one), ID: ProposalID{Origin: "n3", Run: 1, Ref: 1}}
	var list []*testReplica
	for _, e := range []*fakeEnvironment{
		{self: "n0", leads: true, voting: true},
		{self: "n2", voting: true},
		{self: "n4"},
	} {
		if e.voting {
			e.state = State{Versions: []Version{v}}
		}
		x := &testReplica{env: e, applied: 1}
		stored := StoredState{Current: v, Documents: map[Hash][]byte{v.Hash: one}}
		x.replica = New(Options{Self: e.self, Run: 5, Seed: 1}, e, stored, 0)
		x.replica.Propose(0, 1, []byte("two"), 1, Version{})
		x.replica.Query(0, 2, QueryStatus)
		x.replica.FetchDocument(0, 3, HashOf([]byte("three")))
		list = append(list, x)
	}
	return list
}

// receive passes in a message, advances the time, and returns which invariant is violated.
func (x *testReplica) receive(from members.ID, m *Message) error {
	x.replica.Receive(x.now, from, m)
	problem := x.drain()
	x.now += 150
	x.replica.Tick(x.now)
	if next := x.replica.Next(); math.IsNaN(next) || next <= x.now {
		return fmt.Errorf("Next returns %g at %g, want a later time", next, x.now)
	}
	return errors.Join(problem, x.drain(), x.checkBounds())
}

// drain carries out the replica's output, and returns which invariant it violates.
func (x *testReplica) drain() error {
	for range 10 {
		out := x.replica.Take()
		if len(out.Messages) > 64 {
			return fmt.Errorf("got %d messages in one output, want at most 64", len(out.Messages))
		}
		if out.Check != nil {
			x.replica.Checked(x.now, out.Check.Hash, x.env.check(out.Check.Document))
		}
		if out.Store != nil {
			x.replica.Stored(x.now, nil)
		}
		if out.Apply != nil {
			if out.Apply.Version.Number <= x.applied || HashOf(out.Apply.Document) != out.Apply.Version.Hash {
				return fmt.Errorf("it applies %+v after version %d", out.Apply.Version, x.applied)
			}
			x.applied = out.Apply.Version.Number
			x.replica.Applied(x.now, nil, false)
		}
		if out.Store == nil && out.Apply == nil {
			return nil
		}
	}
	return nil
}

// checkBounds returns which bound on the replica's memory is exceeded.
func (x *testReplica) checkBounds() error {
	r := x.replica
	size := 0
	for h, d := range r.documents.documents {
		if HashOf(d.data) != h {
			return errors.New("a document does not match its hash")
		}
		size += len(d.data)
	}
	switch {
	case size > MaxStored+(maxDownloads+maxHolds)*MaxDocument:
		return fmt.Errorf("%d bytes of documents exceed the bound", size)
	case len(r.downloads) > maxDownloads, len(r.avoidedUntil) > maxExcluded:
		return fmt.Errorf("%d downloads or %d avoided members exceed their bound",
			len(r.downloads), len(r.avoidedUntil))
	case len(r.reports.known) > MaxReports, len(r.reports.batches) > maxBatches:
		return fmt.Errorf("%d reports or %d batches exceed their bound", len(r.reports.known), len(r.reports.batches))
	case len(r.candidates) > MaxProposals+1, len(r.holds) > maxHolds:
		return fmt.Errorf("%d candidates or %d holds exceed their bound", len(r.candidates), len(r.holds))
	case len(r.startup.latestOf) > 16:
		return fmt.Errorf("%d answers of voters are kept, want at most 16", len(r.startup.latestOf))
	}
	for _, d := range r.downloads {
		tooManyMembers := len(d.missingUntil) > maxExcluded || len(d.requestedFrom) > maxExcluded ||
			len(d.sources) > maxSources
		if len(d.chunks) > chunkCount(MaxDocument) || tooManyMembers {
			return fmt.Errorf("a download of %d chunks exceeds a bound", len(d.chunks))
		}
	}
	return nil
}

// invalidMessages returns messages with fields that are out of bounds.
func invalidMessages() []Message {
	propose := func(v Version) *ProposeRequest {
		return &ProposeRequest{Proposal: Proposal{Expect: 1, Version: v}}
	}
	h, one := HashOf([]byte("x")), HashOf([]byte("one"))
	long := strings.Repeat("a", 70000)
	id := ProposalID{Origin: "n3", Run: 1, Ref: 1}
	var many []Report
	for i := range 5000 {
		many = append(many, Report{ID: members.ID(fmt.Sprint("m", i)), Run: 1, Sequence: 1})
	}
	list := []Message{
		{},
		{Summary: &Summary{}},
		{Summary: &Summary{Number: math.MaxUint64, Hash: h, Size: math.MaxInt}},
		{Summary: &Summary{Number: math.MaxUint64, Hash: h, Size: MaxDocument}},
		{Summary: &Summary{Number: 1, Hash: h, Size: math.MinInt}},
		{Fetch: &Fetch{Hash: one, Offset: math.MinInt}},
		{Fetch: &Fetch{Hash: one, Offset: math.MaxInt}},
		{Fetch: &Fetch{Hash: one, Offset: 1}},
		{Fetch: &Fetch{Hash: one, Offset: -ChunkBytes}},
		{Propose: &ProposeRequest{}},
		{Propose: propose(Version{Hash: h, Size: math.MaxInt, ID: id})},
		{Propose: &ProposeRequest{Proposal: Proposal{Expect: 1, Version: Version{Hash: h, Size: -1, ID: id}}}},
		{Propose: propose(Version{Hash: h, Size: 1, Author: long, ID: id})},
		{Propose: propose(Version{Hash: h, Size: 1, Reason: long, ID: id})},
		{Propose: &ProposeRequest{Proposal: Proposal{
			Expect:  math.MaxUint64,
			Version: Version{Hash: h, Size: 1, ID: id},
		}}},
		{Propose: propose(Version{Hash: h, Size: 1, ID: ProposalID{Origin: "n3", Ref: 7}})},
		{ProposeReply: &ProposeReply{ID: ProposalID{Origin: "n0", Run: 5, Ref: 1}, Result: 200, Reason: long}},
		{ProposeReply: &ProposeReply{ID: ProposalID{Origin: "n2", Run: 5, Ref: 1}, Result: Committed}},
		{Hold: &HoldRequest{Hash: h, Size: math.MaxInt}},
		{Hold: &HoldRequest{Hash: h, Size: -1}},
		{Hold: &HoldRequest{Hash: h, Size: MaxDocument}},
		{HoldReply: &HoldReply{Hash: h}},
		{Reports: &Reports{List: many}},
		{Reports: &Reports{List: many[:1000]}},
		{Reports: &Reports{List: []Report{
			{},
			{ID: "n3", Age: math.Inf(1)},
			{ID: "n3", Age: math.NaN()},
			{ID: "n3", Age: -1e300},
			{ID: "n3", Run: 4, Sequence: math.MaxUint64, Applied: math.MaxUint64, Age: math.MaxFloat64},
			{ID: members.ID(long)},
			{ID: "n3", Reason: long},
		}}},
		{ReportsReply: &ReportsReply{Sequence: 1, Leader: members.ID(long)}},
		{ReportsReply: &ReportsReply{Sequence: math.MaxUint64, Leader: "n3"}},
		{Query: &Query{Kind: 0}},
		{Query: &Query{Kind: 99}},
		{Query: &Query{Kind: QueryStatus}},
		{Query: &Query{Kind: QueryHistory}},
		{Query: &Query{Kind: QueryLatest}},
		{Answer: &Answer{Ref: 1, Voting: true, Leads: true, Leader: members.ID(long)}},
		{Answer: &Answer{Ref: 1, Versions: make([]Version, 100)}},
		{Answer: &Answer{Ref: 1, Leads: true, Voting: true, Status: &Status{
			Rejected: make([]ControllerReport, 1000),
		}}},
		{Answer: &Answer{Ref: 1, Voting: true, Leads: true, Latest: Summary{
			Number: math.MaxUint64,
			Hash:   h,
			Size:   1,
		}}},
		{Answer: &Answer{Ref: 2, Voting: true, Leads: true}},
		{Answer: &Answer{Voting: true, Leads: true, Latest: Summary{Number: 7, Size: -7}}},
	}
	for _, hash := range []Hash{h, HashOf([]byte("three")), one, {}} {
		for _, c := range []Chunk{
			{Offset: -1, Total: 5},
			{Offset: 0, Total: math.MaxInt, Data: []byte("x")},
			{Offset: 0, Total: 1, Data: []byte("y")},
			{Offset: 0, Total: -1},
			{Offset: math.MinInt, Total: 1},
			{Offset: math.MaxInt, Total: math.MaxInt, Data: []byte("x")},
			{Offset: ChunkBytes, Total: 1, Data: []byte("x")},
			{Missing: true},
			{Offset: 0, Total: 1},
			{Offset: 0, Total: MaxDocument, Data: make([]byte, ChunkBytes)},
			{Offset: 0, Total: 1, Data: make([]byte, 100000)},
		} {
			c.Hash = hash
			list = append(list, Message{Chunk: &c})
		}
	}
	return list
}

// A faulty or hostile member sends messages with fields out of bounds, in various orders. No bound
// is exceeded, and no wrong version is applied.
func TestMessagesOutOfBoundsDoNoHarm(t *testing.T) {
	for from := range 5 {
		for i, x := range newTestReplicas() {
			for round := range 4 {
				list := invalidMessages()
				for j := range list {
					k := (j*(2*round+1) + round*7) % len(list)
					if err := x.receive(members.ID(fmt.Sprint("n", from)), &list[k]); err != nil {
						t.Fatalf("replica %d, message %d from n%d: %v", i, k, from, err)
					}
				}
			}
			if x.applied != 1 || x.replica.Current().Number != 1 {
				t.Errorf("replica %d: got version %d applied, want only version 1", i, x.applied)
			}
		}
	}
}

// A member announces a large document that nobody has. If memory were allocated for the announced
// size, a few messages could exhaust it. It may be allocated only for received bytes.
func TestAnnouncedSizeTakesNoMemory(t *testing.T) {
	x := newTestReplicas()[2]
	allocations := testing.AllocsPerRun(10, func() {
		summary := &Summary{Number: 1 << 40, Hash: HashOf([]byte("x")), Size: MaxDocument}
		x.replica.Receive(x.now, "n3", &Message{Summary: summary})
	})
	if d := x.replica.findDownload(HashOf([]byte("x"))); d == nil || len(d.chunks) != 32 || allocations > 100 {
		t.Errorf("got download %v and %g allocations, want 32 chunks and at most 100 allocations", d, allocations)
	}
	for _, c := range x.replica.findDownload(HashOf([]byte("x"))).chunks {
		if c != nil {
			t.Error("memory is allocated for a chunk that has not arrived")
		}
	}
}

// FuzzReceive passes encoded messages to a replica in each role.
func FuzzReceive(f *testing.F) {
	for _, m := range invalidMessages() {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		if len(data) < 4096 {
			f.Add(data)
		}
	}
	two, _ := cbor.Marshal(Message{Summary: &Summary{Number: 2, Hash: HashOf([]byte("x")), Size: 1}})
	chunk, _ := cbor.Marshal(Message{Chunk: &Chunk{Hash: HashOf([]byte("x")), Total: 1, Data: []byte("x")}})
	f.Add(append(append([]byte{}, two...), chunk...))
	f.Fuzz(func(t *testing.T, data []byte) {
		targets := newTestReplicas()
		for i := range 16 {
			var m Message
			rest, err := cbor.UnmarshalFirst(data, &m)
			if err != nil {
				return
			}
			data = rest
			for _, x := range targets {
				if err := x.receive(members.ID(fmt.Sprint("n", 1+i%4)), &m); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
