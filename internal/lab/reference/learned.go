package reference

import "math"

// The bounds of what is put in: past them no figure can be true, and none may starve a profile or an engine.
const (
	mostWeight, mostPace = 1000.0, 20.0
	mostScale, mostRate  = 16.0, 1e6
)

// sane brings a figure within bounds; what is no number counts as the least.
func sane(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return min(x, most)
}

// refill is a decaying mean as it would stand had it just been learned.
func refill(w WeightedMean, life, now, least, most float64) decay {
	n := sane(w.Weight, 0, mostWeight)
	return decay{life: life, at: now, sum: sane(w.Mean, least, most) * n, n: n}
}

// recall puts in what an earlier run of this controller learned. Whatever this run has learned itself stands, an
// engine of which another process is remembered is passed over, and no figure is taken past its bounds.
func (r *Router) recall(l Statistics) {
	sets := map[EngineID]*owner{} // engines that had the same owner
	for _, m := range l.Engines {
		e := r.engines[m.Engine]
		if e == nil || e.state != Ready || max(e.since, 0) != m.StartedAt {
			continue
		}
		if e.slow.n == 0 && e.outcomes == math.MaxUint64 && e.width == startWidth {
			e.slow = refill(m.Slowdown, e.slow.life, r.now, 0, mostPace)
			e.outcomes = math.MaxUint64&^0xff | uint64(m.Outcomes)
			e.width = sane(m.ThreadsPerCore, leastWidth, mostWidth)
		}
		if m.PoolLeader != "" {
			if sets[m.PoolLeader] == nil {
				sets[m.PoolLeader] = &owner{}
			}
			sets[m.PoolLeader].engines = append(sets[m.PoolLeader].engines, e)
		}
	}
	for _, m := range l.Classes {
		if m.Class < 0 || int(m.Class) >= len(r.profiles) || r.profiles[m.Class].unit.n > 0 {
			continue
		}
		p := r.profiles[m.Class]
		p.fullLeft = max(p.fullLeft, sane(m.FirstTryTimeout, 0, p.ClientTimeout))
		p.best, p.hearsayAt = sane(m.UnloadedTime, 0, p.ClientTimeout), r.now
		p.workScale = refill(m.WorkScale, scaleLife, r.now, 1/mostScale, mostScale)
		p.needScale = refill(m.MemoryScale, scaleLife, r.now, 1/mostScale, mostScale)
	}
	for _, m := range l.Traffic {
		if r.share.n == 0 {
			r.share = refill(m.Share, shareLife, r.now, 0, 1)
		}
	}
	for _, m := range l.Tables {
		g := r.groupOf(m.Tables)
		if g.known {
			continue
		}
		g.known, g.asked = true, r.now
		demand, held := sane(m.Demand, 0, mostRate), sane(m.MemoryTime, 0, mostRate*mostRate)
		g.demand.add(r.now, demand*demandLife/math.Ln2, 1)
		g.held.add(r.now, held*demandLife/math.Ln2, 1)
		for k, lead := range m.PoolLeaders {
			if k < len(g.homes) && sets[lead] != nil {
				g.homes[k] = sets[lead]
			}
		}
	}
}

// unlearn forgets how a profile was said to run.
func (p *profile) unlearn() {
	p.best, p.hearsayAt = 0, 0
	p.workScale, p.needScale = decay{life: scaleLife}, decay{life: scaleLife}
}
