package config

import (
	"errors"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// A controller is killed after a version was stored as the current one and before it was applied.
// It has the version in force at its next start.
func TestKilledBetweenStoredAndApplied(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 7)
	victim := f.all[6]
	f.onStored = func(c *controller, request *StoreRequest) {
		if c == victim && request.Current != nil {
			f.kill(c)
		}
	}
	f.proposeCommitted(f.all[7], []byte("two"), 1)
	f.runUntil(5000, func() bool { return !victim.up })
	if victim.up || victim.runApplied[victim.run] != 1 || victim.folder.current.Number != 2 {
		t.Fatalf("after the kill: up %v, version in force %d, stored version %d; want down, 1 and 2",
			victim.up, victim.runApplied[victim.run], victim.folder.current.Number)
	}
	f.onStored = nil
	f.start(victim)
	if victim.replica.Current().Number != 2 {
		t.Errorf("version in force after the restart: got %+v, want version 2", victim.replica.Current())
	}
	f.proposeCommitted(f.all[7], []byte("three"), 2)
	f.requireInForceEverywhere(3, 5000)
}

// A controller is killed while it stores the document. It starts with the version before, and
// catches up.
func TestKilledWhileStoringDocument(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 7)
	victim := f.all[6]
	f.propose(f.all[7], randomDocument(100000, 1), 1)
	f.runUntil(5000, func() bool { return victim.storing })
	if !victim.storing {
		t.Fatal("the controller stores nothing within 5 s")
	}
	f.kill(victim)
	f.runFor(100)
	f.start(victim)
	if victim.replica.Current().Number != 1 {
		t.Errorf("version in force after the restart: got %+v, want version 1", victim.replica.Current())
	}
	f.requireInForceEverywhere(2, 5000)
}

// The clocks of a voter, of the leader and of others jump by an hour. No version is lost, and none
// comes back.
func TestClockJumpsLoseNoVersion(t *testing.T) {
	const hour = 3600000.0
	f := newFleet(t, 1, 20, 5)
	f.runFor(1000)
	f.proposeCommitted(f.all[7], []byte("one"), 0)
	f.runFor(20)
	for _, i := range []int{0, 2, 7, 9} {
		f.all[i].clockOffset = hour
		f.all[i].replica.Tick(f.all[i].clock())
		f.carryOut(f.all[i])
	}
	f.requireInForceEverywhere(1, 5000)
	f.proposeCommitted(f.all[9], []byte("two"), 1)
	f.all[1].clockOffset, f.all[10].clockOffset = hour, hour
	f.proposeCommitted(f.all[10], []byte("three"), 2)
	f.requireInForceEverywhere(3, 8000)
	f.all[0].clockOffset, f.all[9].clockOffset = 0, 0 // back: for an hour their replicas' time stands still
	f.proposeCommitted(f.all[12], []byte("four"), 3)
	if f.runUntil(8000, func() bool { return inForce(4, f.all[1:9]) && inForce(4, f.all[10:]) }) < 0 {
		t.Error("version 4 is not in force at the controllers whose clocks did not jump back")
	}
}

// A controller receives summaries of an older version, of the version in force, of another document
// under the same number, and with invalid fields. They change nothing.
func TestOlderOrContradictingSummaryChangesNothing(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	one := f.proposeCommitted(f.all[7], []byte("one"), 0)
	two := f.proposeCommitted(f.all[7], []byte("two"), 1)
	f.requireInForceEverywhere(2, 5000)
	f.runFor(2000)
	for _, c := range []*controller{f.all[1], f.all[5]} {
		for _, s := range []Summary{
			one.summary(),
			two.summary(),
			{Number: 2, Hash: HashOf([]byte("x")), Size: 1},
			{Number: 2, Hash: two.Hash, Size: two.Size + 1},
			{Number: 0, Hash: two.Hash, Size: 3},
			{Number: 9, Hash: two.Hash},
			{Number: 9, Hash: two.Hash, Size: -1},
			{Number: 9, Hash: two.Hash, Size: MaxDocument + 1},
		} {
			c.replica.Receive(f.now, "n003", &Message{Summary: &s})
			if out := c.replica.Take(); len(out.Messages) != 0 || out.Store != nil || out.Apply != nil {
				t.Errorf("%s on summary %+v: got output %+v, want none", c.id, s, out)
			}
		}
		if c.replica.Counters().Conflicts != 2 || c.replica.Current().Number != 2 {
			t.Errorf("%s: got %+v, want 2 conflicts and version 2 in force", c.id, c.replica.Counters())
		}
	}
}

