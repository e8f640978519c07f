package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How a new version is told to others, in ms and counts.
const (
	pushFanout   = 4       // members to which a new summary is pushed at a time
	pushes       = 3       // how often
	pushGap      = 300.0   // until the second push; the third comes twice as long after it
	stallAfter   = 5000.0  // without a byte, after which a version that was told is given up
	abandonedFor = 10000.0 // for which it is not fetched again on the word of the same members
)

// spreading is what is told to others.
type spreading struct {
	summary Summary
	left    int // pushes that are still to come
	at      float64
}

func (s *spreading) next() float64 {
	if s.left > 0 {
		return s.at
	}
	return never
}

// abandonment is a version that was told and whose document nobody gave.
type abandonment struct {
	summary Summary
	until   float64
	sources []members.ID
}

// Summary is what rides on membership's messages; nil: there is nothing to tell.
func (r *Replica) Summary() *Summary {
	if r.spread.summary.Number == 0 {
		return nil
	}
	s := r.spread.summary
	return &s
}

// updateSummary tells the newest version as soon as its document is durable here.
func (r *Replica) updateSummary() {
	if r.newest.Number <= r.spread.summary.Number || !r.library.stored(r.newest.Hash) {
		return
	}
	if r.votes() && r.env.State().Newest() < r.newest.Number {
		return // a voter tells of what its own state knows, with its author and reason
	}
	r.spread = spreading{summary: r.newest.summary(), left: pushes, at: r.now}
	r.tickPushes()
}

// tickPushes tells some members at once, and some others a little later.
func (r *Replica) tickPushes() {
	if r.spread.left == 0 || r.now < r.spread.at {
		return
	}
	done := pushes - r.spread.left
	r.spread.left--
	r.spread.at = r.now + pushGap*float64(1+done)
	for _, id := range r.pickAlive(pushFanout) {
		r.send(id, Message{Summary: r.Summary()})
		r.counts.Pushed++
	}
}

// receiveSummary takes in which version a member has, and tells whether that is news. A lower number, or the same again, is none.
func (r *Replica) receiveSummary(from members.ID, s Summary) bool {
	switch {
	case s.Number == 0 || s.Size < 1 || s.Size > MaxDocument:
		return false
	case r.contradicts(s):
		r.counts.Conflicts++
		return false
	case s.Number < r.target.Number:
		return false
	case s.Number == r.target.Number:
		return r.addTargetSource(from)
	case s == r.abandoned.summary && r.now < r.abandoned.until && slices.Contains(r.abandoned.sources, from):
		return false
	}
	r.setTarget(Version{Number: s.Number, Hash: s.Hash, Size: s.Size}, from)
	return true
}

// contradicts tells whether another document is known here by that number.
func (r *Replica) contradicts(s Summary) bool {
	for _, v := range [...]*Version{&r.target, &r.newest, &r.previous, &r.take.current} {
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

// addTargetSource notes one more member that has the version being fetched.
func (r *Replica) addTargetSource(from members.ID) bool {
	d := r.findDownload(r.target.Hash)
	return d != nil && d.addSource(from)
}

// setTarget makes a version the one to get: the fetch of one before it ends.
func (r *Replica) setTarget(v Version, sources ...members.ID) {
	if r.target.Hash != v.Hash {
		r.release(r.target.Hash, forTaking)
	}
	v.complete(r.description(v.Hash))
	r.target = v
	if r.library.get(v.Hash) == nil {
		r.fetch(v.Hash, v.Size, forTaking, sources...)
	}
}

// followState aims at the newest version that the quorum agreed on, where this one votes. The state is the truth: of
// what was told under a number that it knows, nothing else is fetched.
func (r *Replica) followState() {
	if !r.votes() {
		return
	}
	latest := r.env.State().Latest()
	if latest.Number == 0 {
		return
	}
	known, found := r.env.State().Find(r.target.Number)
	forged := found && known.Hash != r.target.Hash && r.newest.Number < r.target.Number
	if latest.Number > r.target.Number || forged {
		r.setTarget(latest)
	}
	if latest.Number == r.target.Number && latest.Hash == r.target.Hash {
		r.target = latest // with its author and reason, which summaries don't tell
	}
	if latest.Number == r.newest.Number && latest.Hash == r.newest.Hash {
		r.newest = latest
	}
	if latest.Number == r.take.current.Number && latest.Hash == r.take.current.Hash {
		r.take.current = latest
	}
}

// noticeDocument takes in that the document of the version aimed at is here.
func (r *Replica) noticeDocument() {
	if r.target.Number <= r.newest.Number {
		return
	}
	data := r.library.get(r.target.Hash)
	if data == nil {
		return
	}
	if len(data) != r.target.Size { // the hash is of another document than was told
		r.counts.Conflicts++
		r.abandon(nil)
		return
	}
	if r.newest.Number > 0 {
		r.previous = r.newest
	}
	r.newest = r.target
}

// abandon gives up a version whose document nobody gives, so that one before it can be fetched. One that the state of
// this voter knows is not given up.
func (r *Replica) abandon(sources []members.ID) {
	if r.votes() {
		if v, ok := r.env.State().Find(r.target.Number); ok && v.Hash == r.target.Hash {
			return
		}
	}
	r.abandoned = abandonment{summary: r.target.summary(), until: r.now + abandonedFor, sources: sources}
	r.release(r.target.Hash, forTaking)
	r.target = r.newest
	if r.take.current.Number > r.target.Number {
		r.target = r.take.current
	}
}
