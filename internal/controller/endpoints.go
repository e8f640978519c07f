package controller

import (
	"maps"
	"slices"

	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/router"
)

// KeepEndpoints has the loop keep the endpoint list, which HoldEngines and RestoreStatistics need.
// It must be called before Run and before UpdateEndpoints.
func (l *Loop) KeepEndpoints() {
	l.endpoints = map[router.EngineID]router.Endpoint{}
	l.addresses = map[router.EngineID]string{}
}

// UpdateEndpoints handles an update of the endpoint list: the engines' side gets it before the
// module does, so that it knows each engine that the module's actions name. cached says that the
// update was stored before this start and is not confirmed. It is called before Run, and later by
// the loop's goroutine alone; others call PostEndpoints.
func (l *Loop) UpdateEndpoints(update discovery.Update, cached bool) {
	l.counts.EndpointUpdates++
	event := router.EndpointsUpdated{
		Complete:   update.Complete,
		Cached:     cached,
		ExpiredFor: milliseconds(update.ExpiredFor),
	}
	var addresses []engines.Endpoint
	for _, entry := range update.Endpoints {
		endpoint := l.drainIfHeld(entry.Endpoint)
		event.Endpoints = append(event.Endpoints, endpoint)
		addresses = append(addresses,
			engines.Endpoint{Engine: endpoint.Engine, Address: entry.Address, State: endpoint.State})
	}
	l.engines.UpdateEndpoints(addresses, update.Complete)
	l.engines.SetExpired(update.ExpiredFor > 0)
	l.events = append(l.events, event)
	if l.endpoints != nil {
		l.keepEndpoints(update)
	}
	if l.restore != nil && len(event.Endpoints) > 0 {
		l.events = append(l.events, router.StatisticsRestored{Statistics: l.restore(event.Endpoints)})
		l.restore = nil
	}
}

// drainIfHeld returns an endpoint of the list as the module and the engines' side get it: a ready
// engine that is held is draining.
func (l *Loop) drainIfHeld(endpoint router.Endpoint) router.Endpoint {
	if l.heldEngines[endpoint.Engine] && endpoint.State == router.Ready {
		endpoint.State = router.Draining
	}
	return endpoint
}

// keepEndpoints updates the kept list, which has the engines' states as received, held or not.
func (l *Loop) keepEndpoints(update discovery.Update) {
	if update.Complete {
		clear(l.endpoints)
		clear(l.addresses)
	}
	for _, entry := range update.Endpoints {
		if entry.State == router.Gone {
			delete(l.endpoints, entry.Engine)
			delete(l.addresses, entry.Engine)
			continue
		}
		l.endpoints[entry.Engine] = entry.Endpoint
		l.addresses[entry.Engine] = entry.Address
	}
}

// HoldEngines has these engines, and no others, treated as draining whatever the endpoint list says
// of them: maintenance is about to take them out, or has. Once the loop has handled the call they
// get no new attempts, like any engine that drains. It needs KeepEndpoints, and waits while the
// inbox is full.
func (l *Loop) HoldEngines(held []router.EngineID) { l.post(holdMessage{held}) }

// hold replaces the held engines, and updates the module and the engines' side on those that change
// state by that.
func (l *Loop) hold(wanted []router.EngineID) {
	heldBefore := l.heldEngines
	l.heldEngines = map[router.EngineID]bool{}
	for _, id := range wanted {
		l.heldEngines[id] = true
	}
	var changed []router.Endpoint
	var addresses []engines.Endpoint
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		endpoint := l.endpoints[id]
		if l.heldEngines[id] == heldBefore[id] || endpoint.State != router.Ready {
			continue
		}
		endpoint = l.drainIfHeld(endpoint)
		changed = append(changed, endpoint)
		addresses = append(addresses,
			engines.Endpoint{Engine: id, Address: l.addresses[id], State: endpoint.State})
	}
	if len(changed) == 0 {
		return
	}
	l.engines.UpdateEndpoints(addresses, false)
	l.events = append(l.events, router.EndpointsUpdated{Endpoints: changed})
}
