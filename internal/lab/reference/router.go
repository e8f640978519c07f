package reference

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Estimates and the safety rules.

const (
	unitTimeHalfLife, logSlowdownHalfLife, workHalfLife, scaleHalfLife = 10000.0, 1000.0, 20000.0, 30000.0 // ms
	shareHalfLife, tenantHalfLife                                      = 5000.0, 2000.0

	// ms by which time windows are kept wider than configured; event intervals before a client timeout
	windowSlack, answerLeadIntervals = 60.0, 2.0
	// share used of a warming engine's allowance; turns in one window
	slowStartShareUsed, slowStartTurnsPerWindow = 0.6, 2.0
)

// ms of work in a controller's part, for small, medium and large queries
var slowStartPartSizes = [...]float64{500, 2000, 8000}

// workUnits is the amount of work of q by its estimate, in the units of bestUnitTime. Without estimates all queries of a
// class count as 1.
func (class *queryClass) workUnits(q *query, now float64) float64 {
	if q.estimatedWork <= 0 {
		return 1
	}
	return max(1, q.estimatedWork*class.workScale.mean(now, 1, 2)/class.Threads)
}

// unloadedTime is the estimated run time of q in ms on an idle engine.
func (class *queryClass) unloadedTime(q *query, now float64) float64 {
	if class.bestUnitTime == 0 && q.estimatedWork <= 0 {
		return class.LatencyObjective / 2
	}
	return cmp.Or(class.bestUnitTime, 1) * class.workUnits(q, now)
}

// meanWork is the mean work of a query in ms on one thread. It is high while little is known, because it guards warming
// engines, where too low a value breaks a rule.
func (class *queryClass) meanWork(now float64) float64 {
	return class.work.mean(now, class.ClientTimeout/3, 1)
}

// slowStartCost is the work that q counts for on a warming engine: the mean of its class, or its estimate if that is
// larger.
func (q *query) slowStartCost(now float64) float64 {
	return max(q.class.meanWork(now), q.uncappedEstimate)
}

// eligible reports whether an attempt of q may start on e now. Every attempt, first or retry, passes this check. It
// enforces the rules on drains, repeats, order, placement, the retry budget and slow start.
func (r *Router) eligible(q *query, e *engine) bool {
	class := q.class
	return e.state == Ready && r.endpointTrusted(e) && permits(class.Kinds, e.kind) && permits(class.Zones, e.zone) &&
		permits(q.kinds, e.kind) && permits(q.zones, e.zone) && r.startable(q) &&
		(q.unresolved == nil || class.Effect == Idempotent || scopeCovers(class.Scope, q.unresolved, e)) && r.slowStartAllows(q, e)
}

// endpointTrusted reports whether the endpoint list may be trusted about e. Once the list has expired, e is trusted only
// if it answered an attempt that started so recently that a later drain does not count as notified yet: a draining engine
// rejects new work. After a lost connection it is not trusted, as its process may have been replaced by one that is
// warming up, or another engine may have its address.
func (r *Router) endpointTrusted(e *engine) bool {
	return r.expiredFor == 0 || e.connectionLostAt < r.endpointsUpdatedAt && r.now-e.answeredStartAt < r.expiredFor
}

// startable is the part of eligible that is the same for all engines.
func (r *Router) startable(q *query) bool {
	return r.headOfQueues(q) && !q.done && !q.responseStarted && q.answer == unanswered && q.awaited == 0 && r.now < r.answerBy(q) &&
		!r.attemptsExhausted(q) && (len(q.attempts) == 0 || r.retryBudgetAllows())
}

// headOfQueues reports whether q is at the head of the queues of all its ordering keys, none of which is in cooldown. All
// queues are ordered by arrival, so the query that arrived first is at the head of all its queues, and queries cannot
// deadlock.
func (r *Router) headOfQueues(q *query) bool {
	for _, queue := range q.queues {
		if queue.queries[0] != q || len(q.attempts) == 0 && r.now < queue.cooldownUntil || queue.followerOutstanding() {
			return false
		}
	}
	return true
}

// answerBy is the time by which q must have its final answer: before its client timeout and before a planned shutdown of
// this controller, so that the client of a query that cannot be done by then learns it at once and can try another
// controller.
func (r *Router) answerBy(q *query) float64 {
	return min(q.deadline, r.shutdownAt) - answerLeadIntervals*r.limits.EventInterval - 5
}

// attemptsExhausted reports whether no further attempt of q can ever be allowed.
func (r *Router) attemptsExhausted(q *query) bool {
	class := q.class
	return len(q.attempts) >= r.capabilities.MaxAttempts || q.unresolved != nil && (class.Effect == NonIdempotent ||
		class.Effect == Deduplicated && r.now > class.repeatDeadline(q.unresolvedAt))
}

// repeatDeadline is the latest time at which a repeat may be sent of a query that was first sent at the given time. Later,
// engines may not recognize it as a repeat.
func (class *queryClass) repeatDeadline(first float64) float64 {
	return first + class.DeduplicationWindow - windowSlack
}

// retryBudgetAllows reports whether the retry budget allows another retry. It counts retries over a little more than the
// configured window, and arrivals over a little less.
func (r *Router) retryBudgetAllows() bool {
	limits := r.limits
	return !limits.RetryBudgeted || r.retries.sumSince(r.now-limits.RetryBudgetWindow-windowSlack)+1 <=
		limits.RetryBudgetMin+limits.RetryBudgetRatio*r.arrivals.sumSince(r.now-limits.RetryBudgetWindow+windowSlack)
}

