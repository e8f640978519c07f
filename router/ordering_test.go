package router

import (
	"slices"
	"testing"
)

// In a burst on one ordering key the last ones can't reach the head of the queue in time. They are rejected
// on arrival; those that can be in time wait, and so do all while the run time is not known.
func TestTooFarBackInOrderingQueue(t *testing.T) {
	const runTime = 1000.0 // by the estimate, on two threads
	for name, c := range map[string]struct {
		estimated bool
		keys      []OrderingKey
		want      int // of 40 that are queued
	}{
		"known":           {true, []OrderingKey{"k"}, 12},
		"not known":       {false, []OrderingKey{"k"}, 40},
		"each of its own": {true, nil, 40},
		"two keys":        {true, []OrderingKey{"k", "l"}, 24},
	} {
		tr := newTestRouter(t, orderedClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 0))
		taken := 0
		for id := QueryID(1); id <= 40; id++ {
			ev := QueryArrived{ID: id, Tenant: -1, TimeLeft: 13000, Tables: 7, Key: OrderingKey(rune('a' + id))}
			if c.estimated {
				ev.EstimatedWork = 2 * runTime
			}
			if c.keys != nil {
				ev.Key = c.keys[int(id)%len(c.keys)]
			}
			if rejections, failures := finalAnswers(tr.step(ev), id); rejections+failures == 0 {
				taken++
			} else if failures > 0 {
				t.Errorf("%s: query %d failed, though it never ran", name, id)
			}
		}
		if taken < c.want-1 || taken > c.want+1 {
			t.Errorf("%s: %d of 40 were queued, want about %d", name, taken, c.want)
		}
	}
}

// Rule 5: queries with one ordering key run one at a time in the order of their arrival. After an attempt
// that may still be running the key is in cooldown.
func TestOrderingKeyRunsOneAtATime(t *testing.T) {
	class := lookupClass
	limits := slowStartLimits
	class.Ordered = true
	limits.OrderingCooldown = 300
	for _, c := range []struct {
		outcome  Outcome
		cooldown bool
	}{{Succeeded, false}, {Errored, false}, {ConnectionReset, true}, {TimedOut, true}} {
		tr := newTestRouter(t, class, Capabilities{MaxAttempts: 1}, limits, readyEndpoint("a", 0, "z", 1))
		withKey := func(id QueryID) QueryArrived { ev := newQuery(id); ev.Key = "k"; return ev }
		if to := startedOn(tr.step(withKey(1), withKey(2), newQuery(3)), 2); to != "" {
			t.Errorf("%d: the second of a key was started beside the first", c.outcome)
		}
		now := tr.step(attemptEnded(1, 0, c.outcome))
		if inCooldown := startedOn(now, 2) == "" && startedOn(tr.wait(250), 2) == ""; inCooldown != c.cooldown {
			t.Errorf("outcome %d: key in cooldown: %v", c.outcome, inCooldown)
		}
		if later := tr.wait(100); c.cooldown && startedOn(later, 2) == "" {
			t.Errorf("outcome %d: the key is in cooldown for ever", c.outcome)
		}
		tr.step(attemptEnded(2, 0, Succeeded), attemptEnded(3, 0, Succeeded))
		if tr.wait(500); len(tr.r.ordering.queues) > 0 || len(tr.r.ordering.idleKeys) > 0 {
			t.Errorf("outcome %d: the ordering queue was not forgotten", c.outcome)
		}
	}
}

