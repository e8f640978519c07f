package config

import (
	"errors"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Times of a proposal at the leader, in ms.
const (
	candidateTimeout = 12000.0 // after which one that came no further makes room for the next; its origin asks again
	catchUpTime      = 3000.0  // after which one that leads knows all that was agreed on before: else it would not lead any more
	proposeRetry     = 200.0   // after the quorum did not take a proposal
	commitTimeout    = 2000.0  // after it took one that was not agreed on since
)

// candidate is a proposal at the leader: its document is fetched, checked and held by a majority of the voters before
// the quorum is asked to agree.
type candidate struct {
	proposal  Proposal
	origin    members.ID
	arrivedAt float64
	startedAt float64 // to be worked on; 0: it waits
	checked   bool
	heldBy    []members.ID // voters that hold the document durably
	holdAt    float64      // of the next HoldRequests
	proposeAt float64      // of the next proposal to the quorum
}

// handlePropose takes in another controller's proposal. One that comes to a member that does not lead is not
// answered: the origin finds the leader.
func (r *Replica) handlePropose(from members.ID, p Proposal) {
	if p.Version.ID.Origin != from {
		return
	}
	r.submit(from, p)
}

// submit answers a proposal at once or puts it into the queue.
func (r *Replica) submit(origin members.ID, p Proposal) {
	if !r.env.Leads() || !r.votes() {
		return
	}
	if reason := p.invalid(); reason != "" {
		r.reply(origin, p, ProposeReply{Result: Rejected, Reason: reason})
		return
	}
	if slices.ContainsFunc(r.candidates, func(c *candidate) bool { return c.proposal.Version.ID == p.Version.ID }) {
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

// answerDecided answers a proposal of which the state tells how it ended. Where another version than the expected one follows,
// no entry of the log can make it a version any more.
func (r *Replica) answerDecided(origin members.ID, p Proposal) bool {
	state := r.env.State()
	if v, ok := state.FindProposal(p.Version.ID); ok {
		r.reply(origin, p, ProposeReply{Result: Committed, Version: v})
		return true
	}
	if state.Newest() > p.Expect {
		r.reply(origin, p, ProposeReply{Result: Conflict, Version: state.Latest(), Reason: "another version was agreed on"})
		return true
	}
	return false
}

func (r *Replica) reply(to members.ID, p Proposal, reply ProposeReply) {
	reply.ID = p.Version.ID
	reply.Reason = truncateReason(reply.Reason)
	if to == r.options.Self {
		r.handleProposeReply(to, &reply)
		return
	}
	r.send(to, Message{ProposeReply: &reply})
}

// advanceCandidates works on the first proposal of the queue whose document is here. One that does not lead drops them
// all: their origins ask the next leader.
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

// fetchProposed has the documents of all proposals fetched, so that one whose document does not come holds up no other,
// and drops a proposal whose document has not come in time: its origin may have given it up.
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

// selectCandidate moves the first proposal whose document is here to the head of the queue, and returns the head.
func (r *Replica) selectCandidate() *candidate {
	i := slices.IndexFunc(r.candidates, func(c *candidate) bool { return r.documents.get(c.proposal.Version.Hash) != nil })
	if i > 0 {
		c := r.candidates[i]
		r.candidates = slices.Insert(slices.Delete(r.candidates, i, i+1), 0, c)
	}
	return r.candidates[0]
}

// advanceCandidate does the next step of a proposal, and tells whether it has ended.
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
	if r.now >= c.proposeAt && r.heldByMajority(c) {
		c.proposeAt = r.now + proposeRetry
		if r.env.Propose(c.proposal) {
			c.proposeAt = r.now + commitTimeout
		}
	}
	return false
}

// awaitExpected answers a proposal that expects a version which this one does not know. One that has just begun to lead
// may be late itself, and the proposal may be one that was agreed on already; later there is no such version.
func (r *Replica) awaitExpected(c *candidate) bool {
	if r.now < r.leadsChangedAt+catchUpTime {
		return false
	}
	r.reply(c.origin, c.proposal, ProposeReply{Result: Conflict, Version: r.env.State().Latest(),
		Reason: "the expected version does not exist"})
	return true
}

var errSize = errors.New("the document has another size than the proposal")

// checkCandidate tells whether the check of a proposal's document ended, and why the document can't be used.
func (r *Replica) checkCandidate(v *Version, data []byte) (ended bool, err error) {
	if len(data) != v.Size {
		return true, errSize
	}
	return r.checkEnded(v.Hash)
}

// sendHoldRequests has the voters that don't hold the document yet fetch and store it.
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

// heldByMajority tells whether enough voters hold the document durably: each majority has one of them.
func (r *Replica) heldByMajority(c *candidate) bool {
	voters := r.env.Voters()
	held := 0
	for _, id := range voters {
		if id == r.options.Self && r.documents.isStored(c.proposal.Version.Hash) || slices.Contains(c.heldBy, id) {
			held++
		}
	}
	return 2*held > len(voters)
}

// handleHoldReply takes in that a voter holds a document.
func (r *Replica) handleHoldReply(from members.ID, reply *HoldReply) {
	if len(r.candidates) == 0 {
		return
	}
	c := r.candidates[0]
	if c.checked && reply.Hash == c.proposal.Version.Hash && slices.Contains(r.env.Voters(), from) && !slices.Contains(c.heldBy, from) {
		c.heldBy = append(c.heldBy, from)
	}
}

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