// slowStartAllowance is this controller's part of the work that a warming engine may be sent within the window. It is
// computed as if the engine had its initial capacity until it is warm, and as if all controllers used their parts. Where
// an equal part would be less than a query, controllers take turns, by their index, the engine and the time since its
// start, with parts for small, medium and large queries.
func (r *Router) slowStartAllowance(e *engine) float64 {
	limits := r.limits
	if r.now > e.startedAt+limits.SlowStartTime+windowSlack || limits.SlowStartOverload <= 0 {
		return math.Inf(1)
	}
	totalAllowance := slowStartShareUsed * limits.SlowStartOverload * limits.SlowStartCapacity * e.cores * limits.SlowStartWindow
	if totalAllowance >= slowStartPartSizes[0]*r.controllers {
		return totalAllowance / r.controllers
	}
	totalAllowance /= slowStartTurnsPerWindow + 1 // a window overlaps this many turns
	turn := uint64(max(0, r.now-e.startedAt) * slowStartTurnsPerWindow / (limits.SlowStartWindow + 2*windowSlack))
	groups := math.Ceil(r.controllers / max(1, math.Floor(totalAllowance/slowStartPartSizes[turn%uint64(len(slowStartPartSizes))])))
	if (e.idHash+uint64(r.index)+turn/uint64(len(slowStartPartSizes)))%uint64(groups) != 0 {
		return 0
	}
	return totalAllowance / math.Ceil(r.controllers/groups)
}

func (r *Router) slowStartAllows(q *query, e *engine) bool {
	// what was sent before this controller's own restart is not known
	allowance, windowStart := r.slowStartAllowance(e), r.now-r.limits.SlowStartWindow-windowSlack
	return math.IsInf(allowance, 1) || r.startedAt <= windowStart && e.slowStartWork.sumSince(windowStart)+q.slowStartCost(r.now) <= allowance
}

// attemptStartBy is the time by which an attempt of q on e must be sent; 0: no limit. A connection may be established
// late: meanwhile a repeat could be past its deduplication window, a drain could count as notified, and an attempt that
// counts in one window of slow start or of the retry budget could fall into the next. The cost is that some attempts are
// withdrawn and decided again that would have been harmless.
func (r *Router) attemptStartBy(q *query, e *engine) float64 {
	by := math.Inf(1)
	if q.unresolved != nil && q.class.Effect == Deduplicated {
		by = q.class.repeatDeadline(q.unresolvedAt)
	}
	if r.expiredFor > 0 {
		by = min(by, e.answeredStartAt+r.expiredFor)
	}
	if len(q.attempts) > 0 && r.limits.RetryBudgeted || !math.IsInf(r.slowStartAllowance(e), 1) {
		by = min(by, r.now+windowSlack)
	}
	if math.IsInf(by, 1) {
		return 0
	}
	return by
}

// mayReject reports whether q may be rejected, which tells the client that a retry is harmless.
func (r *Router) mayReject(q *query) bool {
	class, mayHaveRun := q.class, q.unresolved != nil || q.awaited > 0
	return class.Effect == Idempotent || !mayHaveRun || class.Effect == Deduplicated && class.Scope == ScopeAll
}

// Engine state: health, load reports, traffic share.

const (
	// number of last outcomes that decide on health; successes among them that a healthy engine needs
	outlierWindow, outlierMinSuccesses = 8, 3
	// ms until a trial attempt on an unhealthy engine; doubled by each failure, up to the maximum
	minTrialWait, maxTrialWait = 250.0, 2000.0
	// ms for which a class's own success lets it use an unhealthy engine
	recentSuccessFor = 5000.0
	reportHalfLife   = 1000.0 // ms, of reported utilization
	// ms, of the queries of other controllers in flight, after which the mean of all engines prevails
	othersHalfLife = 5000.0
	// half-life of the slowdown, in mean intervals between own queries per engine; its maximum in ms
	slowdownLifeFactor, maxSlowdownHalfLife = 4.0, 10000.0
	reportMaxAge                            = 4000.0 // ms after which a load report is ignored
	// largest plausible values: busy cores over all cores; queries per core
	maxUtilization, maxInflightPerCore = 2.0, 100.0
	// ms between health checks of an engine: by all controllers, by one at most
	healthCheckInterval, maxHealthCheckInterval = 400.0, 1000.0
	// ms; an older report is refreshed by a health check before an attempt
	reportRefreshAge = 1200.0
	// health checks per arriving query; maximum saved, half of it reserved for refreshing reports
	healthChecksPerQuery, maxHealthCheckCredit = 1.0, 10.0
	// ms between polls, up to twice that after a failed poll; cores of a machine kind that is not configured
	pollRetryInterval, defaultCores = 1000.0, 8.0
)

func (e *engine) healthy() bool {
	return bits.OnesCount64(e.outcomes<<(64-outlierWindow)) >= outlierMinSuccesses
}

// recordOutcome records the outcome of an attempt or health check, to detect engines that died or hang. The cost is that
// a short period of failures leaves an engine idle.
func (e *engine) recordOutcome(now float64, good bool) {
	if e.outcomes <<= 1; good {
		e.outcomes, e.trialWait = e.outcomes|1, minTrialWait
	} else {
		e.trialAt, e.trialWait = now+e.trialWait, min(maxTrialWait, 2*e.trialWait)
	}
}

// recordAttemptOutcome records the success or failure of an attempt for its engine and for its class there. Two
// consecutive failures make the class back off from the engine, and a success lets the class use the engine while others
// fail. Otherwise an engine that fails one class alone would be avoided by all classes, or by none.
func (r *Router) recordAttemptOutcome(q *query, a *attempt, good bool) {
	t := a.engine.classBackoff(q.class)
	if a.engine.recordOutcome(r.now, good); good {
		t.decrease(r.now, a.startedAt, minClassBackoff)
	} else if t.lastFailed {
		t.increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
	}
	t.lastFailed, a.failed = !good, a.failed || !good
}

// slowStartCapacity is the share of its full capacity that a warming engine is assumed to have.
func (r *Router) slowStartCapacity(e *engine) float64 {
	return r.limits.SlowStartCapacity + (1-r.limits.SlowStartCapacity)*min(1, max(0, r.now-e.startedAt)/max(1, r.limits.SlowStartTime))
}

