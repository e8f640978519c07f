package router

// traffic is this controller's share of what the engines serve.
type traffic struct {
	share         decayedMean // own attempts over all that engines report
	queryRate     decayedMean // queries taken
	othersPerCore decayedMean // queries of other controllers for each core, by all reports

	// trafficShare keeps its last result, as it is asked for many times a step.
	cachedShare float64
	cachedAt    float64     // ms
	cachedFrom  decayedMean // the value of share that it was computed from
}

const (
	shareHalfLife    = 5000.0 // ms, of the traffic share and the rates beside it
	tenantHalfLife   = 2000.0 // ms, of the rate of a tenant's queries
	equalShareWeight = 200.0  // weight of an equal share, as the prior, in reported queries
	minShare         = 0.2    // of an equal share; a controller takes no less for its own
)

// trafficShare is the share of all traffic that passes through this controller, from 0 to 1. It is
// learned from what engines report to have in flight, and starts as an equal share.
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

// meanOthersPerCore is how many queries of other controllers run for each core, over all engines.
func (r *Router) meanOthersPerCore() float64 { return r.traffic.othersPerCore.mean(r.now, 0, 1) }
