package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// maxLookups bounds the pending lookups.
const maxLookups = 4

// lookupTimeout is the time in ms after which a lookup ends without the document.
const lookupTimeout = 10000.0

// lookup is a document that an operator requested here.
type lookup struct {
	ref       uint64 // assigned by the caller
	hash      Hash
	deadline  float64      // ms
	missingAt []members.ID // voters that don't have it
}

// FetchDocument looks up a document here and at voters. Its DocumentResult follows within
// lookupTimeout.
func (r *Replica) FetchDocument(now float64, ref uint64, h Hash) {
	r.advanceClock(now)
	data := r.documents.get(h)
	if data != nil || len(r.lookups) >= maxLookups {
		r.out.DocumentResults = append(r.out.DocumentResults,
			DocumentResult{Ref: ref, Hash: h, Document: data})
		return
	}
	l := &lookup{ref: ref, hash: h, deadline: r.now + lookupTimeout}
	r.lookups = append(r.lookups, l)
	r.fetch(h, 0, forLookup)
	r.endFailedLookups()
	r.process()
}

// answerLookups ends the lookups of a document that has arrived.
func (r *Replica) answerLookups(h Hash, data []byte) {
	for _, l := range slices.Clone(r.lookups) {
		if l.hash == h {
			r.endLookup(l, data)
		}
	}
}

// endLookup ends a lookup with its document; nil: it was not found.
func (r *Replica) endLookup(l *lookup, data []byte) {
	r.lookups = slices.DeleteFunc(r.lookups, func(x *lookup) bool { return x == l })
	result := DocumentResult{Ref: l.ref, Hash: l.hash, Document: data}
	r.out.DocumentResults = append(r.out.DocumentResults, result)
	if !slices.ContainsFunc(r.lookups, func(x *lookup) bool { return x.hash == l.hash }) {
		r.releaseFetch(l.hash, forLookup)
	}
}

// handleLookupMissing records that a member does not have a document that is looked up.
func (r *Replica) handleLookupMissing(h Hash, from members.ID) {
	for _, l := range r.lookups {
		if l.hash == h && !slices.Contains(l.missingAt, from) && len(l.missingAt) < maxExcluded {
			l.missingAt = append(l.missingAt, from)
		}
	}
	r.endFailedLookups()
}

// endFailedLookups ends the lookups of documents that all other voters lack.
func (r *Replica) endFailedLookups() {
	for _, l := range slices.Clone(r.lookups) {
		has := func(id members.ID) bool {
			return id != r.options.Self && !slices.Contains(l.missingAt, id)
		}
		if !slices.ContainsFunc(r.env.Voters(), has) {
			r.endLookup(l, nil)
		}
	}
}

// tickLookups ends lookups that took too long.
func (r *Replica) tickLookups() {
	for _, l := range slices.Clone(r.lookups) {
		if r.now >= l.deadline {
			r.endLookup(l, nil)
		}
	}
}

// nextLookup returns when the next lookup times out.
func (r *Replica) nextLookup() float64 {
	next := never
	for _, l := range r.lookups {
		next = min(next, l.deadline)
	}
	return next
}