// endpointsUpdated handles an update of the endpoint list. A failed poll is repeated before drains that it would have
// shown count as notified.
func (r *Router) endpointsUpdated(ev EndpointsUpdated) {
	if r.subscribed = !ev.Failed && (r.subscribed || !ev.Cached); ev.Failed {
		r.pollAt = r.now + pollRetryInterval*(1+r.rng.Float64())
		return
	}
	r.updateEngines(ev)
	for k := range r.pools {
		r.reassign(k)
	}
}

// statisticsRestored handles restored statistics. Engines return to the pools of the table groups that they served. The
// next rebalance is delayed until loads are known: at first all loads are 0, and pools of one engine would be merged.
func (r *Router) statisticsRestored(l Statistics) {
	if r.restore(l); len(l.Tables) > 0 {
		r.rebalanceAt = max(r.rebalanceAt, r.now+rebalanceInterval)
		for k := range r.pools {
			r.repack(k)
		}
	}
}

// trafficShare is this controller's share of the queries in flight on the engines, by their load reports, with an equal
// share as a prior of weight 200.
func (r *Router) trafficShare() float64 {
	if r.controllers == 1 {
		return 1
	}
	return min(1, max(0.2/r.controllers, r.share.mean(r.now, 1/r.controllers, 200)))
}

// checkHealth starts a health check of an engine, if the credit that queries add allows it: with a fixed rate per
// controller, a hundred idle controllers would check engines all the time.
func (r *Router) checkHealth(e *engine) bool {
	if !r.capabilities.HealthChecks || e.checkingHealth || r.healthCheckCredit < 1 {
		return false
	}
	r.healthCheckCredit, e.checkingHealth, r.healthChecksWanted = r.healthCheckCredit-1, true, append(r.healthChecksWanted, e)
	e.healthCheckAt = r.now + min(maxHealthCheckInterval, healthCheckInterval*r.controllers)*(0.9+0.2*r.rng.Float64())
	return true
}

// plausible reports whether a load report can be true. Impossible values are ignored.
func plausible(l *LoadReport, e *engine) bool {
	return l.Utilization <= maxUtilization && l.Inflight <= maxInflightPerCore*e.cores
}

// engineLoad is the load of an engine by which it is moved between pools: the reported utilization, else the reported
// queries per core or, without a recent report, this controller's attempts scaled up to all controllers.
func (r *Router) engineLoad(e *engine) float64 {
	if e.reportedAt == 0 || r.now-e.reportedAt > reportMaxAge {
		return float64(e.attempts) / e.cores / r.trafficShare()
	}
	if e.utilization.weight > 0 {
		return max(e.utilization.mean(r.now, 0, 0), e.disk.mean(r.now, 0, 0))
	}
	return (float64(e.attempts) + e.othersInflight.mean(r.now, 0, 0)) / e.cores
}

// Footprints and packing.

const (
	// shares of memory: left free by packing; assumed to be used without estimates
	memoryReserve, assumedMemoryShare = 0.1, 0.5
	demandHalfLife                    = 10000.0 // ms, of demand and memory footprints
)

// footprints returns the memory in use by each table group, over all controllers and for one machine kind's part of the
// fleet. By Little's law, the mean memory in use is memory times run time, per millisecond. Without estimates all groups
// are assumed equal.
func (r *Router) footprints(k int) map[*tableGroup]float64 {
	sizes, total, n := map[*tableGroup]float64{}, 0.0, float64(len(r.readyEngines(k)))
	for _, g := range r.groupList {
		total += g.memoryTime.rate(r.now)
	}
	for _, g := range r.groupList {
		if sizes[g] = g.memoryTime.rate(r.now) / r.trafficShare() * n / float64(len(r.engineList)); total == 0 {
			sizes[g] = assumedMemoryShare * r.kinds[k].MemoryMB * n / float64(len(r.groupList))
		}
	}
	return sizes
}

// bestFitDecreasing packs table groups into bins of a size by the Best Fit Decreasing algorithm. A group too large for
// any bin gets its own.
func bestFitDecreasing(groups []*tableGroup, size map[*tableGroup]float64, room float64) (bins [][]*tableGroup) {
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b *tableGroup) int { return cmp.Compare(size[b], size[a]) })
	var left []float64
	for _, g := range sorted {
		best := -1
		for i := range bins {
			if left[i] >= size[g] && (best < 0 || left[i] < left[best]) {
				best = i
			}
		}
		if best < 0 {
			bins, left, best = append(bins, nil), append(left, room), len(bins)
		}
		bins[best], left[best] = append(bins[best], g), left[best]-size[g]
	}
	return bins
}

const (
	// ms between rebalances; busiest pool's load over the donor's future load, to move an engine
	rebalanceInterval, moveMargin = 2000.0, 1.25
	hotDemandFactor               = 3.0     // weight of the demand of a table group that a rule marks as hot
	recomputeMargin               = 2.5     // as moveMargin, but all target counts are recomputed at once
	underusedLoad                 = 0.25    // load below which a pool of one engine may be merged with another
	tableGroupMaxIdle             = 60000.0 // ms after its last query for which a table group is kept
)

func (r *Router) demandPerEngine(pool *enginePool) float64 {
	return r.poolDemand(pool) / float64(max(1, pool.targetCount))
}

// allocateCounts makes the target counts of the pools sum to n, each at least 1, by demand per engine.
func (r *Router) allocateCounts(pools []*enginePool, n int) {
	for _, pool := range pools {
		pool.targetCount = max(1, pool.targetCount)
		n -= pool.targetCount
	}
	for ; n > 0; n-- {
		slices.MaxFunc(pools, func(a, b *enginePool) int { return cmp.Compare(r.demandPerEngine(a), r.demandPerEngine(b)) }).targetCount++
	}
	for ; n < 0; n++ {
		after := func(pool *enginePool) float64 { return r.poolDemand(pool) / (float64(pool.targetCount) - 1) }
		slices.MinFunc(pools, func(a, b *enginePool) int { return cmp.Compare(after(a), after(b)) }).targetCount--
	}
}

