package reference

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Commands and the rules' guards.

const (
	unitTimeHalfLife, logSlowdownHalfLife, workHalfLife, scaleHalfLife = 10000.0, 1000.0, 20000.0, 30000.0 // ms that learning goes back
	shareHalfLife, tenantHalfLife                                      = 5000.0, 2000.0

	windowSlack, answerLeadIntervals            = 60.0, 2.0 // ms by which windows are kept wider; rounds before a client timeout
	slowStartShareUsed, slowStartTurnsPerWindow = 0.6, 2.0  // of a cold engine's allowance; stretches in a window
)

var slowStartPartSizes = [...]float64{500, 2000, 8000} // ms of work that a part must hold, or turns are taken

// workUnits is the time that c's estimate gives it alone; without estimates all commands of a profile are alike.
func (class *queryClass) workUnits(q *query, now float64) float64 {
	if q.estimatedWork <= 0 {
		return 1
	}
	return max(1, q.estimatedWork*class.workScale.mean(now, 1, 2)/class.Threads)
}

// unloadedTime is the time that c would take on an idle engine, as far as is known.
func (class *queryClass) unloadedTime(q *query, now float64) float64 {
	if class.bestUnitTime == 0 && q.estimatedWork <= 0 {
		return class.LatencyObjective / 2
	}
	return cmp.Or(class.bestUnitTime, 1) * class.workUnits(q, now)
}

// meanWork leans high while little is known: it guards cold engines, where too low a guess breaks a rule.
func (class *queryClass) meanWork(now float64) float64 {
	return class.work.mean(now, class.ClientTimeout/3, 1)
}

// slowStartCost is what c counts for at a cold engine: as its profile usually does, more if its estimate says so.
func (q *query) slowStartCost(now float64) float64 {
	return max(q.class.meanWork(now), q.uncappedEstimate)
}

// eligible tells whether c may go to e now. Every send passes it, first or further: it keeps the rules
// on drains, repeats, order, placement, the sends budget and cold engines.
func (r *Router) eligible(q *query, e *engine) bool {
	class := q.class
	return e.state == Ready && r.endpointTrusted(e) && permits(class.Kinds, e.kind) && permits(class.Zones, e.zone) &&
		permits(q.kinds, e.kind) && permits(q.zones, e.zone) && r.startable(q) &&
		(q.unresolved == nil || class.Effect == Idempotent || scopeCovers(class.Scope, q.unresolved, e)) && r.slowStartAllows(q, e)
}

// endpointTrusted tells whether the list may be trusted of e. Once expired, it may for one that answered what was
// sent so lately that no later drain counts as told: who drains turns new work away. One that was seen to
// break may have come back cold, or have another in its place.
func (r *Router) endpointTrusted(e *engine) bool {
	return r.expiredFor == 0 || e.connectionLostAt < r.endpointsUpdatedAt && r.now-e.answeredStartAt < r.expiredFor
}

// startable is the part of eligible that is the same for all engines.
func (r *Router) startable(q *query) bool {
	return r.headOfQueues(q) && !q.done && !q.responseStarted && q.answer == unanswered && q.awaited == 0 && r.now < r.answerBy(q) &&
		!r.attemptsExhausted(q) && (len(q.attempts) == 0 || r.retryBudgetAllows())
}

// headOfQueues tells whether c is the first of all its keys, none of which rests. All stand by arrival, so who came
// first of all is the first of each of its own, and nobody waits in a circle.
func (r *Router) headOfQueues(q *query) bool {
	for _, queue := range q.queues {
		if queue.queries[0] != q || len(q.attempts) == 0 && r.now < queue.cooldownUntil || queue.followerOutstanding() {
			return false
		}
	}
	return true
}

// answerBy is when a command is ended at the latest: before its client timeout, and before a planned end of this
// controller, so that who cannot be done by then is told at once and can try another.
func (r *Router) answerBy(q *query) float64 {
	return min(q.deadline, r.shutdownAt) - answerLeadIntervals*r.limits.EventInterval - 5
}

