package router

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// engine is one of the list, or one that left it with sends still out.
type engine struct {
	idHash            uint64 // of the id
	bounds            searchBounds
	attempts          int     // own sends out
	threads           float64 // of these
	id                EngineID
	state             EngineState
	zone              Zone
	kind              KindID
	cell              CellID
	startedAt         float64
	cores             float64
	tableLocks        map[*tableGroup]int     // own loads out, by what they hold
	tablesLockedUntil map[*tableGroup]float64 // by a note that a load holds them
	othersInflight    decayedMean             // commands of other controllers, by its reports
	utilization, disk decayedMean
	memoryGranted     float64 // share of its memory, by its last report
	reportedAt        float64
	slowdown          decayedMean // time taken over the time alone
	outcomes          uint64      // the last outcomes, a bit each, 1 for success
	trialAt           float64
	trialWait         float64
	checkingHealth    bool
	healthCheckAt     float64
	threadsPerCore    float64 // threads a core that all controllers together may run here, by what this one sees
	limitCutAt        float64
	classBackoffs     []backoff // of profiles that it turned away, by number
	succeededAt       float64   // when a send last did well, whatever its profile
	slowStartWork     slidingWindow
	answeredStartAt   float64     // when what it last answered was sent to it
	connectionLostAt  float64     // when a connection to it was last lost, or not to be had
	pool              *enginePool // which it has
	markedPool        *enginePool // among whose engines it was found last, and
	affinity          float64     // how well it suits an owner, while engines are handed out
}

// tableLocksHeld is how many loads are known to hold a table group on the engine.
func (e *engine) tableLocksHeld(g *tableGroup, now float64) float64 {
	if len(g.lockHolders) == 0 {
		return 0
	}
	if now < e.tablesLockedUntil[g] {
		return float64(e.tableLocks[g] + 1)
	}
	return float64(e.tableLocks[g])
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

// readyOfKind tells whether the list calls an engine of a kind ready.
func (e *engine) readyOfKind(k int) bool { return e.state == Ready && int(e.kind) == k }

func byEngineID(a, b *engine) int { return cmp.Compare(a.id, b.id) }

// readyEngines is the engines of a kind that the list calls readyEngines, by id.
func (r *Router) readyEngines(k int) (list []*engine) {
	for _, e := range r.engineList {
		if e.readyOfKind(k) {
			list = append(list, e)
		}
	}
	return list
}

// forgetEngines drops engines that left the list and owe no outcome.
func (r *Router) forgetEngines() {
	r.engineList = slices.DeleteFunc(r.engineList, func(e *engine) bool {
		done := e.state == Gone && e.attempts == 0 && !e.checkingHealth
		if done {
			r.topologyVersion++
			delete(r.engines, e.id)
		}
		return done
	})
}
