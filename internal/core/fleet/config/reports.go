package config

import (
	"math"

	"mintkeel/internal/core/fleet/members"
)

// Timing and bounds of the collection of reports.
const (
	// reportDelay is the upper bound in ms of the random delay before a change is reported.
	reportDelay = 200.0
	// reportInterval is the time in ms between two reports of a controller, and after which a relay
	// sends all its fresh reports again.
	reportInterval = 10000.0
	// relayDelay is the time in ms for which a relay collects changes before it sends them.
	relayDelay = 200.0
	// reportTimeout is the time in ms without an acknowledgement after which a controller tries
	// another relay, and a relay sends to the leader again.
	reportTimeout = 1000.0
	// reportFreshTime is the time in ms for which a report counts in a Status.
	reportFreshTime = 30000.0
	// relayedReportTime is the time in ms for which a relay keeps a report.
	relayedReportTime = 60000.0
	// reportIntervalJitter is the largest share by which reportInterval is shortened at random.
	reportIntervalJitter = 0.1
	// maxReportsPerMessage bounds the reports of a message that is sent.
	maxReportsPerMessage = 300
	// maxReportsAccepted bounds the reports of a received message; one with more is ignored.
	maxReportsAccepted = 1024
	// maxBatches bounds the messages to the leader that are not acknowledged.
	maxBatches = 32
	// maxRelayAttempts is the number of relays that are tried before the first one is tried again.
	maxRelayAttempts = 4
)

// heardReport is a report and when it was heard.
type heardReport struct {
	Report
	heardAt float64 // ms
	dirty   bool    // to be sent to the leader
}

// reports holds the reports that a controller knows: its own, those that it relays, and all if it
// leads.
type reports struct {
	own       Report
	changed   bool    // own has changed since it was sent
	sendOwnAt float64 // ms
	sequence  uint64  // of the last message

	// The message with own that is not answered yet.
	awaitedSequence uint64 // 0: none
	awaitedFrom     members.ID
	awaitedUntil    float64 // ms
	failedRelays    int     // relays that did not answer

	known      map[members.ID]*heardReport
	dirtyCount int
	flushAt    float64 // ms, when dirty reports are sent
	resendAt   float64 // ms, when all fresh reports are sent again
	purgeAt    float64 // ms, when old reports may be purged again
	batches    []batch
	leader     members.ID // to which the reports are sent
}

// newReports returns the state at the start, with the controller's own report due at once.
func newReports(now float64) reports {
	return reports{
		sendOwnAt: now,
		known:     map[members.ID]*heardReport{},
		flushAt:   never,
		resendAt:  now + reportInterval,
	}
}

// updateReport updates this controller's report about itself, and schedules it if it has changed.
func (r *Replica) updateReport() {
	a := &r.application
	next := Report{
		ID:       r.options.Self,
		Run:      r.options.Run,
		Sequence: r.reports.own.Sequence,
		Applied:  a.current.Number,
	}
	switch {
	case a.stuck.Number > a.current.Number && a.stuck.Number > a.rejected.Number:
		next.Rejected = a.stuck.Number
		next.Reason = truncateReason(a.stuckReason)
	case a.rejected.Number > a.current.Number:
		next.Rejected = a.rejected.Number
		next.Reason = truncateReason(a.reason)
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

// tickReports sends the reports that are due.
func (r *Replica) tickReports() {
	s := &r.reports
	if s.awaitedSequence != 0 && r.now >= s.awaitedUntil {
		s.awaitedSequence = 0
		s.failedRelays++
		if s.failedRelays < maxRelayAttempts {
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

// sendReport sends this controller's report to a relay: the first one or, after a timeout, the
// next.
func (r *Replica) sendReport() {
	s := &r.reports
	if s.changed {
		s.changed = false
		s.failedRelays = 0
	}
	s.sendOwnAt = r.now + reportInterval*(1-reportIntervalJitter+reportIntervalJitter*r.rng.Float64())
	if s.failedRelays >= maxRelayAttempts {
		s.failedRelays = 0
	}
	relays := r.relaysInOrder()
	if r.env.Leads() || len(relays) == 0 || relays[s.failedRelays%len(relays)] == r.options.Self {
		s.failedRelays = 0
		r.mergeReport(s.own, r.now)
		return
	}
	s.sequence++
	s.awaitedSequence = s.sequence
	s.awaitedUntil = r.now + reportTimeout
	s.awaitedFrom = relays[s.failedRelays%len(relays)]
	r.send(s.awaitedFrom, Message{Reports: &Reports{Sequence: s.sequence, List: []Report{s.own}}})
}

// handleReports handles reports as a relay or the leader.
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

// valid reports whether a report is within its bounds.
func (report *Report) valid() bool {
	validID := report.ID != "" && len(report.ID) <= maxIDBytes
	validAge := report.Age >= 0 && !math.IsInf(report.Age, 1)
	return validID && validAge && len(report.Reason) <= MaxReason
}

// mergeReport merges a report that was heard at a time in ms. Reports may come repeatedly and in
// any order.
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
	h.Report = report
	h.heardAt = max(h.heardAt, at)
	r.markDirty(h)
}

// isLaterRun reports whether a report is of a later run of a controller than the known one. Runs
// have no order: the run that membership has counts, else that of the report heard last.
func (r *Replica) isLaterRun(known *heardReport, report Report, at float64) bool {
	if m, ok := r.env.Member(report.ID); ok && m.Run != 0 {
		if m.Run == known.Run {
			return false
		}
		if m.Run == report.Run {
			return true
		}
	}
	return at > known.heardAt
}

// purgeReports drops old reports. A leader keeps those of members that it knows and that have not
// left, so that a Status shows when each was last heard from.
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

// nextReport returns when the next step in collecting reports is due.
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
		next = min(next, b.sentAt+reportTimeout)
	}
	return next
}
