package config

import "slices"

// Retries of storing and applying, in ms.
const (
	applyRetry      = 1000.0
	storeRetryFirst = 5000.0
	maxStoreRetry   = 10000.0 // in force within 19 s of the time at which there is room again
)

// application is how far this one is with the versions it knows.
type application struct {
	current     Version // in force
	persisted   Version // to be in force at a start
	rejected    Version // the latest that can't be used here
	reason      string
	rejections  []uint64 // the last numbers that can't be used here
	passedCheck Version  // the last one that passed the check
	stuck       Version  // a later one that could not be stored or applied yet
	stuckReason string   // why
	applying    *Version // an ApplyRequest is out
	retryAt     float64  // of applying
}

// storage is how far this one is with what is to become durable.
type storage struct {
	pending     *StoreRequest // not answered yet
	retryAt     float64       // after a failure
	delay       float64       // of the next retry; 0: the last one succeeded
	removeAgain []Hash        // that may not have been removed, as a StoreRequest failed
}

// maxRemoveAgain bounds the documents whose removal is tried again.
const maxRemoveAgain = 64

// maxRejections bounds the numbers of refused versions that are remembered: more than there are candidates at a time.
const maxRejections = 8

// handled is the highest number that is in force or refused here.
func (t *application) handled() uint64 { return max(t.current.Number, t.rejected.Number) }

// isApplicable tells whether a version is later than the one in force and not refused.
func (t *application) isApplicable(v Version) bool {
	return v.Number > t.current.Number && !slices.Contains(t.rejections, v.Number)
}

// nextVersion is the version to be taken next: the newest whose document is here or, if that is refused, the one before it.
func (r *Replica) nextVersion() (Version, bool) {
	if r.application.isApplicable(r.newest) {
		return r.newest, true
	}
	return r.previous, r.application.isApplicable(r.previous)
}

// advanceApplication has the newest version checked and, once it is durable, applied.
func (r *Replica) advanceApplication() {
	t := &r.application
	for t.applying == nil {
		v, ok := r.nextVersion()
		if !ok {
			return
		}
		if !t.hasPassed(v) {
			ended, err := r.checkEnded(v.Hash)
			if !ended {
				return
			}
			if err != nil {
				r.reject(v, err.Error())
				continue
			}
			t.passedCheck = v
		}
		if t.persisted.Number == v.Number && !r.storesCurrent() && r.now >= t.retryAt {
			r.apply(v)
		}
		return
	}
}

// hasPassed tells whether a version is known to pass the check here.
func (t *application) hasPassed(v Version) bool { return t.passedCheck.summary() == v.summary() }

// storesCurrent tells whether a StoreRequest is out that changes the version to be in force at a start.
func (r *Replica) storesCurrent() bool {
	return r.storage.pending != nil && r.storage.pending.Current != nil
}

func (r *Replica) apply(v Version) {
	r.application.applying = &v
	r.out.Apply = &ApplyRequest{Version: v, Document: r.documents.get(v.Hash)}
}

// reject keeps the version before.
func (r *Replica) reject(v Version, reason string) {
	t := &r.application
	if v.Number > t.rejected.Number {
		t.rejected, t.reason = v, reason
	}
	t.rejections = append(t.rejections, v.Number)
	if len(t.rejections) > maxRejections {
		t.rejections = slices.Delete(t.rejections, 0, 1)
	}
	r.counters.Rejected++
	r.clearStuck()
}

// Rejected is the latest version that can't be used here, and why. Its Number is 0 if there is none.
func (r *Replica) Rejected() (v Version, reason string) {
	return r.application.rejected, r.application.reason
}

func (r *Replica) clearStuck() { r.application.stuck, r.application.stuckReason = Version{}, "" }

// Applied answers an ApplyRequest. A retryable error is tried again; any other leaves the version refused here.
func (r *Replica) Applied(now float64, err error, retryable bool) {
	r.advanceClock(now)
	t := &r.application
	if t.applying == nil {
		return
	}
	v := *t.applying
	t.applying = nil
	switch {
	case err == nil:
		t.current = v
		r.counters.Applied++
		r.clearStuck()
	case retryable:
		t.retryAt = r.now + applyRetry
		t.stuck, t.stuckReason = v, "not applied yet: "+err.Error()
	default:
		r.reject(v, err.Error())
	}
	r.process()
}

// advanceStorage sends the next StoreRequest, if none is out.
func (r *Replica) advanceStorage() {
	if r.storage.pending != nil || r.now < r.storage.retryAt {
		return
	}
	request := r.nextStore()
	if request == nil {
		return
	}
	r.storage.pending = request
	request.Remove = r.documentsToRemove(request)
	r.out.Store = request
}

// nextStore is what is to become durable next; nil: nothing.
func (r *Replica) nextStore() *StoreRequest {
	t := &r.application
	v, open := r.nextVersion()
	switch {
	case t.applying != nil:
	case open && !t.hasPassed(v): // its check has not ended
	case open && t.persisted.Number != v.Number:
		return r.storeRequest(v.Hash, &v)
	case !open && t.persisted.Number != t.current.Number:
		before := t.current // what was refused when it was applied is not to be in force at a start
		return r.storeRequest(before.Hash, &before)
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

func (r *Replica) storeRequest(h Hash, current *Version) *StoreRequest {
	request := &StoreRequest{Hash: h, Current: current}
	if !r.documents.isStored(h) {
		request.Document = r.documents.get(h)
	}
	return request
}

// documentsToStore are the documents that are to be durable here without being taken.
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

// documentsToRemove are documents that are not needed any more. A voter whose state does not count yet removes none, as it does
// not know which are. From now on what is removed is not durable, whenever it goes.
func (r *Replica) documentsToRemove(request *StoreRequest) []Hash {
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

// Stored answers a StoreRequest.
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

func (r *Replica) storeFailed(request *StoreRequest, err error) {
	s := &r.storage
	s.delay = min(maxStoreRetry, max(storeRetryFirst, 2*s.delay))
	s.retryAt = r.now + s.delay
	s.removeAgain = request.Remove[:min(len(request.Remove), maxRemoveAgain)]
	if v := request.Current; v != nil && v.Number > r.application.current.Number {
		r.application.stuck, r.application.stuckReason = *v, "not stored yet: "+err.Error()
	}
}

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

func (r *Replica) nextApplication() float64 {
	next := never
	if r.storage.pending == nil && r.storage.retryAt > r.now {
		next = r.storage.retryAt
	}
	if r.application.applying == nil && r.application.retryAt > r.now {
		next = min(next, r.application.retryAt)
	}
	return next
}

// Readiness tells whether this one knows the latest version.
func (r *Replica) Readiness() Readiness {
	return Readiness{
		Confirmed: r.startup.confirmed,
		Number:    r.application.current.Number,
		Latest:    max(r.target.Number, r.application.current.Number, r.startup.latest),
	}
}
