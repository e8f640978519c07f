package router

// traffic holds what is learned of the traffic of this and of other controllers.
type traffic struct {
	share         decayedMean // own attempts over all queries in flight that engines report
	queryRate     decayedMean // its rate is arriving queries per ms
	othersPerCore decayedMean // queries of other controllers per core, over all reports

	// trafficShare caches its last result, as it is called many times in a step.
	cachedShare float64
	cachedAt    float64     // ms
	cachedFrom  decayedMean // the value of share that it was computed from
}

const (
	shareHalfLife    = 5000.0 // ms, of the means in traffic
	tenantHalfLife   = 2000.0 // ms, of the query rate of a tenant
	equalShareWeight = 200.0  // weight of the prior, an equal share, in reported queries
	minShare         = 0.2    // of an equal share; lower bound of a controller's share
)

// trafficShare is the share of all traffic that passes through this controller, from 0 to 1. It is
// learned from the queries in flight that engines report; the prior is an equal share.
func (r *Router) trafficShare() float64 {
	if r.controllers == 1 {
		return 1
	}
	state := &r.traffic
	if state.cachedAt != r.now || state.cachedFrom != state.share {
		learned := state.share.mean(r.now, 1/r.controllers, equalShareWeight)
		state.cachedShare = min(1, max(minShare/r.controllers, learned))
		state.cachedAt = r.now
		state.cachedFrom = state.share
	}
	return state.cachedShare
}

// meanOthersPerCore is the mean number of queries of other controllers per core, over all engines.
func (r *Router) meanOthersPerCore() float64 { return r.traffic.othersPerCore.mean(r.now, 0, 1) }
