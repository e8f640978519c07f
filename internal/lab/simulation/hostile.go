package simulation

import (
	"fmt"
	"math"

	"mintkeel/router"
)

// hostileStatistics returns statistics to restore that no controller can have exported.
func (sim *simulation) hostileStatistics() (l router.Statistics) {
	hostileValue := func() float64 {
		x := []float64{0, -1, 1, 1e-300, 1e300, math.Inf(1), math.Inf(-1), math.NaN(), sim.now,
			sim.rng.Float64()}
		return x[sim.rng.Intn(len(x))]
	}
	hostileMean := func() router.WeightedMean { return router.WeightedMean{Mean: hostileValue(), Weight: hostileValue()} }
	engineID := func() router.EngineID {
		if e := sim.randomEngine(); e != nil && sim.rng.Intn(8) > 0 {
			return e.Engine
		}
		return router.EngineID(fmt.Sprint("x", sim.rng.Intn(3)))
	}
	for range sim.rng.Intn(12) {
		m := router.EngineStatistics{At: hostileValue(), Engine: engineID(), Slowdown: hostileMean(),
			ThreadsPerCore: hostileValue(), Outcomes: uint8(sim.rng.Intn(256)), PoolLeader: engineID()}
		if e := sim.engines[m.Engine]; e != nil && sim.rng.Intn(3) > 0 {
			m.StartedAt = e.StartedAt
		} else {
			m.StartedAt = hostileValue()
		}
		l.Engines = append(l.Engines, m)
	}
	for range sim.rng.Intn(12) {
		m := router.TableStatistics{At: hostileValue(), Tables: router.TableGroup(sim.rng.Intn(2*sim.Tables) - 2),
			Demand:     hostileValue(),
			MemoryTime: hostileValue()}
		for range sim.rng.Intn(5) {
			m.PoolLeaders = append(m.PoolLeaders, engineID())
		}
		l.Tables = append(l.Tables, m)
	}
	for range sim.rng.Intn(4) {
		l.Classes = append(l.Classes, router.ClassStatistics{At: hostileValue(),
			Class: router.ClassID(sim.rng.Intn(len(sim.Settings.Classes)+2) - 1), FirstTryTimeout: hostileValue(),
			UnloadedTime: hostileValue(), WorkScale: hostileMean(), MemoryScale: hostileMean()})
	}
	for range sim.rng.Intn(3) {
		l.Traffic = append(l.Traffic, router.TrafficStatistics{At: hostileValue(), Share: hostileMean()})
	}
	return l
}
