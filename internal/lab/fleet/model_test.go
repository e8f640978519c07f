package fleet

import (
	"strings"
	"testing"
)

// The small case: within these bounds no order of what may happen lets two act at once, and each mutant is found.
func TestSmallCase(t *testing.T) {
	p := ModelSearch{Nodes: 2, Leases: 1, Lease: 2, Horizon: 5, Crashes: 0, Losses: 0, LeaderChanges: 1, MaxInFlight: 2, MaxStates: 1500000}
	for _, c := range []struct {
		name   string
		change func(*ModelSearch)
		broken bool
	}{
		{"as it is", func(*ModelSearch) {}, false},
		{"receivers that don't look", func(p *ModelSearch) { p.Unfenced = true }, true},
	} {
		p := p
		c.change(&p)
		got := p.Search()
		t.Logf("%s: %d states, %d moves, whole %v, %d overlaps", c.name, got.States, got.Moves, got.Complete, got.Overlaps)
		if (got.Broken != "") != c.broken || !c.broken && !got.Complete {
			t.Errorf("%s: broken %q, whole %v\n%s", c.name, got.Broken, got.Complete, strings.Join(got.Path, "\n"))
		}
	}
}