// Rule 5 for queries with several ordering keys: each waits for all that arrived before it under any of its
// keys, also if a key is added while it is queued or runs, and none waits for ever.
func TestSeveralOrderingKeys(t *testing.T) {
	class := lookupClass
	class.Ordered = true
	tr := newTestRouter(t, class, Capabilities{MaxAttempts: 1}, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	withKeys := func(id QueryID, key OrderingKey, also ...OrderingKey) QueryArrived {
		ev := newQuery(id)
		ev.Key = key
		ev.MoreKeys = also
		return ev
	}
	started := func(actions []Action) (ids []QueryID) {
		for id := range QueryID(10) {
			if startedOn(actions, id) != "" {
				ids = append(ids, id)
			}
		}
		return ids
	}
	expect := func(what string, actions []Action, want ...QueryID) {
		t.Helper()
		if got := started(append(actions, tr.wait(periodicInterval)...)); !slices.Equal(got, want) {
			t.Errorf("%s: started %v, not %v", what, got, want)
		}
	}
	expect("old keys", tr.step(withKeys(1, "x"), withKeys(2, "y")), 1, 2)
	expect("new keys beside the old ones", tr.step(withKeys(3, "m", "x"), withKeys(4, "m", "y"),
		withKeys(5, "n", "y")))
	expect("done under one key alone", tr.step(attemptEnded(2, 0, Succeeded)))
	expect("first of all its keys", tr.step(attemptEnded(1, 0, Succeeded)), 3)
	expect("next under the new key", tr.step(attemptEnded(3, 0, Succeeded)), 4)
	expect("next under the old key", tr.step(attemptEnded(4, 0, Succeeded)), 5)
	tr.step(attemptEnded(5, 0, Succeeded))
	// a key is added to one in flight: one that arrived before waits for it
	expect("two keys", tr.step(withKeys(6, "p"), withKeys(7, "p"), withKeys(8, "q")), 6, 8)
	expect("8 is in flight under p too", tr.step(OrderingKeyAdded{7, "q"}, OrderingKeyAdded{8, "p"},
		attemptEnded(6, 0, Succeeded)))
	expect("nothing is in flight any more", tr.step(attemptEnded(8, 0, Succeeded)), 7)
	tr.step(attemptEnded(7, 0, Succeeded))
	if tr.wait(500); len(tr.r.ordering.queues) > 0 || len(tr.r.ordering.idleKeys) > 0 || len(tr.r.queries) > 0 {
		t.Errorf("%d ordering queues are left", len(tr.r.ordering.queues))
	}
}

// Rule 5: a query gets another ordering key after an attempt that may still be running. The added key is in
// cooldown too, as that attempt could run beside the next query of the key.
func TestCooldownExtendsToAnAddedKey(t *testing.T) {
	class := lookupClass
	limits := slowStartLimits
	class.Ordered = true
	limits.OrderingCooldown = 300
	tr := newTestRouter(t, class, Capabilities{MaxAttempts: 2}, limits, readyEndpoint("a", 0, "z", 1),
		readyEndpoint("b", 0, "z", 1))
	ev := newQuery(1)
	ev.Key = "x"
	tr.step(ev)
	tr.step(attemptEnded(1, 0, ConnectionReset))
	tr.step(OrderingKeyAdded{1, "y"}, attemptEnded(1, 1, Succeeded))
	ev.ID = 2
	ev.Key = "y"
	if startedOn(append(tr.step(ev), tr.wait(periodicInterval)...), 2) != "" {
		t.Error("started while an attempt that was reset may still run under its key")
	}
	if startedOn(tr.wait(400), 2) == "" {
		t.Error("the key is in cooldown for ever")
	}
}

// Rule 5: an attempt may still be running when its outcome is no longer waited for. It holds its ordering key
// until its outcome is known, but counts no longer as in flight.
func TestAbandonedAttemptHoldsItsOrderingKey(t *testing.T) {
	class := lookupClass
	capabilities := Capabilities{MaxAttempts: 6, Hedging: true, ProgressInterval: 500}
	class.Ordered = true
	class.LateBenefit = 1
	tr := newTestRouter(t, class, capabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
		readyEndpoint("b", 0, "z", 1))
	withKey := func(id QueryID) QueryArrived { ev := newQuery(id); ev.Key = "k"; return ev }
	tr.step(withKey(1), withKey(2))
	tr.wait(900)
	if actions := append(tr.step(attemptEnded(1, 1, Succeeded)), tr.wait(500)...); startedOn(actions, 2) != "" {
		t.Error("the next of the key was started while a lost attempt had no outcome")
	}
	actions := append(tr.step(attemptEnded(1, 0, TimedOut)), tr.wait(500)...)
	if startedOn(actions, 2) == "" || tr.r.concurrency.threads != 1 || tr.r.concurrency.attempts != 1 {
		t.Errorf("%g threads of %d attempts are counted, not the next of the key alone", tr.r.concurrency.threads,
			tr.r.concurrency.attempts)
	}
}
