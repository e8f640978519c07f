package router

// maxTriedPerStep limits the queued queries that one step tries to start, to keep steps short.
const maxTriedPerStep = 100

// dispatch starts queued queries in the order of their client timeouts, the earliest first, as far
// as engines have capacity.
func (r *Router) dispatch() {
	r.dequeueAnswered()
	if r.meanOthersPerCore() < r.search.minOthersPerCore {
		r.updateAllBounds()
	}
	tried := 0
	r.eachUnblocked(func(q *query) bool {
		if !r.startable(q) {
			return true
		}
		tried++
		r.tryToStart(q)
		return tried < maxTriedPerStep
	})
}

// tryToStart starts an attempt of a startable query if an engine has capacity for it, gives the
// query up if it is no longer worth an attempt, and otherwise leaves it in the queue.
func (r *Router) tryToStart(q *query) {
	if r.noCapacityAnywhere(q) && r.knownWorthRunning(q) {
		return
	}
	if reason := r.whyNotWorthRunning(q); reason != noReason {
		r.rejectOrFail(q, reason)
		r.dequeue(q)
		return
	}
	e := r.selectEngine(q)
	if e == nil || r.waitForFreshReport(e) {
		return
	}
	e.classBackoff(q.class).recordStart(r.now)
	r.setAlarm(r.now+r.progressTimeout(), q)
	memory := q.estimatedMemoryMB * q.class.memoryScale.mean(r.now, 1, memoryScalePriorWeight)
	r.recordAttemptStart(q, e, memory, q.slowStartCost(r.now), r.attemptStartBy(q, e))
}