// assignEngines assigns the engines of a kind to pools by their target counts. An engine stays in the pool whose tables it
// has cached, and else goes by an affinity that is the same at all controllers. Pools that lose engines choose first, so
// that moving one engine changes no other assignment.
func (r *Router) assignEngines(k int, pools []*enginePool) {
	free, turn := r.readyEngines(k), slices.Clone(pools)
	r.allocateCounts(pools, len(free))
	growth := func(pool *enginePool) int { return pool.targetCount - len(pool.engines) }
	slices.SortStableFunc(turn, func(a, b *enginePool) int { return growth(a) - growth(b) })
	for _, pool := range turn {
		fits := map[*engine]float64{}
		for _, g := range pool.tableGroups() {
			weight, former := g.demand.rate(r.now)+1e-9, g.pools[k]
			for _, e := range free {
				if fits[e] += weight * rendezvousAffinity(g, e); former != nil && slices.Contains(former.engines, e) {
					fits[e] += weight
				}
			}
			g.pools[k] = pool
		}
		slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(fits[b], fits[a]) })
		pool.engines, free = slices.Clone(free[:pool.targetCount]), free[pool.targetCount:]
		for _, e := range pool.engines {
			e.pool = pool
		}
	}
	r.pools[k] = pools
}

func (r *Router) repack(k int) {
	r.pools[k] = nil
	for _, bin := range bestFitDecreasing(r.groupList, r.footprints(k), r.kinds[k].MemoryMB*(1-memoryReserve)) {
		r.pools[k] = append(r.pools[k], &enginePool{packs: [][]*tableGroup{bin}})
	}
	r.reassign(k)
}

// addToPool adds a new table group to the pool with the least demand per engine.
func (r *Router) addToPool(k int, g *tableGroup) {
	if len(r.pools[k]) == 0 {
		r.pools[k] = []*enginePool{{packs: make([][]*tableGroup, 1)}}
	}
	pool := slices.MinFunc(r.pools[k], func(a, b *enginePool) int { return cmp.Compare(r.demandPerEngine(a), r.demandPerEngine(b)) })
	if pool.packs[0], g.pools[k] = append(pool.packs[0], g), pool; len(pool.engines) == 0 {
		r.reassign(k)
	}
}

// reassign updates the pools of a kind after a change of its engines: if there are more pools than engines, those with the
// least demand are merged. Pools keep the engines that they have.
func (r *Router) reassign(k int) {
	pools, ready := r.pools[k], r.readyEngines(k)
	if len(ready) == 0 || len(r.groupList) == 0 {
		return
	}
	demands := map[*enginePool]float64{}
	for len(pools) > len(ready) {
		last := len(pools) - 1
		if len(demands) == 0 {
			for _, pool := range pools {
				demands[pool] = r.poolDemand(pool)
			}
			slices.SortStableFunc(pools, func(a, b *enginePool) int { return cmp.Compare(demands[b], demands[a]) })
		}
		for i := last; i > 0 && demands[pools[i-1]] < demands[pools[i]]; i-- { // a merged pool's demand has grown
			pools[i-1], pools[i] = pools[i], pools[i-1]
		}
		pools[last-1].packs = append(pools[last-1].packs, pools[last].packs...)
		demands[pools[last-1]], pools = r.poolDemand(pools[last-1]), pools[:last]
	}
	for _, pool := range pools {
		pool.engines = slices.DeleteFunc(pool.engines, func(e *engine) bool { return !slices.Contains(ready, e) })
		pool.targetCount = len(pool.engines)
	}
	r.assignEngines(k, pools)
}

// futureLoad is the load of a pool after it gives up an engine; +Inf if it has only one.
func (r *Router) futureLoad(pool *enginePool) float64 {
	if n := float64(len(pool.engines)); n > 1 {
		return r.poolLoad(pool) * n / (n - 1)
	}
	return math.Inf(1)
}

// rebalance makes at most one change to the pools of a kind: it splits a merged pool, recomputes all target counts, moves
// one engine, or merges two pools.
func (r *Router) rebalance(k int) {
	pools := r.pools[k]
	if len(pools) == 0 || len(r.readyEngines(k)) < len(pools) {
		return
	}
	busiest := slices.MaxFunc(pools, func(a, b *enginePool) int { return cmp.Compare(r.poolLoad(a), r.poolLoad(b)) })
	donor := slices.MinFunc(pools, func(a, b *enginePool) int { return cmp.Compare(r.futureLoad(a), r.futureLoad(b)) })
	var lone []*enginePool
	total, high, low := 1e-9, r.poolLoad(busiest), r.futureLoad(donor)
	for _, pool := range pools {
		total += r.poolLoad(pool) * float64(len(pool.engines))
		if len(pool.engines) == 1 && pool != busiest && r.poolLoad(pool) < underusedLoad {
			lone = append(lone, pool)
		}
	}
	switch {
	case donor != busiest && high >= moveMargin*low && len(busiest.packs) > 1 && len(busiest.engines) == 1:
		// the busiest pool of merged packs is split
		pools = append(pools, &enginePool{packs: busiest.packs[:1:1], targetCount: 1})
		busiest.packs = busiest.packs[1:]
		donor.targetCount--
	case donor != busiest && high >= recomputeMargin*low: // counts for equal load, rounded towards the present ones
		for _, pool := range pools {
			n := float64(len(pool.engines))
			pool.targetCount = max(1, pool.targetCount+int(r.poolLoad(pool)*n/total*float64(len(r.readyEngines(k)))-n))
		}
	case donor != busiest && high >= moveMargin*low:
		donor.targetCount--
		busiest.targetCount++
	case len(lone) > 1:
		lone[0].packs = append(lone[0].packs, lone[1].packs...)
		pools = slices.DeleteFunc(pools, func(pool *enginePool) bool { return pool == lone[1] })
		busiest.targetCount++
	default:
		return
	}
	r.assignEngines(k, pools)
}

