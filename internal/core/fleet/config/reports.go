package config

import (
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How reports are collected, in ms and counts.
const (
	reportDelay          = 200.0   // at most, until a change is reported
	reportInterval       = 10000.0 // between two reports, and between two of all that a relay knows
	relayDelay           = 200.0   // in which a relay gathers changes
	reportTimeout        = 1000.0  // until another relay is asked, or the leader again
	reportFreshTime      = 30000.0 // for which a report counts
	relayedReportTime    = 60000.0 // for which a relay keeps one
	maxReportsPerMessage = 300     // reports of a message
	maxReportsAccepted   = 1024    // of a message that is taken in
	maxBatches           = 32      // messages to the leader that are not answered
	relayTries           = 4
)

// heardReport is a report and when it was heard.
type heardReport struct {
	Report
	heardAt float64
	dirty   bool // the leader has not been sent it
}

// batch is a message to the leader that is not answered.
type batch struct {
	sequence uint64
	to       members.ID
	ids      []members.ID
	at       float64
}

// reports is the part of a controller in collecting reports: its own, those for which it is a relay, and all of them
// where it leads.
type reports struct {
	own             Report
	sendOwnAt       float64 // of the next own report
	changed         bool    // own has changed since it was sent
	sequence        uint64  // of messages
	awaitedSequence uint64  // for the answer to this message with the own report; 0: none
	awaitedFrom     members.ID
	awaitedUntil    float64
	tries           int

	known      map[members.ID]*heardReport
	dirtyCount int
	flushAt    float64
	resendAt   float64
	batches    []batch
	leader     members.ID
	purgeAt    float64
}

func newReporting(now float64) reports {
	return reports{sendOwnAt: now, known: map[members.ID]*heardReport{}, flushAt: never, resendAt: now + reportInterval}
}

// updateReport sees whether this one has something new to say of itself.
func (r *Replica) updateReport() {
	t := &r.application
	next := Report{ID: r.options.Self, Run: r.options.Run, Sequence: r.reports.own.Sequence, Applied: t.current.Number}
	switch {
	case t.stuck.Number > t.current.Number && t.stuck.Number > t.rejected.Number:
		next.Rejected, next.Reason = t.stuck.Number, truncateReason(t.stuckReason)
	case t.rejected.Number > t.current.Number:
		next.Rejected, next.Reason = t.rejected.Number, truncateReason(t.reason)
	}
	if next == r.reports.own {
		return
	}
	next.Sequence++
	r.reports.own = next
	r.reports.changed = true
	r.reports.sendOwnAt = min(r.reports.sendOwnAt, r.now+reportDelay*r.rng.Float64())
	r.reports.awaitedSequence = 0
}

// tickReports sends what is due.
func (r *Replica) tickReports() {
	s := &r.reports
	if s.awaitedSequence != 0 && r.now >= s.awaitedUntil {
		s.awaitedSequence = 0
		if s.tries++; s.tries < relayTries {
			s.sendOwnAt = r.now
		}
	}
	if r.now >= s.sendOwnAt {
		r.sendReport()
	}
	if r.now >= s.resendAt {
		s.resendAt = r.now + reportInterval
		r.purgeReports()
		r.markDirtySince(reportFreshTime)
	}
	r.retryBatches()
	if r.now >= s.flushAt {
		r.sendDirtyReports()
	}
}

// sendReport sends the own report to a relay: the first one, or the next if one before did not answer.
func (r *Replica) sendReport() {
	s := &r.reports
	if s.changed {
		s.changed, s.tries = false, 0
	}
	s.sendOwnAt = r.now + reportInterval*(0.9+0.1*r.rng.Float64())
	if s.tries >= relayTries {
		s.tries = 0
	}
	relays := r.relaysInOrder()
	if r.env.Leads() || len(relays) == 0 || relays[s.tries%len(relays)] == r.options.Self {
		s.tries = 0
		r.mergeReport(s.own, r.now)
		return
	}
	s.sequence++
	s.awaitedSequence, s.awaitedUntil = s.sequence, r.now+reportTimeout
	s.awaitedFrom = relays[s.tries%len(relays)]
	r.send(s.awaitedFrom, Message{Reports: &Reports{Sequence: s.sequence, List: []Report{s.own}}})
}

// handleReports takes in reports as a relay or the leader.
func (r *Replica) handleReports(from members.ID, m *Reports) {
	if len(m.List) > maxReportsAccepted {
		return
	}
	for _, report := range m.List {
		if report.valid() && report.ID != r.options.Self {
			r.mergeReport(report, r.now-report.Age)
		}
	}
	r.send(from, Message{ReportsReply: &ReportsReply{Sequence: m.Sequence, Leader: r.leader()}})
}

func (report *Report) valid() bool {
	return report.ID != "" && len(report.ID) <= maxIDBytes && len(report.Reason) <= MaxReason && report.Age >= 0 && !math.IsInf(report.Age, 1)
}

// mergeReport takes in one report, in whatever order and however often it comes.
func (r *Replica) mergeReport(report Report, at float64) {
	s := &r.reports
	report.Age = 0
	h := s.known[report.ID]
	switch {
	case h == nil:
		if len(s.known) >= MaxReports {
			r.purgeReports()
		}
		if len(s.known) >= MaxReports {
			return
		}
		s.known[report.ID] = &heardReport{heardAt: at}
		h = s.known[report.ID]
	case h.Run != report.Run:
		if !r.isLaterRun(h, report, at) {
			return
		}
		h.heardAt = at
	case h.Sequence >= report.Sequence:
		if h.Sequence == report.Sequence {
			h.heardAt = max(h.heardAt, at)
		}
		return
	}
	h.Report, h.heardAt = report, max(h.heardAt, at)
	r.markDirty(h)
}

// isLaterRun tells whether a report is of a later run of a controller than the one before it. Runs have no order: what
// membership believes counts, else what was heard last.
func (r *Replica) isLaterRun(before *heardReport, report Report, at float64) bool {
	if m, ok := r.env.Member(report.ID); ok && m.Run != 0 {
		if m.Run == before.Run {
			return false
		}
		if m.Run == report.Run {
			return true
		}
	}
	return at > before.heardAt
}

func (r *Replica) markDirty(h *heardReport) {
	if r.env.Leads() || h.dirty {
		return
	}
	h.dirty = true
	r.reports.dirtyCount++
	r.reports.flushAt = min(r.reports.flushAt, r.now+relayDelay)
}

// markDirtySince has all reports sent that were heard within a time.
func (r *Replica) markDirtySince(within float64) {
	for _, h := range r.reports.known {
		if h.heardAt > r.now-within {
			r.markDirty(h)
		}
	}
}

// reportToNewLeader tells a new leader all at once.
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

func (r *Replica) clearDirty() {
	for _, h := range r.reports.known {
		h.dirty = false
	}
	r.reports.dirtyCount = 0
	r.reports.flushAt = never
}

// sendDirtyReports sends to the leader what it has not been sent.
func (r *Replica) sendDirtyReports() {
	s := &r.reports
	s.flushAt = never
	leader := r.leader()
	if leader == r.options.Self {
		r.clearDirty()
	}
	if leader == "" || s.dirtyCount == 0 {
		return // a leader that becomes known is told all
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
	s.batches = append(s.batches, batch{sequence: s.sequence, to: leader, ids: ids, at: r.now})
	r.send(leader, Message{Reports: &Reports{Sequence: s.sequence, List: list}})
}

// retryBatches sends again what was not answered.
func (r *Replica) retryBatches() {
	s := &r.reports
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if r.now < b.at+reportTimeout {
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

// handleReportsReply takes in that reports have come.
func (r *Replica) handleReportsReply(from members.ID, reply *ReportsReply) {
	s := &r.reports
	if s.awaitedSequence != 0 && reply.Sequence == s.awaitedSequence && from == s.awaitedFrom {
		s.awaitedSequence, s.tries = 0, 0
	}
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool { return b.sequence == reply.Sequence && b.to == from })
	if len(reply.Leader) <= maxIDBytes {
		r.hintLeader(from, reply.Leader)
	}
}

// purgeReports forgets reports that are too old, and those of controllers that are not known or have left. A leader keeps
// old ones, so that it can tell when a controller was heard last.
func (r *Replica) purgeReports() {
	s := &r.reports
	if r.now < s.purgeAt {
		return
	}
	s.purgeAt = r.now + aliveInterval
	leads := r.env.Leads()
	for id, h := range s.known {
		m, known := r.env.Member(id)
		old := h.heardAt <= r.now-relayedReportTime
		if !leads && old || old && (!known || m.State == members.Left) {
			if h.dirty {
				s.dirtyCount--
			}
			delete(s.known, id)
		}
	}
}

func (r *Replica) nextReport() float64 {
	s := &r.reports
	next := min(s.sendOwnAt, s.flushAt)
	if s.awaitedSequence != 0 {
		next = min(next, s.awaitedUntil)
	}
	if len(s.known) > 0 {
		next = min(next, s.resendAt)
	}
	for _, b := range s.batches {
		next = min(next, b.at+reportTimeout)
	}
	return next
}
