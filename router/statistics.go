package router

import (
	"cmp"
	"math"
	"slices"
)

// WeightedMean is a mean with its weight, in additions of the usual weight.
type WeightedMean struct{ Mean, Weight float64 }

// Learned is what a controller has learned, or a part of it. Each record has in At when it was taken out,
// in the module's time. What a rule rests on is not in it: sends to cold engines, the work that guards
// them, keys' rests, doubtful sends, the sends budget, and which engines answered since the list was last
// heard.
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

// Cursor is where the next part of what was learned begins; its zero value is the beginning. It stays good
// while engines and table groups come and go.
type Cursor struct {
	stage  int
	engine EngineID
	tables TableGroup
	class  int
}

const ( // in the order in which they are taken out
	stageTraffic = iota
	stageClasses
	stageEngines
	stageTables
	stageDone
)

// Statistics takes out a part of most records at most, and where the next one begins; more tells whether
// there is one. It changes nothing, not even the last bit of a sum that fades, so that the same events lead
// to the same actions whether or not anyone asks. A part looks at as many records as it may return.
func (r *Router) Statistics(from Cursor, most int) (part Statistics, next Cursor, more bool) {
	for looked := 0; looked < most && from.stage < stageDone; {
		switch from.stage {
		case stageTraffic:
			if w := weightedMean(r.traffic.share, r.now); w.Weight > 0 {
				part.Traffic = append(part.Traffic, TrafficStatistics{r.now, w})
			}
			looked, from.stage = looked+1, stageClasses
		case stageClasses:
			for ; from.class < len(r.classes) && looked < most; from.class++ {
				looked++
				if class := r.classes[from.class]; class.bestUnitTime > 0 || class.firstTryTimeout > 0 {
					part.Classes = append(part.Classes, ClassStatistics{r.now, ClassID(from.class), class.firstTryTimeout,
						class.bestUnitTime, weightedMean(class.workScale, r.now), weightedMean(class.memoryScale, r.now)})
				}
			}
			if from.class == len(r.classes) {
				from.stage = stageEngines
			}
		case stageEngines:
			at, _ := slices.BinarySearchFunc(r.engineList, from.engine, func(e *engine, id EngineID) int {
				return cmp.Compare(e.id, id)
			})
			for ; at < len(r.engineList) && looked < most; at++ {
				looked++
				if e := r.engineList[at]; e.state != Gone {
					part.Engines = append(part.Engines, e.statistics(r.now))
				}
				from.engine = r.engineList[at].id + "\x00" // the least that follows
			}
			if at == len(r.engineList) {
				from.stage, from.tables = stageTables, math.MinInt64
			}
		case stageTables:
			at, _ := slices.BinarySearchFunc(r.groupList, from.tables, func(g *tableGroup, id TableGroup) int {
				return cmp.Compare(g.id, id)
			})
			for ; at < len(r.groupList) && looked < most; at++ {
				looked++
				if g := r.groupList[at]; g.confirmed {
					part.Tables = append(part.Tables, g.statistics(r.now))
				}
				if from.tables = r.groupList[at].id; from.tables < math.MaxInt64 {
					from.tables++
				}
			}
			if at == len(r.groupList) {
				from.stage = stageDone
			}
		}
	}
	return part, from, from.stage < stageDone
}

// weightedMean reads a decaying mean without bringing it up to date.
func weightedMean(d decayedMean, now float64) WeightedMean { // d is a copy
	if d.advance(now); d.weight < 1e-6 {
		return WeightedMean{}
	}
	return WeightedMean{d.sum / d.weight, d.weight}
}

func (e *engine) statistics(now float64) EngineStatistics {
	l := EngineStatistics{At: now, Engine: e.id, StartedAt: e.startedAt, Slowdown: weightedMean(e.slowdown, now), ThreadsPerCore: e.threadsPerCore,
		Outcomes: uint8(e.outcomes)}
	if math.IsInf(e.startedAt, -1) {
		l.StartedAt = 0
	}
	if e.pool != nil && len(e.pool.engines) > 0 {
		l.PoolLeader = e.pool.engines[0].id
	}
	return l
}

func (g *tableGroup) statistics(now float64) TableStatistics {
	demand, held := g.demand, g.memoryTime
	l := TableStatistics{At: now, Tables: g.id, Demand: demand.rate(now), MemoryTime: held.rate(now),
		PoolLeaders: make([]EngineID, len(g.pools))}
	for k, pool := range g.pools {
		if pool != nil && len(pool.engines) > 0 {
			l.PoolLeaders[k] = pool.engines[0].id
		}
	}
	return l
}
