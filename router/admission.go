package router

// admission is the state of admission control: which queries are taken while there is more to do
// than capacity for it.
type admission struct {
	sizeLimit       float64     // times the usual work of its class that a query may need
	objectiveMissed bool        // a latency objective was missed since sizeLimit was last adjusted
	overloadedUntil float64     // ms; overload is assumed until then
	arrivalWait     decayedMean // ms that queries waited until a step took them in
	rejectShare     float64     // share of the arriving queries that is rejected at once
	rejectShareAt   float64     // ms, when that share was last adjusted
}

const (
	maxSizeLimit            = 64.0  // sizeLimit when nothing is late
	minSizeLimit            = 4.0   // sizeLimit in the worst overload
	sizeLimitGrowthFactor   = 1.005 // factor on sizeLimit, each periodicInterval
	sizeLimitDecreaseFactor = 0.9   // further factor, if a latency objective was missed in the interval
)

const (
	quotaTolerance       = 1.2    // times a tenant's quota up to which its queries count as within it
	overloadDuration     = 1000.0 // ms for which overload is assumed after a query was queued too long
	firstTryTimeoutDecay = 0.997  // factor, with each query, on queryClass.firstTryTimeout
	retryTimeoutShare    = 0.95   // of firstTryTimeout; a query with less counts as a client's retry
	maxClientQueueShare  = 0.75   // of a query's time left that its client's own queue may have used
)

const (
	maxArrivalWait      = 20.0   // ms, on average, that queries may wait until a step takes them in
	arrivalWaitHalfLife = 50.0   // ms
	rejectShareRamp     = 2500.0 // ms in which the rejected share grows to 1 at twice the allowed wait
	maxRejectShareStep  = 20.0   // ms since the last query, at most, that count for one adjustment
	maxRejectShare      = 0.98   // so that waits are still seen
)

// queryArrived takes a query in: it is queued, or gets its final answer at once if it can't be in
// time, or belongs to the share that is rejected while queries wait too long to be looked at.
func (r *Router) queryArrived(ev QueryArrived) {
	class := r.classes[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, class.ClientTimeout) // clients may claim any time
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

// detectClientRetry takes q for a client's retry if it leaves clearly less time than first tries do.
// The latency objective then counts from when its client first tried.
func (class *queryClass) detectClientRetry(q *query, timeLeft float64) {
	class.firstTryTimeout = max(class.firstTryTimeout*firstTryTimeoutDecay, timeLeft)
	if timeLeft < class.firstTryTimeout*retryTimeoutShare {
		q.firstTriedAt -= max(0, class.ClientTimeout-timeLeft)
	}
}

// sampleOverQuota reports whether q is over its tenant's quota: of the queries of a tenant that asks
// for more than this controller's share of its quota, as many as are over it, drawn at random.
func (r *Router) sampleOverQuota(q *query) bool {
	tenant := q.tenant
	if tenant == nil || tenant.QueriesPerSecond <= 0 {
		return false
	}
	quota := tenant.QueriesPerSecond / 1000 * r.trafficShare() * quotaTolerance
	return r.rng.Float64()*tenant.queries.rate(r.now) > quota
}

// markHotTables has the pools packed anew if a rule marks the query's table group as hot for the
// first time. Groups of which no query was ever answered don't count: any client can name one.
func (r *Router) markHotTables(q *query, hot bool) {
	if hot && q.tables.confirmed && !q.tables.hot {
		q.tables.hot = true
		r.pools.packed = false
	}
}

// whyRejectOnArrival is the reason for which an arriving query is rejected or failed at once.
func (r *Router) whyRejectOnArrival(q *query, arrivalWait float64) answerReason {
	if reason := r.whyRejectForArrivalWait(q, arrivalWait); reason != noReason {
		return reason
	}
	if r.cannotReachHeadInTime(q) {
		return reasonOrderingQueueTooLong
	}
	return noReason
}

// whyRejectForArrivalWait sheds load when this controller can't decide as fast as queries come:
// waits for a step grow without end, and in the end every query would be late. Queries that can't
// be in time after such a wait are rejected first, then a share of all that grows until waits are
// short again. After a single pause of the process a few queries are rejected that could have run.
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

// cannotReachHeadInTime reports whether those ahead of q in the queue of an ordering key take
// longer than it can wait. In a burst on one key its client then knows at once and can turn
// elsewhere. Some of these queries could have run in the end.
func (r *Router) cannotReachHeadInTime(q *query) bool {
	ahead := r.waitAhead(q, r.latestStart(q)-r.now)
	return ahead > 0 && r.now+ahead > r.latestStart(q)
}

// waitAhead is the time in ms that the queries ahead of q take one after another, as such queries
// run lately: the longest of all its queues. A sum is not taken much further than past limit (ms),
// so that a long queue costs no time. Queries of unknown run time count as 0.
func (r *Router) waitAhead(q *query, limit float64) float64 {
	longest := 0.0
	for _, queue := range q.queues {
		longest = max(longest, r.waitAheadIn(queue, q, limit))
	}
	return longest
}

// waitAheadIn is waitAhead for one queue.
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

// whyNotWorthRunning is the reason for which a query that has had no attempt yet is not worth one.
// In overload these queries make room for others: the ones that can only be late, those over their
// tenant's quota, and the largest of a class. It guards against overload, queries that cost many
// times the usual, tenants that surge, and client retries, which would crowd out first tries as
// they have the shorter timeouts. A few are shed that could have run.
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

// adjustSizeLimit lets the size limit grow, and cuts it when latency objectives were missed.
func (r *Router) adjustSizeLimit() {
	state := &r.admission
	state.sizeLimit = min(maxSizeLimit, state.sizeLimit*sizeLimitGrowthFactor)
	if state.objectiveMissed {
		state.sizeLimit = max(minSizeLimit, state.sizeLimit*sizeLimitDecreaseFactor)
		state.objectiveMissed = false
	}
}
