package router

// backoff is how long something waits between tries: twice as long after each that fails, half as long after
// each that does well. What left before the last change tells nothing of it.
type backoff struct {
	changedAt, until, wait float64
	lastFailed             bool    // the last send failed
	succeededAt            float64 // when one last did well
}

func (t *backoff) increase(now, sent, least, most float64) {
	if sent >= t.changedAt {
		t.changedAt, t.wait = now, min(most, max(least, 2*t.wait))
		t.until = now + t.wait
	}
}

func (t *backoff) decrease(now, sent, least float64) {
	t.succeededAt = now
	if t.wait > 0 && sent >= t.changedAt {
		if t.changedAt, t.wait = sent, t.wait/2; t.wait < least {
			t.wait = 0
		}
		t.until = sent + t.wait
	}
}

// startTrial takes in that one startTrial is made: until the rest is over, or this does well, it is the
// only one.
func (t *backoff) startTrial(now float64) {
	if t.wait > 0 {
		t.until = now + t.wait
	}
}

// succeededSince tells whether the last send did well, since then.
func (t *backoff) succeededSince(since float64) bool { return !t.lastFailed && t.succeededAt > since }
