package main

import (
	"net"
	"time"

	"mintkeel/internal/clients"
)

// shutdown drains the queries within limits.ShutdownTimeout and ends the parts. Leases are released
// and the final snapshot is begun first, so that both happen while queries are still answered.
func (d *daemon) shutdown(listener net.Listener) {
	l := d.limits
	d.log.Info("shutdown started")
	end := time.Now().Add(l.ShutdownTimeout)
	d.loop.StartShutdown(l.DrainTimeout)
	if d.fleetConfig != nil {
		d.fleetConfig.stopApplying()
	}
	if d.fleet != nil {
		d.fleet.Stop()
	}
	if d.snapshotWriter != nil {
		d.snapshotWriter.Stop()
	}
	// Time is left to close the sessions of clients that send queries to the last.
	awaitQuiet(d.clients, end.Add(-l.ClientCloseTimeout), l.DrainQuietPeriod)
	listener.Close()
	d.clients.Shutdown(end)
	d.clients.Close()
	d.loop.Close()
	d.awaitSnapshotWriters(end)
	d.logCounts("stopped")
}

// awaitQuiet waits until no query has come and no answer has been due for a quiet period, and until
// the given time at most.
func awaitQuiet(server *clients.Server, until time.Time, quiet time.Duration) {
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	poll := time.NewTicker(quiet / 20)
	defer poll.Stop()
	for server.QuietTime() < quiet {
		select {
		case <-end.C:
			return
		case <-poll.C:
		}
	}
}

// leaveFleet closes the fleet's service, if it runs.
func (d *daemon) leaveFleet() {
	if d.fleetConfig != nil {
		d.fleetConfig.stopApplying()
	}
	if d.fleet != nil {
		d.fleet.Close()
	}
}
