package main

import (
	"net"
	"time"

	"mintkeel/internal/socket"
)

// shutdown drains the queries within limits.ShutdownTimeout and stops the parts. It first releases
// the leases and starts the final snapshot, so that both proceed while queries are still answered.
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
	// Leaves time to close the sessions of clients that keep sending queries until the end.
	d.clients.AwaitQuiet(l.DrainQuietPeriod, end.Add(-l.ClientCloseTimeout))
	socket.CloseListener(listener)
	d.clients.Shutdown(end)
	d.clients.Close()
	d.loop.Close()
	d.awaitSnapshotWriters(end)
	d.logCounts("stopped")
}

// leaveFleet closes the fleet's service if it is running.
func (d *daemon) leaveFleet() {
	if d.fleetConfig != nil {
		d.fleetConfig.stopApplying()
	}
	if d.fleet != nil {
		d.fleet.Close()
	}
}
