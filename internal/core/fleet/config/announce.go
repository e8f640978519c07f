package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Pushes of a new summary.
const (
	// pushFanout is the number of members that a push is sent to.
	pushFanout = 4
	// maxPushes is the number of times that a new summary is pushed.
	maxPushes = 3
	// firstPushInterval is the time in ms from the first push to the second; the third follows
	// the second after twice that time.
	firstPushInterval = 300.0
)

// announcement is the summary that this controller announces, and its pushes.
type announcement struct {
	summary    Summary
	pushesLeft int
	nextPushAt float64 // ms
}

// next returns when the next push is due.
func (s *announcement) next() float64 {
	if s.pushesLeft > 0 {
		return s.nextPushAt
	}
	return never
}

// Summary returns the summary to be sent along with membership messages; nil: none.
func (r *Replica) Summary() *Summary {
	if r.announcement.summary.Number == 0 {
		return nil
	}
	s := r.announcement.summary
	return &s
}

// updateSummary announces the newest version as soon as its document is durable here.
func (r *Replica) updateSummary() {
	if r.newest.Number <= r.announcement.summary.Number || !r.documents.isStored(r.newest.Hash) {
		return
	}
	if r.votes() && r.env.State().Newest() < r.newest.Number {
		return // a voter announces only versions that its own state has, with their author and reason
	}
	r.announcement = announcement{
		summary:    r.newest.summary(),
		pushesLeft: maxPushes,
		nextPushAt: r.now,
	}
	r.sendPushes()
}

// sendPushes pushes the summary to some random members if a push is due, and schedules the next
// push.
func (r *Replica) sendPushes() {
	if r.announcement.pushesLeft == 0 || r.now < r.announcement.nextPushAt {
		return
	}
	sent := maxPushes - r.announcement.pushesLeft
	r.announcement.pushesLeft--
	r.announcement.nextPushAt = r.now + firstPushInterval*float64(1+sent)
	for _, id := range r.drawAlive(pushFanout) {
		r.send(id, Message{Summary: r.Summary()})
		r.counters.Pushed++
	}
}

// handleSummary handles the newest version that a member announces, and reports whether it changed
// anything. A lower number than the target's changes nothing, the same number can only add a
// source, and a version abandoned recently is not accepted from the same sources again.
func (r *Replica) handleSummary(from members.ID, s Summary) bool {
	switch {
	case s.Number == 0 || s.Size < 1 || s.Size > MaxDocument:
		return false
	case r.contradicts(s):
		r.counters.Conflicts++
		return false
	case s.Number < r.target.Number:
		return false
	case s.Number == r.target.Number:
		return r.addTargetSource(from)
	case s == r.abandoned.summary && r.now < r.abandoned.until &&
		slices.Contains(r.abandoned.sources, from):
		return false
	}
	r.setTarget(Version{Number: s.Number, Hash: s.Hash, Size: s.Size}, from)
	return true
}

// contradicts reports whether a version known here has the number of s but another document.
func (r *Replica) contradicts(s Summary) bool {
	for _, v := range [...]*Version{&r.target, &r.newest, &r.previous, &r.application.current} {
		if v.Number == s.Number && v.summary() != s {
			return true
		}
	}
	if s.Number >= r.target.Number && r.votes() {
		if v, ok := r.env.State().Find(s.Number); ok && v.summary() != s {
			return true
		}
	}
	return false
}
