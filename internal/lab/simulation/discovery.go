package simulation

import (
	"cmp"

	"mintkeel/router"
)

// publish has every controller receive the entry of an engine, each with a lag of its own. An entry
// that overtakes a newer one is ignored by receiveEntries.
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

// receiveEntries delivers the entries that are newer than what a controller has received.
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

// isNotOlder tells whether b is no older entry of an engine than a.
func isNotOlder(a, b router.Endpoint) bool {
	return a.Engine == "" ||
		cmp.Or(cmp.Compare(b.StartedAt, a.StartedAt), cmp.Compare(b.State, a.State)) >= 0
}

// expiry is for how long, in ms, a controller is cut off from the list until what it has expires.
const expiry = 1000.0

// interruptDiscovery cuts a controller off from the endpoint list for a while.
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
		if sim.Settings.Capabilities.PollEndpoints && sim.rng.Intn(2) == 0 { // the subscription broke
			c.subscribed = false
			c.missed = missed
			sim.deliver(c, router.EndpointsUpdated{Failed: true})
			return
		}
		sim.receiveEntries(c, missed...)
	})
}
