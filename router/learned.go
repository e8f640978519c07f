package router

import (
	"cmp"
	"math"
	"slices"
)

// This file takes out what a controller has learned, for it to be kept past a restart, and puts it in again. Like
// state.go it keeps books and decides nothing: what is still believed is decided before it comes here, and when what
// was put in gives way to what is learned anew stands in router.go.

// WeightedMean is a mean with its weight, in additions of the usual weight.
type WeightedMean struct{ Mean, Weight float64 }

// Learned is what a controller has learned, or a part of it. Each record has in At when it was taken out, in the
// module's time. What a rule rests on is not in it: sends to cold engines, the work that guards them, keys' rests,
// doubtful sends, the sends budget, and which engines answered since the list was last heard.
type (
	Statistics struct {
		Engines []EngineStatistics
		Tables  []TableStatistics
		Classes []ClassStatistics
		Traffic []TrafficStatistics // one at most
	}
	// EngineStatistics is what is known of one process of an engine.
	EngineStatistics struct {
		At             float64
		Engine         EngineID
		StartedAt      float64      // when that process started; 0: long ago
		Slowdown       WeightedMean // time taken over the time alone
		ThreadsPerCore float64      // threads a core
		Outcomes       uint8        // of the last eight sends and probes, the latest lowest; 1: good
		PoolLeader     EngineID     // names the engines that have the same owner, of which it is one; empty: it has none
	}
	// TableStatistics is what is known of a table group.
	TableStatistics struct {
		At          float64
		Tables      TableGroup
		Demand      float64    // work asked for, ms on one thread for each ms
		MemoryTime  float64    // memory times time of its sends, for each ms
		PoolLeaders []EngineID // by kind: the Lead of the engines that its owner has; empty: none
	}
	// ClassStatistics is how a profile's commands run.
	ClassStatistics struct {
		At              float64
		Class           ClassID
		FirstTryTimeout float64      // what a first try leaves until its client gives up
		UnloadedTime    float64      // time alone over the unit; 0: not known
		WorkScale       WeightedMean // true work over estimate
		MemoryScale     WeightedMean // true memory over estimate
	}
	// TrafficStatistics is this controller's part of the traffic.
	TrafficStatistics struct {
		At    float64
		Share WeightedMean
	}
)

// Len is the number of records.
func (l *Statistics) Len() int {
	return len(l.Engines) + len(l.Tables) + len(l.Classes) + len(l.Traffic)
}

// Add appends another part.
func (l *Statistics) Add(part Statistics) {
	l.Engines = append(l.Engines, part.Engines...)
	l.Tables = append(l.Tables, part.Tables...)
	l.Classes = append(l.Classes, part.Classes...)
	l.Traffic = append(l.Traffic, part.Traffic...)
}

// Cursor is where the next part of what was learned begins; its zero value is the beginning. It stays good while
// engines and table groups come and go.
type Cursor struct {
	stage  int
	engine EngineID
	tables TableGroup
	number int
}

const ( // in the order in which they are taken out
	takeTraffic = iota
	takeProfiles
	takeEngines
	takeTables
	takeDone
)

// Statistics takes out a part of most records at most, and where the next one begins; more tells whether there is one.
// It changes nothing, not even the last bit of a sum that fades, so that the same events lead to the same actions
// whether or not anyone asks. A part looks at as many records as it may return.
func (r *Router) Statistics(from Cursor, most int) (part Statistics, next Cursor, more bool) {
	for looked := 0; looked < most && from.stage < takeDone; {
		switch from.stage {
		case takeTraffic:
			if w := weighed(r.share, r.now); w.Weight > 0 {
				part.Traffic = append(part.Traffic, TrafficStatistics{r.now, w})
			}
			looked, from.stage = looked+1, takeProfiles
		case takeProfiles:
			for ; from.number < len(r.profiles) && looked < most; from.number++ {
				looked++
				if p := r.profiles[from.number]; p.best > 0 || p.fullLeft > 0 {
					part.Classes = append(part.Classes, ClassStatistics{r.now, ClassID(from.number), p.fullLeft,
						p.best, weighed(p.workScale, r.now), weighed(p.needScale, r.now)})
				}
			}
			if from.number == len(r.profiles) {
				from.stage = takeEngines
			}
		case takeEngines:
			at, _ := slices.BinarySearchFunc(r.order, from.engine, func(e *engine, id EngineID) int {
				return cmp.Compare(e.id, id)
			})
			for ; at < len(r.order) && looked < most; at++ {
				looked++
				if e := r.order[at]; e.state != Gone {
					part.Engines = append(part.Engines, e.learned(r.now))
				}
				from.engine = r.order[at].id + "\x00" // the least that follows
			}
			if at == len(r.order) {
				from.stage, from.tables = takeTables, math.MinInt64
			}
		case takeTables:
			at, _ := slices.BinarySearchFunc(r.groups, from.tables, func(g *tableGroup, id TableGroup) int {
				return cmp.Compare(g.id, id)
			})
			for ; at < len(r.groups) && looked < most; at++ {
				looked++
				if g := r.groups[at]; g.known {
					part.Tables = append(part.Tables, g.learned(r.now))
				}
				if from.tables = r.groups[at].id; from.tables < math.MaxInt64 {
					from.tables++
				}
			}
			if at == len(r.groups) {
				from.stage = takeDone
			}
		}
	}
	return part, from, from.stage < takeDone
}

