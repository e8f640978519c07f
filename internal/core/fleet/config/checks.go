package config

// CheckRequest asks whether a document could be used here, by the same code as `mintkeel check`. It is answered by
// Replica.Checked. Reading a large document takes a second, in which the replica goes on.
type CheckRequest struct {
	Hash     Hash
	Document []byte
}

// checks is what is known of the documents that a proposal at this leader, or the next version here, needs to pass.
type checks struct {
	pending *CheckRequest  // not answered yet
	results map[Hash]error // of checks that ended; a nil error: the document can be used
}

// checkEnded tells whether the check of a document ended, and with which error. A check that was not asked for yet is,
// unless another one is out.
func (r *Replica) checkEnded(h Hash) (ended bool, err error) {
	if err, ended = r.checks.results[h]; ended {
		return true, err
	}
	if r.checks.pending == nil {
		r.checks.pending = &CheckRequest{Hash: h, Document: r.documents.get(h)}
		r.out.Check = r.checks.pending
	}
	return false, nil
}

// Checked answers a CheckRequest; an error tells why the document can't be used.
func (r *Replica) Checked(now float64, h Hash, err error) {
	r.advanceClock(now)
	if r.checks.pending == nil || r.checks.pending.Hash != h {
		return
	}
	r.checks.pending = nil
	r.checks.results[h] = err
	r.process()
}

// forgetChecks forgets results that neither a proposal nor the next version waits for.
func (r *Replica) forgetChecks() {
	for h := range r.checks.results {
		if !r.needsCheckResult(h) {
			delete(r.checks.results, h)
		}
	}
}

// needsCheckResult tells whether a result is still of use.
func (r *Replica) needsCheckResult(h Hash) bool {
	for _, c := range r.candidates {
		if !c.checked && c.proposal.Version.Hash == h {
			return true
		}
	}
	v, open := r.nextVersion()
	return open && v.Hash == h && r.application.passedCheck.summary() != v.summary()
}
