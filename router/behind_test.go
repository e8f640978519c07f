package router

import "testing"

// When there is more to decide than time for it, who can't be in time any more is turned away, then a share
// of all; nobody is otherwise, and none any more once waits are short again.
func TestBehind(t *testing.T) {
	for _, c := range []struct {
		name        string
		waited      float64
		left        float64 // of 5000
		least, most int     // of 400 commands that are turned away
	}{
		{"nobody waits", 0, 5000, 0, 0},
		{"as long as they may", maxInboxWait, 5000, 0, 0},
		{"longer", 3 * maxInboxWait, 5000, 40, 300},
		{"far longer", 30 * maxInboxWait, 5000, 300, 400},
		{"who can't be in time goes first", 3 * maxInboxWait, 150, 390, 400},
	} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		away, id := 0, QueryID(0)
		come := func(waited float64) {
			id++
			ev := command1(id)
			ev.InboxWait, ev.TimeLeft = waited, c.left
			actions := d.step(ev)
			sheds, fails := answers(actions, id)
			if fails > 0 || sheds > 0 && sent(actions, id) != "" {
				t.Fatalf("%s: %v", c.name, actions)
			}
			if away += sheds; sheds == 0 {
				d.step(outcome(id, 0, Succeeded))
			}
		}
		for range 400 {
			come(c.waited)
		}
		if away < c.least || away > c.most {
			t.Errorf("%s: %d of 400 were turned away", c.name, away)
		}
		for range 4000 { // waits are short again
			come(0)
		}
		if away = 0; c.left == 5000 {
			for range 50 {
				if come(0); away > 0 {
					t.Fatalf("%s: still turned away", c.name)
				}
			}
		}
	}
}