// attemptsExhausted tells that no further send of c can ever be allowed.
func (r *Router) attemptsExhausted(q *query) bool {
	class := q.class
	return len(q.attempts) >= r.capabilities.MaxAttempts || q.unresolved != nil && (class.Effect == NonIdempotent ||
		class.Effect == Deduplicated && r.now > class.repeatDeadline(q.unresolvedAt))
}

// repeatDeadline is the latest that a repeat may go out of what first did at a time, for engines to know it as one.
func (class *queryClass) repeatDeadline(first float64) float64 {
	return first + class.DeduplicationWindow - windowSlack
}

// retryBudgetAllows counts resends over a little more, and commands taken over a little less, than the window.
func (r *Router) retryBudgetAllows() bool {
	limits := r.limits
	return !limits.RetryBudgeted || r.retries.sumSince(r.now-limits.RetryBudgetWindow-windowSlack)+1 <=
		limits.RetryBudgetMin+limits.RetryBudgetRatio*r.arrivals.sumSince(r.now-limits.RetryBudgetWindow+windowSlack)
}

// slowStartAllowance is this controller's part of what a cold engine may be sent within the window, as if it had its
// least stated capacity until warm and all used theirs. Where an equal part is under a command, controllers
// take turns by number, engine and time since its start, at parts for small, middling and large commands.
func (r *Router) slowStartAllowance(e *engine) float64 {
	limits := r.limits
	if r.now > e.startedAt+limits.SlowStartTime+windowSlack || limits.SlowStartOverload <= 0 {
		return math.Inf(1)
	}
	totalAllowance := slowStartShareUsed * limits.SlowStartOverload * limits.SlowStartCapacity * e.cores * limits.SlowStartWindow
	if totalAllowance >= slowStartPartSizes[0]*r.controllers {
		return totalAllowance / r.controllers
	}
	totalAllowance /= slowStartTurnsPerWindow + 1 // a window touches so many stretches
	turn := uint64(max(0, r.now-e.startedAt) * slowStartTurnsPerWindow / (limits.SlowStartWindow + 2*windowSlack))
	groups := math.Ceil(r.controllers / max(1, math.Floor(totalAllowance/slowStartPartSizes[turn%uint64(len(slowStartPartSizes))])))
	if (e.idHash+uint64(r.index)+turn/uint64(len(slowStartPartSizes)))%uint64(groups) != 0 {
		return 0
	}
	return totalAllowance / math.Ceil(r.controllers/groups)
}

func (r *Router) slowStartAllows(q *query, e *engine) bool {
	allowance, windowStart := r.slowStartAllowance(e), r.now-r.limits.SlowStartWindow-windowSlack // what an earlier life sent is not known
	return math.IsInf(allowance, 1) || r.startedAt <= windowStart && e.slowStartWork.sumSince(windowStart)+q.slowStartCost(r.now) <= allowance
}

// attemptStartBy is when a send of c to e must have gone out at the latest; 0: at any time. A connection may come up
// late: a repeat could pass its window meanwhile, a drain could count as told, and what counts in one window
// of cold engines or of the budget could fall into the next. Harm: some that would have gone well go anew.
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

// mayReject tells whether the client may be told that trying again is harmless.
func (r *Router) mayReject(q *query) bool {
	class, mayHaveRun := q.class, q.unresolved != nil || q.awaited > 0
	return class.Effect == Idempotent || !mayHaveRun || class.Effect == Deduplicated && class.Scope == ScopeAll
}

// The engine view.

