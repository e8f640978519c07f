package config

import "slices"

// Retries of storing and applying, in ms.
const (
	applyRetry      = 1000.0
	storeRetryFirst = 5000.0
	storeRetryMost  = 10000.0 // in force within 19 s of the time at which there is room again
)

// taking is how far this one is with the versions it knows.
type taking struct {
	current   Version // in force
	persisted Version // to be in force at a start
	refused   Version // the latest that can't be used here
	reason    string
	refusals  []uint64 // the last numbers that can't be used here
	checked   Version  // the last one that passed the check
	stuck     Version  // a later one that could not be stored or applied yet
	stuckWhy  string   // why
	applying  *Version // an ApplyRequest is out
	retryAt   float64  // of applying
}

// storing is how far this one is with what is to become durable.
type storing struct {
	out     *StoreRequest // not answered yet
	retryAt float64       // after a failure
	delay   float64       // of the next retry; 0: the last one succeeded
	left    []Hash        // that may not have been removed, as a StoreRequest failed
}

// maxLeft bounds the documents whose removal is tried again.
const maxLeft = 64

// maxRefusals bounds the numbers of refused versions that are remembered: more than there are candidates at a time.
const maxRefusals = 8

// handled is the highest number that is in force or refused here.
func (t *taking) handled() uint64 { return max(t.current.Number, t.refused.Number) }

// open tells whether a version is later than the one in force and not refused.
func (t *taking) open(v Version) bool {
	return v.Number > t.current.Number && !slices.Contains(t.refusals, v.Number)
}

// candidate is the version to be taken next: the newest whose document is here or, if that is refused, the one before it.
func (r *Replica) candidate() (Version, bool) {
	if r.take.open(r.newest) {
		return r.newest, true
	}
	return r.previous, r.take.open(r.previous)
}

// advanceTaking has the newest version checked and, once it is durable, applied.
func (r *Replica) advanceTaking() {
	t := &r.take
	for t.applying == nil {
		v, ok := r.candidate()
		if !ok {
			return
		}
		if !t.passed(v) {
			ended, err := r.checkEnded(v.Hash)
			if !ended {
				return
			}
			if err != nil {
				r.refuse(v, err.Error())
				continue
			}
			t.checked = v
		}
		if t.persisted.Number == v.Number && !r.storesCurrent() && r.now >= t.retryAt {
			r.apply(v)
		}
		return
	}
}

// passed tells whether a version is known to pass the check here.
func (t *taking) passed(v Version) bool { return t.checked.summary() == v.summary() }

// storesCurrent tells whether a StoreRequest is out that changes the version to be in force at a start.
func (r *Replica) storesCurrent() bool { return r.store.out != nil && r.store.out.Current != nil }

func (r *Replica) apply(v Version) {
	r.take.applying = &v
	r.out.Apply = &ApplyRequest{Version: v, Document: r.library.get(v.Hash)}
}

// refuse keeps the version before.
func (r *Replica) refuse(v Version, reason string) {
	t := &r.take
	if v.Number > t.refused.Number {
		t.refused, t.reason = v, reason
	}
	t.refusals = append(t.refusals, v.Number)
	if len(t.refusals) > maxRefusals {
		t.refusals = slices.Delete(t.refusals, 0, 1)
	}
	r.counts.Refused++
	r.clearStuck()
}

// Refused is the latest version that can't be used here, and why. Its Number is 0 if there is none.
func (r *Replica) Refused() (v Version, reason string) { return r.take.refused, r.take.reason }

func (r *Replica) clearStuck() { r.take.stuck, r.take.stuckWhy = Version{}, "" }

// Applied answers an ApplyRequest. A retryable error is tried again; any other leaves the version refused here.
func (r *Replica) Applied(now float64, err error, retryable bool) {
	r.advanceClock(now)
	t := &r.take
	if t.applying == nil {
		return
	}
	v := *t.applying
	t.applying = nil
	switch {
	case err == nil:
		t.current = v
		r.counts.Applied++
		r.clearStuck()
	case retryable:
		t.retryAt = r.now + applyRetry
		t.stuck, t.stuckWhy = v, "not applied yet: "+err.Error()
	default:
		r.refuse(v, err.Error())
	}
	r.turn()
}

