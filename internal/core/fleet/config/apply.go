package config

import "slices"

// Timing and bounds of applying versions.
const (
	// applyRetry is the time in ms after which a version that could not be applied is tried again.
	applyRetry = 1000.0
	// maxRejections bounds the numbers of rejected versions that are kept. It exceeds the two
	// versions, newest and previous, that may be next to be applied.
	maxRejections = 8
)

// application is this controller's progress in applying versions.
type application struct {
	current     Version  // in force
	persisted   Version  // stored as the one to be in force after a restart
	passedCheck Version  // the last one that passed the check
	applying    *Version // of the ApplyRequest that is not answered yet
	retryAt     float64  // ms, when applying is tried again

	rejected   Version  // the latest version that can't be used here
	reason     string   // why rejected can't be used
	rejections []uint64 // numbers of the last versions that can't be used here

	stuck       Version // a later version that could not be stored or applied yet
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

// nextVersion returns the version to be applied next: the newest one whose document is here or, if
// that is rejected, the one before it; false: there is none.
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

// Applied passes in the result of an ApplyRequest. After a retryable error the version is applied
// again later; any other error rejects it here.
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

// setStuck records, for the report, a version that could not be stored or applied yet.
func (r *Replica) setStuck(v Version, reason string) {
	r.application.stuck = v
	r.application.stuckReason = reason
}

// clearStuck records that no version is stuck.
func (r *Replica) clearStuck() {
	r.setStuck(Version{}, "")
}

// nextApplication returns when the next retry of storing or applying is due.
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
