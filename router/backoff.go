package router

// backoff is an exponential backoff: the wait between tries doubles with each failure and halves
// with each success. A try that started before the last change of the wait does not change it
// again, so that many tries that fail together count once.
type backoff struct {
	changedAt   float64 // ms, of the last change of wait
	until       float64 // ms, before which nothing is tried
	wait        float64 // ms; 0: there is none
	lastFailed  bool    // the last try failed
	succeededAt float64 // ms, of the last success
}

// increase records the failure of a try that started at some time.
func (b *backoff) increase(now, startedAt, minWait, maxWait float64) {
	if startedAt < b.changedAt {
		return
	}
	b.changedAt = now
	b.wait = min(maxWait, max(minWait, 2*b.wait))
	b.until = now + b.wait
}

// decrease records the success of a try that started at some time. A wait below minWait becomes
// none.
func (b *backoff) decrease(now, startedAt, minWait float64) {
	b.succeededAt = now
	if b.wait <= 0 || startedAt < b.changedAt {
		return
	}
	b.changedAt = startedAt
	b.wait /= 2
	if b.wait < minWait {
		b.wait = 0
	}
	b.until = startedAt + b.wait
}

// recordStart records that a try starts: it is the only one until the wait is over or it succeeds.
func (b *backoff) recordStart(now float64) {
	if b.wait > 0 {
		b.until = now + b.wait
	}
}

// succeededSince reports whether the last try succeeded, after some time.
func (b *backoff) succeededSince(since float64) bool {
	return !b.lastFailed && b.succeededAt > since
}
