package simulation

import (
	"fmt"
	"math"

	"mintkeel/router"
)

// hostileLearned is a restored state that no controller can have learned.
func (sim *simulation) hostileLearned() (l router.Learned) {
	odd := func() float64 {
		x := []float64{0, -1, 1, 1e-300, 1e300, math.Inf(1), math.Inf(-1), math.NaN(), sim.now, sim.rng.Float64()}
		return x[sim.rng.Intn(len(x))]
	}
	weighed := func() router.Weighed { return router.Weighed{Mean: odd(), Weight: odd()} }
	engineID := func() router.EngineID {
		if e := sim.randomEngine(); e != nil && sim.rng.Intn(8) > 0 {
			return e.Engine
		}
		return router.EngineID(fmt.Sprint("x", sim.rng.Intn(3)))
	}
	for range sim.rng.Intn(12) {
		m := router.LearnedEngine{At: odd(), Engine: engineID(), Pace: weighed(), Width: odd(),
			Outcomes: uint8(sim.rng.Intn(256)), Lead: engineID()}
		if e := sim.engines[m.Engine]; e != nil && sim.rng.Intn(3) > 0 {
			m.Since = e.Since
		} else {
			m.Since = odd()
		}
		l.Engines = append(l.Engines, m)
	}
	for range sim.rng.Intn(12) {
		m := router.LearnedTables{At: odd(), Tables: router.TableGroup(sim.rng.Intn(2*sim.Tables) - 2), Demand: odd(),
			Held: odd()}
		for range sim.rng.Intn(5) {
			m.Homes = append(m.Homes, engineID())
		}
		l.Tables = append(l.Tables, m)
	}
	for range sim.rng.Intn(4) {
		l.Profiles = append(l.Profiles, router.LearnedProfile{At: odd(),
			Profile: router.ProfileID(sim.rng.Intn(len(sim.Facts.Profiles)+2) - 1), FullLeft: odd(), Best: odd(),
			WorkScale: weighed(), NeedScale: weighed()})
	}
	for range sim.rng.Intn(3) {
		l.Traffic = append(l.Traffic, router.LearnedTraffic{At: odd(), Part: weighed()})
	}
	return l
}
