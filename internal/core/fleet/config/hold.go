package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timing and bounds of holds: documents that voters store before their versions are agreed on.
const (
	// holdInterval is the time in ms between two HoldRequests of a leader to a voter.
	holdInterval = 500.0
	// holdTime is the time in ms after the last request for which a document is held although its
	// version was not agreed on: the quorum may still agree on it.
	holdTime = 3600000.0
	// maxHolds bounds the documents held at a time.
	maxHolds = 4
)

// hold is a document that a leader asked this voter to store, before its version is agreed on.
type hold struct {
	hash        Hash
	from        members.ID // the leader
	requestedAt float64    // ms, when it was last requested
	replied     bool       // the leader was sent a HoldReply
	version     *Version   // the proposed one, if the leader sent it
}

// handleHold handles the leader's request to store a document here.
func (r *Replica) handleHold(from members.ID, request *HoldRequest) {
	if request.Size < 1 || request.Size > MaxDocument || from != r.env.Leader() || !r.isVoter() {
		return
	}
	h := r.addHold(request.Hash)
	h.from = from
	h.replied = false
	if request.Version != nil && request.Version.hasBoundedText() {
		h.version = request.Version
	}
	if r.documents.get(h.hash) == nil {
		r.fetch(h.hash, request.Size, forHold, from)
	}
}

// holdOwn holds the document of a candidate at this leader, which is one of the voters that hold
// it. The hold remains when this controller stops leading, as the quorum may still agree on the
// proposal.
func (r *Replica) holdOwn(hash Hash) {
	h := r.addHold(hash)
	h.from = r.options.Self
	h.replied = true
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

// dropHold ends a hold.
func (r *Replica) dropHold(h *hold) {
	r.releaseFetch(h.hash, forHold)
	r.holds = slices.DeleteFunc(r.holds, func(x *hold) bool { return x == h })
}

// advanceHolds confirms stored documents to the leaders that asked for them, drops holds that have
// expired or, once confirmed, whose document is retained for a version, and continues the search
// for older documents.
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

// isRetained reports whether a document is one that this voter keeps for its versions.
func (r *Replica) isRetained(hash Hash) bool {
	return slices.ContainsFunc(r.retainedVersions(), func(v Version) bool { return v.Hash == hash })
}

// nextHold returns when the next hold expires.
func (r *Replica) nextHold() float64 {
	next := never
	for _, h := range r.holds {
		next = min(next, h.requestedAt+holdTime)
	}
	return next
}
