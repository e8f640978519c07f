package config

import (
	"math"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// maxID bounds the bytes of a controller's name in a message.
const maxID = 64

// removeAfter is how long after its start a controller removes no document: until then its state may be an old one.
const removeAfter = 60000.0

// never is a time that does not come.
var never = math.Inf(1)

// Replica is one controller's part. It is for one goroutine; times are milliseconds of a steady clock.
//
// Messages are taken from members that are proved to be of this fleet: such a member is believed when it tells a version,
// unless this controller votes and its own state tells another one of that number. What can be verified is: a document by
// its hash, each size and length by its bound.
type Replica struct {
	facts   Facts
	env     Environment
	rng     *rand.Rand
	now     float64
	began   float64
	out     Output
	counts  Counts
	library library

	target   Version // the newest that is known of
	newest   Version // the newest whose document is here
	previous Version // the one before newest whose document is here

	spread    spreading
	downloads []*download
	avoided   map[members.ID]float64 // sources of bytes that did not fit, until when
	abandoned abandonment
	served    servedBytes
	checks    checking
	take      taking
	store     storing
	proposals []*ownProposal
	queue     []*candidate
	holds     []*hold
	reports   reporting
	questions []*question
	lookups   []*lookup
	start     starting
	wireRef   uint64
	alive     aliveMembers
	hint      leaderHint
	leading   bool
	ledSince  float64
	history   historyFetch
	kept      keptVersions
}

// New begins with what the folder holds. Kept.Current is in force already: the caller applied it before.
func New(f Facts, env Environment, kept Kept, now float64) *Replica {
	r := &Replica{
		facts:   f,
		env:     env,
		rng:     rand.New(rand.NewSource(f.Seed)),
		now:     now,
		began:   now,
		library: newLibrary(kept.Documents),
		target:  kept.Current,
		avoided: map[members.ID]float64{},
		checks:  checking{results: map[Hash]error{}},
		take:    taking{current: kept.Current, persisted: kept.Current},
		start:   starting{at: now, told: map[members.ID]uint64{}},
	}
	if kept.Current.Number > 0 && r.library.get(kept.Current.Hash) != nil {
		r.newest = kept.Current
		r.spread.summary = kept.Current.summary()
	}
	r.served.since = now
	r.alive.at = math.Inf(-1)
	r.reports = newReporting(now)
	r.updateReport()
	r.turn()
	return r
}

// Receive takes in a message of a member of this fleet and generation.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {
	r.advanceClock(now)
	if from == "" || from == r.facts.Self || len(from) > maxID || m == nil {
		return
	}
	if m.Summary != nil && !r.receiveSummary(from, *m.Summary) && *m == (Message{Summary: m.Summary}) {
		r.noticeLeader()
		return // most messages tell nothing new: they cost next to nothing
	}
	r.dispatch(from, m)
	r.turn()
}

// dispatch hands each part of a message to its receiver.
func (r *Replica) dispatch(from members.ID, m *Message) {
	if m.Fetch != nil {
		r.serve(from, m.Fetch)
	}
	if m.Chunk != nil {
		r.chunk(from, m.Chunk)
	}
	if m.Propose != nil {
		r.proposeRequested(from, m.Propose.Proposal)
	}
	if m.Proposed != nil {
		r.proposeAnswered(from, m.Proposed)
	}
	if m.Hold != nil {
		r.holdRequested(from, m.Hold)
	}
	if m.Held != nil {
		r.heldBy(from, m.Held)
	}
	if m.Reports != nil {
		r.reportsReceived(from, m.Reports)
	}
	if m.Reported != nil {
		r.reportsAcknowledged(from, m.Reported)
	}
	if m.Query != nil {
		r.query(from, m.Query)
	}
	if m.Answer != nil {
		r.answered(from, m.Answer)
	}
}