// A controller starts from an older copy of its folder. It catches up, and its version never
// decreases within a run.
func TestOlderCopyOfFolderCatchesUp(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 7)
	copies := map[*controller]*folder{}
	for _, c := range []*controller{f.all[1], f.all[6]} {
		copies[c] = c.folder.copy()
	}
	f.proposeCommitted(f.all[7], []byte("two"), 1)
	f.proposeCommitted(f.all[7], []byte("three"), 2)
	f.requireInForceEverywhere(3, 5000)
	for _, c := range []*controller{f.all[1], f.all[6]} {
		f.kill(c)
		c.folder = copies[c]
		f.start(c)
		if c.replica.Current().Number != 1 || c.replica.Readiness().Confirmed {
			t.Errorf("%s after its restart on an older folder: got %+v, want version 1, not confirmed",
				c.id, c.replica.Readiness())
		}
	}
	f.requireInForceEverywhere(3, 5000)
}

// A new controller reaches only a member that has an older version. It applies that version and is
// not confirmed, and catches up when it reaches the others.
func TestNewcomerWithOldPeerIsNotConfirmed(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 7)
	old := f.all[6]
	f.partition([]*controller{old}, 1)
	f.proposeCommitted(f.all[7], []byte("two"), 1)
	newcomer := f.add(false, &folder{documents: map[Hash][]byte{}})
	newcomer.partition = 1
	f.start(newcomer)
	f.runFor(60000)
	ready := newcomer.replica.Readiness()
	if newcomer.replica.Current().Number != 1 || ready.Confirmed || ready.Number != 1 {
		t.Errorf("with only the outdated peer: got %+v, want version 1, not confirmed", ready)
	}
	f.partition(f.all, 0)
	f.requireInForceEverywhere(2, 19000)
	f.runFor(3000)
	if ready := newcomer.replica.Readiness(); !ready.Confirmed || ready.Number != 2 || ready.Latest != 2 {
		t.Errorf("after the partition has healed: got %+v, want version 2, confirmed", ready)
	}
}

// TestNewcomerIsReadySoon: a new controller has the latest version in force, and is confirmed,
// within 5 s.
func TestNewcomerIsReadySoon(t *testing.T) {
	f := newFleet(t, 1, 30, 5)
	f.runFor(1000)
	for _, c := range f.all {
		if ready := c.replica.Readiness(); !ready.Confirmed || ready.Number != 0 {
			t.Errorf("%s without any version: got %+v, want version 0, confirmed", c.id, ready)
		}
	}
	f.proposeCommitted(f.all[7], randomDocument(64<<10, 1), 0)
	newcomer := f.add(false, &folder{documents: map[Hash][]byte{}})
	f.start(newcomer)
	took := f.runUntil(5000, func() bool { return newcomer.replica.Readiness().Confirmed })
	if took < 0 || newcomer.replica.Current().Number != 1 {
		t.Errorf("newcomer: confirmed after %.0f ms (below 0: not in time), %+v; want version 1",
			took, newcomer.replica.Readiness())
	}
}

var errUnknownField = errors.New("line 4: unknown field \"later\"")

