package router

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// engine is an engine of the endpoint list, or one that has left the list while it has an awaited
// attempt or an outstanding health check.
type engine struct {
	// Fields that a search over engines reads first, adjacent in memory for the cache.
	idHash   uint64 // of id
	bounds   searchBounds
	attempts int     // awaited attempts of this controller
	threads  float64 // threads that these attempts use

	// From the endpoint list.
	id        EngineID
	state     EngineState
	zone      Zone
	kind      KindID
	cell      CellID
	startedAt float64 // ms, of its process; -Inf: long ago
	cores     float64

	// Table locks on the engine.
	tableLocks        map[*tableGroup]int     // attempts of this controller that lock the group
	tablesLockedUntil map[*tableGroup]float64 // ms, until which a reported lock counts as held

	// From its load reports.
	othersInflight decayedMean // queries of other controllers in flight
	utilization    decayedMean // busy cores over all cores
	disk           decayedMean // share of its disks that is busy
	memoryGranted  float64     // granted share of its memory in the last report
	reportedAt     float64     // ms, of the last report; 0: none has come

	// Learned from this controller's attempts on it.
	slowdown         decayedMean // run time over the time on an idle engine
	threadsPerCore   float64     // concurrency limit of all controllers together, as estimated here
	limitDecreasedAt float64     // ms, when that limit was last cut for slowness
	outcomes         uint64      // a bit per attempt and health check, the latest lowest; 1: success
	succeededAt      float64     // ms, of the last success of any class
	classBackoffs    []backoff   // by class index
	slowStartWork    slidingWindow

	// Trial attempts while it is unhealthy, and health checks.
	trialAt        float64 // ms, the earliest time of the next trial attempt
	trialWait      float64 // ms, from the next failure to the trial after it
	checkingHealth bool    // a health check has no result yet
	healthCheckAt  float64 // ms, when the next health check is due

	// Evidence for rule 3 while the endpoint list has expired.
	answeredStartAt  float64 // ms, the latest start among the attempts that succeeded on it
	connectionLostAt float64 // ms, of the last connection failure; 0, or -Inf after a success: none

	pool *enginePool // the pool it belongs to; nil: none

	// Scratch values for the assignment of engines to pools.
	markedPool *enginePool // the marked pool, if this engine is in it
	affinity   float64     // to the pool that engines are chosen for
}

// allSucceeded is the initial engine.outcomes: a new engine counts as healthy.
const allSucceeded = math.MaxUint64

// newEngine returns an engine without statistics, for a number of query classes.
func newEngine(id EngineID, classes int) *engine {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	e := &engine{
		id:                id,
		idHash:            hash.Sum64(),
		tableLocks:        map[*tableGroup]int{},
		tablesLockedUntil: map[*tableGroup]float64{},
		classBackoffs:     make([]backoff, classes),
	}
	e.resetStatistics()
	return e
}

// resetStatistics drops what was learned of an earlier process of the engine.
func (e *engine) resetStatistics() {
	e.outcomes = allSucceeded
	e.trialWait = minTrialWait
	e.trialAt = 0
	e.othersInflight = decayedMean{halfLife: othersHalfLife}
	e.utilization = decayedMean{halfLife: reportHalfLife}
	e.disk = decayedMean{halfLife: reportHalfLife}
	e.slowdown = decayedMean{halfLife: reportHalfLife}
	e.reportedAt = 0
	e.threadsPerCore = initialThreadsPerCore
	e.succeededAt = 0
	clear(e.classBackoffs)
}

// tableLocksHeld is the number of attempts known to lock a table group on e: those of this
// controller, plus one if a progress message has lately reported a lock.
func (e *engine) tableLocksHeld(g *tableGroup, now float64) float64 {
	if len(g.lockHolders) == 0 {
		return 0
	}
	if now < e.tablesLockedUntil[g] {
		return float64(e.tableLocks[g] + 1)
	}
	return float64(e.tableLocks[g])
}

// readyOfKind reports whether an engine is ready and of a machine kind.
func (e *engine) readyOfKind(kind int) bool { return e.state == Ready && int(e.kind) == kind }

// meanSlowdown is the mean slowdown of the recent answers of an engine, 1 without any.
func (e *engine) meanSlowdown(now float64) float64 {
	return e.slowdown.mean(now, 1, slowdownPriorWeight)
}

// byEngineID orders engines by id.
func byEngineID(a, b *engine) int { return cmp.Compare(a.id, b.id) }

// readyEngines lists the ready engines of a machine kind, ordered by id.
func (r *Router) readyEngines(kind int) []*engine {
	var list []*engine
	for _, e := range r.engineList {
		if e.readyOfKind(kind) {
			list = append(list, e)
		}
	}
	return list
}

// removeGoneEngines removes the engines that have left the endpoint list and have no awaited
// attempt and no outstanding health check.
func (r *Router) removeGoneEngines() {
	r.engineList = slices.DeleteFunc(r.engineList, func(e *engine) bool {
		if e.state != Gone || e.attempts != 0 || e.checkingHealth {
			return false
		}
		r.topologyVersion++
		delete(r.engines, e.id)
		return true
	})
}
