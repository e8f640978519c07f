package config

import "slices"

// removeAfter is the time in ms after its start in which a controller removes no document, as its
// view may be stale.
const removeAfter = 60000.0

// neededDocuments returns the documents that this controller needs.
func (r *Replica) neededDocuments() map[Hash]bool {
	needed := map[Hash]bool{
		r.application.current.Hash:   true,
		r.application.persisted.Hash: true,
		r.target.Hash:                true,
		r.newest.Hash:                true,
		r.previous.Hash:              true,
	}
	if r.application.applying != nil {
		needed[r.application.applying.Hash] = true
	}
	if r.storage.pending != nil {
		needed[r.storage.pending.Hash] = true
	}
	for _, p := range r.proposals {
		needed[p.proposal.Version.Hash] = true
	}
	for _, c := range r.candidates {
		needed[c.proposal.Version.Hash] = true
	}
	for _, h := range r.holds {
		needed[h.hash] = true
	}
	for _, v := range r.retainedVersions() {
		needed[v.Hash] = true
	}
	return needed
}

// forgetUnneeded drops documents that are only in memory and not needed.
func (r *Replica) forgetUnneeded() {
	if r.documents.hasUnstored() {
		r.documents.forgetUnstored(r.neededDocuments())
	}
}

// retainedCache is the cached result of Replica.retainedVersions, as of a newest version.
type retainedCache struct {
	newest Version
	list   []Version
}

// retainedVersions returns the versions of which this voter keeps the documents, newest first; none
// if it does not vote.
func (r *Replica) retainedVersions() []Version {
	if !r.votes() {
		return nil
	}
	state := r.env.State()
	if latest := state.Latest(); r.retained.newest != latest {
		r.retained = retainedCache{newest: latest, list: selectRetained(state.Versions)}
	}
	return r.retained.list
}

// selectRetained returns the newest two versions, and those before them as far as MaxStored allows,
// newest first.
func selectRetained(versions []Version) (retained []Version) {
	counted := map[Hash]bool{}
	size := 0
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if !counted[v.Hash] {
			counted[v.Hash] = true
			size += v.Size
		}
		if len(retained) >= 2 && size > MaxStored {
			break
		}
		retained = append(retained, v)
	}
	return retained
}

// takeDocumentsToRemove returns the durable documents that are no longer needed. They count as not
// durable from now on, as the caller may remove them at any time. A voter removes none until it
// votes, as it does not know which are needed.
func (r *Replica) takeDocumentsToRemove() []Hash {
	if r.now < r.startedAt+removeAfter || r.isVoter() && !r.votes() {
		return nil
	}
	needed := r.neededDocuments()
	hashes := r.documents.unneeded(needed)
	for _, h := range r.storage.removeAgain {
		if !needed[h] && !r.documents.isStored(h) && !slices.Contains(hashes, h) {
			hashes = append(hashes, h)
		}
	}
	r.storage.removeAgain = nil
	for _, h := range hashes {
		r.documents.markStored(h, false)
	}
	return hashes
}
