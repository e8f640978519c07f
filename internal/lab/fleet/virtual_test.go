package fleet

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Without faults all members find each other, and every lease gets one holder that keeps it.
func TestQuiet(t *testing.T) {
	for _, nodes := range []int{3, 5, 20} {
		p := UsualPlan(1, nodes, 4, 0)
		w := NewWorld(p)
		w.Run(30000)
		if why := w.Play(); why != "" {
			t.Fatalf("%d nodes: %s", nodes, why)
		}
		if w.Checker.Overlaps > 0 || w.Checker.Effects == 0 || w.FalseSuspicions > 0 {
			t.Errorf("%d nodes: %d overlaps, want 0; %d effects, want some; %d false suspicions, want 0", nodes, w.Checker.Overlaps, w.Checker.Effects, w.FalseSuspicions)
		}
		for name, free := range w.Checker.Vacancies {
			if len(free) != 1 || free[0] > 10000 {
				t.Errorf("%d nodes: %s had no holder for %v ms, want one time of 10,000 ms at most", nodes, name, free)
			}
		}
	}
}

// In histories drawn from seeds no check fails, and the fleet recovers after the last fault.
func TestHistories(t *testing.T) {
	for seed := range int64(historiesPlayed) {
		p := UsualPlan(seed+1, 3+int(seed)%7, 3, 8)
		if why := NewWorld(p).Play(); why != "" {
			short, why := Shrink(p)
			t.Fatalf("seed %d: %s\n%v", seed+1, why, short.Script)
		}
	}
}

// A lease has another holder soon after each way of losing one. The baseline, a lock file, lets two owners act at once.
func TestTakeOver(t *testing.T) {
	for _, l := range Losses() {
		most := 4000*1.5 + 8000.0
		if l == Stopped || l == HandedOver {
			most = 1500
		}
		if free, _ := TakeOver(3, 4000, l); free > most {
			t.Errorf("%v: no holder for %.0f ms, want 14000 at most, and 1500 after a planned shutdown or a handover", l, free)
		}
	}
	broke := 0
	for seed := range int64(20) {
		if both, late := LockFile(seed, 4000); both+late > 0 {
			broke++
		}
	}
	if broke < 10 {
		t.Errorf("the lock file broke in %d of 20 histories, want at least 10", broke)
	}
}

// Of sixty controllers a third restarts every 10 s, voters among them: no check fails meanwhile, and the fleet recovers soon
// after.
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
	t.Logf("recovered %.0f ms after the last fault, %d effects, %d late ones", w.Recovery, w.Checker.Effects, w.Checker.LateEffects)
	if w.Checker.Effects < 500 || w.Checker.Checkpoints < 500 {
		t.Errorf("%d effects; want at least 500, and at least 500 checkpoints", w.Checker.Effects)
	}
}

// Check finds renewals that are not linearizable on a register.
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
		"one after another":                   {[]answer{{1, 1, 1, 2}, {1, 1, 3, 4}, {2, 2, 5, 6}}, true},
		"at once, in some order":              {[]answer{{2, 2, 1, 9}, {1, 1, 2, 3}}, true},
		"an earlier holder after a later one": {[]answer{{2, 2, 1, 2}, {1, 1, 3, 4}}, false},
		"two holders of one token":            {[]answer{{1, 1, 1, 2}, {2, 1, 3, 4}}, false},
		"two holders of one token at once":    {[]answer{{1, 1, 1, 5}, {2, 1, 2, 6}}, false},
		"a late response to an early renewal": {[]answer{{2, 2, 3, 4}, {1, 1, 1, 9}}, true},
	} {
		p := NewRenewals()
		for i, x := range c.list {
			r := &lease.Renew{Sequence: uint64(i + 1)}
			p.Sent(x.run, r, x.from)
			p.Answered(x.run, &node.RenewResponse{Sequence: r.Sequence, Valid: []lease.Grant{{Name: "w", Token: x.token}}}, x.til)
		}
		if why := p.Check(); (why == "") != c.ok {
			t.Errorf("%s: got violation %q, want the opposite", name, why)
		}
	}
}
