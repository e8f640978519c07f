package fleet

import (
	"testing"
)

// Without faults a fleet finds itself whole and every work has an owner that stays.
func TestQuiet(t *testing.T) {
	for _, nodes := range []int{3, 5, 20} {
		p := UsualPlan(1, nodes, 4, 0)
		w := NewWorld(p)
		w.Run(30000)
		if why := w.Play(); why != "" {
			t.Fatalf("%d nodes: %s", nodes, why)
		}
		if w.Judge.Overlap > 0 || w.Judge.Effects == 0 || w.False > 0 {
			t.Errorf("%d nodes: %d overlaps, %d effects, %d false suspicions", nodes, w.Judge.Overlap, w.Judge.Effects, w.False)
		}
		for name, free := range w.Judge.Free {
			if len(free) != 1 || free[0] > 10000 {
				t.Errorf("%d nodes: %s was free for %v ms", nodes, name, free)
			}
		}
	}
}

// Histories drawn from seeds: nothing breaks, and all is whole again after the last fault.
func TestHistories(t *testing.T) {
	for seed := range int64(historiesPlayed) {
		p := UsualPlan(seed+1, 3+int(seed)%7, 3, 8)
		if why := NewWorld(p).Play(); why != "" {
			short, why := Shrink(p)
			t.Fatalf("seed %d: %s\n%v", seed+1, why, short.Script)
		}
	}
}

// A work has another owner soon after each way of losing one; the plain lock file is seen to break.
func TestTakeOver(t *testing.T) {
	for _, l := range Losses() {
		most := 4000*1.5 + 8000.0
		if l == Ends || l == HandsOver {
			most = 1500
		}
		if free, _ := TakeOver(3, 4000, l); free > most {
			t.Errorf("%v: no owner for %.0f ms", l, free)
		}
	}
	broke := 0
	for seed := range int64(20) {
		if both, late := LockFile(seed, 4000); both+late > 0 {
			broke++
		}
	}
	if broke < 10 {
		t.Errorf("a lock file broke in %d of 20 histories", broke)
	}
}
