package config

import "slices"

// Retries of applying.
const (
	// applyRetry is the time in ms after which a version that could not be applied is tried again.
	applyRetry = 1000.0
	// maxRejections bounds the numbers of rejected versions that are remembered: more than there
	// are candidates at a time.
	maxRejections = 8
)

// application is how far this controller is with applying the versions it knows.
type application struct {
	current     Version  // in force
	persisted   Version  // durably to be in force at a start
	passedCheck Version  // the last one that passed the check
	applying    *Version // of the ApplyRequest that is not answered yet
	retryAt     float64  // ms, when applying is tried again

	rejected   Version  // the latest that can't be used here
	reason     string   // why rejected can't be used
	rejections []uint64 // the last numbers that can't be used here

	stuck       Version // a later one that could not be stored or applied yet
	stuckReason string  // why stuck is not in force
}

// highestHandled returns the highest number that is in force or rejected here.
func (a *application) highestHandled() uint64 { return max(a.current.Number, a.rejected.Number) }

// isApplicable reports whether a version is later than the one in force and not rejected.
func (a *application) isApplicable(v Version) bool {
	return v.Number > a.current.Number && !slices.Contains(a.rejections, v.Number)
}

// hasPassed reports whether a version passed the check here.
func (a *application) hasPassed(v Version) bool { return a.passedCheck.summary() == v.summary() }

// nextVersion returns the version to be applied next: the newest one that has its document here or,
// if that is rejected, the one before it; false: there is none.
func (r *Replica) nextVersion() (Version, bool) {
	if r.application.isApplicable(r.newest) {
		return r.newest, true
	}
	return r.previous, r.application.isApplicable(r.previous)
}

// advanceApplication has the next version checked and, once it is stored as the current one,
// applied.
func (r *Replica) advanceApplication() {
	a := &r.application
	for a.applying == nil {
		v, ok := r.nextVersion()
		if !ok {
			return
		}
		if !a.hasPassed(v) {
			ended, err := r.checkResult(v.Hash)
			if !ended {
				return
			}
			if err != nil {
				r.reject(v, err.Error())
				continue
			}
			a.passedCheck = v
		}
		if a.persisted.Number == v.Number && !r.storesCurrent() && r.now >= a.retryAt {
			r.apply(v)
		}
		return
	}
}

// apply requests that a version be taken into use.
func (r *Replica) apply(v Version) {
	r.application.applying = &v
	r.out.Apply = &ApplyRequest{Version: v, Document: r.documents.get(v.Hash)}
}

// Applied continues after an ApplyRequest. A retryable error is tried again; any other rejects the
// version here.
func (r *Replica) Applied(now float64, err error, retryable bool) {
	r.advanceClock(now)
	a := &r.application
	if a.applying == nil {
		return
	}
	v := *a.applying
	a.applying = nil
	switch {
	case err == nil:
		a.current = v
		r.counters.Applied++
		r.clearStuck()
	case retryable:
		a.retryAt = r.now + applyRetry
		r.setStuck(v, "not applied yet: "+err.Error())
	default:
		r.reject(v, err.Error())
	}
	r.process()
}

// reject records that a version can't be used here: the one in force stays.
func (r *Replica) reject(v Version, reason string) {
	a := &r.application
	if v.Number > a.rejected.Number {
		a.rejected = v
		a.reason = reason
	}
	a.rejections = append(a.rejections, v.Number)
	if len(a.rejections) > maxRejections {
		a.rejections = slices.Delete(a.rejections, 0, 1)
	}
	r.counters.Rejected++
	r.clearStuck()
}

// Rejected returns the latest version that can't be used here, and why. Its Number is 0 if there is
// none.
func (r *Replica) Rejected() (v Version, reason string) {
	return r.application.rejected, r.application.reason
}

// setStuck records a version that could not be stored or applied yet, to be reported.
func (r *Replica) setStuck(v Version, reason string) {
	r.application.stuck = v
	r.application.stuckReason = reason
}

// clearStuck records that no version is stuck.
func (r *Replica) clearStuck() {
	r.setStuck(Version{}, "")
}

// nextApplication returns when storing or applying is tried again.
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
