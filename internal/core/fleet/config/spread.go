package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How a new version is told to others, in ms and counts.
const (
	pushFanout   = 4       // members to which a new summary is pushed at a time
	maxPushes    = 3       // how often
	pushInterval = 300.0   // until the second push; the third comes twice as long after it
	stallTimeout = 5000.0  // without a byte, after which a version that was told is given up
	abandonTime  = 10000.0 // for which it is not fetched again on the word of the same members
)

// announcement is what is told to others.
type announcement struct {
	summary    Summary
	pushesLeft int // pushes that are still to come
	nextPushAt float64
}

func (s *announcement) next() float64 {
	if s.pushesLeft > 0 {
		return s.nextPushAt
	}
	return never
}

// abandonedVersion is a version that was told and whose document nobody gave.
type abandonedVersion struct {
	summary Summary
	until   float64
	sources []members.ID
}

// Summary is what rides on membership's messages; nil: there is nothing to tell.
func (r *Replica) Summary() *Summary {
	if r.announcement.summary.Number == 0 {
		return nil
	}
	s := r.announcement.summary
	return &s
}

// updateSummary tells the newest version as soon as its document is durable here.
func (r *Replica) updateSummary() {
	if r.newest.Number <= r.announcement.summary.Number || !r.documents.isStored(r.newest.Hash) {
		return
	}
	if r.votes() && r.env.State().Newest() < r.newest.Number {
		return // a voter tells of what its own state knows, with its author and reason
	}
	r.announcement = announcement{summary: r.newest.summary(), pushesLeft: maxPushes, nextPushAt: r.now}
	r.sendPushes()
}

// sendPushes tells some members at once, and some others a little later.
func (r *Replica) sendPushes() {
	if r.announcement.pushesLeft == 0 || r.now < r.announcement.nextPushAt {
		return
	}
	done := maxPushes - r.announcement.pushesLeft
	r.announcement.pushesLeft--
	r.announcement.nextPushAt = r.now + pushInterval*float64(1+done)
	for _, id := range r.drawAlive(pushFanout) {
		r.send(id, Message{Summary: r.Summary()})
		r.counters.Pushed++
	}
}

// handleSummary takes in which version a member has, and tells whether that is news. A lower number, or the same again, is none.
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
	case s == r.abandoned.summary && r.now < r.abandoned.until && slices.Contains(r.abandoned.sources, from):
		return false
	}
	r.setTarget(Version{Number: s.Number, Hash: s.Hash, Size: s.Size}, from)
	return true
}

// contradicts tells whether another document is known here by that number.
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

// addTargetSource notes one more member that has the version being fetched.
func (r *Replica) addTargetSource(from members.ID) bool {
	d := r.findDownload(r.target.Hash)
	return d != nil && d.addSource(from)
}

// setTarget makes a version the one to get: the fetch of one before it ends.
func (r *Replica) setTarget(v Version, sources ...members.ID) {
	if r.target.Hash != v.Hash {
		r.releaseFetch(r.target.Hash, forApplication)
	}
	v.addDescription(r.findDescription(v.Hash))
	r.target = v
	if r.documents.get(v.Hash) == nil {
		r.fetch(v.Hash, v.Size, forApplication, sources...)
	}
}

// followQuorum aims at the newest version that the quorum agreed on, where this one votes. The state is the truth: of
// what was told under a number that it knows, nothing else is fetched.
func (r *Replica) followQuorum() {
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
	if latest.Number == r.application.current.Number && latest.Hash == r.application.current.Hash {
		r.application.current = latest
	}
}

// adoptTarget takes in that the document of the version aimed at is here.
func (r *Replica) adoptTarget() {
	if r.target.Number <= r.newest.Number {
		return
	}
	data := r.documents.get(r.target.Hash)
	if data == nil {
		return
	}
	if len(data) != r.target.Size { // the hash is of another document than was told
		r.counters.Conflicts++
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
	r.abandoned = abandonedVersion{summary: r.target.summary(), until: r.now + abandonTime, sources: sources}
	r.releaseFetch(r.target.Hash, forApplication)
	r.target = r.newest
	if r.application.current.Number > r.target.Number {
		r.target = r.application.current
	}
}
