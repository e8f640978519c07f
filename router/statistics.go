package router

import (
	"cmp"
	"math"
	"slices"
)

// WeightedMean is a mean with its weight.
type WeightedMean struct {
	Mean   float64
	Weight float64 // in additions of weight 1
}

// Statistics is what a controller has learned, or a part of it. Each record holds in At the time
// (ms) of its export. State that the rules depend on is not included: the work started on warming
// engines and the usual work that protects them, cooldowns of ordering keys, attempts that may have
// run, the retry budget, and which engines have answered since the last update of the endpoint
// list.
type Statistics struct {
	Engines []EngineStatistics
	Tables  []TableStatistics
	Classes []ClassStatistics
	Traffic []TrafficStatistics // at most one
}

// EngineStatistics holds what was learned of one process of an engine.
type EngineStatistics struct {
	At             float64 // ms
	Engine         EngineID
	StartedAt      float64      // ms, when that process started; 0: long ago
	Slowdown       WeightedMean // run time over the time on an idle engine
	ThreadsPerCore float64      // concurrency limit of all controllers together
	Outcomes       uint8        // a bit per attempt and health check, the latest lowest; 1: success
	PoolLeader     EngineID     // first engine of its pool, which identifies the pool; empty: none
}

// TableStatistics holds what was learned of a table group.
type TableStatistics struct {
	At         float64 // ms
	Tables     TableGroup
	Demand     float64 // ms of work on one thread per ms
	MemoryTime float64 // megabytes times ms of its attempts, per ms

	// PoolLeaders holds, by machine kind, the PoolLeader of the pool that serves the group; empty:
	// none.
	PoolLeaders []EngineID
}

// ClassStatistics holds what was learned of the run times and the memory of a class of queries.
type ClassStatistics struct {
	At              float64 // ms
	Class           ClassID
	FirstTryTimeout float64      // ms that clients allow for a first try
	UnloadedTime    float64      // ms per unit of work on an idle engine; 0: unknown
	WorkScale       WeightedMean // true work over estimated work
	MemoryScale     WeightedMean // true memory over estimated memory
}

// TrafficStatistics is this controller's share of the traffic.
type TrafficStatistics struct {
	At    float64 // ms
	Share WeightedMean
}

// Len is the number of records.
func (s *Statistics) Len() int {
	return len(s.Engines) + len(s.Tables) + len(s.Classes) + len(s.Traffic)
}

// Add appends another part.
func (s *Statistics) Add(part Statistics) {
	s.Engines = append(s.Engines, part.Engines...)
	s.Tables = append(s.Tables, part.Tables...)
	s.Classes = append(s.Classes, part.Classes...)
	s.Traffic = append(s.Traffic, part.Traffic...)
}

// Cursor is the position at which the next part of an export begins; the zero value is the
// beginning. It refers to engines and table groups by id, so it stays valid while they come and go.
type Cursor struct {
	stage  exportStage
	engine EngineID   // lowest id not examined yet
	tables TableGroup // lowest id not examined yet
	class  int        // lowest index not examined yet
}

// exportStage is the kind of records that an export has reached.
type exportStage int

const ( // in export order
	stageTraffic exportStage = iota
	stageClasses
	stageEngines
	stageTables
	stageDone
)

// Statistics exports a part of what was learned, and returns the cursor of the next part; more is
// false after the last one. It examines at most limit records, so that a call is short, and omits
// those without information. It changes nothing, not even the last bit of a decayed sum: an export
// does not affect which actions follow from the same events.
func (r *Router) Statistics(from Cursor, limit int) (part Statistics, next Cursor, more bool) {
	export := statisticsExport{router: r, now: r.now, cursor: from, remaining: limit}
	for export.remaining > 0 && export.cursor.stage < stageDone {
		switch export.cursor.stage {
		case stageTraffic:
			export.exportTraffic()
		case stageClasses:
			export.exportClasses()
		case stageEngines:
			export.exportEngines()
		case stageTables:
			export.exportTables()
		}
	}
	return export.part, export.cursor, export.cursor.stage < stageDone
}

// statisticsExport is one call of Router.Statistics.
type statisticsExport struct {
	router    *Router
	now       float64 // ms
	part      Statistics
	cursor    Cursor
	remaining int // records that may still be examined
}

// exportTraffic exports this controller's share of the traffic.
func (export *statisticsExport) exportTraffic() {
	export.remaining--
	if share := weightedMean(export.router.traffic.share, export.now); share.Weight > 0 {
		export.part.Traffic = append(export.part.Traffic, TrafficStatistics{At: export.now, Share: share})
	}
	export.cursor.stage = stageClasses
}

