package router

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// engine is an engine of the endpoint list, or one that has left it while the outcome of an attempt
// or of a health check is waited for.
type engine struct {
	// What a search over engines reads first, so that it lies close together.
	idHash   uint64 // of id
	bounds   searchBounds
	attempts int     // of this controller, with an outcome that is waited for
	threads  float64 // that these attempts use

	// What the endpoint list says of it.
	id        EngineID
	state     EngineState
	zone      Zone
	kind      KindID
	cell      CellID
	startedAt float64 // ms, of its process; -Inf: long ago
	cores     float64

	// Table locks on it.
	tableLocks        map[*tableGroup]int     // attempts of this controller that lock the group
	tablesLockedUntil map[*tableGroup]float64 // ms, until which a progress message of a lock counts

	// What its load reports say.
	othersInflight decayedMean // queries of other controllers in flight
	utilization    decayedMean // busy cores over all cores
	disk           decayedMean // share of its disks that is busy
	memoryGranted  float64     // share of its memory that is granted, by the last report
	reportedAt     float64     // ms, of the last report; 0: there is none

	// How attempts of this controller do on it.
	slowdown         decayedMean // run time over the time on an idle engine
	threadsPerCore   float64     // concurrency limit of all controllers together, as this one sees it
	limitDecreasedAt float64     // ms, when that limit was last cut because the engine was slow
	outcomes         uint64      // a bit per attempt and health check, the last lowest; 1: success
	succeededAt      float64     // ms, of the last success of any class
	classBackoffs    []backoff   // by class index
	slowStartWork    slidingWindow

	// Trials while it is not healthy, and health checks.
	trialAt        float64 // ms, from which it may get a trial attempt
	trialWait      float64 // ms, from the next failure until a trial
	checkingHealth bool    // a health check is outstanding
	healthCheckAt  float64 // ms, when the next health check is due

	// What rule 3 goes by while the endpoint list has expired.
	answeredStartAt  float64 // ms, the latest start of an attempt that it answered
	connectionLostAt float64 // ms, of the last connection failure; -Inf: none since its last answer

	pool *enginePool // that it is in; nil: none

	// Scratch values while engines are assigned to pools.
	markedPool *enginePool // the pool that is marked, if this engine is in it
	affinity   float64     // to the pool that gets engines
}

// allSucceeded are the outcomes that a new engine starts with.
const allSucceeded = math.MaxUint64

// newEngine returns an engine of which nothing is known yet, for a number of query classes.
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

// resetStatistics forgets what was learned of an engine's earlier process.
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

// tableLocksHeld is how many attempts are known to lock a table group on e: this controller's, and
// one more if a progress message of a lock has come lately.
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

// meanSlowdown is the slowdown of an engine by the recent answers, 1 while there are none.
func (e *engine) meanSlowdown(now float64) float64 {
	return e.slowdown.mean(now, 1, slowdownPriorWeight)
}

// byEngineID orders engines by id.
func byEngineID(a, b *engine) int { return cmp.Compare(a.id, b.id) }

// readyEngines lists the ready engines of a machine kind by id.
func (r *Router) readyEngines(kind int) []*engine {
	var list []*engine
	for _, e := range r.engineList {
		if e.readyOfKind(kind) {
			list = append(list, e)
		}
	}
	return list
}

// removeGoneEngines drops the engines that have left the endpoint list, once no outcome of an attempt
// or of a health check is waited for.
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
