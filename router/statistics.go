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

// Statistics is what a controller has learned, or a part of it. Each record has in At the time, in
// ms, at which it was exported. What a rule rests on is not in it: what was started on warming
// engines and the usual work that guards them, cooldowns of ordering keys, attempts that may have
// run, the retry budget, and which engines answered since the endpoint list was last updated.
type Statistics struct {
	Engines []EngineStatistics
	Tables  []TableStatistics
	Classes []ClassStatistics
	Traffic []TrafficStatistics // at most one
}

// EngineStatistics is what is known of one process of an engine.
type EngineStatistics struct {
	At             float64 // ms
	Engine         EngineID
	StartedAt      float64      // ms, when that process started; 0: long ago
	Slowdown       WeightedMean // run time over the time on an idle engine
	ThreadsPerCore float64      // concurrency limit of all controllers together
	Outcomes       uint8        // a bit for each attempt and health check, the last lowest; 1: success
	PoolLeader     EngineID     // first engine of its pool, which names the pool; empty: none
}

// TableStatistics is what is known of a table group.
type TableStatistics struct {
	At         float64 // ms
	Tables     TableGroup
	Demand     float64 // ms of work on one thread for each ms
	MemoryTime float64 // megabytes times ms of its attempts, for each ms

	// PoolLeaders has, by machine kind, the PoolLeader of the pool that serves it; empty: none does.
	PoolLeaders []EngineID
}

// ClassStatistics is how the queries of a class run.
type ClassStatistics struct {
	At              float64 // ms
	Class           ClassID
	FirstTryTimeout float64      // ms that a first try leaves until its client gives up
	UnloadedTime    float64      // ms per unit of work on an idle engine; 0: not known
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

// Cursor is where the next part of an export begins; its zero value is the beginning. It stays
// valid while engines and table groups come and go, as it names the next ones by id.
type Cursor struct {
	stage  exportStage
	engine EngineID   // least id that was not examined yet
	tables TableGroup // the same
	class  int        // the same, an index
}

// exportStage is the kind of records that an export has come to.
type exportStage int

const ( // in the order of the export
	stageTraffic exportStage = iota
	stageClasses
	stageEngines
	stageTables
	stageDone
)

// Statistics exports a part of what was learned, and returns where the next part begins; more is
// false after the last one. It examines limit records at most, and returns those of them that say
// something, so that a part takes little time. It changes nothing, not even the last bit of a
// decayed sum: the same events lead to the same actions whether or not anyone exports.
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
		export.cursor.engine = e.id + "\x00" // the least id that follows
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

// negligibleExportWeight is the weight below which a mean is exported as not known.
const negligibleExportWeight = 1e-6

// weightedMean reads a mean at a time (ms). It works on a copy, as an export must change nothing.
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

// exportedStart is the start of an engine's process (ms) as it is exported: -Inf, long ago, becomes
// 0.
func exportedStart(startedAt float64) float64 {
	if math.IsInf(startedAt, -1) {
		return 0
	}
	return startedAt
}

// statistics exports a table group.
func (g *tableGroup) statistics(now float64) TableStatistics {
	demand := g.demand // copies, as an export must change nothing
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

// leader is the first engine of a pool, by which an export names the pool; empty: there is no pool
// or no engine in it.
func (pool *enginePool) leader() EngineID {
	if pool == nil || len(pool.engines) == 0 {
		return ""
	}
	return pool.engines[0].id
}
