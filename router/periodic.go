package router

// periodicInterval is the time in ms between two runs of what is done by time and not by events.
const periodicInterval = 50.0

// runPeriodic does what is done by time: it gives up queued queries, moves engines between pools,
// asks for the endpoint list and computes anew what holds until its next run.
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