// Tick takes in that time has passed.
func (r *Replica) Tick(now float64) {
	r.advanceClock(now)
	r.tickPushes()
	r.tickDownloads()
	r.tickProposals()
	r.tickQuestions()
	r.tickLookups()
	r.tickStart()
	r.turn()
	r.tickReports()
	r.sweep()
}

// Next is when Tick is to be called at the latest.
func (r *Replica) Next() float64 {
	next := min(r.spread.next(), r.nextDownload(), r.nextTaking(), r.nextProposal(), r.nextCandidate(), r.nextReport(),
		r.nextQuestion(), r.nextLookup(), r.nextStart(), r.nextHold(), r.nextHistory())
	return max(next, r.now)
}

// Agreed takes in that the quorum's state may have changed.
func (r *Replica) Agreed(now float64) {
	r.advanceClock(now)
	r.turn()
}

// Take hands over what is to be done.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Current is the version in force here.
func (r *Replica) Current() Version { return r.take.current }

// Counts are since the start.
func (r *Replica) Counts() Counts { return r.counts }

// advanceClock takes in the time, which never runs backwards here.
func (r *Replica) advanceClock(now float64) {
	if now > r.now { // false for a time that is no number
		r.now = now
	}
}

// turn does what has become possible by the last input.
func (r *Replica) turn() {
	r.noticeLeader()
	r.followState()
	r.runDownloads()
	r.advanceCandidates()
	r.advanceHolds()
	r.noticeDocument()
	r.advanceTaking()
	r.advanceStoring()
	r.updateSummary()
	r.updateReport()
	r.confirm()
	r.sweep()
	r.sweepChecks()
}

// send hands a message out.
func (r *Replica) send(to members.ID, m Message) {
	if to != "" && to != r.facts.Self {
		r.out.Sends = append(r.out.Sends, Send{To: to, Message: m})
	}
}

// votes tells whether this one's state counts.
func (r *Replica) votes() bool { return r.env.Voting() && r.env.State() != nil }

// isVoter tells whether this one is of the quorum, as far as it knows.
func (r *Replica) isVoter() bool { return slices.Contains(r.env.Voters(), r.facts.Self) }

// sweep forgets documents that are in memory alone and that nothing needs any more.
func (r *Replica) sweep() {
	if r.library.volatile() {
		r.library.sweep(r.needed())
	}
}

// needed are the documents that this one has a use for.
func (r *Replica) needed() map[Hash]bool {
	needed := map[Hash]bool{
		r.take.current.Hash:   true,
		r.take.persisted.Hash: true,
		r.target.Hash:         true,
		r.newest.Hash:         true,
		r.previous.Hash:       true,
	}
	if r.take.applying != nil {
		needed[r.take.applying.Hash] = true
	}
	if r.store.out != nil {
		needed[r.store.out.Hash] = true
	}
	for _, p := range r.proposals {
		needed[p.proposal.Version.Hash] = true
	}
	for _, c := range r.queue {
		needed[c.proposal.Version.Hash] = true
	}
	for _, h := range r.holds {
		needed[h.hash] = true
	}
	for _, v := range r.keptHistory() {
		needed[v.Hash] = true
	}
	return needed
}

// keptVersions are the versions whose documents a voter keeps, as of a state of this newest one.
type keptVersions struct {
	newest Version
	list   []Version
}

// keptHistory are the versions of the state whose documents a voter keeps; newest first.
func (r *Replica) keptHistory() []Version {
	if !r.votes() {
		return nil
	}
	state := r.env.State()
	if latest := state.Latest(); r.kept.newest != latest {
		r.kept = keptVersions{newest: latest, list: selectKept(state.Versions)}
	}
	return r.kept.list
}

// selectKept are the newest two versions, and those before them as far as MaxStored goes.
func selectKept(versions []Version) (kept []Version) {
	counted := map[Hash]bool{}
	bytes := 0
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if !counted[v.Hash] {
			counted[v.Hash] = true
			bytes += v.Size
		}
		if len(kept) >= 2 && bytes > MaxStored {
			break
		}
		kept = append(kept, v)
	}
	return kept
}
