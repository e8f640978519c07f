package engines

import "mintkeel/router"

// Endpoint is where an engine listens, and whether it may get attempts.
type Endpoint struct {
	Engine  router.EngineID
	Address string // host:port
	State   router.EngineState
}

// engine is an engine of the endpoint list with its connections. It stays, as Gone, until its last
// connection ends.
type engine struct {
	Endpoint         // Address is empty while another engine has it
	conns    []*conn // may hold some that have ended; see liveConns
}

// UpdateEndpoints sets addresses and states of engines; if complete, those that are not named are
// gone. Attempts that wait for a connection to an engine that drains or is gone are withdrawn, as
// they would be sent after the list has said so. Those that were sent may end.
func (p *Pool) UpdateEndpoints(endpoints []Endpoint, complete bool) {
	named := map[router.EngineID]bool{}
	readyAddresses := map[string]bool{} // addresses
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

// updateEndpoint updates or adds one engine and reports whether it is ready.
func (p *Pool) updateEndpoint(endpoint Endpoint) (ready bool) {
	e := p.engines[endpoint.Engine]
	if e == nil {
		e = &engine{Endpoint: endpoint}
		p.engines[endpoint.Engine] = e
	}
	if endpoint.State != router.Ready {
		// The update may leave out its address. The old one stays, as attempts that were sent there may
		// still end.
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

// updateUnnamed handles an update that does not name the engine: it is gone if the update is
// complete, and has lost its address if another engine has it now, which must not get attempts that
// are meant for this one.
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

// SetExpired says whether the endpoint list is out of date. While it is, a connection is dialled
// only beside one that is up, which shows that the same process is still there: another engine may
// listen at the address of one that has gone, or the same one may have restarted and be warming up.
//
// An attempt that waits for a connection when the list expires is withdrawn: the decision to start
// it relied on a list that was valid.
func (p *Pool) SetExpired(expired bool) {
	if expired && !p.listExpired {
		for _, e := range p.engines {
			e.withdrawUnsent()
		}
	}
	p.listExpired = expired
}

// liveConns drops the connections that have ended, and returns the others.
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

// withdrawUnsent ends the attempts that were not written yet.
func (e *engine) withdrawUnsent() {
	for _, c := range e.liveConns() {
		c.withdrawUnsent(e.State == router.Gone)
	}
}