const (
	outlierWindow, outlierMinSuccesses          = 8, 3          // last outcomes to judge an engine by; fewer successes: unwell
	minTrialWait, maxTrialWait                  = 250.0, 2000.0 // ms until an unwell engine's trial send; doubled by failures
	recentSuccessFor                            = 5000.0        // ms for which a profile's own success speaks for an unwell engine
	reportHalfLife                              = 1000.0        // ms over which reports are smoothed
	othersHalfLife                              = 5000.0        // ms over which what an engine was told to hold gives way to the mean
	slowdownLifeFactor, maxSlowdownHalfLife     = 4.0, 10000.0  // its pace is learned over so many times own commands' distance
	reportMaxAge                                = 4000.0        // ms after which a report no longer counts
	maxUtilization, maxInflightPerCore          = 2.0, 100.0    // that may be true: busy cores over all; commands a core
	healthCheckInterval, maxHealthCheckInterval = 400.0, 1000.0 // ms between probes of an engine: by all, by one at most
	reportRefreshAge                            = 1200.0        // ms from which a report is asked for anew ahead of a send
	healthChecksPerQuery, maxHealthCheckCredit  = 1.0, 10.0     // probes a command; saved up, half for asking ahead of a send
	pollRetryInterval, defaultCores             = 1000.0, 8.0   // ms, and up to as much again; for a kind not named
)

func (e *engine) healthy() bool {
	return bits.OnesCount64(e.outcomes<<(64-outlierWindow)) >= outlierMinSuccesses
}

// recordOutcome takes in an outcome, of probes too, against engines that died or hang. Harm: a short spell idles one.
func (e *engine) recordOutcome(now float64, good bool) {
	if e.outcomes <<= 1; good {
		e.outcomes, e.trialWait = e.outcomes|1, minTrialWait
	} else {
		e.trialAt, e.trialWait = now+e.trialWait, min(maxTrialWait, 2*e.trialWait)
	}
}

// recordAttemptOutcome takes in how a send did. Two failures of a profile in a row rest it there, its success speaks for it
// where others fail: against engines that fail one profile alone, and were left out by all, or by none.
func (r *Router) recordAttemptOutcome(q *query, a *attempt, good bool) {
	t := a.engine.classBackoff(q.class)
	if a.engine.recordOutcome(r.now, good); good {
		t.decrease(r.now, a.startedAt, minClassBackoff)
	} else if t.lastFailed {
		t.increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
	}
	t.lastFailed, a.failed = !good, a.failed || !good
}

// slowStartCapacity is the share of its capacity that a cold engine is taken to have.
func (r *Router) slowStartCapacity(e *engine) float64 {
	return r.limits.SlowStartCapacity + (1-r.limits.SlowStartCapacity)*min(1, max(0, r.now-e.startedAt)/max(1, r.limits.SlowStartTime))
}

// endpointsUpdated takes in news of the list; a failed question is asked again before the old list counts as told.
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

// statisticsRestored takes in what is remembered. Engines go back to the owners of the table groups that they had; they
// merge and move only by loads that are known: at first all are none, and lone engines would be shared.
func (r *Router) statisticsRestored(l Statistics) {
	if r.restore(l); len(l.Tables) > 0 {
		r.rebalanceAt = max(r.rebalanceAt, r.now+rebalanceInterval)
		for k := range r.pools {
			r.repack(k)
		}
	}
}

// trafficShare is this controller's part of the traffic, by what engines hold; first, weighing 200, an equal one.
func (r *Router) trafficShare() float64 {
	if r.controllers == 1 {
		return 1
	}
	return min(1, max(0.2/r.controllers, r.share.mean(r.now, 1/r.controllers, 200)))
}

// checkHealth has an engine probed, in relation to commands: by time, a hundred controllers would probe all day.
func (r *Router) checkHealth(e *engine) bool {
	if !r.capabilities.HealthChecks || e.checkingHealth || r.healthCheckCredit < 1 {
		return false
	}
	r.healthCheckCredit, e.checkingHealth, r.healthChecksWanted = r.healthCheckCredit-1, true, append(r.healthChecksWanted, e)
	e.healthCheckAt = r.now + min(maxHealthCheckInterval, healthCheckInterval*r.controllers)*(0.9+0.2*r.rng.Float64())
	return true
}

