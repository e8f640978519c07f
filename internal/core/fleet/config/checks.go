package config

// CheckRequest asks whether a document could be used here, by the same code as `mintkeel check`. It is answered by
// Replica.Checked. Reading a large document takes a second, in which the replica goes on.
type CheckRequest struct {
	Hash     Hash
	Document []byte
}

// checking is what is known of the documents that a proposal at this leader, or the next version here, needs to pass.
type checking struct {
	out     *CheckRequest  // not answered yet
	results map[Hash]error // of checks that ended; a nil error: the document can be used
}

// checkEnded tells whether the check of a document ended, and with which error. A check that was not asked for yet is,
// unless another one is out.
func (r *Replica) checkEnded(h Hash) (ended bool, err error) {
	if err, ended = r.checks.results[h]; ended {
		return true, err
	}
	if r.checks.out == nil {
		r.checks.out = &CheckRequest{Hash: h, Document: r.library.get(h)}
		r.out.Check = r.checks.out
	}
	return false, nil
}

// Checked answers a CheckRequest; an error tells why the document can't be used.
func (r *Replica) Checked(now float64, h Hash, err error) {
	r.advanceClock(now)
	if r.checks.out == nil || r.checks.out.Hash != h {
		return
	}
	r.checks.out = nil
	r.checks.results[h] = err
	r.turn()
}

// sweepChecks forgets results that neither a proposal nor the next version waits for.
func (r *Replica) sweepChecks() {
	for h := range r.checks.results {
		if !r.awaitsCheck(h) {
			delete(r.checks.results, h)
		}
	}
}

// awaitsCheck tells whether a result is still of use.
func (r *Replica) awaitsCheck(h Hash) bool {
	for _, c := range r.queue {
		if !c.checked && c.proposal.Version.Hash == h {
			return true
		}
	}
	v, open := r.candidate()
	return open && v.Hash == h && r.take.checked.summary() != v.summary()
}
