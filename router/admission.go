package router

// admission is what decides which queries are worth an attempt while there is more to do than capacity for
// it.
type admission struct {
	sizeLimit       float64     // the largest query taken, as a multiple of its class's usual work
	objectiveMissed bool        // since the size limit was last adjusted
	overloadedUntil float64     // ms; set when a query on its first try had to be shed from the queue
	inboxWait       decayedMean // ms that queries waited until a step took them in
	rejectShare     float64     // share of the arriving queries that is rejected at once
	rejectShareAt   float64     // ms, when that share was last adjusted
}

const (
	maxSizeLimit    = 64.0  // times the usual work of its class that a query may need, when nothing is late
	minSizeLimit    = 4.0   // the same at the longest overload
	sizeLimitCut    = 0.9   // of the limit is left when an objective was missed, each periodicInterval
	sizeLimitGrowth = 1.005 // growth of the limit each periodicInterval
)

const (
	quotaTolerance       = 1.2    // times a tenant's quota up to which its queries count as within it
	overloadDuration     = 1000.0 // ms for which overload is assumed after a query had to be shed from the queue
	firstTryTimeoutDecay = 0.997  // with each query, of the longest client timeout seen
	retryTimeoutShare    = 0.95   // of that; a query that leaves less time is taken for a client's retry
	maxClientQueueShare  = 0.75   // of the client timeout that a query may have spent in its client's own queue
)

const (
	maxInboxWait       = 20.0   // ms that queries may wait for a step, on average
	inboxWaitHalfLife  = 50.0   // ms
	rejectShareRamp    = 2500.0 // ms in which the rejected share moves by as much as waits are over their limit
	maxRejectShareStep = 20.0   // ms of that ramp that one query may bring
	maxRejectShare     = 0.98
)

func (r *Router) queryArrived(ev QueryArrived) {
	class := r.classes[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, class.ClientTimeout) // a stranger may claim any
	q := r.addQuery(ev)
	q.deadline -= min(ev.ClientQueueTime, maxClientQueueShare*ev.TimeLeft)
	r.healthChecks.credit = min(maxHealthCheckCredit, r.healthChecks.credit+healthChecksPerQuery)
	// a retry, it seems
	if class.firstTryTimeout = max(class.firstTryTimeout*firstTryTimeoutDecay,
		ev.TimeLeft); ev.TimeLeft < class.firstTryTimeout*retryTimeoutShare {
		q.firstTriedAt -= max(0, class.ClientTimeout-ev.TimeLeft)
	}
	// past its share here, so many commands are worth little
	if t := q.tenant; t != nil && t.QueriesPerSecond > 0 {
		quota := t.QueriesPerSecond / 1000 * r.trafficShare() * quotaTolerance
		q.overQuota = r.rng.Float64()*t.queries.rate(r.now) > quota
	}
	if ev.Hot && q.tables.confirmed && !q.tables.hot { // of groups that are there; loads take over from then on
		q.tables.hot, r.pools.packed = true, false
	}
	q.tables.demand.add(r.now, min(class.unloadedTime(q, r.now), class.ClientTimeout)*class.Threads, 1)
	if r.shedOnArrival(q, ev.InboxWait) || r.cannotReachHeadInTime(q) {
		r.rejectOrFail(q)
		return
	}
	r.setAlarm(r.answerBy(q), q)
	r.enqueue(q)
}

// shedOnArrival tells whether c, which has waited so long to be looked at at all, is turned away at once:
// there is more to decide than time for it. Who can't be in time after such a wait goes first, then a share
// of all, until waits are short again. Harm: a few are turned away after a pause that was none of theirs.
func (r *Router) shedOnArrival(q *query, waited float64) bool {
	r.admission.inboxWait.add(r.now, waited, 1)
	late, since := r.admission.inboxWait.mean(r.now, 0, 1), min(maxRejectShareStep,
		r.now-r.admission.rejectShareAt)
	r.admission.rejectShare, r.admission.rejectShareAt = min(maxRejectShare, max(0,
		r.admission.rejectShare+(late/maxInboxWait-1)*since/rejectShareRamp)), r.now
	return late > maxInboxWait && r.now+late > r.latestStart(q) || r.admission.rejectShare > 0 &&
		r.rng.Float64() < r.admission.rejectShare
}

// cannotReachHeadInTime tells whether c stands so far back in the line of a key that its turn can't come in
// time: its client is told at once, and can turn elsewhere. Against bursts on one key. Harm: some could
// have run in the end.
func (r *Router) cannotReachHeadInTime(q *query) bool {
	ahead := r.waitAhead(q, r.latestStart(q)-r.now)
	return ahead > 0 && r.now+ahead > r.latestStart(q)
}

// notWorthRunning tells whether c asks for more than it is worth now. In a jam, who can only be late, who
// is past its tenant's share and the largest of a profile make room. Against overload, costs and tenants
// that swing, and retries, which by early client timeouts go before first tries. Harm: a few are shed that
// could have run.
func (r *Router) notWorthRunning(q *query) bool {
	class := q.class
	return len(q.attempts) == 0 && (r.now < r.admission.overloadedUntil && (q.overQuota ||
		r.now > r.latestStart(q)) || q.estimatedWork > 0 &&
		(r.now > r.answerBy(q)-class.unloadedTime(q, r.now) || class.workUnits(q,
			r.now)*class.Threads > r.admission.sizeLimit*class.usualWork(r.now)))
}

// adjustSizeLimit lets the size limit of admission control grow, and cuts it when objectives were missed.
func (r *Router) adjustSizeLimit() {
	r.admission.sizeLimit = min(maxSizeLimit, r.admission.sizeLimit*sizeLimitGrowth)
	if r.admission.objectiveMissed {
		r.admission.sizeLimit = max(minSizeLimit, r.admission.sizeLimit*sizeLimitCut)
		r.admission.objectiveMissed = false
	}
}
