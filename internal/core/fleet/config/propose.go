package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Times of a proposal at its origin, in ms.
const (
	proposeInterval = 500.0
	proposeTimeout  = 15000.0
)

// ownProposal is one that an operator made here and that has not ended.
type ownProposal struct {
	ref      uint64
	proposal Proposal
	deadline float64
	nextAt   float64 // of the next message
	sentTo   []members.ID
}

// Propose asks for a document to become the next version after expect. The caller has checked it. The outcome comes
// within proposeTimeout.
func (r *Replica) Propose(now float64, ref uint64, document []byte, expect uint64, v Version) {
	r.advanceClock(now)
	v.Number = 0
	v.Size = len(document)
	v.ID = ProposalID{Origin: r.options.Self, Run: r.options.Run, Ref: ref}
	p := Proposal{Expect: expect, Version: v}
	refusal := p.invalid()
	if len(r.proposals) >= MaxProposals {
		refusal = "busy"
	}
	if slices.ContainsFunc(r.proposals, func(o *ownProposal) bool { return o.ref == ref }) {
		return // it is under way
	}
	if refusal != "" {
		r.out.ProposalResults = append(r.out.ProposalResults, ProposalResult{Ref: ref, Result: Rejected, Version: v, Reason: refusal})
		return
	}
	p.Version.Hash = HashOf(document)
	r.proposals = append(r.proposals, &ownProposal{ref: ref, proposal: p, deadline: r.now + proposeTimeout, nextAt: r.now})
	r.documents.put(p.Version.Hash, document)
	r.tickProposals()
	r.process()
}

// tickProposals sends proposals again to whoever leads, and ends those that were not answered.
func (r *Replica) tickProposals() {
	for _, p := range slices.Clone(r.proposals) {
		switch {
		case r.now >= p.deadline:
			r.endProposal(p, ProposalResult{Result: Unknown, Version: p.proposal.Version, Reason: "not answered in time"})
		case r.now >= p.nextAt:
			p.nextAt = r.now + proposeInterval
			r.sendProposal(p)
		}
	}
}

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

// handleProposeReply takes in how a proposal of this one ended, by the word of one that it was sent to.
func (r *Replica) handleProposeReply(from members.ID, reply *ProposeReply) {
	i := slices.IndexFunc(r.proposals, func(p *ownProposal) bool { return p.proposal.Version.ID == reply.ID })
	if i < 0 {
		return
	}
	p := r.proposals[i]
	if from != r.options.Self && !slices.Contains(p.sentTo, from) {
		return
	}
	own := &p.proposal.Version
	switch reply.Result {
	case Committed:
		if reply.Version.ID != own.ID || reply.Version.Hash != own.Hash || reply.Version.Number == 0 {
			return
		}
	case Conflict, Rejected:
	default:
		return
	}
	r.endProposal(p, ProposalResult{Result: reply.Result, Version: reply.Version, Reason: truncateReason(reply.Reason)})
	if reply.Result == Committed {
		r.handleSummary(from, reply.Version.summary())
		r.addDescription(&reply.Version)
	}
}

func (r *Replica) endProposal(p *ownProposal, o ProposalResult) {
	r.proposals = slices.DeleteFunc(r.proposals, func(x *ownProposal) bool { return x == p })
	o.Ref = p.ref
	r.out.ProposalResults = append(r.out.ProposalResults, o)
}

func (r *Replica) nextProposal() float64 {
	next := never
	for _, p := range r.proposals {
		next = min(next, p.nextAt, p.deadline)
	}
	return next
}

// truncateReason cuts a reason to what is sent of it.
func truncateReason(reason string) string {
	if len(reason) <= MaxReason {
		return reason
	}
	cut := MaxReason
	for cut > 0 && reason[cut]&0xc0 == 0x80 { // not within a character
		cut--
	}
	return reason[:cut]
}
