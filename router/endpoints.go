package router

import "math"

// endpointWatch is the state of the subscription to the endpoint list, and how current the list is.
type endpointWatch struct {
	updatedAt float64 // ms, of the last update with a current list

	// expiredFor is the time in ms for which an engine may have been draining without notice. 0: the
	// list is current.
	expiredFor float64

	subscribed      bool
	subscribeWanted bool    // Subscribe is returned at the end of this step
	pollAt          float64 // ms, before which the list is not polled again
}

const (
	pollRetryInterval = 1000.0 // ms between polls, at least; up to twice that after a failed poll
	pollsPerLimit     = 3.0    // polls within SafetyLimits.PollWithin
	defaultCores      = 8.0    // of an engine whose machine kind is not configured
)

// endpointsUpdated applies an update of the endpoint list and reassigns engines to the pools. After
// a failed poll the list stands as it was and is polled again before it expires.
func (r *Router) endpointsUpdated(ev EndpointsUpdated) {
	if ev.Failed {
		r.endpoints.subscribed = false
		r.endpoints.pollAt = r.now + pollRetryInterval*(1+r.rng.Float64())
		return
	}
	r.endpoints.subscribed = r.endpoints.subscribed || !ev.Cached
	r.updateEngines(ev)
	for kind := range r.pools.byKind {
		r.reassign(kind)
	}
}

// updateEngines applies the endpoints of an update. Engines that a complete list does not contain
// are marked as gone.
func (r *Router) updateEngines(ev EndpointsUpdated) {
	r.topologyVersion++
	r.endpoints.expiredFor = ev.ExpiredFor
	if ev.ExpiredFor == 0 {
		r.endpoints.updatedAt = r.now
	}
	named := map[EngineID]bool{}
	for _, endpoint := range ev.Endpoints {
		named[endpoint.Engine] = true
		r.updateEngine(endpoint)
	}
	if !ev.Complete {
		return
	}
	for _, e := range r.engineList {
		if !named[e.id] {
			e.state = Gone
			r.updateBounds(e)
		}
	}
}

// updateEngine applies one endpoint. If the engine has a new process, the statistics of the earlier
// one are reset; the times of its last answer and of its last lost connection are kept.
func (r *Router) updateEngine(endpoint Endpoint) {
	startedAt := endpoint.StartedAt
	if startedAt == 0 {
		startedAt = math.Inf(-1)
	}
	e := r.engines[endpoint.Engine]
	if e == nil {
		e = newEngine(endpoint.Engine, len(r.classes))
		r.engines[e.id] = e
		r.engineList = insertSorted(r.engineList, e, byEngineID)
	} else if startedAt > e.startedAt {
		e.resetStatistics()
	}
	e.state = endpoint.State
	e.zone = endpoint.Zone
	e.kind = endpoint.Kind
	e.cell = endpoint.Cell
	e.startedAt = startedAt
	e.cores = defaultCores
	if e.kind >= 0 {
		e.cores = r.kinds[e.kind].Cores
	}
	r.updateBounds(e)
}

// pollEndpoints requests the endpoint list if the deployment requires polling and there is no
// subscription.
func (r *Router) pollEndpoints() {
	if !r.capabilities.PollEndpoints || r.endpoints.subscribed || r.now < r.endpoints.pollAt {
		return
	}
	r.endpoints.pollAt = r.now + max(pollRetryInterval, r.limits.PollWithin/pollsPerLimit)
	r.endpoints.subscribeWanted = true
}
