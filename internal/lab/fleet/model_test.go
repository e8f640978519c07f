package fleet

import (
	"strings"
	"testing"
)

// Within these bounds no order of events lets two nodes act at once, and the search finds a receiver that ignores tokens.
func TestSmallCase(t *testing.T) {
	p := ModelSearch{Nodes: 2, Leases: 1, Lease: 2, Horizon: 5, Crashes: 0, Losses: 0, LeaderChanges: 1, MaxInFlight: 2, MaxStates: 1500000}
	for _, c := range []struct {
		name   string
		change func(*ModelSearch)
		broken bool
	}{
		{"no mutant", func(*ModelSearch) {}, false},
		{"receivers ignore fencing tokens", func(p *ModelSearch) { p.Unfenced = true }, true},
	} {
		p := p
		c.change(&p)
		got := p.Search()
		t.Logf("%s: %d states, %d moves, complete %v, %d overlaps", c.name, got.States, got.Moves, got.Complete, got.Overlaps)
		if (got.Broken != "") != c.broken || !c.broken && !got.Complete {
			t.Errorf("%s: violation %q, complete %v; want a violation for the mutant, else none in a complete search\n%s", c.name, got.Broken, got.Complete, strings.Join(got.Path, "\n"))
		}
	}
}
