package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// batch is a message with reports to the leader that is not acknowledged yet.
type batch struct {
	sequence uint64
	to       members.ID
	ids      []members.ID
	sentAt   float64 // ms
}

// markDirty marks a report to be sent to the leader, unless this controller leads.
func (r *Replica) markDirty(h *heardReport) {
	if r.env.Leads() || h.dirty {
		return
	}
	h.dirty = true
	r.reports.dirtyCount++
	r.reports.flushAt = min(r.reports.flushAt, r.now+relayDelay)
}

// markDirtySince marks all reports that were heard within a time in ms before now.
func (r *Replica) markDirtySince(within float64) {
	for _, h := range r.reports.known {
		if h.heardAt > r.now-within {
			r.markDirty(h)
		}
	}
}

// clearDirty unmarks all reports.
func (r *Replica) clearDirty() {
	for _, h := range r.reports.known {
		h.dirty = false
	}
	r.reports.dirtyCount = 0
	r.reports.flushAt = never
}

// reportToNewLeader sends all reports to a new leader at once. If this controller is the new
// leader, it only adds its own.
func (r *Replica) reportToNewLeader() {
	r.reports.batches = nil
	if r.env.Leads() {
		r.clearDirty()
		r.mergeReport(r.reports.own, r.now)
		return
	}
	r.markDirtySince(never)
	if r.reports.dirtyCount > 0 {
		r.sendDirtyReports()
	}
}

// sendDirtyReports sends the dirty reports to the leader.
func (r *Replica) sendDirtyReports() {
	s := &r.reports
	s.flushAt = never
	leader := r.leader()
	if leader == r.options.Self {
		r.clearDirty()
	}
	if leader == "" || s.dirtyCount == 0 {
		return // once a leader is known, reportToNewLeader sends all reports
	}
	ids := make([]members.ID, 0, s.dirtyCount)
	for id, h := range s.known {
		if h.dirty {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for part := range slices.Chunk(ids, maxReportsPerMessage) {
		if len(s.batches) >= maxBatches {
			s.flushAt = r.now + reportTimeout
			return
		}
		r.sendBatch(leader, part)
	}
}

// sendBatch sends the reports of some controllers to the leader.
func (r *Replica) sendBatch(leader members.ID, ids []members.ID) {
	s := &r.reports
	s.sequence++
	list := make([]Report, 0, len(ids))
	for _, id := range ids {
		h := s.known[id]
		h.dirty = false
		s.dirtyCount--
		report := h.Report
		report.Age = r.now - h.heardAt
		list = append(list, report)
	}
	s.batches = append(s.batches, batch{sequence: s.sequence, to: leader, ids: ids, sentAt: r.now})
	r.send(leader, Message{Reports: &Reports{Sequence: s.sequence, List: list}})
}

// retryBatches marks reports that were not acknowledged in time to be sent again.
func (r *Replica) retryBatches() {
	s := &r.reports
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if r.now < b.sentAt+reportTimeout {
			return false
		}
		for _, id := range b.ids {
			if h := s.known[id]; h != nil {
				r.markDirty(h)
			}
		}
		s.flushAt = min(s.flushAt, r.now)
		return true
	})
}

// handleReportsReply handles the acknowledgement of reports.
func (r *Replica) handleReportsReply(from members.ID, reply *ReportsReply) {
	s := &r.reports
	if s.awaitedSequence != 0 && reply.Sequence == s.awaitedSequence && from == s.awaitedFrom {
		s.awaitedSequence = 0
		s.failedRelays = 0
	}
	acknowledged := func(b batch) bool { return b.sequence == reply.Sequence && b.to == from }
	s.batches = slices.DeleteFunc(s.batches, acknowledged)
	if len(reply.Leader) <= maxIDBytes {
		r.hintLeader(from, reply.Leader)
	}
}
