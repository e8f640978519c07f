package config

// Timing and bounds of storing.
const (
	// storeRetryFirst is the time in ms after which a failed StoreRequest is tried again, doubled
	// up to maxStoreRetry.
	storeRetryFirst = 5000.0
	// maxStoreRetry bounds that time, and thereby how long a version still waits once there is space
	// again.
	maxStoreRetry = 10000.0
	// maxRemoveAgain bounds the documents whose removal is tried again.
	maxRemoveAgain = 64
)

// storage is the state of this controller's requests to make documents and versions durable.
type storage struct {
	pending     *StoreRequest // not answered yet
	retryAt     float64       // ms, after a failure
	delay       float64       // ms, until the next retry; 0: the last request succeeded
	removeAgain []Hash        // documents that may still exist, as the request to remove them failed
}

// storesCurrent reports whether a pending StoreRequest changes the version to be in force after a
// restart.
func (r *Replica) storesCurrent() bool {
	return r.storage.pending != nil && r.storage.pending.Current != nil
}

// advanceStorage sends the next StoreRequest, if none is pending.
func (r *Replica) advanceStorage() {
	if r.storage.pending != nil || r.now < r.storage.retryAt {
		return
	}
	request := r.nextStore()
	if request == nil {
		return
	}
	r.storage.pending = request
	request.Remove = r.takeDocumentsToRemove()
	r.out.Store = request
}

// nextStore returns the next StoreRequest; nil: nothing is to become durable.
func (r *Replica) nextStore() *StoreRequest {
	a := &r.application
	v, found := r.nextVersion()
	switch {
	case a.applying != nil:
	case found && !a.hasPassed(v): // its check has not ended
	case found && a.persisted.Number != v.Number:
		return r.storeRequest(v.Hash, &v)
	case !found && a.persisted.Number != a.current.Number:
		// a version that was rejected when it was applied must not be in force after a restart
		inForce := a.current
		return r.storeRequest(inForce.Hash, &inForce)
	}
	if !r.documents.hasUnstored() {
		return nil
	}
	for _, h := range r.documentsToStore() {
		if r.documents.get(h) != nil && !r.documents.isStored(h) {
			return r.storeRequest(h, nil)
		}
	}
	return nil
}

// storeRequest returns a request to store a document, unless it is durable already, and the current
// version.
func (r *Replica) storeRequest(h Hash, current *Version) *StoreRequest {
	request := &StoreRequest{Hash: h, Current: current}
	if !r.documents.isStored(h) {
		request.Document = r.documents.get(h)
	}
	return request
}

// documentsToStore returns the documents that are to be durable here without being applied.
func (r *Replica) documentsToStore() (hashes []Hash) {
	for _, h := range r.holds {
		hashes = append(hashes, h.hash)
	}
	if r.newest.Number > 0 && !r.application.isApplicable(r.newest) {
		hashes = append(hashes, r.newest.Hash)
	}
	for _, v := range r.retainedVersions() {
		hashes = append(hashes, v.Hash)
	}
	return hashes
}

// Stored passes in the result of a StoreRequest.
func (r *Replica) Stored(now float64, err error) {
	r.advanceClock(now)
	s := &r.storage
	request := s.pending
	if request == nil {
		return
	}
	s.pending = nil
	if err != nil {
		r.storeFailed(request, err)
	} else {
		r.storeDone(request)
	}
	r.process()
}

// storeFailed schedules the retry of a StoreRequest, and reports a version that could not be
// stored.
func (r *Replica) storeFailed(request *StoreRequest, err error) {
	s := &r.storage
	s.delay = min(maxStoreRetry, max(storeRetryFirst, 2*s.delay))
	s.retryAt = r.now + s.delay
	s.removeAgain = request.Remove[:min(len(request.Remove), maxRemoveAgain)]
	if v := request.Current; v != nil && v.Number > r.application.current.Number {
		r.setStuck(*v, "not stored yet: "+err.Error())
	}
}

// storeDone records what has become durable.
func (r *Replica) storeDone(request *StoreRequest) {
	r.storage.delay = 0
	if request.Document != nil {
		r.documents.markStored(request.Hash, true)
	}
	if request.Current != nil {
		r.application.persisted = *request.Current
		r.application.retryAt = r.now
	}
}
