package config

import (
	"math"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// maxIDBytes bounds the bytes of a controller's name in a message.
const maxIDBytes = 64

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
	options   Options
	env       Environment
	rng       *rand.Rand
	now       float64
	startedAt float64
	out       Output
	counters  Counters
	documents documentStore

	target   Version // the newest that is known of
	newest   Version // the newest whose document is here
	previous Version // the one before newest whose document is here

	announcement   announcement
	downloads      []*download
	avoidedUntil   map[members.ID]float64 // sources of bytes that did not fit, until when
	abandoned      abandonedVersion
	served         servedBytes
	checks         checks
	application    application
	storage        storage
	proposals      []*ownProposal
	candidates     []*candidate
	holds          []*hold
	reports        reports
	queries        []*pendingQuery
	lookups        []*lookup
	startup        startup
	lastWireRef    uint64
	alive          aliveMembers
	hint           leaderHint
	leads          bool
	leadsChangedAt float64
	history        historyFetch
	retained       retainedVersions
}

// New begins with what the folder holds. Kept.Current is in force already: the caller applied it before.
func New(f Options, env Environment, kept StoredState, now float64) *Replica {
	r := &Replica{
		options:      f,
		env:          env,
		rng:          rand.New(rand.NewSource(f.Seed)),
		now:          now,
		startedAt:    now,
		documents:    newDocumentStore(kept.Documents),
		target:       kept.Current,
		avoidedUntil: map[members.ID]float64{},
		checks:       checks{results: map[Hash]error{}},
		application:  application{current: kept.Current, persisted: kept.Current},
		startup:      startup{nextAt: now, latestOf: map[members.ID]uint64{}},
	}
	if kept.Current.Number > 0 && r.documents.get(kept.Current.Hash) != nil {
		r.newest = kept.Current
		r.announcement.summary = kept.Current.summary()
	}
	r.served.windowStart = now
	r.alive.refreshedAt = math.Inf(-1)
	r.reports = newReporting(now)
	r.updateReport()
	r.process()
	return r
}

// Receive takes in a message of a member of this fleet and generation.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {
	r.advanceClock(now)
	if from == "" || from == r.options.Self || len(from) > maxIDBytes || m == nil {
		return
	}
	if m.Summary != nil && !r.handleSummary(from, *m.Summary) && *m == (Message{Summary: m.Summary}) {
		r.updateLeader()
		return // most messages tell nothing new: they cost next to nothing
	}
	r.dispatch(from, m)
	r.process()
}

// dispatch hands each part of a message to its receiver.
func (r *Replica) dispatch(from members.ID, m *Message) {
	if m.Fetch != nil {
		r.handleFetch(from, m.Fetch)
	}
	if m.Chunk != nil {
		r.handleChunk(from, m.Chunk)
	}
	if m.Propose != nil {
		r.handlePropose(from, m.Propose.Proposal)
	}
	if m.ProposeReply != nil {
		r.handleProposeReply(from, m.ProposeReply)
	}
	if m.Hold != nil {
		r.handleHold(from, m.Hold)
	}
	if m.HoldReply != nil {
		r.handleHoldReply(from, m.HoldReply)
	}
	if m.Reports != nil {
		r.handleReports(from, m.Reports)
	}
	if m.ReportsReply != nil {
		r.handleReportsReply(from, m.ReportsReply)
	}
	if m.Query != nil {
		r.handleQuery(from, m.Query)
	}
	if m.Answer != nil {
		r.handleAnswer(from, m.Answer)
	}
}

// Tick takes in that time has passed.
func (r *Replica) Tick(now float64) {
	r.advanceClock(now)
	r.sendPushes()
	r.tickDownloads()
	r.tickProposals()
	r.tickQueries()
	r.tickLookups()
	r.tickStartup()
	r.process()
	r.tickReports()
	r.forgetUnneeded()
}

// Next is when Tick is to be called at the latest.
func (r *Replica) Next() float64 {
	next := min(r.announcement.next(), r.nextDownload(), r.nextApplication(), r.nextProposal(), r.nextCandidate(), r.nextReport(),
		r.nextQuery(), r.nextLookup(), r.nextStartup(), r.nextHold(), r.nextHistory())
	return max(next, r.now)
}

// QuorumChanged takes in that the quorum's state may have changed.
func (r *Replica) QuorumChanged(now float64) {
	r.advanceClock(now)
	r.process()
}

// Take hands over what is to be done.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Current is the version in force here.
func (r *Replica) Current() Version { return r.application.current }

// Counters are since the start.
func (r *Replica) Counters() Counters { return r.counters }

// advanceClock takes in the time, which never runs backwards here.
func (r *Replica) advanceClock(now float64) {
	if now > r.now { // false for a time that is no number
		r.now = now
	}
}

// process does what has become possible by the last input.
func (r *Replica) process() {
	r.updateLeader()
	r.followQuorum()
	r.runDownloads()
	r.advanceCandidates()
	r.advanceHolds()
	r.adoptTarget()
	r.advanceApplication()
	r.advanceStorage()
	r.updateSummary()
	r.updateReport()
	r.confirmLatest()
	r.forgetUnneeded()
	r.forgetChecks()
}

// send hands a message out.
func (r *Replica) send(to members.ID, m Message) {
	if to != "" && to != r.options.Self {
		r.out.Messages = append(r.out.Messages, Envelope{To: to, Message: m})
	}
}

// votes tells whether this one's state counts.
func (r *Replica) votes() bool { return r.env.Voting() && r.env.State() != nil }

// isVoter tells whether this one is of the quorum, as far as it knows.
func (r *Replica) isVoter() bool { return slices.Contains(r.env.Voters(), r.options.Self) }

// forgetUnneeded forgets documents that are in memory alone and that nothing needs any more.
func (r *Replica) forgetUnneeded() {
	if r.documents.hasUnstored() {
		r.documents.forgetUnstored(r.neededDocuments())
	}
}

// neededDocuments are the documents that this one has a use for.
func (r *Replica) neededDocuments() map[Hash]bool {
	needed := map[Hash]bool{
		r.application.current.Hash:   true,
		r.application.persisted.Hash: true,
		r.target.Hash:                true,
		r.newest.Hash:                true,
		r.previous.Hash:              true,
	}
	if r.application.applying != nil {
		needed[r.application.applying.Hash] = true
	}
	if r.storage.pending != nil {
		needed[r.storage.pending.Hash] = true
	}
	for _, p := range r.proposals {
		needed[p.proposal.Version.Hash] = true
	}
	for _, c := range r.candidates {
		needed[c.proposal.Version.Hash] = true
	}
	for _, h := range r.holds {
		needed[h.hash] = true
	}
	for _, v := range r.retainedVersions() {
		needed[v.Hash] = true
	}
	return needed
}

// retainedVersions are the versions whose documents a voter keeps, as of a state of this newest one.
type retainedVersions struct {
	newest Version
	list   []Version
}

// retainedVersions are the versions of the state whose documents a voter keeps; newest first.
func (r *Replica) retainedVersions() []Version {
	if !r.votes() {
		return nil
	}
	state := r.env.State()
	if latest := state.Latest(); r.retained.newest != latest {
		r.retained = retainedVersions{newest: latest, list: selectRetained(state.Versions)}
	}
	return r.retained.list
}

// selectRetained are the newest two versions, and those before them as far as MaxStored goes.
func selectRetained(versions []Version) (kept []Version) {
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
