package steps

import (
	"fmt"
	"testing"

	"mintkeel/internal/lab/reference"
	"mintkeel/router"
)

func module(seed int64, place router.Identity, kinds []router.MachineKind,
	classes []router.QueryClass, tenants []router.Tenant,
	capabilities router.Capabilities, limits router.SafetyLimits) Module {
	return router.New(seed, place, kinds, classes, tenants, capabilities, limits)
}

// BenchmarkStep measures a step by the level of load and the numbers of engines and queued queries.
func BenchmarkStep(b *testing.B) {
	for _, busy := range []Busy{Idle, Half, Full} {
		for _, engines := range []int{10, 100, 1000} {
			for _, queued := range []int{10, 1000, 100000} {
				if busy != Full && queued > 10 {
					continue
				}
				b.Run(fmt.Sprintf("%v/engines=%d/queued=%d", busy, engines, queued), func(b *testing.B) {
					g := New(Scene{Engines: engines, Queued: queued, Tables: 10, Busy: busy}, module)
					b.ReportAllocs()
					for b.Loop() {
						g.now += spacing
						g.StepOnce()
					}
				})
			}
		}
	}
}

// twin returns a constructor of a module that is stepped beside the reference. The test fails at the
// first step in which their actions differ.
func twin(t *testing.T) Constructor {
	return func(seed int64, place router.Identity, kinds []router.MachineKind,
		classes []router.QueryClass, tenants []router.Tenant,
		capabilities router.Capabilities, limits router.SafetyLimits) Module {
		m := reference.NewTwin(seed, place, kinds, classes, tenants, capabilities, limits)
		m.Differs = func(step int, now float64, _ []router.Event, module, old []router.Action) {
			t.Errorf("step %d at %v ms: actions differ from the reference: %s", step, now,
				reference.Difference(module, old))
		}
		return m
	}
}

// TestAsReference checks that the module takes the actions of the reference at all levels of load,
// with few engines and many, with ordering keys and beside other controllers.
func TestAsReference(t *testing.T) {
	for _, s := range []Scene{
		{Engines: 10, Queued: 400, Tables: 10, Busy: Full},
		{Engines: 60, Queued: 200, Tables: 30, Busy: Full, Keys: 20},
		{Engines: 40, Queued: 200, Tables: 5, Busy: Full, Controllers: 5},
		{Engines: 60, Tables: 20, Busy: Half, Keys: 5},
		{Engines: 120, Tables: 3, Busy: Idle},
		{Engines: 200, Tables: 2, Busy: Idle, Controllers: 3},
		{Engines: 300, Tables: 4, Busy: Half},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			New(s, twin(t)).Run(400)
		})
	}
}

// TestOverload checks a controller that receives up to 20 times the queries that it can decide. Each
// accepted query must have its final answer before its client timeout, and most queries that can be
// decided must be answered in time. A module that is not told how long queries waited answers late,
// which shows that the test can fail.
func TestOverload(t *testing.T) {
	// least and mostWithoutWaits are fractions of the queries that can be decided: the fewest answered in time,
	// and the most without arrival waits.
	for _, c := range []struct{ loadFactor, attemptTime, least, mostWithoutWaits float64 }{
		{0.5, 0.05, 1, 1}, {1, 0.05, 0.99, 1}, {2, 0.05, 0.85, 1}, {5, 0.05, 0.75, 1},
		{20, 0.05, 0.45, 1},
		{1.2, 0.2, 0.75, 0.3}, {2, 0.2, 0.6, 0.2}, {5, 0.2, 0.4, 0.2},
	} {
		p := Overload{Seed: 1, LoadFactor: c.loadFactor, AttemptTime: c.attemptTime, RejectionTime: c.attemptTime / 10,
			RefusalTime: c.attemptTime / 50, Length: c.attemptTime * 20000}
		out := p.Play(module)
		decidable := min(float64(out.Queries), p.Length/p.AttemptTime)
		if out.Missed > 0 || out.Failed > 0 || float64(out.InTime) < c.least*decidable {
			t.Errorf("%+v: got %+v, want none missed or failed, and the fraction least of %g in time", c, out, decidable)
		}
		p.WithoutArrivalWait = true
		if out := p.Play(module); float64(out.InTime) > c.mostWithoutWaits*decidable*1.05 {
			t.Errorf("%+v, without arrival waits: got %+v, want at most 1.05 times the fraction mostWithoutWaits of %g in time", c, out, decidable)
		}
	}
}