// One in ten controllers can't use a document. They keep the version before and report it, serve
// the document all the same, and apply the next version.
func TestOneInTenRejectsVersion(t *testing.T) {
	f := newFleetWithVersion(t, 60, 5, 0)
	var rest []*controller
	for i, c := range f.all {
		if i%10 == 9 {
			c.checkDocument = func(document []byte) error {
				if string(document) == "two" {
					return errUnknownField
				}
				return nil
			}
		} else {
			rest = append(rest, c)
		}
	}
	f.proposeCommitted(f.all[0], []byte("two"), 1)
	f.runUntil(5000, func() bool { return inForce(2, rest) })
	f.runFor(12000)
	for i, c := range f.all {
		want := uint64(2)
		if i%10 == 9 {
			want = 1
			if s := c.replica.Summary(); s == nil || s.Number != 2 {
				t.Errorf("%s rejects version 2: got summary %+v, want one of version 2", c.id, s)
			}
			if c.folder.current.Number != 1 {
				t.Errorf("%s rejects version 2: version %d is stored as the current one, want 1",
					c.id, c.folder.current.Number)
			}
		}
		if c.replica.Current().Number != want {
			t.Errorf("%s: got version %d in force, want 1 if it rejects version 2, else 2",
				c.id, c.replica.Current().Number)
		}
	}
	a, ok := f.query(f.all[30], QueryStatus)
	if !ok || a.Status.InForce != 54 || len(a.Status.Rejected) != 6 {
		t.Fatalf("status: answered %v, got %+v; want 54 in force and 6 rejected", ok, a.Status)
	}
	if rejected := a.Status.Rejected[0]; rejected.Reason != errUnknownField.Error() || rejected.Applied != 1 {
		t.Fatalf("status: answered %v, got %+v; want the check's error as reason and version 1 applied", ok, a.Status)
	}
	c := f.all[9]
	f.kill(c) // at its next start it rejects the version again, and is confirmed with the one before
	f.start(c)
	took := f.runUntil(5000, func() bool { return c.replica.Readiness().Confirmed })
	if took < 0 || c.replica.Current().Number != 1 || c.replica.Readiness().Latest != 2 {
		t.Errorf("after a restart: got %+v, want version 1 confirmed, with latest 2", c.replica.Readiness())
	}
	f.proposeCommitted(f.all[0], []byte("three"), 2)
	f.requireInForceEverywhere(3, 5000)
}

// Two versions come at once, the later of which can't be used here. The earlier one has to come
// into force.
func TestEarlierVersionAppliesIfLaterIsRejected(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 0)
	c := f.all[7]
	c.checkDocument = func(document []byte) error {
		if string(document) == "three" {
			return errUnknownField
		}
		return nil
	}
	f.onStored = func(on *controller, request *StoreRequest) { // three arrives while two is being stored
		if on == c && request.Current != nil && request.Current.Number == 2 {
			f.proposeCommitted(f.all[0], []byte("three"), 2)
			f.runUntil(3000, func() bool { return c.replica.newest.Number == 3 })
		}
	}
	f.proposeCommitted(f.all[0], []byte("two"), 1)
	f.runUntil(8000, func() bool { return inForce(3, f.all[:7]) })
	f.runFor(3000)
	if v := c.replica.Current(); v.Number != 2 || c.folder.current.Number != 2 {
		t.Errorf("got version %d in force and %d stored as the current one, want 2 for both",
			v.Number, c.folder.current.Number)
	}
}

// TestApplyErrorIsRetriedOrRejects: after a retryable error a version is applied again, any other
// error rejects it permanently.
func TestApplyErrorIsRetriedOrRejects(t *testing.T) {
	f := newFleetWithVersion(t, 8, 3, 0)
	retries, forGood := f.all[6], f.all[7]
	tries := 0
	retries.applyErr = func(Version) (error, bool) {
		if tries++; tries < 4 {
			return errors.New("busy"), true
		}
		return nil, false
	}
	forGood.applyErr = func(Version) (error, bool) { return errors.New("needs a restart"), false }
	f.proposeCommitted(f.all[0], []byte("two"), 1)
	f.runFor(12000)
	if tries != 4 || retries.replica.Current().Number != 2 {
		t.Errorf("retryable error: got %d attempts and version %d, want 4 and 2",
			tries, retries.replica.Current().Number)
	}
	if forGood.replica.Current().Number != 1 || forGood.folder.current.Number != 1 {
		t.Errorf("permanent error: got version %d in force and %d stored as the current one, want 1 for both",
			forGood.replica.Current().Number, forGood.folder.current.Number)
	}
	a, ok := f.query(f.all[5], QueryStatus)
	if !ok || len(a.Status.Rejected) != 1 || a.Status.Rejected[0].Reason != "needs a restart" {
		t.Errorf("status: answered %v, got %+v; want one rejection, for the reason of the permanent error",
			ok, a.Status)
	}
	forGood.applyErr = nil
	f.proposeCommitted(f.all[0], []byte("three"), 2)
	f.requireInForceEverywhere(3, 5000)
}

// The very first version can't be applied. No version may be stored as the current one, or it would
// be in force after a restart.
func TestFirstVersionRejectedOnApply(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	c := f.all[7]
	c.applyErr = func(Version) (error, bool) { return errors.New("needs a restart"), false }
	f.proposeCommitted(f.all[0], []byte("one"), 0)
	f.runFor(3000)
	if c.folder.current.Number != 0 {
		t.Errorf("version stored as the current one: got %+v, want none", c.folder.current)
	}
}

