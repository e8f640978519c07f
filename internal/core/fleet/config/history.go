package config

// Timing of the search for documents of older versions.
const (
	// historyInterval is the time in ms between two searches for older documents that a voter lacks.
	historyInterval = 5000.0
	// historyRetry is the time in ms until the next search after no member sent the document.
	historyRetry = 60000.0
	// historyStartDelay is the time in ms after the start in which no older document is fetched.
	historyStartDelay = 5000.0
)

// historySearch is the state of a voter's search for documents of older versions that it lacks, for
// example because it joined late.
type historySearch struct {
	nextAt        float64 // ms, when the next search is due
	checkedNewest uint64  // the newest version's number at the last search
	complete      bool    // the last search found no document missing
}

// fetchHistory fetches a document of an older version that this voter should have, one at a time,
// while nothing else is being fetched.
func (r *Replica) fetchHistory() {
	if r.now < r.history.nextAt || !r.votes() {
		return
	}
	newest := r.env.State().Newest()
	if r.history.complete && r.history.checkedNewest == newest {
		return
	}
	r.history = historySearch{nextAt: r.now + historyInterval, checkedNewest: newest, complete: true}
	for _, v := range r.retainedVersions() {
		if r.documents.get(v.Hash) != nil {
			continue
		}
		r.history.complete = false
		if len(r.downloads) == 0 && r.now >= r.startedAt+historyStartDelay {
			r.fetch(v.Hash, v.Size, forHistory)
			r.runDownloads()
		}
		return
	}
}

// nextHistory returns when this voter searches for older documents next.
func (r *Replica) nextHistory() float64 {
	if !r.votes() || r.history.complete && r.history.checkedNewest == r.env.State().Newest() {
		return never
	}
	return r.history.nextAt
}
