package config

import (
	"math"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Replica is one controller's part in distributing the configuration. It must be used by one
// goroutine. Times are in ms of a monotonic clock.
//
// The senders of messages are authenticated members of the fleet. A version that a member announces
// is accepted, unless this controller votes and its own state has another one under that number.
// What can be verified is verified: a document by its hash, each size and length by its bound.
type Replica struct {
	options   Options
	env       Environment
	rng       *rand.Rand
	now       float64 // ms, the latest time passed in
	startedAt float64 // ms
	out       Output
	counters  Counters
	documents documentStore

	target   Version // the newest known version
	newest   Version // the newest version whose document is here
	previous Version // the one before newest whose document was here

	announcement announcement
	abandoned    abandonedVersion
	downloads    []*download
	avoidedUntil map[members.ID]float64 // ms, until when members that sent wrong bytes are not asked
	served       servedBytes
	checks       checks
	application  application
	storage      storage

	proposals  []*ownProposal // of this controller
	candidates []*candidate   // at this leader; the first one is advanced
	holds      []*hold        // at this voter
	history    historySearch
	retained   retainedCache

	reports     reports
	queries     []*pendingQuery
	lookups     []*lookup
	startup     startup
	lastWireRef uint64 // the last Ref of a query message

	alive          aliveMembers
	hint           leaderHint
	leads          bool    // as of the last updateLeader
	leadsChangedAt float64 // ms
}

// New returns a replica that continues from what an earlier run stored. The caller has applied
// stored.Current already.
func New(options Options, env Environment, stored StoredState, now float64) *Replica {
	r := &Replica{
		options:      options,
		env:          env,
		rng:          rand.New(rand.NewSource(options.Seed)),
		now:          now,
		startedAt:    now,
		documents:    newDocumentStore(stored.Documents),
		target:       stored.Current,
		avoidedUntil: map[members.ID]float64{},
		checks:       checks{results: map[Hash]error{}},
		application:  application{current: stored.Current, persisted: stored.Current},
		startup:      startup{nextAt: now, latestOf: map[members.ID]uint64{}},
	}
	if stored.Current.Number > 0 && r.documents.get(stored.Current.Hash) != nil {
		r.newest = stored.Current
		r.announcement.summary = stored.Current.summary()
	}
	r.served.windowStart = now
	r.alive.refreshedAt = math.Inf(-1)
	r.reports = newReports(now)
	r.updateReport()
	r.process()
	return r
}

// Receive handles a message. The transport must have authenticated from as a member of this fleet
// and generation.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {
	r.advanceClock(now)
	if from == "" || from == r.options.Self || len(from) > maxIDBytes || m == nil {
		return
	}
	if m.Summary != nil && !r.handleSummary(from, *m.Summary) && *m == (Message{Summary: m.Summary}) {
		r.updateLeader()
		return // most messages announce nothing new, so handling them must be cheap
	}
	r.dispatch(from, m)
	r.process()
}

// dispatch passes each part of a message to its handler.
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

// Tick advances the time and takes all steps that are due.
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

// Next returns when Tick is to be called at the latest.
func (r *Replica) Next() float64 {
	next := min(
		r.announcement.next(),
		r.nextDownload(),
		r.nextApplication(),
		r.nextProposal(),
		r.nextCandidate(),
		r.nextHold(),
		r.nextHistory(),
		r.nextReport(),
		r.nextQuery(),
		r.nextLookup(),
		r.nextStartup(),
	)
	return max(next, r.now)
}

// QuorumChanged is to be called when the quorum's state, its leader or this controller's role may
// have changed.
func (r *Replica) QuorumChanged(now float64) {
	r.advanceClock(now)
	r.process()
}

// Take returns what is to be carried out, and has not been returned by an earlier call.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Current returns the version in force here.
func (r *Replica) Current() Version { return r.application.current }

// Counters returns the counters since the start.
func (r *Replica) Counters() Counters { return r.counters }

// advanceClock advances the time. An earlier time is ignored.
func (r *Replica) advanceClock(now float64) {
	if now > r.now { // false for NaN
		r.now = now
	}
}

// process takes all steps that the last input has made possible. Their order matters: each may
// enable those after it.
func (r *Replica) process() {
	r.updateLeader()
	r.followQuorum()
	r.runDownloads()
	r.advanceCandidates()
	r.advanceHolds()
	r.promoteTarget()
	r.advanceApplication()
	r.advanceStorage()
	r.updateSummary()
	r.updateReport()
	r.confirmLatest()
	r.forgetUnneeded()
	r.forgetChecks()
}

// send adds a message to the output. One to this controller itself, or without a recipient, is
// dropped.
func (r *Replica) send(to members.ID, m Message) {
	if to != "" && to != r.options.Self {
		r.out.Messages = append(r.out.Messages, Envelope{To: to, Message: m})
	}
}

// votes reports whether this controller votes in the quorum and its state is known.
func (r *Replica) votes() bool { return r.env.Voting() && r.env.State() != nil }

// isVoter reports whether this controller is one of the voters, as far as it knows.
func (r *Replica) isVoter() bool { return slices.Contains(r.env.Voters(), r.options.Self) }
