package fleet

import (
	"testing"
)

// One folder is lost while all vote, while another voter is down, and while another voter has given up its incarnation: only
// the last case leaves no majority.
func TestLosesMajority(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(w *World)
		lost    int
		want    bool
	}{
		"all vote":             {func(*World) {}, 1, false},
		"another is down":      {func(w *World) { w.stop(w.nodes[0]) }, 1, false},
		"another gave up":      {func(w *World) { w.nodes[0].stoppedAs.Disk++; w.nodes[0].core = nil }, 1, true},
		"one that has no vote": {func(w *World) { w.nodes[0].stoppedAs.Disk++; w.nodes[0].core = nil }, 4, false},
	} {
		w := NewWorld(configurationScene(1, 5))
		w.Run(10000)
		c.prepare(w)
		if got := w.losesMajority(w.nodes[c.lost]); got != c.want {
			t.Errorf("%s: majority lost is %v, want the opposite", name, got)
		}
	}
}

// If a second voter loses its folder before the first one votes again, the history ends without a majority and no check
// fails. If the second voter loses it later, the quorum goes on.
func TestSecondFolderLost(t *testing.T) {
	for name, c := range map[string]struct {
		second float64
		lost   bool
	}{"at once": {20200, true}, "much later": {50000, false}} {
		for seed := range int64(5) {
			p := configurationScene(seed+1, 5, Fault{At: 20000, Kind: EmptyFolder, A: 0, For: 500}, Fault{At: c.second, Kind: EmptyFolder, A: 1, For: 500})
			w := NewWorld(p)
			if why := w.Play(); why != "" || w.MajorityLost() != c.lost {
				t.Errorf("%s, seed %d: majority lost is %v, want true only if both are lost at once; violation %q, want none", name, seed+1, w.MajorityLost(), why)
			}
		}
	}
}
