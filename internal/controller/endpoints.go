package controller

import (
	"maps"
	"slices"

	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/router"
)

// KeepEndpoints makes the loop keep the endpoint list, which HoldEngines and RestoreStatistics
// need. It must be called before Run and before UpdateEndpoints.
func (l *Loop) KeepEndpoints() {
	l.endpoints = map[router.EngineID]router.Endpoint{}
	l.addresses = map[router.EngineID]string{}
}

// UpdateEndpoints handles an update of the endpoint list. The Engines get it before the module
// does, so that they know every engine that the module's actions name. cached means that the update
// was stored before this start and is not confirmed. UpdateEndpoints is called before Run, and
// later only by the loop's goroutine; other goroutines call PostEndpoints.
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

// drainIfHeld returns an endpoint as it is passed to the module and the Engines: if its engine is
// held and ready, its state becomes draining.
func (l *Loop) drainIfHeld(endpoint router.Endpoint) router.Endpoint {
	if l.heldEngines[endpoint.Engine] && endpoint.State == router.Ready {
		endpoint.State = router.Draining
	}
	return endpoint
}

// keepEndpoints updates the kept endpoint list, which has the states as received, whether or not an
// engine is held.
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

// HoldEngines replaces the set of engines that are treated as draining even while the endpoint list
// has them as ready, as maintenance takes them out of service. Once the loop has handled the call,
// these engines get no new attempts, like any draining engine. HoldEngines needs KeepEndpoints, and
// waits while the inbox is full.
func (l *Loop) HoldEngines(held []router.EngineID) { l.post(holdMessage{held}) }

// hold replaces the set of held engines, and passes each engine whose state changes by that to the
// module and the Engines.
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
