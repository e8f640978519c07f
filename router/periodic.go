package router

// periodicInterval is the time in ms between two calls of runPeriodic.
const periodicInterval = 50.0

// runPeriodic does what depends on time and not on events: it adjusts the size limit, discards old
// estimates, sheds queued queries, moves engines between pools, polls the endpoint list, recomputes
// limits and bounds, and drops unused state.
func (r *Router) runPeriodic() {
	r.timers.periodicAt = r.now + periodicInterval
	r.adjustSizeLimit()
	r.discardUnconfirmed()
	r.shedOverdue()
	if r.now >= r.pools.rebalanceAt {
		r.rebalanceAll()
	}
	r.pollEndpoints()
	r.refreshEngines()
	r.updateAllBounds()
	r.removeIdleOrderingQueues()
	r.removeGoneEngines()
}
