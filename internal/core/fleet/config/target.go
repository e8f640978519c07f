package config

import "mintkeel/internal/core/fleet/members"

// Timing of the abandonment of versions whose document no member sends.
const (
	// stallTimeout is the time in ms without a new chunk after which an announced version is
	// abandoned.
	stallTimeout = 5000.0
	// abandonTime is the time in ms for which an abandoned version is not fetched again from the same
	// members.
	abandonTime = 10000.0
)

// abandonedVersion is an announced version whose document no member sent.
type abandonedVersion struct {
	summary Summary
	until   float64 // ms
	sources []members.ID
}

// addTargetSource adds a member that has the target version to the sources of its document.
func (r *Replica) addTargetSource(from members.ID) bool {
	d := r.findDownload(r.target.Hash)
	return d != nil && d.addSource(from)
}

// setTarget makes a version the target, and fetches its document if it is not here. The previous
// target's document is no longer fetched to be applied.
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

// followQuorum makes the newest version that the quorum agreed on the target, if this controller
// votes. Its own state overrides an announced version that it has under the same number.
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
		r.target = latest // adds the author and reason, which summaries don't have
	}
	if latest.Number == r.newest.Number && latest.Hash == r.newest.Hash {
		r.newest = latest
	}
	if latest.Number == r.application.current.Number && latest.Hash == r.application.current.Hash {
		r.application.current = latest
	}
}

// promoteTarget makes the target the newest version once its document is here.
func (r *Replica) promoteTarget() {
	if r.target.Number <= r.newest.Number {
		return
	}
	data := r.documents.get(r.target.Hash)
	if data == nil {
		return
	}
	if len(data) != r.target.Size { // the hash was announced with a wrong size
		r.counters.Conflicts++
		r.abandon(nil)
		return
	}
	if r.newest.Number > 0 {
		r.previous = r.newest
	}
	r.newest = r.target
}

// abandon replaces the target, whose document no member sends, by the newest version that is here,
// so that other versions can be fetched. A version in this voter's own state is not given up.
func (r *Replica) abandon(sources []members.ID) {
	if r.votes() {
		if v, ok := r.env.State().Find(r.target.Number); ok && v.Hash == r.target.Hash {
			return
		}
	}
	r.abandoned = abandonedVersion{
		summary: r.target.summary(),
		until:   r.now + abandonTime,
		sources: sources,
	}
	r.releaseFetch(r.target.Hash, forApplication)
	r.target = r.newest
	if r.application.current.Number > r.target.Number {
		r.target = r.application.current
	}
}
