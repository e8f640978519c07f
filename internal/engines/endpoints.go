package engines

import "mintkeel/router"

// Endpoint is an engine's address and state. Only an engine that is router.Ready gets attempts.
type Endpoint struct {
	Engine  router.EngineID
	Address string // host:port
	State   router.EngineState
}

// engine is an engine of the endpoint list with its connections. An engine that is gone is kept
// until its last connection has ended.
type engine struct {
	Endpoint         // Address is empty while another engine uses it
	conns    []*conn // may include ended ones; see liveConns
}

// UpdateEndpoints sets addresses and states of engines. If the update is complete, engines that it
// does not name are gone. Unsent attempts to an engine that drains or is gone are withdrawn, as
// they would be sent after discovery has reported its state. Attempts that were sent may finish.
func (p *Pool) UpdateEndpoints(endpoints []Endpoint, complete bool) {
	named := map[router.EngineID]bool{}
	readyAddresses := map[string]bool{}
	for _, endpoint := range endpoints {
		named[endpoint.Engine] = true
		if p.updateEndpoint(endpoint) {
			readyAddresses[endpoint.Address] = true
		}
	}
	p.readyEngines = 0
	for id, e := range p.engines {
		if !named[id] {
			e.updateUnnamed(complete, readyAddresses)
		}
		conns := e.liveConns()
		switch {
		case e.State == router.Gone && len(conns) == 0:
			delete(p.engines, id)
		case e.State == router.Ready:
			p.readyEngines++
		}
	}
	for _, e := range p.engines {
		p.closeSurplusConns(e)
	}
}

// updateEndpoint updates or adds an engine and reports whether it is ready.
func (p *Pool) updateEndpoint(endpoint Endpoint) (ready bool) {
	e := p.engines[endpoint.Engine]
	if e == nil {
		e = &engine{Endpoint: endpoint}
		p.engines[endpoint.Engine] = e
	}
	if endpoint.State != router.Ready {
		// The update may omit the address. The old one stays, as attempts that were sent there may still
		// finish.
		e.State = endpoint.State
		e.withdrawUnsent()
		return false
	}
	if e.Address != endpoint.Address {
		for _, c := range e.conns {
			c.close()
		}
	}
	e.Endpoint = endpoint
	return true
}

// updateUnnamed handles an update that does not name the engine. If the update is complete, the
// engine is gone. If another engine has its address now, the address is cleared, as the other
// engine must not get attempts that are meant for this one.
func (e *engine) updateUnnamed(complete bool, readyAddresses map[string]bool) {
	if complete {
		e.State = router.Gone
		e.withdrawUnsent()
	}
	if e.Address != "" && readyAddresses[e.Address] {
		e.Address = ""
		e.withdrawUnsent()
	}
}

// SetExpired sets whether the endpoint list has expired. While it has, an engine is dialled only if
// it has an established connection, which shows that the same process still runs: without one,
// another engine may listen at the address of an engine that is gone, or the engine may have
// restarted and be warming up.
//
// Unsent attempts are withdrawn when the list expires, as the decision to start them relied on a
// valid list.
func (p *Pool) SetExpired(expired bool) {
	if expired && !p.listExpired {
		for _, e := range p.engines {
			e.withdrawUnsent()
		}
	}
	p.listExpired = expired
}

// liveConns removes the connections that have ended, and returns the others.
func (e *engine) liveConns() []*conn {
	kept := e.conns[:0]
	for _, c := range e.conns {
		if !c.isEnded() {
			kept = append(kept, c)
		}
	}
	clear(e.conns[len(kept):])
	e.conns = kept
	return kept
}

// withdrawUnsent withdraws the attempts that were not written.
func (e *engine) withdrawUnsent() {
	for _, c := range e.liveConns() {
		c.withdrawUnsent(e.State == router.Gone)
	}
}