// advanceStoring sends the next StoreRequest, if none is out.
func (r *Replica) advanceStoring() {
	if r.store.out != nil || r.now < r.store.retryAt {
		return
	}
	request := r.nextStore()
	if request == nil {
		return
	}
	r.store.out = request
	request.Remove = r.removable(request)
	r.out.Store = request
}

// nextStore is what is to become durable next; nil: nothing.
func (r *Replica) nextStore() *StoreRequest {
	t := &r.take
	v, open := r.candidate()
	switch {
	case t.applying != nil:
	case open && !t.passed(v): // its check has not ended
	case open && t.persisted.Number != v.Number:
		return r.storeRequest(v.Hash, &v)
	case !open && t.persisted.Number != t.current.Number:
		before := t.current // what was refused when it was applied is not to be in force at a start
		return r.storeRequest(before.Hash, &before)
	}
	if !r.library.volatile() {
		return nil
	}
	for _, h := range r.storable() {
		if r.library.get(h) != nil && !r.library.stored(h) {
			return r.storeRequest(h, nil)
		}
	}
	return nil
}

func (r *Replica) storeRequest(h Hash, current *Version) *StoreRequest {
	request := &StoreRequest{Hash: h, Current: current}
	if !r.library.stored(h) {
		request.Document = r.library.get(h)
	}
	return request
}

// storable are the documents that are to be durable here without being taken.
func (r *Replica) storable() (hashes []Hash) {
	for _, h := range r.holds {
		hashes = append(hashes, h.hash)
	}
	if r.newest.Number > 0 && !r.take.open(r.newest) {
		hashes = append(hashes, r.newest.Hash)
	}
	for _, v := range r.keptHistory() {
		hashes = append(hashes, v.Hash)
	}
	return hashes
}

// removable are documents that are not needed any more. A voter whose state does not count yet removes none, as it does
// not know which are. From now on what is removed is not durable, whenever it goes.
func (r *Replica) removable(request *StoreRequest) []Hash {
	if r.now < r.began+removeAfter || r.isVoter() && !r.votes() {
		return nil
	}
	needed := r.needed()
	hashes := r.library.surplus(needed)
	for _, h := range r.store.left {
		if !needed[h] && !r.library.stored(h) && !slices.Contains(hashes, h) {
			hashes = append(hashes, h)
		}
	}
	r.store.left = nil
	for _, h := range hashes {
		r.library.markStored(h, false)
	}
	return hashes
}

// Stored answers a StoreRequest.
func (r *Replica) Stored(now float64, err error) {
	r.advanceClock(now)
	s := &r.store
	request := s.out
	if request == nil {
		return
	}
	s.out = nil
	if err != nil {
		r.storeFailed(request, err)
	} else {
		r.storeDone(request)
	}
	r.turn()
}

func (r *Replica) storeFailed(request *StoreRequest, err error) {
	s := &r.store
	s.delay = min(storeRetryMost, max(storeRetryFirst, 2*s.delay))
	s.retryAt = r.now + s.delay
	s.left = request.Remove[:min(len(request.Remove), maxLeft)]
	if v := request.Current; v != nil && v.Number > r.take.current.Number {
		r.take.stuck, r.take.stuckWhy = *v, "not stored yet: "+err.Error()
	}
}

func (r *Replica) storeDone(request *StoreRequest) {
	r.store.delay = 0
	if request.Document != nil {
		r.library.markStored(request.Hash, true)
	}
	if request.Current != nil {
		r.take.persisted = *request.Current
		r.take.retryAt = r.now
	}
}

func (r *Replica) nextTaking() float64 {
	next := never
	if r.store.out == nil && r.store.retryAt > r.now {
		next = r.store.retryAt
	}
	if r.take.applying == nil && r.take.retryAt > r.now {
		next = min(next, r.take.retryAt)
	}
	return next
}

// Readiness tells whether this one knows the latest version.
func (r *Replica) Readiness() Readiness {
	return Readiness{
		Confirmed: r.start.confirmed,
		Number:    r.take.current.Number,
		Latest:    max(r.target.Number, r.take.current.Number, r.start.latest),
	}
}