// exportClasses exports the query classes, from the cursor on.
func (export *statisticsExport) exportClasses() {
	all := export.router.classes
	for ; export.cursor.class < len(all) && export.remaining > 0; export.cursor.class++ {
		export.remaining--
		class := all[export.cursor.class]
		if class.bestUnitTime > 0 || class.firstTryTimeout > 0 {
			export.part.Classes = append(export.part.Classes, class.statistics(export.now))
		}
	}
	if export.cursor.class == len(all) {
		export.cursor.stage = stageEngines
	}
}

// exportEngines exports the engines, from the cursor on.
func (export *statisticsExport) exportEngines() {
	all := export.router.engineList
	at, _ := slices.BinarySearchFunc(all, export.cursor.engine, func(e *engine, id EngineID) int {
		return cmp.Compare(e.id, id)
	})
	for ; at < len(all) && export.remaining > 0; at++ {
		export.remaining--
		e := all[at]
		if e.state != Gone {
			export.part.Engines = append(export.part.Engines, e.statistics(export.now))
		}
		export.cursor.engine = e.id + "\x00" // the lowest id that follows
	}
	if at == len(all) {
		export.cursor.stage = stageTables
		export.cursor.tables = math.MinInt64
	}
}

// exportTables exports the table groups, from the cursor on.
func (export *statisticsExport) exportTables() {
	all := export.router.groupList
	at, _ := slices.BinarySearchFunc(all, export.cursor.tables,
		func(g *tableGroup, id TableGroup) int {
			return cmp.Compare(g.id, id)
		})
	for ; at < len(all) && export.remaining > 0; at++ {
		export.remaining--
		g := all[at]
		if g.confirmed {
			export.part.Tables = append(export.part.Tables, g.statistics(export.now))
		}
		export.cursor.tables = g.id
		if g.id < math.MaxInt64 {
			export.cursor.tables++
		}
	}
	if at == len(all) {
		export.cursor.stage = stageDone
	}
}

// negligibleExportWeight is the weight below which a mean is exported as unknown.
const negligibleExportWeight = 1e-6

// weightedMean reads a mean at a time (ms). It works on a copy, because an export must change
// nothing.
func weightedMean(d decayedMean, now float64) WeightedMean {
	d.advance(now)
	if d.weight < negligibleExportWeight {
		return WeightedMean{}
	}
	return WeightedMean{Mean: d.sum / d.weight, Weight: d.weight}
}

// statistics exports a query class.
func (class *queryClass) statistics(now float64) ClassStatistics {
	return ClassStatistics{
		At:              now,
		Class:           ClassID(class.index),
		FirstTryTimeout: class.firstTryTimeout,
		UnloadedTime:    class.bestUnitTime,
		WorkScale:       weightedMean(class.workScale, now),
		MemoryScale:     weightedMean(class.memoryScale, now),
	}
}

// statistics exports an engine.
func (e *engine) statistics(now float64) EngineStatistics {
	return EngineStatistics{
		At:             now,
		Engine:         e.id,
		StartedAt:      exportedStart(e.startedAt),
		Slowdown:       weightedMean(e.slowdown, now),
		ThreadsPerCore: e.threadsPerCore,
		Outcomes:       uint8(e.outcomes),
		PoolLeader:     e.pool.leader(),
	}
}

// exportedStart is the exported start time (ms) of an engine's process: -Inf, long ago, becomes 0.
func exportedStart(startedAt float64) float64 {
	if math.IsInf(startedAt, -1) {
		return 0
	}
	return startedAt
}

// statistics exports a table group.
func (g *tableGroup) statistics(now float64) TableStatistics {
	demand := g.demand // copies, because an export must change nothing
	memoryTime := g.memoryTime
	record := TableStatistics{
		At:          now,
		Tables:      g.id,
		Demand:      demand.rate(now),
		MemoryTime:  memoryTime.rate(now),
		PoolLeaders: make([]EngineID, len(g.pools)),
	}
	for kind, pool := range g.pools {
		record.PoolLeaders[kind] = pool.leader()
	}
	return record
}

// leader is the first engine of a pool, which identifies the pool in an export; empty: there is no
// pool, or it has no engine.
func (pool *enginePool) leader() EngineID {
	if pool == nil || len(pool.engines) == 0 {
		return ""
	}
	return pool.engines[0].id
}