// The disk is full. A version does not come into force, but is served from memory, reported as not
// stored, and stored once there is space.
func TestDiskFullVersionIsServedAndRetried(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	c := f.all[7]
	c.diskFull = true
	v := f.proposeCommitted(f.all[0], []byte("one"), 0)
	f.runUntil(5000, func() bool { return inForce(1, f.all[:7]) })
	f.runFor(11000)
	if c.replica.Current().Number != 0 || c.replica.Readiness().Confirmed && c.replica.Readiness().Number != 0 {
		t.Errorf("with a full disk: got %+v, want no version in force", c.replica.Readiness())
	}
	a, ok := f.query(f.all[5], QueryStatus)
	notStored := ok && len(a.Status.Rejected) == 1 &&
		a.Status.Rejected[0].Reason == "not stored yet: "+errDisk.Error()
	if !notStored || a.Status.InForce != 7 {
		t.Errorf("status: answered %v, got %+v; want 7 in force and one rejection, for the disk's error",
			ok, a.Status)
	}
	c.replica.Receive(f.now, "n006", &Message{Fetch: &Fetch{Hash: v.Hash}})
	if out := c.replica.Take(); len(out.Messages) != 1 || string(out.Messages[0].Message.Chunk.Data) != "one" {
		t.Errorf("fetch of the document that is not stored: got %+v, want its chunk", out.Messages)
	}
	c.diskFull = false
	f.requireInForceEverywhere(1, maxStoreRetry+1000)
}

// Some sources send corrupt bytes. They are detected and avoided, and the document is fetched from
// others.
func TestCorruptSourceIsReplaced(t *testing.T) {
	for seed := range int64(10) {
		f := newFleet(t, seed, 40, 5)
		f.runFor(1000)
		for _, i := range []int{1, 3, 10, 20, 30} {
			f.all[i].corrupt = true
		}
		f.proposeCommitted(f.all[35], randomDocument(100000, seed), 0)
		f.requireInForceEverywhere(1, 19000)
		corrupt := int64(0)
		for _, c := range f.all {
			corrupt += c.replica.Counters().Corrupt
		}
		if corrupt == 0 {
			t.Errorf("seed %d: no corrupt chunk was received", seed)
		}
	}
}

// The source of a document stops during the fetch. The fetch continues from another source, and no
// chunk is fetched twice.
func TestFetchGoesOnWithAnotherSource(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	c := f.all[7]
	data := randomDocument(MaxDocument, 1)
	f.partition([]*controller{c}, 1)
	f.proposeCommitted(f.all[0], data, 0)
	f.runUntil(8000, func() bool { return inForce(1, f.all[:7]) })
	f.partition(f.all, 0)
	for _, n := range f.all {
		n.delay = 20
	}
	f.runUntil(8000, func() bool {
		d := c.replica.findDownload(HashOf(data))
		return d != nil && d.received >= 10
	})
	source := f.byID[c.replica.findDownload(HashOf(data)).source]
	f.kill(source)
	if f.leader == "" {
		f.setLeader(f.all[1].id)
	}
	f.requireInForceEverywhere(1, 8000)
	if got := c.replica.Counters().FetchedBytes; got != MaxDocument {
		t.Errorf("got %d fetched bytes, want each chunk fetched once", got)
	}
}

// A member announces a version whose document nobody has. It must not prevent later versions from
// coming into force, although their numbers are lower.
func TestForgedVersionIsAbandoned(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	for _, c := range f.all[1:] {
		forged := &Summary{Number: 99, Hash: HashOf([]byte("phantom")), Size: 7}
		c.replica.Receive(f.now, "n002", &Message{Summary: forged})
		f.carryOut(c)
	}
	f.runFor(500)
	f.proposeCommitted(f.all[0], []byte("two"), 1)
	f.requireInForceEverywhere(2, 19000)
}

// A member announces another document under a number that a voter's own state has. The voter does
// not fetch it.
func TestVoterBelievesItsState(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	v := f.proposeCommitted(f.all[0], []byte("one"), 0)
	voter := f.all[2]
	f.runUntil(1000, func() bool { return voter.learnedEntries == 1 })
	// The new replica has the state, but not the document.
	fresh := New(Options{Self: voter.id, Run: 77, Seed: 1}, voter, StoredState{}, f.now)
	fresh.Take()
	fresh.Receive(f.now, "n007", &Message{Summary: &Summary{Number: 1, Hash: HashOf([]byte("forged")), Size: 6}})
	for _, s := range fresh.Take().Messages {
		if s.Message.Fetch != nil && s.Message.Fetch.Hash != v.Hash {
			t.Errorf("the voter fetches %v, want only the document of its own state", s.Message.Fetch)
		}
	}
	if fresh.Counters().Conflicts != 1 {
		t.Errorf("got %+v, want 1 conflict", fresh.Counters())
	}
}

