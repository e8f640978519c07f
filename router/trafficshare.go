package router

// traffic is this controller's share of what the engines serve.
type traffic struct {
	share         decayedMean // own attempts over all that engines report
	queryRate     decayedMean // queries taken
	othersPerCore decayedMean // queries of other controllers for each core, by all reports

	// trafficShare keeps its last result, as it is asked for many times a step.
	cachedFrom  decayedMean // the share that it was computed from
	cachedAt    float64     // ms
	cachedShare float64
}

const (
	shareHalfLife  = 5000.0 // ms, of the traffic share and the rates beside it
	tenantHalfLife = 2000.0 // ms, of the rate of a tenant's queries
)

// trafficShare is this controller's part of the traffic, by what engines hold; first, weighing 200, an
// equal one.
func (r *Router) trafficShare() float64 {
	if r.controllers == 1 {
		return 1
	}
	if r.traffic.cachedAt != r.now || r.traffic.cachedFrom != r.traffic.share { // many ask at one moment
		r.traffic.cachedShare = min(1, max(0.2/r.controllers, r.traffic.share.mean(r.now, 1/r.controllers, 200)))
		r.traffic.cachedAt, r.traffic.cachedFrom = r.now, r.traffic.share
	}
	return r.traffic.cachedShare
}
