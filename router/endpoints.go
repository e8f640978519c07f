package router

import (
	"hash/fnv"
	"math"
)

// endpointWatch is what is known of the endpoint list's own freshness.
type endpointWatch struct {
	updatedAt       float64 // ms, when there was last an update
	expiredFor      float64 // ms; drains older than this count as notified. 0: the list has not expired
	subscribed      bool
	subscribeWanted bool    // to be asked for at the end of this step
	pollAt          float64 // ms, before which the list is not asked for again
}

const (
	pollRetryInterval = 1000.0 // ms until the endpoint list is asked for again; up to twice that by chance
	defaultCores      = 8.0    // of an engine whose machine kind is not configured
)

// endpointsUpdated takes in news of the list; a failed question is asked again before the old list counts
// as told.
func (r *Router) endpointsUpdated(ev EndpointsUpdated) {
	if r.endpoints.subscribed = !ev.Failed && (r.endpoints.subscribed || !ev.Cached); ev.Failed {
		r.endpoints.pollAt = r.now + pollRetryInterval*(1+r.rng.Float64())
		return
	}
	r.updateEngines(ev)
	for k := range r.pools.byKind {
		r.reassign(k)
	}
}

// updateEngines takes in the entries of a list; what a whole list doesn't name has left.
func (r *Router) updateEngines(ev EndpointsUpdated) {
	r.topologyVersion++
	if r.endpoints.expiredFor = ev.ExpiredFor; r.endpoints.expiredFor == 0 {
		r.endpoints.updatedAt = r.now
	}
	named := map[EngineID]bool{}
	for _, entry := range ev.Endpoints {
		named[entry.Engine] = true
		e, since := r.engines[entry.Engine], entry.StartedAt
		if since == 0 {
			since = math.Inf(-1)
		}
		if e == nil {
			h := fnv.New64a()
			h.Write([]byte(entry.Engine))
			e = &engine{id: entry.Engine, idHash: h.Sum64(), tableLocks: map[*tableGroup]int{},
				tablesLockedUntil: map[*tableGroup]float64{}, classBackoffs: make([]backoff, len(r.classes))}
			r.engines[e.id], r.engineList = e, insertSorted(r.engineList, e, byEngineID)
			e.resetStatistics()
		} else if since > e.startedAt {
			e.resetStatistics()
		}
		e.state, e.zone, e.kind, e.cell = entry.State, entry.Zone, entry.Kind, entry.Cell
		e.startedAt = since
		e.cores = defaultCores
		if e.kind >= 0 {
			e.cores = r.kinds[e.kind].Cores
		}
		r.updateBounds(e)
	}
	for _, e := range r.engineList {
		if ev.Complete && !named[e.id] {
			e.state = Gone
			r.updateBounds(e)
		}
	}
}

// pollEndpoints asks for the endpoint list where it comes only when it is asked for.
func (r *Router) pollEndpoints() {
	if !r.capabilities.PollEndpoints || r.endpoints.subscribed || r.now < r.endpoints.pollAt {
		return
	}
	r.endpoints.pollAt = r.now + max(pollRetryInterval, r.limits.PollWithin/3)
	r.endpoints.subscribeWanted = true
}
