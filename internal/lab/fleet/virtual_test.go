package fleet

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
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
		if w.Checker.Overlaps > 0 || w.Checker.Effects == 0 || w.FalseSuspicions > 0 {
			t.Errorf("%d nodes: %d overlaps, %d effects, %d false suspicions", nodes, w.Checker.Overlaps, w.Checker.Effects, w.FalseSuspicions)
		}
		for name, free := range w.Checker.Vacancies {
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
		if l == Stopped || l == HandedOver {
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

// Sixty controllers of which a third restarts every 10 s, those of the council among them: nothing breaks meanwhile, and all is
// whole soon after.
func TestCrowd(t *testing.T) {
	p := UsualPlan(6, 60, 5, 0)
	p.Voters = 5
	rng := rand.New(rand.NewSource(6))
	for round := range 5 {
		for _, a := range rng.Perm(p.Nodes)[:p.Nodes/3] {
			p.Script = append(p.Script, Fault{At: 8000 + 10000*float64(round) + 2000*rng.Float64(), For: 500 + 3000*rng.Float64(), Kind: Kill, A: a})
		}
	}
	slices.SortStableFunc(p.Script, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	w := NewWorld(p)
	if why := w.Play(); why != "" {
		t.Fatal(why)
	}
	t.Logf("whole %.0f ms after the last, %d effects, %d late ones refused", w.Recovery, w.Checker.Effects, w.Checker.LateEffects)
	if w.Checker.Effects < 500 || w.Checker.Checkpoints < 500 {
		t.Errorf("%d effects", w.Checker.Effects)
	}
}

// The checker of promises finds what no register could have given.
func TestPromises(t *testing.T) {
	type answer struct {
		run       uint64
		token     lease.Token
		from, til float64
	}
	for name, c := range map[string]struct {
		list []answer
		ok   bool
	}{
		"one after another":                             {[]answer{{1, 1, 1, 2}, {1, 1, 3, 4}, {2, 2, 5, 6}}, true},
		"at once, in some order":                        {[]answer{{2, 2, 1, 9}, {1, 1, 2, 3}}, true},
		"an older owner after a later one":              {[]answer{{2, 2, 1, 2}, {1, 1, 3, 4}}, false},
		"two of one epoch":                              {[]answer{{1, 1, 1, 2}, {2, 1, 3, 4}}, false},
		"two of one epoch at once":                      {[]answer{{1, 1, 1, 5}, {2, 1, 2, 6}}, false},
		"an answer that came late to a question of old": {[]answer{{2, 2, 3, 4}, {1, 1, 1, 9}}, true},
	} {
		p := NewRenewals()
		for i, x := range c.list {
			r := &lease.Renew{Sequence: uint64(i + 1)}
			p.Sent(x.run, r, x.from)
			p.Answered(x.run, &node.RenewResponse{Sequence: r.Sequence, Valid: []lease.Grant{{Name: "w", Token: x.token}}}, x.til)
		}
		if why := p.Check(); (why == "") != c.ok {
			t.Errorf("%s: %q", name, why)
		}
	}
}
