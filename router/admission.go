package router

// admission is the state of admission control, which decides which queries are accepted while there
// is more work than capacity.
type admission struct {
	sizeLimit       float64     // largest work of a query, as a multiple of its class's meanWork
	objectiveMissed bool        // a latency objective was missed since sizeLimit was last adjusted
	overloadedUntil float64     // ms; overload is assumed until then
	arrivalWait     decayedMean // mean time in ms from a query's arrival to the step that handles it
	rejectShare     float64     // share of the arriving queries that is rejected at once
	rejectShareAt   float64     // ms, of the last adjustment of rejectShare
}

const (
	maxSizeLimit            = 64.0  // sizeLimit while latency objectives are met
	minSizeLimit            = 4.0   // lower bound of sizeLimit in overload
	sizeLimitGrowthFactor   = 1.005 // applied to sizeLimit every periodicInterval
	sizeLimitDecreaseFactor = 0.9   // applied as well if a latency objective was missed since
)

const (
	quotaTolerance       = 1.2    // times a tenant's quota up to which its queries are within it
	overloadDuration     = 1000.0 // ms that overload is assumed after a first try was shed
	firstTryTimeoutDecay = 0.997  // factor on queryClass.firstTryTimeout, for each query
	retryTimeoutShare    = 0.95   // of firstTryTimeout; with less time left it is a client's retry
	maxClientQueueShare  = 0.75   // of a query's time left that its ClientQueueTime may use up
)

const (
	maxArrivalWait      = 20.0   // ms; mean arrival wait above which queries are rejected
	arrivalWaitHalfLife = 50.0   // ms
	rejectShareRamp     = 2500.0 // ms in which rejectShare grows from 0 to 1 at twice maxArrivalWait
	maxRejectShareStep  = 20.0   // ms since the last query, at most, for which rejectShare is adjusted

	// maxRejectShare bounds rejectShare. Without it, rejectShare would grow on in a long overload and
	// reject queries long after waits are short again. As it is below 1, the share alone never rejects
	// all queries.
	maxRejectShare = 0.98
)

// queryArrived puts a query into the queue, or gives it its final answer at once: if it can't be in
// time, or if it belongs to the share that is rejected while arrival waits are too long.
func (r *Router) queryArrived(ev QueryArrived) {
	class := r.classes[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, class.ClientTimeout) // a client may claim any time
	q := r.addQuery(ev)
	q.deadline -= min(ev.ClientQueueTime, maxClientQueueShare*ev.TimeLeft)
	r.healthChecks.credit = min(maxHealthCheckCredit, r.healthChecks.credit+healthChecksPerQuery)
	class.detectClientRetry(q, ev.TimeLeft)
	q.overQuota = r.sampleOverQuota(q)
	r.markHotTables(q, ev.Hot)
	demand := min(class.unloadedTime(q, r.now), class.ClientTimeout) * class.Threads
	q.tables.demand.add(r.now, demand, 1)
	if reason := r.whyRejectOnArrival(q, ev.ArrivalWait); reason != noReason {
		r.rejectOrFail(q, reason)
		return
	}
	r.setAlarm(r.answerBy(q), q)
	r.enqueue(q)
}

// detectClientRetry treats q as a client's retry if it leaves clearly less time than first tries of
// its class do. Its latency objective then counts from the client's first try.
func (class *queryClass) detectClientRetry(q *query, timeLeft float64) {
	class.firstTryTimeout = max(class.firstTryTimeout*firstTryTimeoutDecay, timeLeft)
	if timeLeft < class.firstTryTimeout*retryTimeoutShare {
		q.firstTriedAt -= max(0, class.ClientTimeout-timeLeft)
	}
}

// sampleOverQuota reports whether q counts as over its tenant's quota. If the tenant sends more
// than this controller's share of the quota, its queries are drawn at random, so that on average
// the rest is within the quota.
func (r *Router) sampleOverQuota(q *query) bool {
	tenant := q.tenant
	if tenant == nil || tenant.QueriesPerSecond <= 0 {
		return false
	}
	quota := tenant.QueriesPerSecond / 1000 * r.trafficShare() * quotaTolerance
	return r.rng.Float64()*tenant.queries.rate(r.now) > quota
}

// markHotTables marks the table group of the query as hot when an operator's rule does so for the
// first time, and has the pools packed anew. Table groups without an answered query are excluded,
// because clients can name any number of groups that don't exist.
func (r *Router) markHotTables(q *query, hot bool) {
	if hot && q.tables.confirmed && !q.tables.hot {
		q.tables.hot = true
		r.pools.packed = false
	}
}