// weighed reads a decaying mean without bringing it up to date.
func weighed(d decay, now float64) WeightedMean { // d is a copy
	if d.fade(now); d.n < 1e-6 {
		return WeightedMean{}
	}
	return WeightedMean{d.sum / d.n, d.n}
}

func (e *engine) learned(now float64) EngineStatistics {
	l := EngineStatistics{At: now, Engine: e.id, StartedAt: e.since, Slowdown: weighed(e.slow, now), ThreadsPerCore: e.width,
		Outcomes: uint8(e.outcomes)}
	if math.IsInf(e.since, -1) {
		l.StartedAt = 0
	}
	if e.owner != nil && len(e.owner.engines) > 0 {
		l.PoolLeader = e.owner.engines[0].id
	}
	return l
}

func (g *tableGroup) learned(now float64) TableStatistics {
	demand, held := g.demand, g.held
	l := TableStatistics{At: now, Tables: g.id, Demand: demand.rate(now), MemoryTime: held.rate(now),
		PoolLeaders: make([]EngineID, len(g.homes))}
	for k, o := range g.homes {
		if o != nil && len(o.engines) > 0 {
			l.PoolLeaders[k] = o.engines[0].id
		}
	}
	return l
}

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
func (w WeightedMean) refill(life, now, least, most float64) decay {
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
			e.slow = m.Slowdown.refill(e.slow.life, r.now, 0, mostPace)
			e.outcomes = math.MaxUint64&^0xff | uint64(m.Outcomes)
			e.width = sane(m.ThreadsPerCore, leastWidth, mostWidth)
			r.weigh(e)
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
		p.workScale = m.WorkScale.refill(scaleLife, r.now, 1/mostScale, mostScale)
		p.needScale = m.MemoryScale.refill(scaleLife, r.now, 1/mostScale, mostScale)
	}
	for _, m := range l.Traffic {
		if r.share.n == 0 {
			r.share = m.Share.refill(shareLife, r.now, 0, 1)
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

// EngineStatus is what a controller knows of an engine just now, for those who plan by it: nothing is decided here.
type EngineStatus struct {
	Engine      EngineID
	State       EngineState
	ListedState EngineState // what the list tells, where somebody holds the engine otherwise
	Zone        Zone
	Kind        KindID
	StartedAt   float64
	WarmAt      float64 // from when it counts as warm
	Cores       float64
	Load        float64 // as the design's
	Attempts    int     // own sends out
	Tables      []TableStatus
}

// TableStatus is a table group that an engine's owner has.
type TableStatus struct {
	Tables       TableGroup
	Demand       float64 // of this controller there, work on one thread for each ms
	OtherEngines int     // other ready engines of that owner
}

// EngineStatuses tells of all engines, in the order of the list. It changes nothing.
func (r *Router) EngineStatuses() []EngineStatus {
	list := make([]EngineStatus, 0, len(r.order))
	for _, e := range r.order {
		now := EngineStatus{Engine: e.id, State: e.state, ListedState: e.state, Zone: e.zone, Kind: e.kind, StartedAt: e.since, Cores: e.cores, Attempts: e.out}
		if e.since > 0 {
			now.WarmAt = e.since + r.guards.SlowStartTime
		}
		if e.reportAt > 0 && r.now-e.reportAt <= reportStale {
			now.Load = r.load(e)
		}
		if o := e.owner; o != nil && e.state == Ready {
			for _, g := range o.groups() {
				now.Tables = append(now.Tables, TableStatus{g.id, g.demand.rate(r.now) / float64(max(1, len(o.engines))), len(o.engines) - 1})
			}
		}
		list = append(list, now)
	}
	return list
}