// Concurrency limits.

const (
	initialThreadsPerCore, minThreadsPerCore, maxThreadsPerCore = 2.0, 1.5, 2.5 // initial value and bounds
	// slowdown below which an engine's limit is increased, and above which it is decreased
	increaseBelowSlowdown, decreaseAboveSlowdown = 1.8, 3.0
	// threads that an answer adds to the limit; answers from which bestUnitTime is learned
	limitIncreaseStep, minAnswersForBest = 0.5, 25.0
	// factor of a decrease; ms between decreases for slowness
	limitDecreaseFactor, limitDecreaseInterval = 0.85, 400.0
	// growth of bestUnitTime per answer, so that it follows work that became slower
	bestUnitTimeDrift = 1.0001
	// ms without an answer after which restored values are discarded; answers above which they can be refuted
	restoredMaxAge, answersToRefuteRestored = 10000.0, 5.0
)

func (r *Router) threadLimit(e *engine) float64 {
	return e.threadsPerCore * e.cores * r.slowStartCapacity(e) * r.trafficShare()
}

// learnFromSuccess updates the estimates of a class from an answered attempt, and adjusts the concurrency limit of the
// engine by its slowdown.
func (r *Router) learnFromSuccess(q *query, e *engine, ev AttemptEnded) {
	class, unit := q.class, q.class.workUnits(q, r.now)
	if class.recordMeasuredCost(r.now, q, ev) {
		unit = max(1, ev.Work/class.Threads)
	}
	class.work.add(r.now, cmp.Or(ev.Work, q.uncappedEstimate, ev.Elapsed*class.Threads), 1)
	class.unitTime.add(r.now, ev.Elapsed/unit, 1)
	m := class.unitTime.mean(r.now, 0, 0)
	if class.unconfirmedSince > 0 && class.unitTime.weight > answersToRefuteRestored && (m > decreaseAboveSlowdown*class.bestUnitTime || m < class.bestUnitTime/decreaseAboveSlowdown) {
		class.discardRestored() // queries have changed since the values were saved
	}
	if class.unitTime.weight > minAnswersForBest {
		class.bestUnitTime, class.unconfirmedSince = cmp.Or(min(class.bestUnitTime*bestUnitTimeDrift, m), m), 0
	} else if class.unconfirmedSince > 0 {
		class.unconfirmedSince = r.now
	}
	if class.bestUnitTime > 0 {
		e.slowdown.add(r.now, min(20, ev.Elapsed/(class.bestUnitTime*unit)), 1)
		class.logSlowdown.add(r.now, math.Log(max(1, ev.Elapsed/(class.bestUnitTime*unit))), 1)
	}
	slowdown, limit := e.slowdown.mean(r.now, 1, 1), r.threadLimit(e)
	if slowdown < increaseBelowSlowdown && e.threads+class.Threads >= 0.7*limit {
		e.threadsPerCore = min(maxThreadsPerCore, e.threadsPerCore*(1+limitIncreaseStep/max(1, limit)))
	} else if slowdown > decreaseAboveSlowdown && r.now-e.limitDecreasedAt > limitDecreaseInterval {
		e.threadsPerCore, e.limitDecreasedAt = max(minThreadsPerCore, e.threadsPerCore*limitDecreaseFactor), r.now
	}
}

// Selection and dispatch.

const (
	// share of the thread limit up to which an engine accepts queries of other pools
	spillShare     = 0.75
	affinityWeight = 1.0 // penalty for the lowest affinity, in threads per core
	// penalty for a table lock, in threads per core; ms for which a progress message about a lock counts
	tableLockPenalty, tableLockMessageAge = 4.0, 1500.0
	widelyLockedShare                     = 2.0 / 3 // share of the healthy engines, see tablesLockedWidely
	// ms that a class avoids an engine after two failures or a rejection; doubled by each further one, up to the
	// maximum
	minClassBackoff, maxClassBackoff = 200.0, 1e3
	// threads over the pooled limit, on engines that report spare capacity
	pooledLimitTolerance = 3.0
	// threads assumed for a query of another controller; granted share of memory above which no attempt starts
	threadsPerOtherQuery, maxMemoryGranted = 1.2, 0.9
	maxTriedPerStep                        = 100 // queued queries that one step tries to start
)

// hasCapacity reports whether e may take q by the thread limits of the engine and of all engines together. A small
// controller's share of one engine can be less than a query, so one attempt may always run, and the last one may exceed
// the limit. The share of all engines is a coarse estimate too: the pooled limit may be exceeded a little on an engine
// that reports spare capacity. Nothing starts on an engine that reports its memory as used up.
func (r *Router) hasCapacity(q *query, e *engine, fill float64) bool {
	reported, pooledLimit, limit, t := r.now-e.reportedAt < reportMaxAge, r.pooledThreadLimit, fill*r.threadLimit(e), e.classBackoff(q.class)
	if limit < 1 && !math.IsInf(r.slowStartAllowance(e), 1) { // a warming engine is guarded by slowStartAllows
		pooledLimit, limit = math.Inf(1), limit/r.trafficShare()
	} else if reported && r.fill(e) < spillShare*initialThreadsPerCore {
		pooledLimit += pooledLimitTolerance
	}
	return r.now >= t.until && (e.healthy() || t.succeededSince(r.now-recentSuccessFor) || e.attempts == 0 && r.now >= e.trialAt) &&
		(r.attempts == 0 || r.threads <= pooledLimit && (e.attempts == 0 || e.threads <= limit) && (!reported || e.memoryGranted <= maxMemoryGranted))
}

