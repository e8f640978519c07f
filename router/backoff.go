package router

// The backoff between tries after failures. Nothing is decided here.

// rest is how long something waits between tries: twice as long after each that fails, half as long after
// each that does well. What left before the last change tells nothing of it.
type rest struct {
	changed, until, wait float64
	bad                  bool    // the last send failed
	goodAt               float64 // when one last did well
}

func (t *rest) away(now, sent, least, most float64) {
	if sent >= t.changed {
		t.changed, t.wait = now, min(most, max(least, 2*t.wait))
		t.until = now + t.wait
	}
}

func (t *rest) took(now, sent, least float64) {
	t.goodAt = now
	if t.wait > 0 && sent >= t.changed {
		if t.changed, t.wait = sent, t.wait/2; t.wait < least {
			t.wait = 0
		}
		t.until = sent + t.wait
	}
}

// try takes in that one try is made: until the rest is over, or this does well, it is the only one.
func (t *rest) try(now float64) {
	if t.wait > 0 {
		t.until = now + t.wait
	}
}

// good tells whether the last send did well, since then.
func (t *rest) good(since float64) bool { return !t.bad && t.goodAt > since }