// plausible tells whether a report may be true: figures that no engine can mean change nothing.
func plausible(l *LoadReport, e *engine) bool {
	return l.Utilization <= maxUtilization && l.Inflight <= maxInflightPerCore*e.cores
}

// engineLoad is the design's, with its fallbacks in order.
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
	memoryReserve, assumedMemoryShare = 0.1, 0.5 // of memory: left free by packing; taken as used without estimates
	demandHalfLife                    = 10000.0  // ms over which demand and footprints are learned
)

// footprints are mean memory times commands running at once, over all controllers and one kind's part of the
// fleet: by Little's law, memory times time for each millisecond. Without estimates all groups are alike.
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

// bestFitDecreasing is Best Fit Decreasing; a group too large for any engine stands alone.
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
	rebalanceInterval, moveMargin = 2000.0, 1.25 // ms between moves, and the margin for one
	hotDemandFactor               = 3.0          // times its demand that a table group said to be hot counts when packed
	recomputeMargin               = 2.5          // the busiest so far over the lowest future load: counts are solved
	underusedLoad                 = 0.25         // load of a lone engine that may be shared
	tableGroupMaxIdle             = 60000.0      // ms for which a table group is kept that nobody names
)

func (r *Router) demandPerEngine(pool *enginePool) float64 {
	return r.poolDemand(pool) / float64(max(1, pool.targetCount))
}

// allocateCounts makes the counts wanted sum to n, one at least each, by what demand leaves for each engine.
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

// assignEngines hands the engines of a kind out as wanted. An engine stays where its tables are warm, else goes by a
// leaning that all controllers share. Who gives up engines chooses first, so that one move moves one engine.
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

// addToPool gives a new group to the owner with least demand for each engine.
func (r *Router) addToPool(k int, g *tableGroup) {
	if len(r.pools[k]) == 0 {
		r.pools[k] = []*enginePool{{packs: make([][]*tableGroup, 1)}}
	}
	pool := slices.MinFunc(r.pools[k], func(a, b *enginePool) int { return cmp.Compare(r.demandPerEngine(a), r.demandPerEngine(b)) })
	if pool.packs[0], g.pools[k] = append(pool.packs[0], g), pool; len(pool.engines) == 0 {
		r.reassign(k)
	}
}