// fill is the estimated number of threads per core in use on e, by this controller and, from load reports, by others.
func (r *Router) fill(e *engine) float64 {
	others := e.othersInflight.mean(r.now, e.cores*r.othersPerCore.mean(r.now, 0, 1), 0.5)
	return (e.threads + threadsPerOtherQuery*others) / (e.cores * r.slowStartCapacity(e))
}

// placementScore ranks engines for q, the lowest first: by fill, slowdown, locks on its tables and affinity.
func (r *Router) placementScore(q *query, e *engine) float64 {
	x := (r.fill(e) + q.class.Threads/(e.cores*r.slowStartCapacity(e))) * max(1, e.slowdown.mean(r.now, 1, 1)/increaseBelowSlowdown)
	x += tableLockPenalty * r.contention(q, e) // a query that would wait for a table lock prefers another engine
	// queries that lock tables ignore affinity, or they would wait for each other
	if !q.class.LocksTables {
		x += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
	}
	return x
}

// contention counts the reasons against running q on e: table locks that it would wait for, and its attempts that failed
// there.
func (r *Router) contention(q *query, e *engine) float64 {
	if class := q.class; class.LocksTables || class.WaitsForTables {
		return e.tableLocksHeld(q.tables, r.now) + q.failedAttemptsOn(e)
	}
	return q.failedAttemptsOn(e)
}

// tablesLockedWidely reports whether q, which locks its tables, has to join an engine on which they are locked already,
// because so many engines have them locked. q waits there, and queries that wait for the tables find engines without
// locks. Under traffic on few table groups, locks would otherwise spread to all engines. The cost is that queries that
// lock tables queue up, and more of them are late.
func (r *Router) tablesLockedWidely(q *query) bool {
	held, all := 0.0, 0.0
	for _, e := range r.engineList {
		if e.state == Ready && e.healthy() {
			if all++; e.tableLocksHeld(q.tables, r.now) > 0 {
				held++
			}
		}
	}
	return q.class.LocksTables && held > 0 && held >= widelyLockedShare*all
}

// selectEngine returns the engine with the lowest score for q among those of its pools with capacity, or else among all
// engines with much spare capacity; nil: there is none.
func (r *Router) selectEngine(q *query) (best *engine) {
	least, lockedWidely := math.Inf(1), r.tablesLockedWidely(q)
	consider := func(engines []*engine, fill float64) {
		for _, e := range engines {
			x := r.placementScore(q, e)
			goes := !lockedWidely || e.tableLocksHeld(q.tables, r.now) > 0
			if x < least && goes && r.hasCapacity(q, e, fill) && r.eligible(q, e) {
				best, least = e, x
			}
		}
	}
	for _, pool := range q.tables.pools {
		if pool != nil {
			consider(pool.engines, 1)
		}
	}
	if best == nil || r.contention(q, best) > 0 {
		consider(r.engineList, spillShare)
	}
	return best
}

// dispatch starts queued queries as far as engines have capacity, the earliest client timeout first.
func (r *Router) dispatch() {
	tried := 0
	r.queue = slices.DeleteFunc(r.queue, func(q *query) bool {
		if q.done || q.answer != unanswered || tried >= maxTriedPerStep || !r.startable(q) {
			return q.done || q.answer != unanswered
		}
		if tried++; r.notWorthRunning(q) {
			r.rejectOrFail(q)
			return true
		}
		e, class := r.selectEngine(q), q.class
		if e == nil || r.now-e.reportedAt > reportRefreshAge && (e.checkingHealth || r.now > e.healthCheckAt && r.checkHealth(e)) {
			return false
		}
		e.classBackoff(class).recordStart(r.now)
		r.setAlarm(r.now+r.progressTimeout(), q)
		r.recordAttemptStart(q, e, q.estimatedMemoryMB*class.memoryScale.mean(r.now, 1, 3), q.slowStartCost(r.now), r.attemptStartBy(q, e))
		return true
	})
}

// Retries, cancellation and load shedding.

const (
	// progress messages come within 1.5 intervals; weight of a first message, where an answer has 1
	progressTimeoutIntervals, progressWeight = 1.6, 0.5
	// projected over expected run time above which a plan is bad; expected run times that must remain
	badPlanFactor, badPlanRemaining = 4.0, 1.5
	// factors on sizeLimit: after a missed latency objective; every periodicInterval
	sizeLimitDecreaseFactor, sizeLimitGrowthFactor = 0.9, 1.005

	maxSizeLimit, minSizeLimit = 64.0, 4.0 // bounds of sizeLimit: while objectives are met; in overload
	// times a tenant's quota that counts as within it; ms that overload is assumed
	quotaTolerance, overloadDuration = 1.2, 1000.0
	// factor on firstTryTimeout per query; share of it below which a query is a client's retry
	firstTryTimeoutDecay, retryTimeoutShare = 0.997, 0.95
	// factor on the expected run time; share of the latency objective for which a query stays queued in any case
	runTimeMargin, minQueueShare = 1.2, 0.5
	// share of a query's time left that its ClientQueueTime may use up
	maxClientQueueShare = 0.75
	// LateBenefit from which queries stay queued past the latency objective
	lateBenefitThreshold = 0.5
)

// latestStart is the latest time at which q is worth starting, if it runs as on an idle engine. Later it could only miss
// its latency objective or, where late answers keep most of their benefit, its client timeout.
func (r *Router) latestStart(q *query) float64 {
	class, alone := q.class, q.class.unloadedTime(q, r.now)
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - 1.5*alone
	}
	return min(q.firstTriedAt+class.LatencyObjective+class.ObjectivePerWork*alone, r.answerBy(q)) - alone
}

// shedDeadline is the time at which a queued query is shed: latestStart, less the time by which such queries recently run
// longer than on an idle engine. Otherwise, in overload, all queries would start at the last moment. A query stays queued
// for a part of its latency objective in any case, so that one slow answer does not exclude a class.
func (r *Router) shedDeadline(q *query) float64 {
	class, by := q.class, r.latestStart(q)
	return max(by-max(0, runTimeMargin*class.expectedRunTime(q, r.now)-class.unloadedTime(q, r.now)), min(by, q.firstTriedAt+minQueueShare*class.LatencyObjective))
}

