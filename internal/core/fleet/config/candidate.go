package config

import (
	"errors"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timing of proposals at the leader.
const (
	// candidateTimeout is the time in ms after which a candidate that has not ended is dropped; its
	// origin sends it again.
	candidateTimeout = 12000.0
	// catchUpTime is the time in ms after which a new leader has applied all entries that were agreed
	// on before its term: one that takes longer no longer leads.
	catchUpTime = 3000.0
	// proposeRetry is the time in ms after which a proposal that the quorum did not accept is made
	// again.
	proposeRetry = 200.0
	// commitTimeout is the time in ms after which a proposal that the quorum accepted, but has not
	// committed, is made again.
	commitTimeout = 2000.0
)

// errSize rejects a document that does not have the size of its proposal.
var errSize = errors.New("the document's size differs from that in the proposal")

// candidate is a proposal at the leader. Its document is fetched, checked and stored durably by a
// majority of the voters before the quorum is asked to agree, so that an agreed version can always
// be fetched.
type candidate struct {
	proposal  Proposal
	origin    members.ID
	arrivedAt float64      // ms
	startedAt float64      // ms, when it came to the head of the queue; 0: it waits
	checked   bool         // its document passed the check here
	heldBy    []members.ID // voters that have stored the document durably
	holdAt    float64      // ms, when the next HoldRequests are sent
	proposeAt float64      // ms, when it is proposed to the quorum next
}

// handlePropose handles another controller's proposal; one that names another origin is ignored. A
// member that does not lead sends no reply: the origin sends the proposal again to the leader it
// knows by then.
func (r *Replica) handlePropose(from members.ID, p Proposal) {
	if p.Version.ID.Origin != from {
		return
	}
	r.submit(from, p)
}

// submit replies to a proposal at once if its result is known, and else enqueues it.
func (r *Replica) submit(origin members.ID, p Proposal) {
	if !r.env.Leads() || !r.votes() {
		return
	}
	if reason := p.invalid(); reason != "" {
		r.reply(origin, p, ProposeReply{Result: Rejected, Reason: reason})
		return
	}
	same := func(c *candidate) bool { return c.proposal.Version.ID == p.Version.ID }
	if slices.ContainsFunc(r.candidates, same) {
		return
	}
	if r.answerDecided(origin, p) {
		return
	}
	if len(r.candidates) > MaxProposals {
		r.reply(origin, p, ProposeReply{Result: Rejected, Reason: "busy"})
		return
	}
	r.candidates = append(r.candidates, &candidate{proposal: p, origin: origin, arrivedAt: r.now})
}

// answerDecided answers a proposal if the agreed state shows how it ended, and reports whether it
// did. Once another version than the expected one is the newest, no entry of the log can make the
// proposal a version.
func (r *Replica) answerDecided(origin members.ID, p Proposal) bool {
	state := r.env.State()
	if v, ok := state.FindProposal(p.Version.ID); ok {
		r.reply(origin, p, ProposeReply{Result: Committed, Version: v})
		return true
	}
	if state.Newest() > p.Expect {
		r.reply(origin, p, ProposeReply{
			Result:  Conflict,
			Version: state.Latest(),
			Reason:  "another version was agreed on",
		})
		return true
	}
	return false
}

// reply answers the origin of a proposal, which may be this controller.
func (r *Replica) reply(to members.ID, p Proposal, reply ProposeReply) {
	reply.ID = p.Version.ID
	reply.Reason = truncateReason(reply.Reason)
	if to == r.options.Self {
		r.handleProposeReply(to, &reply)
		return
	}
	r.send(to, Message{ProposeReply: &reply})
}

// advanceCandidates advances the first candidate whose document is here. A controller that does not
// lead drops all candidates: their origins send them to the next leader.
func (r *Replica) advanceCandidates() {
	if !r.env.Leads() || !r.votes() {
		for _, c := range r.candidates {
			r.releaseFetch(c.proposal.Version.Hash, forProposal)
		}
		r.candidates = nil
		return
	}
	r.fetchProposed()
	for len(r.candidates) > 0 {
		c := r.selectCandidate()
		if c.startedAt == 0 {
			c.startedAt = max(r.now, 1)
		}
		if !r.advanceCandidate(c) {
			return
		}
		r.releaseFetch(c.proposal.Version.Hash, forProposal)
		r.candidates = r.candidates[1:]
	}
}

// fetchProposed fetches the documents of all candidates, so that one whose document is missing
// delays no other. It drops a candidate whose document has not arrived within candidateTimeout, as
// its origin may have given up.
func (r *Replica) fetchProposed() {
	r.candidates = slices.DeleteFunc(r.candidates, func(c *candidate) bool {
		v := &c.proposal.Version
		if r.documents.get(v.Hash) != nil {
			return false
		}
		if r.now >= c.arrivedAt+candidateTimeout {
			r.releaseFetch(v.Hash, forProposal)
			return true
		}
		r.fetch(v.Hash, v.Size, forProposal, c.origin)
		return false
	})
	r.runDownloads()
}

// selectCandidate moves the first candidate that has its document here to the head of the queue,
// and returns the head.
func (r *Replica) selectCandidate() *candidate {
	hasDocument := func(c *candidate) bool { return r.documents.get(c.proposal.Version.Hash) != nil }
	i := slices.IndexFunc(r.candidates, hasDocument)
	if i > 0 {
		c := r.candidates[i]
		r.candidates = slices.Insert(slices.Delete(r.candidates, i, i+1), 0, c)
	}
	return r.candidates[0]
}

// advanceCandidate takes the next step of a candidate, and reports whether it has ended.
func (r *Replica) advanceCandidate(c *candidate) bool {
	if r.answerDecided(c.origin, c.proposal) {
		return true
	}
	if r.env.State().Newest() < c.proposal.Expect {
		return r.awaitExpected(c)
	}
	if r.now >= c.startedAt+candidateTimeout {
		return true
	}
	v := &c.proposal.Version
	data := r.documents.get(v.Hash)
	if data == nil {
		return false
	}
	if !c.checked {
		ended, err := r.checkCandidate(v, data)
		if !ended {
			return false
		}
		if err != nil {
			r.reply(c.origin, c.proposal, ProposeReply{Result: Rejected, Reason: err.Error()})
			return true
		}
		c.checked = true
		r.holdOwn(v.Hash)
	}
	r.sendHoldRequests(c)
	r.proposeCandidate(c)
	return false
}

// awaitExpected handles a candidate that expects a version which this leader does not know, and
// reports whether it has ended. Until catchUpTime the leader may not have applied all agreed
// entries, which may even include this proposal. After that, the expected version does not exist.
func (r *Replica) awaitExpected(c *candidate) bool {
	if r.now < r.leadsChangedAt+catchUpTime {
		return false
	}
	r.reply(c.origin, c.proposal, ProposeReply{
		Result:  Conflict,
		Version: r.env.State().Latest(),
		Reason:  "the expected version does not exist",
	})
	return true
}

// checkCandidate reports whether the check of a candidate's document has ended, and returns why the
// document can't be used.
func (r *Replica) checkCandidate(v *Version, data []byte) (ended bool, err error) {
	if len(data) != v.Size {
		return true, errSize
	}
	return r.checkResult(v.Hash)
}

// sendHoldRequests asks the voters that have not stored the document yet to fetch and store it.
func (r *Replica) sendHoldRequests(c *candidate) {
	if r.now < c.holdAt {
		return
	}
	c.holdAt = r.now + holdInterval
	v := &c.proposal.Version
	for _, id := range r.env.Voters() {
		if id != r.options.Self && !slices.Contains(c.heldBy, id) {
			r.send(id, Message{Hold: &HoldRequest{Hash: v.Hash, Size: v.Size, Version: v}})
		}
	}
}

// handleHoldReply records that a voter has stored the document of the first candidate.
func (r *Replica) handleHoldReply(from members.ID, reply *HoldReply) {
	if len(r.candidates) == 0 {
		return
	}
	c := r.candidates[0]
	expected := c.checked && reply.Hash == c.proposal.Version.Hash &&
		slices.Contains(r.env.Voters(), from)
	if expected && !slices.Contains(c.heldBy, from) {
		c.heldBy = append(c.heldBy, from)
	}
}

// heldByMajority reports whether a majority of the voters has stored the document durably. Every
// later majority then includes a voter that has it.
func (r *Replica) heldByMajority(c *candidate) bool {
	voters := r.env.Voters()
	held := 0
	for _, id := range voters {
		if id == r.options.Self && r.documents.isStored(c.proposal.Version.Hash) ||
			slices.Contains(c.heldBy, id) {
			held++
		}
	}
	return 2*held > len(voters)
}

// proposeCandidate proposes a candidate to the quorum if a majority of the voters hold its
// document.
func (r *Replica) proposeCandidate(c *candidate) {
	if r.now < c.proposeAt || !r.heldByMajority(c) {
		return
	}
	c.proposeAt = r.now + proposeRetry
	if r.env.Propose(c.proposal) {
		c.proposeAt = r.now + commitTimeout
	}
}

// nextCandidate returns when the next step of a candidate is due.
func (r *Replica) nextCandidate() float64 {
	if len(r.candidates) == 0 {
		return never
	}
	c := r.candidates[0]
	next := c.startedAt + candidateTimeout
	for _, waiting := range r.candidates {
		if r.documents.get(waiting.proposal.Version.Hash) == nil {
			next = min(next, waiting.arrivedAt+candidateTimeout)
		}
	}
	switch {
	case r.env.State() != nil && r.env.State().Newest() < c.proposal.Expect:
		next = min(next, r.leadsChangedAt+catchUpTime)
	case c.checked:
		next = min(next, c.holdAt)
		if r.heldByMajority(c) {
			next = min(next, c.proposeAt)
		}
	}
	return next
}