// reassign mends ownership after a change: surplus light packs share as merged, who has engines keeps them.
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
		for i := last; i > 0 && demands[pools[i-1]] < demands[pools[i]]; i-- { // who shares by now asks for more
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

// futureLoad is the load of an owner that gives up an engine; one that can't is never the lowest.
func (r *Router) futureLoad(pool *enginePool) float64 {
	if n := float64(len(pool.engines)); n > 1 {
		return r.poolLoad(pool) * n / (n - 1)
	}
	return math.Inf(1)
}

// rebalance is the design's period for one kind: split, fast solve, move or merge.
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
		pools = append(pools, &enginePool{packs: busiest.packs[:1:1], targetCount: 1}) // who shares parts when busiest
		busiest.packs = busiest.packs[1:]
		donor.targetCount--
	case donor != busiest && high >= recomputeMargin*low: // equal load, rounded towards the present counts
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

// Thread bound.

const (
	initialThreadsPerCore, minThreadsPerCore, maxThreadsPerCore = 2.0, 1.5, 2.5 // threads a core
	increaseBelowSlowdown, decreaseAboveSlowdown                = 1.8, 3.0      // time over time alone: widens up to one, cut from other
	limitIncreaseStep, minAnswersForBest                        = 0.5, 25.0     // threads for each answer; answers behind a best time
	limitDecreaseFactor, limitDecreaseInterval                  = 0.85, 400.0   // and ms between cuts
	bestUnitTimeDrift                                           = 1.0001        // with each answer: who grew slower is not held to it
	restoredMaxAge, answersToRefuteRestored                     = 10000.0, 5.0  // ms for which memory stands unanswered; answers to refute it
)

func (r *Router) threadLimit(e *engine) float64 {
	return e.threadsPerCore * e.cores * r.slowStartCapacity(e) * r.trafficShare()
}

// learnFromSuccess takes in the time of an answered send: what the profile takes alone, and by it the engine's bound.
func (r *Router) learnFromSuccess(q *query, e *engine, ev AttemptEnded) {
	class, unit := q.class, q.class.workUnits(q, r.now)
	if class.recordMeasuredCost(r.now, q, ev) {
		unit = max(1, ev.Work/class.Threads)
	}
	class.work.add(r.now, cmp.Or(ev.Work, q.uncappedEstimate, ev.Elapsed*class.Threads), 1)
	class.unitTime.add(r.now, ev.Elapsed/unit, 1)
	m := class.unitTime.mean(r.now, 0, 0)
	if class.unconfirmedSince > 0 && class.unitTime.weight > answersToRefuteRestored && (m > decreaseAboveSlowdown*class.bestUnitTime || m < class.bestUnitTime/decreaseAboveSlowdown) {
		class.discardRestored() // commands have become others than they are remembered
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

// Release, choice and spill.

const (
	spillShare                             = 0.75        // filled up to this share an engine takes what others can't
	affinityWeight                         = 1.0         // weight of a table group's fixed leaning, in threads a core
	tableLockPenalty, tableLockMessageAge  = 4.0, 1500.0 // the same of a load that holds the tables; ms that its note counts
	widelyLockedShare                      = 2.0 / 3     // of the engines, on which loads hold the same tables
	minClassBackoff, maxClassBackoff       = 200.0, 1e3  // ms of rest of a profile at an engine that turned it away
	pooledLimitTolerance                   = 3.0         // threads past its part that a controller may run by reports of room
	threadsPerOtherQuery, maxMemoryGranted = 1.2, 0.9    // of a command of others; share granted that stops sends
	maxTriedPerStep                        = 100         // held commands that one step tries
)

// hasCapacity is the thread bound, for the engine and pooled over all: a small controller's part of one engine is
// less than a command, of which one may always run, and the last may overhang. Its part of all is coarse too:
// it may go a little past it where a report tells of room, and nothing goes where one tells of no memory.
func (r *Router) hasCapacity(q *query, e *engine, fill float64) bool {
	reported, pooledLimit, limit, t := r.now-e.reportedAt < reportMaxAge, r.pooledThreadLimit, fill*r.threadLimit(e), e.classBackoff(q.class)
	if limit < 1 && !math.IsInf(r.slowStartAllowance(e), 1) { // a cold one's guard is its part
		pooledLimit, limit = math.Inf(1), limit/r.trafficShare()
	} else if reported && r.fill(e) < spillShare*initialThreadsPerCore {
		pooledLimit += pooledLimitTolerance
	}
	return r.now >= t.until && (e.healthy() || t.succeededSince(r.now-recentSuccessFor) || e.attempts == 0 && r.now >= e.trialAt) &&
		(r.attempts == 0 || r.threads <= pooledLimit && (e.attempts == 0 || e.threads <= limit) && (!reported || e.memoryGranted <= maxMemoryGranted))
}

// fill is the threads a core that an engine is taken to run, own and others', by its reports.
func (r *Router) fill(e *engine) float64 {
	others := e.othersInflight.mean(r.now, e.cores*r.othersPerCore.mean(r.now, 0, 1), 0.5)
	return (e.threads + threadsPerOtherQuery*others) / (e.cores * r.slowStartCapacity(e))
}

// placementScore ranks engines for a command: how filled and slow they are, loads that hold its tables, leaning.
func (r *Router) placementScore(q *query, e *engine) float64 {
	x := (r.fill(e) + q.class.Threads/(e.cores*r.slowStartCapacity(e))) * max(1, e.slowdown.mean(r.now, 1, 1)/increaseBelowSlowdown)
	x += tableLockPenalty * r.contention(q, e) // who would stand still behind a load finds another engine
	if !q.class.LocksTables {                  // those don't meet, or they would stand still behind each other
		x += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
	}
	return x
}

// contention is what is known against c on e: loads that it would stand still behind, its sends that failed
// there.
func (r *Router) contention(q *query, e *engine) float64 {
	if class := q.class; class.LocksTables || class.WaitsForTables {
		return e.tableLocksHeld(q.tables, r.now) + q.failedAttemptsOn(e)
	}
	return q.failedAttemptsOn(e)
}

// tablesLockedWidely tells whether loads hold c's tables on so many engines that another goes where they are held: it
// waits its turn there, and who waits for tables finds engines where it need not. Against traffic that meets
// on few tables, whose loads would hold them everywhere. Harm: loads queue up, and more of them are late.
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

// selectEngine finds the engine for c: the least pressed of its owners' with room, else a roomy one anywhere.
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

// dispatch lets the held go, earliest client timeout first.
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

// Resend, cancel, shed.

const (
	progressTimeoutIntervals, progressWeight       = 1.6, 0.5   // notes come within 1.5 paces; a first note against an answer
	badPlanFactor, badPlanRemaining                = 4.0, 1.5   // a plan is bad from so many times its time here, so much of it left
	sizeLimitDecreaseFactor, sizeLimitGrowthFactor = 0.9, 1.005 // the limit between the next two: at a miss, each periodicInterval

	maxSizeLimit, minSizeLimit              = 64.0, 4.0   // times the usual work that a command may have: at ease, when short
	quotaTolerance, overloadDuration        = 1.2, 1000.0 // times a tenant's share that passes as it; ms that a jam lasts
	firstTryTimeoutDecay, retryTimeoutShare = 0.997, 0.95 // how what first tries leave falls by command; retries leave less
	runTimeMargin, minQueueShare            = 1.2, 0.5    // over what commands took lately; of the latency target
	maxClientQueueShare                     = 0.75        // of what a client names, that may have passed in a line at the client
	lateBenefitThreshold                    = 0.5         // who keeps this much of its benefit when late is held past its target
)

// latestStart is the latest that c may start and be worth its work, if it runs as alone: later it could only miss
// its latency target or, where late answers keep most of their benefit, its client timeout.
func (r *Router) latestStart(q *query) float64 {
	class, alone := q.class, q.class.unloadedTime(q, r.now)
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - 1.5*alone
	}
	return min(q.firstTriedAt+class.LatencyObjective+class.ObjectivePerWork*alone, r.answerBy(q)) - alone
}

// shedDeadline is when a held command is given up: as latestStart, but by how long such commands run lately, or
// overload would send all at the last moment. A part of its target is waited: one slow answer shuts none out.
func (r *Router) shedDeadline(q *query) float64 {
	class, by := q.class, r.latestStart(q)
	return max(by-max(0, runTimeMargin*class.expectedRunTime(q, r.now)-class.unloadedTime(q, r.now)), min(by, q.firstTriedAt+minQueueShare*class.LatencyObjective))
}

// expectedRunTime is the time that c takes as such commands run lately.
func (class *queryClass) expectedRunTime(q *query, t float64) float64 {
	return math.Exp(class.logSlowdown.mean(t, 0, 1)) * class.unloadedTime(q, t)
}

// cannotReachHeadInTime tells whether c stands so far back in the line of a key that its turn can't come in time.
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

// notWorthRunning tells whether c asks for more than it is worth now. In a jam, who can only be late, who is past its
// tenant's share and the largest of a profile make room. Against overload, costs and tenants that swing, and
// retries, which by early client timeouts go before first tries. Harm: a few are shed that could have run.
func (r *Router) notWorthRunning(q *query) bool {
	class := q.class
	return len(q.attempts) == 0 && (r.now < r.overloadedUntil && (q.overQuota || r.now > r.latestStart(q)) || q.estimatedWork > 0 &&
		(r.now > r.answerBy(q)-class.unloadedTime(q, r.now) || class.workUnits(q, r.now)*class.Threads > r.sizeLimit*class.meanWork(r.now)))
}

// rejectOrFail gives c its final answer at once: it is never parked to keep its client from asking again.
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

// retryAfterDelay is how long a client that is shed should stay away: long, and not all together.
func (r *Router) retryAfterDelay() float64 {
	return r.capabilities.MaxRetryAfter * (0.5 + 0.5*r.rng.Float64())
}

func (r *Router) queryArrived(ev QueryArrived) {
	class := r.classes[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, class.ClientTimeout) // a stranger may claim any
	q := r.addQuery(ev)
	q.deadline -= min(ev.ClientQueueTime, maxClientQueueShare*ev.TimeLeft)
	r.healthCheckCredit = min(maxHealthCheckCredit, r.healthCheckCredit+healthChecksPerQuery)
	if class.firstTryTimeout = max(class.firstTryTimeout*firstTryTimeoutDecay, ev.TimeLeft); ev.TimeLeft < class.firstTryTimeout*retryTimeoutShare { // a retry, it seems
		q.firstTriedAt -= max(0, class.ClientTimeout-ev.TimeLeft)
	}
	if t := q.tenant; t != nil && t.QueriesPerSecond > 0 { // past its share here, so many commands are worth little
		q.overQuota = r.rng.Float64()*t.queries.rate(r.now) > t.QueriesPerSecond/1000*r.trafficShare()*quotaTolerance
	}
	if ev.Hot && q.tables.confirmed && !q.tables.hot { // of groups that are there; loads take over from then on
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
			if other.endedInError && other.engine != a.engine { // on what another can do
				other.engine.classBackoff(q.class).increase(r.now, other.startedAt, minClassBackoff, maxClassBackoff)
			}
		}
		r.objectiveMissed = r.objectiveMissed || r.now > q.firstTriedAt+q.class.LatencyObjective+q.class.ObjectivePerWork*q.class.unloadedTime(q, r.now)
		r.learnFromSuccess(q, a.engine, ev)
	case EngineFull, NotSent: // sending on would use up the sends of commands, and others may fare well there
		a.engine.classBackoff(q.class).increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
		a.engine.threadsPerCore = max(minThreadsPerCore, a.engine.threadsPerCore*limitDecreaseFactor)
	case Errored, ConnectFailed, ConnectionReset, TimedOut: // an error may be the command's own fault, unless another answers it
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

// attemptProgress cancels a plan drawn badly, or a send on an engine that has all but stopped. Harm: work is lost of
// a command that is truly large, so it acts only with an estimate.
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
	if ev.Kind != ProgressDone || ev.Value < 0 || ev.Value > 1 { // or no share that an engine can mean
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

// checkQuery is what a command's alarm asks for: its end or, if a send has gone quiet, another. Against answers
// that are lost and engines that hang, though they answer probes. Harm: if only notes are lost it runs twice.
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

// The step.

const periodicInterval = 50.0 // ms between looks at held commands, probes and the period

// Step takes in what happened by now and returns what to do.
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

// runPeriodic is what goes by time: it gives up held commands, keeps the period and asks for news.
func (r *Router) runPeriodic() {
	r.periodicAt = r.now + periodicInterval
	if r.sizeLimit = min(maxSizeLimit, r.sizeLimit*sizeLimitGrowthFactor); r.objectiveMissed {
		r.sizeLimit, r.objectiveMissed = max(minSizeLimit, r.sizeLimit*sizeLimitDecreaseFactor), false
	}
	for _, class := range r.classes { // too long a time would shed all, and so never be corrected
		if class.unconfirmedSince > 0 && r.now > class.unconfirmedSince+restoredMaxAge {
			class.discardRestored()
		}
	}
	for _, q := range r.queue {
		if r.now > r.shedDeadline(q) {
			if r.objectiveMissed = true; q.firstTriedAt == q.arrivedAt { // of late retries alone, shedding them would keep a jam up
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
			r.readyCores += e.cores // a cold one that may get nothing is no room
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
