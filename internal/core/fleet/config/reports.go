package config

import (
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How reports are collected, in ms and counts.
const (
	reportDelay  = 200.0   // at most, until a change is reported
	reportEach   = 10000.0 // between two reports, and between two of all that a relay knows
	relayDelay   = 200.0   // in which a relay gathers changes
	reportAnswer = 1000.0  // until another relay is asked, or the leader again
	freshFor     = 30000.0 // for which a report counts
	relayedFor   = 60000.0 // for which a relay keeps one
	reportChunk  = 300     // reports of a message
	maxReported  = 1024    // of a message that is taken in
	maxBatches   = 32      // messages to the leader that are not answered
	relayTries   = 4
)

// heardReport is a report and when it was heard.
type heardReport struct {
	Report
	at    float64
	dirty bool // the leader has not been sent it
}

// batch is a message to the leader that is not answered.
type batch struct {
	sequence uint64
	to       members.ID
	ids      []members.ID
	at       float64
}

// reporting is the part of a controller in collecting reports: its own, those for which it is a relay, and all of them
// where it leads.
type reporting struct {
	own      Report
	at       float64 // of the next own report
	changed  bool    // own has changed since it was sent
	sequence uint64  // of messages
	waiting  uint64  // for the answer to this message with the own report; 0: none
	waitFor  members.ID
	waitTill float64
	tries    int

	heard   map[members.ID]*heardReport
	dirty   int
	flushAt float64
	wholeAt float64
	batches []batch
	leader  members.ID
	purgeAt float64
}

func newReporting(now float64) reporting {
	return reporting{at: now, heard: map[members.ID]*heardReport{}, flushAt: never, wholeAt: now + reportEach}
}

// updateReport sees whether this one has something new to say of itself.
func (r *Replica) updateReport() {
	t := &r.take
	next := Report{ID: r.facts.Self, Run: r.facts.Run, Sequence: r.reports.own.Sequence, Applied: t.current.Number}
	switch {
	case t.stuck.Number > t.current.Number && t.stuck.Number > t.refused.Number:
		next.Refused, next.Reason = t.stuck.Number, bounded(t.stuckWhy)
	case t.refused.Number > t.current.Number:
		next.Refused, next.Reason = t.refused.Number, bounded(t.reason)
	}
	if next == r.reports.own {
		return
	}
	next.Sequence++
	r.reports.own = next
	r.reports.changed = true
	r.reports.at = min(r.reports.at, r.now+reportDelay*r.rng.Float64())
	r.reports.waiting = 0
}

// tickReports sends what is due.
func (r *Replica) tickReports() {
	s := &r.reports
	if s.waiting != 0 && r.now >= s.waitTill {
		s.waiting = 0
		if s.tries++; s.tries < relayTries {
			s.at = r.now
		}
	}
	if r.now >= s.at {
		r.sendReport()
	}
	if r.now >= s.wholeAt {
		s.wholeAt = r.now + reportEach
		r.purgeReports()
		r.markAll(freshFor)
	}
	r.retryBatches()
	if r.now >= s.flushAt {
		r.flushReports()
	}
}

// sendReport sends the own report to a relay: the first one, or the next if one before did not answer.
func (r *Replica) sendReport() {
	s := &r.reports
	if s.changed {
		s.changed, s.tries = false, 0
	}
	s.at = r.now + reportEach*(0.9+0.1*r.rng.Float64())
	if s.tries >= relayTries {
		s.tries = 0
	}
	relays := r.ownRelays()
	if r.env.Leads() || len(relays) == 0 || relays[s.tries%len(relays)] == r.facts.Self {
		s.tries = 0
		r.mergeReport(s.own, r.now)
		return
	}
	s.sequence++
	s.waiting, s.waitTill = s.sequence, r.now+reportAnswer
	s.waitFor = relays[s.tries%len(relays)]
	r.send(s.waitFor, Message{Reports: &Reports{Sequence: s.sequence, List: []Report{s.own}}})
}

// reportsReceived takes in reports as a relay or the leader.
func (r *Replica) reportsReceived(from members.ID, m *Reports) {
	if len(m.List) > maxReported {
		return
	}
	for _, report := range m.List {
		if report.wellFormed() && report.ID != r.facts.Self {
			r.mergeReport(report, r.now-report.Age)
		}
	}
	r.send(from, Message{Reported: &ReportsReply{Sequence: m.Sequence, Leader: r.leader()}})
}

func (report *Report) wellFormed() bool {
	return report.ID != "" && len(report.ID) <= maxID && len(report.Reason) <= MaxReason && report.Age >= 0 && !math.IsInf(report.Age, 1)
}

// mergeReport takes in one report, in whatever order and however often it comes.
func (r *Replica) mergeReport(report Report, at float64) {
	s := &r.reports
	report.Age = 0
	h := s.heard[report.ID]
	switch {
	case h == nil:
		if len(s.heard) >= MaxReports {
			r.purgeReports()
		}
		if len(s.heard) >= MaxReports {
			return
		}
		s.heard[report.ID] = &heardReport{at: at}
		h = s.heard[report.ID]
	case h.Run != report.Run:
		if !r.laterRun(h, report, at) {
			return
		}
		h.at = at
	case h.Sequence >= report.Sequence:
		if h.Sequence == report.Sequence {
			h.at = max(h.at, at)
		}
		return
	}
	h.Report, h.at = report, max(h.at, at)
	r.markDirty(h)
}

// laterRun tells whether a report is of a later run of a controller than the one before it. Runs have no order: what
// membership believes counts, else what was heard last.
func (r *Replica) laterRun(before *heardReport, report Report, at float64) bool {
	if m, ok := r.env.Member(report.ID); ok && m.Run != 0 {
		if m.Run == before.Run {
			return false
		}
		if m.Run == report.Run {
			return true
		}
	}
	return at > before.at
}

func (r *Replica) markDirty(h *heardReport) {
	if r.env.Leads() || h.dirty {
		return
	}
	h.dirty = true
	r.reports.dirty++
	r.reports.flushAt = min(r.reports.flushAt, r.now+relayDelay)
}

// markAll has all reports sent that were heard within a time.
func (r *Replica) markAll(within float64) {
	for _, h := range r.reports.heard {
		if h.at > r.now-within {
			r.markDirty(h)
		}
	}
}

// resendReports tells a new leader all at once.
func (r *Replica) resendReports() {
	r.reports.batches = nil
	if r.env.Leads() {
		r.clearDirty()
		r.mergeReport(r.reports.own, r.now)
		return
	}
	r.markAll(never)
	if r.reports.dirty > 0 {
		r.flushReports()
	}
}

func (r *Replica) clearDirty() {
	for _, h := range r.reports.heard {
		h.dirty = false
	}
	r.reports.dirty = 0
	r.reports.flushAt = never
}

// flushReports sends to the leader what it has not been sent.
func (r *Replica) flushReports() {
	s := &r.reports
	s.flushAt = never
	leader := r.leader()
	if leader == r.facts.Self {
		r.clearDirty()
	}
	if leader == "" || s.dirty == 0 {
		return // a leader that becomes known is told all
	}
	ids := make([]members.ID, 0, s.dirty)
	for id, h := range s.heard {
		if h.dirty {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for part := range slices.Chunk(ids, reportChunk) {
		if len(s.batches) >= maxBatches {
			s.flushAt = r.now + reportAnswer
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
		h := s.heard[id]
		h.dirty = false
		s.dirty--
		report := h.Report
		report.Age = r.now - h.at
		list = append(list, report)
	}
	s.batches = append(s.batches, batch{sequence: s.sequence, to: leader, ids: ids, at: r.now})
	r.send(leader, Message{Reports: &Reports{Sequence: s.sequence, List: list}})
}

// retryBatches sends again what was not answered.
func (r *Replica) retryBatches() {
	s := &r.reports
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool {
		if r.now < b.at+reportAnswer {
			return false
		}
		for _, id := range b.ids {
			if h := s.heard[id]; h != nil {
				r.markDirty(h)
			}
		}
		s.flushAt = min(s.flushAt, r.now)
		return true
	})
}

// reportsAcknowledged takes in that reports have come.
func (r *Replica) reportsAcknowledged(from members.ID, reply *ReportsReply) {
	s := &r.reports
	if s.waiting != 0 && reply.Sequence == s.waiting && from == s.waitFor {
		s.waiting, s.tries = 0, 0
	}
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool { return b.sequence == reply.Sequence && b.to == from })
	if len(reply.Leader) <= maxID {
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
	s.purgeAt = r.now + aliveFor
	leads := r.env.Leads()
	for id, h := range s.heard {
		m, known := r.env.Member(id)
		old := h.at <= r.now-relayedFor
		if !leads && old || old && (!known || m.State == members.Left) {
			if h.dirty {
				s.dirty--
			}
			delete(s.heard, id)
		}
	}
}

func (r *Replica) nextReport() float64 {
	s := &r.reports
	next := min(s.at, s.flushAt)
	if s.waiting != 0 {
		next = min(next, s.waitTill)
	}
	if len(s.heard) > 0 {
		next = min(next, s.wholeAt)
	}
	for _, b := range s.batches {
		next = min(next, b.at+reportAnswer)
	}
	return next
}
