package router

import "testing"

// keyed is a profile whose commands of one key run in turn.
var keyed = QueryClass{Effect: Deduplicated, DeduplicationWindow: 12000, Ordered: true, LatencyObjective: 4000, ObjectivePerWork: 2, ClientTimeout: 13000,
	LateBenefit: 0.6, Threads: 2}

// A command that may have stood in a line at its client is ended before that client leaves, out or held;
// without the line it has the whole time that was named.
func TestEndedBeforeALineAtTheClientEatsItsTime(t *testing.T) {
	for _, c := range []struct{ lined, before float64 }{{0, 13000}, {3000, 10000}, {9000, 4000}, {40000, 13000 * 0.25}} {
		d := newDesk(t, keyed, loose, tight, engineAt("a", 0, "z", 0))
		a := QueryArrived{ID: 1, Tenant: -1, TimeLeft: 13000, ClientQueueTime: c.lined, Tables: 7, Key: "k"}
		d.step(a)
		b := a
		b.ID = 2
		d.step(b) // it is held behind the first
		began, ended := d.now, map[QueryID]float64{}
		for d.now < began+13000 && len(ended) < 2 {
			actions := d.wait(20)
			for id := range QueryID(3) {
				if sheds, fails := answers(actions, id); sheds+fails > 0 {
					ended[id] = d.now - began
				}
			}
		}
		for id := QueryID(1); id <= 2; id++ {
			if at := ended[id]; at == 0 || at > c.before || id == 1 && at < c.before-200 {
				t.Errorf("lined for %v ms at most: command %d had its answer after %v ms, want just before %v", c.lined, id, at,
					c.before)
			}
		}
	}
}

// Who stands so far back in the line of its key that its turn can't come in time is told at once; who can
// be in time waits, and so do all while nobody knows how long such commands take.
func TestTooFarInLine(t *testing.T) {
	const took = 1000.0 // by the estimate, on two threads
	for name, c := range map[string]struct {
		estimated bool
		keys      []OrderingKey
		want      int // of 40 that are taken
	}{
		"known":           {true, []OrderingKey{"k"}, 12},
		"not known":       {false, []OrderingKey{"k"}, 40},
		"each of its own": {true, nil, 40},
		"two keys":        {true, []OrderingKey{"k", "l"}, 24},
	} {
		d := newDesk(t, keyed, loose, tight, engineAt("a", 0, "z", 0))
		taken := 0
		for id := QueryID(1); id <= 40; id++ {
			a := QueryArrived{ID: id, Tenant: -1, TimeLeft: 13000, Tables: 7, Key: OrderingKey(rune('a' + id))}
			if c.estimated {
				a.EstimatedWork = 2 * took
			}
			if c.keys != nil {
				a.Key = c.keys[int(id)%len(c.keys)]
			}
			if sheds, fails := answers(d.step(a), id); sheds+fails == 0 {
				taken++
			} else if fails > 0 {
				t.Errorf("%s: command %d failed, though it never ran", name, id)
			}
		}
		if taken < c.want-1 || taken > c.want+1 {
			t.Errorf("%s: %d of 40 were held, want about %d", name, taken, c.want)
		}
	}
}
