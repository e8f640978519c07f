package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timing of proposals at their origin.
const (
	// proposeInterval is the time in ms after which a proposal is sent to the leader again.
	proposeInterval = 500.0
	// proposeTimeout is the time in ms after which a proposal ends as Unknown.
	proposeTimeout = 15000.0
)

// ownProposal is a proposal of this controller's operators that has not ended.
type ownProposal struct {
	ref      uint64 // assigned by the caller
	proposal Proposal
	deadline float64      // ms
	nextAt   float64      // ms, when it is sent again
	sentTo   []members.ID // only these may answer it
}

// Propose proposes a document as the next version after expect. The caller has checked the
// document. The ProposalResult follows within proposeTimeout. A call with the ref of a pending
// proposal is ignored.
func (r *Replica) Propose(now float64, ref uint64, document []byte, expect uint64, v Version) {
	r.advanceClock(now)
	if slices.ContainsFunc(r.proposals, func(p *ownProposal) bool { return p.ref == ref }) {
		return
	}
	v.Number = 0
	v.Size = len(document)
	v.ID = ProposalID{Origin: r.options.Self, Run: r.options.Run, Ref: ref}
	p := Proposal{Expect: expect, Version: v}
	reason := p.invalid()
	if len(r.proposals) >= MaxProposals {
		reason = "busy"
	}
	if reason != "" {
		rejection := ProposalResult{Ref: ref, Result: Rejected, Version: v, Reason: reason}
		r.out.ProposalResults = append(r.out.ProposalResults, rejection)
		return
	}
	p.Version.Hash = HashOf(document)
	r.proposals = append(r.proposals, &ownProposal{
		ref:      ref,
		proposal: p,
		deadline: r.now + proposeTimeout,
		nextAt:   r.now,
	})
	r.documents.put(p.Version.Hash, document)
	r.tickProposals()
	r.process()
}

// tickProposals sends proposals to the leader again, and ends those that were not answered in time.
func (r *Replica) tickProposals() {
	for _, p := range slices.Clone(r.proposals) {
		switch {
		case r.now >= p.deadline:
			r.endProposal(p, ProposalResult{
				Result:  Unknown,
				Version: p.proposal.Version,
				Reason:  "not answered in time",
			})
		case r.now >= p.nextAt:
			p.nextAt = r.now + proposeInterval
			r.sendProposal(p)
		}
	}
}

// sendProposal sends a proposal to the leader, which may be this controller.
func (r *Replica) sendProposal(p *ownProposal) {
	leader := r.leader()
	if leader == r.options.Self {
		r.submit(leader, p.proposal)
		return
	}
	if leader != "" && !slices.Contains(p.sentTo, leader) {
		p.sentTo = append(p.sentTo, leader)
	}
	r.send(leader, Message{Propose: &ProposeRequest{Proposal: p.proposal}})
}

// handleProposeReply handles the result of a proposal of this controller. A reply is accepted only
// from a member that the proposal was sent to.
func (r *Replica) handleProposeReply(from members.ID, reply *ProposeReply) {
	i := slices.IndexFunc(r.proposals, func(p *ownProposal) bool {
		return p.proposal.Version.ID == reply.ID
	})
	if i < 0 {
		return
	}
	p := r.proposals[i]
	if from != r.options.Self && !slices.Contains(p.sentTo, from) {
		return
	}
	proposed := &p.proposal.Version
	switch reply.Result {
	case Committed:
		if reply.Version.ID != proposed.ID || reply.Version.Hash != proposed.Hash ||
			reply.Version.Number == 0 {
			return
		}
	case Conflict, Rejected:
	default:
		return
	}
	r.endProposal(p, ProposalResult{
		Result:  reply.Result,
		Version: reply.Version,
		Reason:  truncateReason(reply.Reason),
	})
	if reply.Result == Committed {
		r.handleSummary(from, reply.Version.summary())
		r.addDescription(&reply.Version)
	}
}

// endProposal ends a proposal with a result.
func (r *Replica) endProposal(p *ownProposal, result ProposalResult) {
	r.proposals = slices.DeleteFunc(r.proposals, func(x *ownProposal) bool { return x == p })
	result.Ref = p.ref
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// nextProposal returns when the next step of a proposal is due.
func (r *Replica) nextProposal() float64 {
	next := never
	for _, p := range r.proposals {
		next = min(next, p.nextAt, p.deadline)
	}
	return next
}

// truncateReason cuts a reason to at most MaxReason bytes, without splitting a character.
func truncateReason(reason string) string {
	if len(reason) <= MaxReason {
		return reason
	}
	cut := MaxReason
	for cut > 0 && reason[cut]&0xc0 == 0x80 { // a UTF-8 continuation byte
		cut--
	}
	return reason[:cut]
}
