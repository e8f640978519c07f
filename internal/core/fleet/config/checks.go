package config

// checks holds the checks of documents that are proposed to this leader or to be applied next here.
type checks struct {
	pending *CheckRequest  // not answered yet
	results map[Hash]error // of checks that ended; a nil error: the document can be used
}

// checkResult reports whether the check of a document has ended, and returns its error. If there is
// no result yet, it requests the check, unless one is pending.
func (r *Replica) checkResult(h Hash) (ended bool, err error) {
	err, ended = r.checks.results[h]
	if ended {
		return true, err
	}
	if r.checks.pending == nil {
		r.checks.pending = &CheckRequest{Hash: h, Document: r.documents.get(h)}
		r.out.Check = r.checks.pending
	}
	return false, nil
}

// Checked passes in the result of a CheckRequest; an error says why the document can't be used.
func (r *Replica) Checked(now float64, h Hash, err error) {
	r.advanceClock(now)
	if r.checks.pending == nil || r.checks.pending.Hash != h {
		return
	}
	r.checks.pending = nil
	r.checks.results[h] = err
	r.process()
}

// forgetChecks drops results that neither a candidate nor the next version needs.
func (r *Replica) forgetChecks() {
	for h := range r.checks.results {
		if !r.needsCheckResult(h) {
			delete(r.checks.results, h)
		}
	}
}

// needsCheckResult reports whether the result of a check is still needed.
func (r *Replica) needsCheckResult(h Hash) bool {
	for _, c := range r.candidates {
		if !c.checked && c.proposal.Version.Hash == h {
			return true
		}
	}
	v, open := r.nextVersion()
	return open && v.Hash == h && !r.application.hasPassed(v)
}