// expectedRunTime is the run time of q in ms at the recent slowdown of its class.
func (class *queryClass) expectedRunTime(q *query, t float64) float64 {
	return math.Exp(class.logSlowdown.mean(t, 0, 1)) * class.unloadedTime(q, t)
}

// cannotReachHeadInTime reports whether q is so far back in the queue of an ordering key that it cannot start in time.
func (r *Router) cannotReachHeadInTime(q *query) bool {
	ahead, most := 0.0, r.latestStart(q)-r.now
	for _, queue := range q.queues {
		sum := 0.0
		for _, other := range queue.queries {
			if other == q || sum > most {
				break
			}
			if other.class.bestUnitTime > 0 || other.estimatedWork > 0 {
				sum += other.class.expectedRunTime(other, r.now)
			}
		}
		ahead = max(ahead, sum)
	}
	return ahead > 0 && r.now+ahead > r.latestStart(q)
}

// notWorthRunning reports whether to give up a query that has had no attempt yet. In overload these are queries that can
// only be late and those over their tenant's quota; at any time, queries that cannot finish in time and the largest of a
// class. It guards against overload, varying costs, surges of single tenants, and client retries, whose earlier client
// timeouts put them before first tries. The cost is that a few queries are shed that could have run.
func (r *Router) notWorthRunning(q *query) bool {
	class := q.class
	return len(q.attempts) == 0 && (r.now < r.overloadedUntil && (q.overQuota || r.now > r.latestStart(q)) || q.estimatedWork > 0 &&
		(r.now > r.answerBy(q)-class.unloadedTime(q, r.now) || class.workUnits(q, r.now)*class.Threads > r.sizeLimit*class.meanWork(r.now)))
}

// rejectOrFail gives q its final answer at once. It is never held back to keep the client from retrying.
func (r *Router) rejectOrFail(q *query) {
	if q.done || q.responseStarted || q.answer != unanswered {
		return
	}
	q.answer, q.cancelWanted = failedFinally, true
	if r.mayReject(q) {
		q.answer = rejected
	}
	r.markChanged(q)
}

// retryAfterDelay is the time in ms that a rejected client should wait before a retry: at least half of the maximum, and
// randomized so that clients do not all return together.
func (r *Router) retryAfterDelay() float64 {
	return r.capabilities.MaxRetryAfter * (0.5 + 0.5*r.rng.Float64())
}

func (r *Router) queryArrived(ev QueryArrived) {
	class := r.classes[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, class.ClientTimeout) // a client may claim any time
	q := r.addQuery(ev)
	q.deadline -= min(ev.ClientQueueTime, maxClientQueueShare*ev.TimeLeft)
	r.healthCheckCredit = min(maxHealthCheckCredit, r.healthCheckCredit+healthChecksPerQuery)
	// probably a client's retry
	if class.firstTryTimeout = max(class.firstTryTimeout*firstTryTimeoutDecay, ev.TimeLeft); ev.TimeLeft < class.firstTryTimeout*retryTimeoutShare {
		q.firstTriedAt -= max(0, class.ClientTimeout-ev.TimeLeft)
	}
	// of a tenant over its quota, queries are drawn at random, so that the rest is within it
	if t := q.tenant; t != nil && t.QueriesPerSecond > 0 {
		q.overQuota = r.rng.Float64()*t.queries.rate(r.now) > t.QueriesPerSecond/1000*r.trafficShare()*quotaTolerance
	}
	// only for table groups known to exist; they are packed anew once
	if ev.Hot && q.tables.confirmed && !q.tables.hot {
		q.tables.hot, r.packed = true, false
	}
	q.tables.demand.add(r.now, min(class.unloadedTime(q, r.now), class.ClientTimeout)*class.Threads, 1)
	if r.cannotReachHeadInTime(q) {
		r.rejectOrFail(q)
		return
	}
	r.setAlarm(r.answerBy(q), q)
	r.queue = insertSorted(r.queue, q, byDeadline)
}

func (r *Router) attemptEnded(ev AttemptEnded) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	r.recordAttemptEnd(q, a, ev)
	r.recordReport(a.engine, ev.Load)
	switch ev.Outcome {
	case Succeeded:
		r.recordAttemptOutcome(q, a, true)
		for _, other := range q.attempts {
			// errors of a query that another engine answered count against their engines
			if other.endedInError && other.engine != a.engine {
				other.engine.classBackoff(q.class).increase(r.now, other.startedAt, minClassBackoff, maxClassBackoff)
			}
		}
		r.objectiveMissed = r.objectiveMissed || r.now > q.firstTriedAt+q.class.LatencyObjective+q.class.ObjectivePerWork*q.class.unloadedTime(q, r.now)
		r.learnFromSuccess(q, a.engine, ev)
	case EngineFull, NotSent: // immediate attempts would use up MaxAttempts, and other classes may succeed there
		a.engine.classBackoff(q.class).increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
		a.engine.threadsPerCore = max(minThreadsPerCore, a.engine.threadsPerCore*limitDecreaseFactor)
	// an error may be the query's own fault, unless another engine answers it
	case Errored, ConnectFailed, ConnectionReset, TimedOut:
		if a.endedInError = ev.Outcome == Errored && q.class.Effect != NonIdempotent; !a.endedInError {
			r.recordAttemptOutcome(q, a, false)
		}
	}
	if q.done || q.answer != unanswered || q.responseStarted || q.awaited > 0 || a.abandoned {
		return
	}
	if r.queue = insertSorted(r.queue, q, byDeadline); r.now >= r.answerBy(q) || r.attemptsExhausted(q) {
		r.rejectOrFail(q)
	}
}