// A forged version is announced to a voter before the voter learns of the real one. The voter
// fetches the real one at once.
func TestVoterCorrectsForgedTarget(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	voter := f.all[2]
	forged := &Summary{Number: 1, Hash: HashOf([]byte("forged")), Size: 6}
	voter.replica.Receive(f.now, "n007", &Message{Summary: forged})
	f.carryOut(voter)
	f.proposeCommitted(f.all[0], []byte("one"), 0)
	f.requireInForceEverywhere(1, 2000) // it does not wait until the forged one is abandoned
}

// TestSixtyVersionsInAMinute: of 60 versions in as many seconds the last comes into force at each
// controller.
func TestSixtyVersionsInAMinute(t *testing.T) {
	f := newFleet(t, 1, 60, 5)
	f.lossRate = 0.02
	f.runFor(1000)
	for i := range 60 {
		f.runFor(700)
		f.proposeCommitted(f.all[i], randomDocument(4000+i, int64(i)), uint64(i))
	}
	took := f.requireInForceEverywhere(60, 19000)
	t.Logf("in force everywhere %.0f ms after the last version was committed", took)
}

// 223 of 300 controllers are partitioned while versions are agreed on, and return at the same time.
func TestManyControllersComeBack(t *testing.T) {
	f := newFleet(t, 1, 300, 7)
	f.runFor(1000)
	f.proposeCommitted(f.all[0], randomDocument(16<<10, 1), 0)
	f.requireInForceEverywhere(1, 10000)
	f.partition(f.all[77:], 1)
	f.proposeCommitted(f.all[0], randomDocument(16<<10, 2), 1)
	f.proposeCommitted(f.all[0], randomDocument(16<<10, 3), 2)
	f.runFor(30000)
	if !inForce(3, f.all[:77]) || inForce(2, f.all[77:78]) {
		t.Error("version 3 is not in force on the voters' side, or version 2 is on the other side")
	}
	f.partition(f.all, 0)
	t.Logf("in force everywhere %.0f ms after the partition has healed", f.requireInForceEverywhere(3, 19000))
}

// TestSameSeedSendsSameMessages: simulations can be replayed only if the same seed and events give
// the same messages.
func TestSameSeedSendsSameMessages(t *testing.T) {
	trace := func() (sum uint64) {
		f := newFleet(t, 5, 30, 5)
		f.lossRate = 0.05
		f.onMessage = func(from, to *controller, _ *Message) bool {
			sum = sum*31 + rendezvousHash(from.id, to.id) + uint64(f.now*1000)
			return true
		}
		f.runFor(1000)
		f.proposeCommitted(f.all[20], randomDocument(64<<10, 1), 0)
		f.kill(f.all[1])
		f.proposeCommitted(f.all[21], randomDocument(64<<10, 2), 1)
		f.start(f.all[1])
		f.requireInForceEverywhere(2, 19000)
		f.runFor(20000)
		return sum
	}
	if a, b := trace(), trace(); a != b {
		t.Errorf("the same seed gives the message traces %d and %d, want equal ones", a, b)
	}
}

// TestIdleReplicaSendsLittle: without a new version a controller sends at most 1000 bytes a second.
func TestIdleReplicaSendsLittle(t *testing.T) {
	f := newFleet(t, 1, 100, 7)
	f.runFor(1000)
	f.proposeCommitted(f.all[0], randomDocument(4<<10, 1), 0)
	f.requireInForceEverywhere(1, 10000)
	f.runFor(30000)
	before, _ := f.bytesSent()
	perOne := map[members.ID]int64{}
	for _, c := range f.all {
		perOne[c.id] = c.sentBytes
	}
	f.runFor(60000)
	after, _ := f.bytesSent()
	most := int64(0)
	for _, c := range f.all {
		most = max(most, c.sentBytes-perOne[c.id])
	}
	t.Logf("%d bytes/s per controller on average, %d bytes/s at most, with summaries on membership messages",
		(after-before)/100/60, most/60)
	if most/60 > 1000 {
		t.Errorf("got %d bytes/s at one controller, want at most 1000", most/60)
	}
}
