package config

// Documents of older versions.
const (
	// historyInterval is the time in ms between two searches for older documents that a voter lacks.
	historyInterval = 5000.0
	// historyRetry is the time in ms until the next search after no member sent the document.
	historyRetry = 60000.0
	// historyStartDelay is the time in ms after the start before which none is fetched.
	historyStartDelay = 5000.0
)

// historySearch is how far a voter is with documents of older versions that it lacks, as one that
// joined late does.
type historySearch struct {
	nextAt        float64 // ms, when it searches next
	checkedNewest uint64  // the newest number at the last search
	complete      bool    // no document was missing then
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