// whyRejectOnArrival returns the reason to reject or fail an arriving query at once, or noReason.
func (r *Router) whyRejectOnArrival(q *query, arrivalWait float64) answerReason {
	if reason := r.whyRejectForArrivalWait(q, arrivalWait); reason != noReason {
		return reason
	}
	if r.cannotReachHeadInTime(q) {
		return reasonOrderingQueueTooLong
	}
	return noReason
}

// whyRejectForArrivalWait sheds load when queries arrive faster than this controller handles them:
// arrival waits would grow without bound until every query is late. It rejects the queries that
// can't be in time after such a wait, and of the others a share that grows until waits are short
// again. After a single pause of the process it also rejects a few queries that could have run.
func (r *Router) whyRejectForArrivalWait(q *query, arrivalWait float64) answerReason {
	state := &r.admission
	state.arrivalWait.add(r.now, arrivalWait, 1)
	wait := state.arrivalWait.mean(r.now, 0, 1)
	since := min(maxRejectShareStep, r.now-state.rejectShareAt)
	share := state.rejectShare + (wait/maxArrivalWait-1)*since/rejectShareRamp
	state.rejectShare = min(maxRejectShare, max(0, share))
	state.rejectShareAt = r.now
	if wait > maxArrivalWait && r.now+wait > r.latestStart(q) {
		return reasonArrivalWaitTooLong
	}
	if state.rejectShare > 0 && r.rng.Float64() < state.rejectShare {
		return reasonArrivalWaitShare
	}
	return noReason
}

// cannotReachHeadInTime reports whether the queries ahead of q in an ordering queue take longer
// than q can wait. In a burst on one ordering key clients then learn at once that they should try
// elsewhere. Some of the queries rejected for it could have run in the end.
func (r *Router) cannotReachHeadInTime(q *query) bool {
	ahead := r.waitAhead(q, r.latestStart(q)-r.now)
	return ahead > 0 && r.now+ahead > r.latestStart(q)
}

// waitAhead estimates the time in ms that the queries ahead of q take one after another at their
// recent run times, as the maximum over q's ordering queues. Sums stop soon after limit (ms), so
// that a long queue costs no time. Queries of unknown run time count as 0.
func (r *Router) waitAhead(q *query, limit float64) float64 {
	longest := 0.0
	for _, queue := range q.queues {
		longest = max(longest, r.waitAheadIn(queue, q, limit))
	}
	return longest
}

// waitAheadIn is waitAhead for one ordering queue.
func (r *Router) waitAheadIn(queue *orderingQueue, q *query, limit float64) float64 {
	sum := 0.0
	for _, other := range queue.queries {
		if other == q || sum > limit {
			break
		}
		if other.class.bestUnitTime > 0 || other.estimatedWork > 0 {
			sum += other.class.expectedRunTime(other, r.now)
		}
	}
	return sum
}

// whyNotWorthRunning returns the reason to give up a query that has had no attempt yet, or
// noReason. In overload it gives up queries over their tenant's quota and those that can only be
// late; at any time, those that can't finish before their client timeout and those that exceed the
// size limit of their class. This guards against overload, queries that cost many times the usual,
// surges of single tenants, and client retries, which have the shorter timeouts and would displace
// first tries. A few of these queries could have run.
func (r *Router) whyNotWorthRunning(q *query) answerReason {
	if len(q.attempts) > 0 {
		return noReason
	}
	if r.now < r.admission.overloadedUntil {
		if q.overQuota {
			return reasonOverQuota
		}
		if r.now > r.latestStart(q) {
			return reasonLateInOverload
		}
	}
	if q.estimatedWork <= 0 {
		return noReason
	}
	class := q.class
	if r.now > r.answerBy(q)-class.unloadedTime(q, r.now) {
		return reasonCannotFinish
	}
	if class.workUnits(q, r.now)*class.Threads > r.admission.sizeLimit*class.meanWork(r.now) {
		return reasonTooLarge
	}
	return noReason
}

// adjustSizeLimit increases the size limit, and decreases it if latency objectives were missed
// since the last adjustment.
func (r *Router) adjustSizeLimit() {
	state := &r.admission
	state.sizeLimit = min(maxSizeLimit, state.sizeLimit*sizeLimitGrowthFactor)
	if state.objectiveMissed {
		state.sizeLimit = max(minSizeLimit, state.sizeLimit*sizeLimitDecreaseFactor)
		state.objectiveMissed = false
	}
}
