package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Holding of documents by voters, in ms and counts.
const (
	holdInterval      = 500.0     // between two requests of a leader
	holdTime          = 3600000.0 // after the last request, if no version came of it: the quorum may agree on it late
	maxHolds          = 4
	historyInterval   = 5000.0  // between two looks for older documents that a voter should have
	historyRetry      = 60000.0 // after nobody had one
	historyStartDelay = 5000.0  // without a proposal or a fetch, before such are fetched
)

// hold is a document that a leader asked this voter to store, before its version is agreed on.
type hold struct {
	hash        Hash
	from        members.ID
	requestedAt float64 // of the last request
	replied     bool
	version     *Version // what the leader told of the version that is proposed
}

// handleHold takes in that a leader wants a document to be stored here.
func (r *Replica) handleHold(from members.ID, request *HoldRequest) {
	if request.Size < 1 || request.Size > MaxDocument || from != r.env.Leader() || !r.isVoter() {
		return
	}
	h := r.addHold(request.Hash)
	h.from, h.replied = from, false
	if request.Version != nil && request.Version.hasBoundedText() {
		h.version = request.Version
	}
	if r.documents.get(h.hash) == nil {
		r.fetch(h.hash, request.Size, forHold, from)
	}
}

// holdOwn keeps the document of a proposal at the leader, which counts as one of those that hold it. It stays when this
// one leads no more: the quorum may agree on the proposal all the same.
func (r *Replica) holdOwn(hash Hash) {
	h := r.addHold(hash)
	h.from, h.replied = r.options.Self, true
}

// addHold finds or adds a hold, and drops the oldest one if there are too many.
func (r *Replica) addHold(hash Hash) *hold {
	i := slices.IndexFunc(r.holds, func(h *hold) bool { return h.hash == hash })
	if i < 0 {
		if len(r.holds) >= maxHolds {
			r.dropHold(r.holds[0])
		}
		r.holds = append(r.holds, &hold{hash: hash})
		i = len(r.holds) - 1
	}
	r.holds[i].requestedAt = r.now
	return r.holds[i]
}

func (r *Replica) dropHold(h *hold) {
	r.releaseFetch(h.hash, forHold)
	r.holds = slices.DeleteFunc(r.holds, func(x *hold) bool { return x == h })
}

// advanceHolds tells leaders what is stored, and drops what no leader asks for any more.
func (r *Replica) advanceHolds() {
	for _, h := range slices.Clone(r.holds) {
		if r.now >= h.requestedAt+holdTime || h.replied && r.isRetained(h.hash) {
			r.dropHold(h)
			continue
		}
		if !h.replied && r.documents.isStored(h.hash) {
			h.replied = true
			r.send(h.from, Message{HoldReply: &HoldReply{Hash: h.hash}})
		}
	}
	r.fetchHistory()
}

// isRetained tells whether a document is one of those that this voter keeps for its versions.
func (r *Replica) isRetained(hash Hash) bool {
	return slices.ContainsFunc(r.retainedVersions(), func(v Version) bool { return v.Hash == hash })
}

func (r *Replica) nextHold() float64 {
	next := never
	for _, h := range r.holds {
		next = min(next, h.requestedAt+holdTime)
	}
	return next
}

// historyFetch is how far a voter is with documents of older versions that it lacks, as one that joined late does.
type historyFetch struct {
	nextAt        float64 // of the next look
	checkedNewest uint64  // the newest number at the last look
	complete      bool    // nothing was missing then
}

// fetchHistory fetches a document of an older version that this voter should have, one at a time, while nothing else is
// being fetched.
func (r *Replica) fetchHistory() {
	if r.now < r.history.nextAt || !r.votes() {
		return
	}
	newest := r.env.State().Newest()
	if r.history.complete && r.history.checkedNewest == newest {
		return
	}
	r.history = historyFetch{nextAt: r.now + historyInterval, checkedNewest: newest, complete: true}
	for _, v := range r.retainedVersions() {
		if r.documents.get(v.Hash) != nil {
			continue
		}
		r.history.complete = false
		if len(r.downloads) == 0 && r.now >= r.startedAt+historyStartDelay {
			r.fetch(v.Hash, v.Size, forHistory)
			r.runDownloads()
		}
		return
	}
}

func (r *Replica) nextHistory() float64 {
	if !r.votes() || r.history.complete && r.history.checkedNewest == r.env.State().Newest() {
		return never
	}
	return r.history.nextAt
}
