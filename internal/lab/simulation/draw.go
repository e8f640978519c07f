package simulation

import (
	"fmt"

	"pgregory.net/rapid"

	"mintkeel/router"
)

// Generator draws simulations with valid settings, up to extreme ones. It shrinks towards few
// controllers, engines and faults.
func Generator() *rapid.Generator[Spec] { return rapid.Custom(draw) }

// FromSeed returns the simulation that a seed stands for.
func FromSeed(seed int) Spec { return Generator().Example(seed) }

// Larger returns a larger simulation with the same settings: with more engines, queries, tables,
// keys and changes of engines, in a shorter time.
func (s Spec) Larger() Spec {
	s.Engines, s.Rate, s.Tables, s.Keys = 6*s.Engines, 4*s.Rate, 3*s.Tables, 10*s.Keys
	s.Controllers = min(s.Controllers, 5)
	s.Length = min(s.Length, 3000)
	s.Starts, s.Deaths, s.Drains = 10*s.Starts, 10*s.Deaths, 10*s.Drains
	return s
}

// drawer draws values. Their names are printed where a failing simulation is shrunk.
type drawer struct{ *rapid.T }

func (d drawer) number(name string, least, most float64) float64 {
	return rapid.Float64Range(least, most).Draw(d.T, name)
}

func (d drawer) count(name string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.T, name)
}

func (d drawer) flag(name string) bool { return rapid.Bool().Draw(d.T, name) }

// rate draws zero half of the time, so that each fault also occurs without the others.
func (d drawer) rate(name string, most float64) float64 {
	if d.flag(name + "?") {
		return d.number(name, 0, most)
	}
	return 0
}

// oneInFour draws true a quarter of the time.
func (d drawer) oneInFour(name string) bool { return d.count(name, 0, 3) == 3 }

// draw draws a simulation. A seed determines the values in the order of their draws, so new values
// are drawn last to keep the simulations of earlier seeds.
func draw(t *rapid.T) Spec {
	d := drawer{t}
	s := Spec{
		Seed:              rapid.Int64().Draw(t, "seed"),
		Controllers:       rapid.SampledFrom([]int{1, 1, 2, 3, 5, 20, 60, 300}).Draw(t, "controllers"),
		Engines:           d.count("engines", 1, 12),
		Length:            d.number("length", 2000, 9000),
		Rate:              d.number("rate", 20, 400),
		Imbalance:         d.rate("unequal", 1),
		Keys:              d.count("keys", 1, 20),
		Tables:            d.count("tables", 1, 30),
		Zones:             d.count("zones", 1, 3),
		Cells:             d.count("cells", 1, 4),
		StepOnTicks:       d.flag("ticks"),
		Kills:             d.rate("kills", 1),
		Stops:             d.rate("stops", 0.5),
		Drains:            d.rate("drains", 1),
		Deaths:            d.rate("deaths", 1),
		Starts:            d.rate("starts", 2),
		Outages:           d.rate("outages", 1),
		DisconnectShare:   d.rate("leaves", 0.5),
		MaxListLag:        d.rate("list lag", 1500),
		FailureShare:      d.rate("bad", 0.9),
		AllWarming:        d.flag("young"),
		ImpossibleReports: d.flag("absurd"),
		NarrowedQueries:   d.flag("narrowed"),
		ExtraKeys:         d.flag("rekeyed"),
		Memory:            rapid.SampledFrom([]Memory{Nothing, Persisted, Hostile}).Draw(t, "memory"),
	}
	d.drawSettings(&s)
	s.ArrivalWaits = d.oneInFour("pressed")
	s.ClientQueues = d.oneInFour("lined")
	return s
}

