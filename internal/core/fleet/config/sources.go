package config

import "mintkeel/internal/core/fleet/members"

// excluded reports whether a member is not to be asked for a document now.
func (r *Replica) excluded(d *download, id members.ID) bool {
	return id == r.options.Self || r.now < d.missingUntil[id] || r.now < r.avoidedUntil[id]
}

// chooseSource returns the next member to be asked: one that announced the document, else a voter.
// The slow source is asked again only if there is no other. Empty: there is none.
func (r *Replica) chooseSource(d *download) members.ID {
	var fallback members.ID
	for _, id := range d.sources {
		switch {
		case r.excluded(d, id):
		case id == d.slowSource:
			fallback = id
		default:
			return id
		}
	}
	voters := r.env.Voters()
	for i := range voters {
		id := voters[(i+d.rotation%len(voters))%len(voters)]
		if id != d.slowSource && !r.excluded(d, id) {
			return id
		}
	}
	if fallback == "" && d.slowSource != "" && !r.excluded(d, d.slowSource) {
		return d.slowSource
	}
	if fallback == "" {
		return r.avoidedSource(d)
	}
	return fallback
}

// avoidedSource returns a member that announced the document and sent wrong bytes. It may be the
// only source, and the bytes may have been corrupted on their way, so it is asked again
// avoidOnlySourceTime after each failure.
func (r *Replica) avoidedSource(d *download) members.ID {
	for _, id := range d.sources {
		until, avoided := r.avoidedUntil[id]
		retry := avoided && r.now >= until-avoidTime+avoidOnlySourceTime
		if retry && r.now >= d.missingUntil[id] && id != r.options.Self {
			return id
		}
	}
	return ""
}

// avoid excludes a member as a source of documents for avoidTime.
func (r *Replica) avoid(id members.ID) {
	if len(r.avoidedUntil) >= maxExcluded {
		for other, until := range r.avoidedUntil {
			if r.now >= until {
				delete(r.avoidedUntil, other)
			}
		}
	}
	if len(r.avoidedUntil) < maxExcluded {
		r.avoidedUntil[id] = r.now + avoidTime
	}
}