// attemptProgress handles a progress message. An attempt with a bad plan, or on an engine that has almost stopped, is
// cancelled. The cost is the lost work if the query is truly large, so only queries with an estimate are cancelled.
func (r *Router) attemptProgress(ev AttemptProgress) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	first := a.lastHeardAt == a.startedAt
	if a.lastHeardAt = r.now; ev.Kind == ProgressWaitsForTables {
		a.engine.tablesLockedUntil[q.tables] = r.now + tableLockMessageAge
	}
	alone, elapsed := q.class.unloadedTime(q, r.now), r.now-a.startedAt
	total, expected := elapsed/max(ev.Value, 0.01), alone*max(1, a.engine.slowdown.mean(r.now, 1, 1))
	if ev.Kind != ProgressDone || ev.Value < 0 || ev.Value > 1 { // or the value is not a share
		return
	}
	if q.class.bestUnitTime > 0 && first {
		a.engine.slowdown.add(r.now, progressWeight*min(20, total/alone), progressWeight)
	}
	if q.estimatedWork > 0 && !q.done && q.class.Effect == Idempotent && !r.attemptsExhausted(q) && r.retryBudgetAllows() &&
		total > badPlanFactor*expected && total-elapsed > badPlanRemaining*expected {
		q.cancelWanted = true
		r.markChanged(q)
	}
}

func (r *Router) progressTimeout() float64 {
	return progressTimeoutIntervals*r.capabilities.ProgressInterval + windowSlack
}

// checkQuery handles an alarm of q: it gives the final answer if that is due, and replaces a silent attempt. This guards
// against answers that get lost and engines that hang but still answer health checks. The cost is that a query runs twice
// if only its progress messages are lost.
func (r *Router) checkQuery(q *query) {
	if r.now >= r.answerBy(q) {
		r.rejectOrFail(q)
	}
	for i := range q.attempts {
		a, class := &q.attempts[i], q.class
		if q.done || q.responseStarted || q.answer != unanswered || !a.outstanding || a.abandoned || a.cancelled {
			continue
		}
		again := class.Effect == Idempotent || class.Effect == Deduplicated && r.now < class.repeatDeadline(a.startedAt)
		if quiet := a.lastHeardAt + r.progressTimeout(); r.now < quiet {
			r.setAlarm(quiet, q)
		} else if again && len(q.attempts) < r.capabilities.MaxAttempts && r.retryBudgetAllows() {
			r.recordAttemptOutcome(q, a, false)
			if r.capabilities.Cancel {
				q.cancelWanted = true
				r.markChanged(q)
			} else if r.capabilities.Hedging {
				r.abandonAttempt(q, a)
				r.queue = insertSorted(r.queue, q, byDeadline)
			}
		}
	}
}

// Steps.

const periodicInterval = 50.0 // ms between runs of runPeriodic

// Step handles the events up to now and returns the actions to be taken.
func (r *Router) Step(now float64, events []Event) []Action {
	r.setClock(now)
	for _, ev := range events {
		r.handle(ev)
	}
	for q := r.popDueQuery(); q != nil; q = r.popDueQuery() {
		r.checkQuery(q)
	}
	if now >= r.periodicAt {
		r.runPeriodic()
	}
	r.dispatch()
	return r.collectActions()
}

// runPeriodic does what depends on time and not on events: it adjusts the size limit, sheds overdue queries, rebalances
// pools, polls the endpoint list and starts health checks.
func (r *Router) runPeriodic() {
	r.periodicAt = r.now + periodicInterval
	if r.sizeLimit = min(maxSizeLimit, r.sizeLimit*sizeLimitGrowthFactor); r.objectiveMissed {
		r.sizeLimit, r.objectiveMissed = max(minSizeLimit, r.sizeLimit*sizeLimitDecreaseFactor), false
	}
	for _, class := range r.classes { // too long a restored time would shed all queries, and so never be corrected
		if class.unconfirmedSince > 0 && r.now > class.unconfirmedSince+restoredMaxAge {
			class.discardRestored()
		}
	}
	for _, q := range r.queue {
		if r.now > r.shedDeadline(q) {
			// late retries are no sign of overload: shedding them would bring further retries and sustain it
			if r.objectiveMissed = true; q.firstTriedAt == q.arrivedAt {
				r.overloadedUntil = r.now + overloadDuration
			}
			r.rejectOrFail(q)
		}
	}
	if r.now >= r.rebalanceAt {
		r.rebalanceAt = r.now + rebalanceInterval
		r.removeIdleTableGroups(r.now-tableGroupMaxIdle, r.now-rebalanceInterval)
		pack := !r.packed && r.firstQueryAt > 0 && r.now >= r.firstQueryAt+rebalanceInterval
		r.packed = r.packed || pack
		for k := range r.pools {
			if pack {
				r.repack(k)
			}
			r.rebalance(k)
		}
	}
	if r.capabilities.PollEndpoints && !r.subscribed && r.now >= r.pollAt {
		r.pollAt, r.subscribeWanted = r.now+max(pollRetryInterval, r.limits.PollWithin/3), true
	}
	r.pooledThreadLimit, r.readyCores = 0, 0
	for _, e := range r.engineList {
		e.slowdown.halfLife = min(maxSlowdownHalfLife, max(reportHalfLife, slowdownLifeFactor*float64(len(r.engineList))/(r.queryRate.rate(r.now)+1e-9)))
		if e.state == Ready {
			r.readyCores += e.cores // a warming engine adds to the pooled limit only if some class fits its allowance
			if slices.ContainsFunc(r.classes, func(class *queryClass) bool { return class.meanWork(r.now) < r.slowStartAllowance(e) }) {
				r.pooledThreadLimit += r.threadLimit(e)
			}
			if r.now >= e.healthCheckAt && r.healthCheckCredit > maxHealthCheckCredit/2 {
				r.checkHealth(e)
			}
		}
	}
	r.removeIdle()
}