// drawSettings draws the settings of the deployment.
func (d drawer) drawSettings(s *Spec) {
	settings := &s.Settings
	for i := range d.count("kinds", 1, 3) {
		settings.Kinds = append(settings.Kinds, router.MachineKind{
			Cores:    d.number(fmt.Sprint("cores", i), 1, 32),
			MemoryMB: d.number(fmt.Sprint("memory", i), 100, 64000),
		})
	}
	for i := range d.count("profiles", 1, 4) {
		class, work := drawClass(d.T, i, len(settings.Kinds), s.Zones)
		settings.Classes = append(settings.Classes, class)
		s.MeanWork = append(s.MeanWork, work)
	}
	settings.Capabilities = router.Capabilities{
		Cancel:        d.flag("cancel"),
		HealthChecks:  d.flag("probes"),
		Hedging:       d.flag("copies"),
		RetryAfter:    d.flag("retry after"),
		MaxAttempts:   d.count("most sends", 1, 6),
		PollEndpoints: d.flag("must ask"),
	}
	if d.flag("notes") {
		settings.Capabilities.ProgressInterval = d.number("note pace", 50, 800)
	}
	if settings.Capabilities.RetryAfter {
		settings.Capabilities.MaxRetryAfter = d.number("longest wait", 0, 1000)
	}
	settings.Limits = router.SafetyLimits{
		EventInterval:     d.rate("round", 10),
		SlowStartCapacity: d.number("cold share", 0.05, 0.9),
		SlowStartTime:     d.number("cold time", 200, 6000),
		SlowStartOverload: d.number("cold multiple", 0.5, 6),
		SlowStartWindow:   d.number("cold window", 100, 2000),
		OrderingCooldown:  d.rate("order rest", 500),
		RetryBudgeted:     d.flag("budgeted"),
		RetryBudgetMin:    float64(d.count("free resends", 0, 5)),
		RetryBudgetRatio:  d.number("resend share", 0, 1),
		RetryBudgetWindow: d.number("resend window", 300, 4000),
		PollWithin:        d.number("ask within", 7000, 20000),
	}
}

// drawClass draws a query class and its mean work, in ms on one thread.
func drawClass(t *rapid.T, i, kinds, zones int) (router.QueryClass, float64) {
	name := func(of string) string { return fmt.Sprint("profile ", i, " ", of) }
	p := router.QueryClass{
		Effect: rapid.SampledFrom([]router.RepeatEffect{router.Idempotent, router.Deduplicated,
			router.NonIdempotent}).Draw(t, name("effect")),
		Scope: rapid.SampledFrom([]router.DeduplicationScope{router.ScopeAll, router.ScopeZone,
			router.ScopeCell}).Draw(t, name("scope")),
		Ordered:        rapid.Bool().Draw(t, name("in order")),
		ClientTimeout:  rapid.Float64Range(200, 4000).Draw(t, name("timeout")),
		Threads:        rapid.Float64Range(1, 4).Draw(t, name("threads")),
		LocksTables:    rapid.Bool().Draw(t, name("holds")),
		WaitsForTables: rapid.Bool().Draw(t, name("waits")),
		LateBenefit:    rapid.Float64Range(0, 1).Draw(t, name("late share")),
	}
	p.LatencyObjective = p.ClientTimeout * rapid.Float64Range(0.2, 0.9).Draw(t, name("target"))
	p.ObjectivePerWork = rapid.Float64Range(0, 3).Draw(t, name("stretch"))
	p.DeduplicationWindow = rapid.Float64Range(100, 4000).Draw(t, name("window"))
	if rapid.Bool().Draw(t, name("bound")) {
		p.Kinds = []router.KindID{}
		for k := range kinds {
			if rapid.Bool().Draw(t, name(fmt.Sprint("kind ", k))) {
				p.Kinds = append(p.Kinds, router.KindID(k))
			}
		}
	}
	if rapid.Bool().Draw(t, name("zoned")) {
		p.Zones = []router.Zone{}
		for z := range zones {
			if rapid.Bool().Draw(t, name(fmt.Sprint("zone ", z))) {
				p.Zones = append(p.Zones, router.Zone(fmt.Sprint("z", z)))
			}
		}
	}
	return p, p.ClientTimeout * rapid.Float64Range(0.01, 0.25).Draw(t, name("work"))
}
