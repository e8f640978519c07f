package simulation

import (
	"fmt"

	"pgregory.net/rapid"

	"mintkeel/router"
)

// Drawn draws worlds with legal settings, up to hostile ones. It shrinks towards few controllers, engines and
// troubles.
func Drawn() *rapid.Generator[Spec] { return rapid.Custom(draw) }

// FromSeed is the world that a seed stands for.
func FromSeed(seed int) Spec { return Drawn().Example(seed) }

// Larger is the same fleet with more of all: engines, queries, tables, keys and engine changes, in a shorter time.
func (s Spec) Larger() Spec {
	s.Engines, s.Rate, s.Tables, s.Keys = 6*s.Engines, 4*s.Rate, 3*s.Tables, 10*s.Keys
	s.Controllers = min(s.Controllers, 5)
	s.Length = min(s.Length, 3000)
	s.Starts, s.Deaths, s.Drains = 10*s.Starts, 10*s.Deaths, 10*s.Drains
	return s
}

func draw(t *rapid.T) Spec {
	number := func(name string, least, most float64) float64 { return rapid.Float64Range(least, most).Draw(t, name) }
	whole := func(name string, least, most int) int { return rapid.IntRange(least, most).Draw(t, name) }
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	// rate is zero half of the time, so that troubles come alone too.
	rate := func(name string, most float64) float64 {
		if flag(name + "?") {
			return number(name, 0, most)
		}
		return 0
	}
	s := Spec{
		Seed:        rapid.Int64().Draw(t, "seed"),
		Controllers: rapid.SampledFrom([]int{1, 1, 2, 3, 5, 20, 60, 300}).Draw(t, "controllers"),
		Engines:     whole("engines", 1, 12),
		Length:      number("length", 2000, 9000),
		Rate:        number("rate", 20, 400),
		Unequal:     rate("unequal", 1),
		Keys:        whole("keys", 1, 20),
		Tables:      whole("tables", 1, 30),
		Zones:       whole("zones", 1, 3),
		Cells:       whole("cells", 1, 4),
		Ticks:       flag("ticks"),
		Kills:       rate("kills", 1),
		Stops:       rate("stops", 0.5),
		Drains:      rate("drains", 1),
		Deaths:      rate("deaths", 1),
		Starts:      rate("starts", 2),
		Outages:     rate("outages", 1),
		Leaves:      rate("leaves", 0.5),
		ListLag:     rate("list lag", 1500),
		Bad:         rate("bad", 0.9),
		Young:       flag("young"),
		Absurd:      flag("absurd"),
		Narrowed:    flag("narrowed"),
		Rekeyed:     flag("rekeyed"),
		Memory:      rapid.SampledFrom([]Memory{Nothing, Persisted, Hostile}).Draw(t, "memory"),
	}
	f := &s.Settings
	for i := range whole("kinds", 1, 3) {
		f.Kinds = append(f.Kinds, router.MachineKind{Cores: number(fmt.Sprint("cores", i), 1, 32),
			MemoryMB: number(fmt.Sprint("memory", i), 100, 64000)})
	}
	for i := range whole("profiles", 1, 4) {
		p, work := profile(t, i, len(f.Kinds), s.Zones)
		f.Classes, s.Work = append(f.Classes, p), append(s.Work, work)
	}
	f.Capabilities = router.Capabilities{Cancel: flag("cancel"), HealthChecks: flag("probes"), Hedging: flag("copies"),
		RetryAfter: flag("retry after"), MaxAttempts: whole("most sends", 1, 6),
		PollEndpoints: flag("must ask")}
	if flag("notes") {
		f.Capabilities.ProgressInterval = number("note pace", 50, 800)
	}
	if f.Capabilities.RetryAfter {
		f.Capabilities.MaxRetryAfter = number("longest wait", 0, 1000)
	}
	f.Limits = router.SafetyLimits{EventInterval: rate("round", 10), SlowStartCapacity: number("cold share", 0.05, 0.9),
		SlowStartTime: number("cold time", 200, 6000), SlowStartOverload: number("cold multiple", 0.5, 6),
		SlowStartWindow: number("cold window", 100, 2000), OrderingCooldown: rate("order rest", 500),
		RetryBudgeted: flag("budgeted"), RetryBudgetMin: float64(whole("free resends", 0, 5)),
		RetryBudgetRatio: number("resend share", 0, 1), RetryBudgetWindow: number("resend window", 300, 4000),
		PollWithin: number("ask within", 7000, 20000)}
	s.Pressed = rapid.IntRange(0, 3).Draw(t, "pressed") == 3 // last, so that earlier worlds stay what they were
	s.Lined = rapid.IntRange(0, 3).Draw(t, "lined") == 3
	return s
}

func profile(t *rapid.T, i, kinds, zones int) (router.QueryClass, float64) {
	name := func(of string) string { return fmt.Sprint("profile ", i, " ", of) }
	p := router.QueryClass{
		Effect:         rapid.SampledFrom([]router.RepeatEffect{router.Idempotent, router.Deduplicated, router.NonIdempotent}).Draw(t, name("effect")),
		Scope:          rapid.SampledFrom([]router.DeduplicationScope{router.ScopeAll, router.ScopeZone, router.ScopeCell}).Draw(t, name("scope")),
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
