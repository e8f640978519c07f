package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/discovery"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/configuration"
)

// serveClients starts the event loop, the watch of the endpoint list and the clients' server; the
// first two run until ctx ends. The rules in force are set before the first query is admitted.
func (d *daemon) serveClients(ctx context.Context) (net.Listener, error) {
	if d.file.Memory != nil {
		d.restoreSnapshot()
	}
	if d.file.Fleet != nil {
		d.loop.KeepEndpoints()
	}
	lastUpdate := d.config.InitialEndpoints.Number
	for i, update := range d.config.endpointUpdates {
		d.loop.UpdateEndpoints(update, i == 0)
		lastUpdate = max(lastUpdate, update.Number)
	}
	listener, err := net.Listen("tcp", d.config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	facts := d.config.facts
	retryAfter := func() time.Duration {
		return time.Duration(facts.Capabilities.RetryAfterDelay(rand.Float64()) *
			float64(time.Millisecond))
	}
	d.clients = clients.New(d.limits, &facts.Names, facts.Classes, d.loop.Offer, retryAfter,
		d.loop.PostClientEvent, d.log)
	d.discovery = discovery.NewWatcher(d.config.Discovery, lastUpdate, &facts.Names, d.limits,
		d.loop.PostEndpoints, d.log)
	d.loop.SetInputs(d.clients, d.discovery, d.engines)
	go d.loop.Run(ctx)
	d.loop.SetRules(d.file.Rules)
	go d.discovery.Follow(ctx)
	if d.sources.operatorPath != "" {
		d.clients.ExpectRules()
	}
	d.clients.SetRules(d.file.Rules)
	go d.clients.Serve(listener)
	d.replaceSnapshotWriter(nil, d.file.Memory)
	if d.fleetConfig != nil {
		d.fleetConfig.beginServing(d.hasOwnSnapshot)
	}
	return listener, nil
}

// joinFleet starts the fleet's service.
func (d *daemon) joinFleet() (err error) {
	var host *configuration.Host
	if d.fleetConfig != nil {
		host = d.fleetConfig.host()
	}
	d.fleet, err = fleet.Start(d.file.Fleet, d.config.Name, d.fleetJobs(), host, d.log)
	return err
}
