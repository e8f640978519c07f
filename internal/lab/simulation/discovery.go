package simulation

import (
	"cmp"

	"mintkeel/router"
)

// publish delivers the entry of an engine to every controller, each after a lag of its own. An entry
// that arrives after a newer one is ignored by receiveEntries.
func (sim *simulation) publish(e *engine) {
	entry := e.Endpoint
	for _, c := range sim.controllers {
		sim.afterFor(c, sim.rng.Float64()*sim.MaxListLag, func() {
			if c.cutOff || !c.subscribed {
				c.missed = append(c.missed, entry)
				return
			}
			sim.receiveEntries(c, entry)
		})
	}
}

// receiveEntries delivers entries to a controller, without those older than what it has received.
func (sim *simulation) receiveEntries(c *controller, entries ...router.Endpoint) {
	var updates []router.Endpoint
	for _, e := range entries {
		if isNotOlder(c.listed[e.Engine], e) {
			c.listed[e.Engine] = e
			updates = append(updates, e)
		}
	}
	c.expired = false
	sim.deliver(c, router.EndpointsUpdated{Endpoints: updates})
}

// isNotOlder reports whether entry b of an engine is as new as entry a or newer.
func isNotOlder(a, b router.Endpoint) bool {
	return a.Engine == "" ||
		cmp.Or(cmp.Compare(b.StartedAt, a.StartedAt), cmp.Compare(b.State, a.State)) >= 0
}

// expiry is how long, in ms, after its last update the endpoint list of a controller expires.
const expiry = 1000.0

// interruptDiscovery cuts a controller off from changes of the endpoint list for a while.
func (sim *simulation) interruptDiscovery(c *controller) {
	if !c.up || c.cutOff {
		return
	}
	c.cutOff = true
	sim.afterFor(c, expiry, func() {
		if c.cutOff {
			c.expired = true
			sim.deliver(c, router.EndpointsUpdated{ExpiredFor: expiry})
		}
	})
	sim.afterFor(c, sim.rng.Float64()*4000, func() {
		c.cutOff = false
		missed := c.missed
		c.missed = nil
		if sim.Settings.Capabilities.PollEndpoints && sim.rng.Intn(2) == 0 { // the subscription has ended
			c.subscribed = false
			c.missed = missed
			sim.deliver(c, router.EndpointsUpdated{Failed: true})
			return
		}
		sim.receiveEntries(c, missed...)
	})
}
