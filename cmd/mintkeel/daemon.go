package main

import (
	"context"
	"log/slog"
	"os"
	"syscall"

	"mintkeel/internal/clients"
	"mintkeel/internal/controller"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator"
)

// daemon is a running controller with all its parts. Its fields are owned by the main goroutine,
// which calls run; no other goroutine writes them. Fields marked shared may be read by other
// goroutines: they are set before those start, and do not change afterwards.
type daemon struct {
	sources   configSources     // shared
	config    *controllerConfig // as read at the start; shared
	file      *operator.File    // in force: the operator's, with the fleet's document if there is one
	limits    *limits.Limits    // shared
	logOutput *logs.Log         // destination of log; level and rate limit follow the file
	log       *slog.Logger      // shared

	loop      *controller.Loop   // event loop of the decision module, with its own goroutine; shared
	engines   *engines.Pool      // connections to engines
	discovery *discovery.Watcher // watch of the endpoint list; has its own goroutine
	clients   *clients.Server    // clients' sessions; nil until clients are served

	snapshotWriter  *memory.SnapshotWriter   // nil: no block memory
	stoppingWriters []*memory.SnapshotWriter // replaced writers that write their final snapshots
	hasOwnSnapshot  bool                     // a snapshot of an earlier run was found at startup

	fleet          *fleet.Service   // nil: no block fleet, or not joined yet
	fleetConfig    *fleetConfig     // nil: no block config; shared
	maintenanceJob *maintenance.Job // nil: no block maintenance
}

// run starts the parts, serves until a signal asks for shutdown, and shuts down. With a block
// config, the daemon joins the fleet and learns the version in force before it serves clients;
// without one it joins afterwards, so that no client waits for the fleet.
func (d *daemon) run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.log = d.logOutput.Logger()
	facts := d.config.facts
	d.loop = controller.New(
		facts.NewRouter(d.config.seed), controller.SystemClock(), d.limits.EventQueueLength,
		facts.SafetyLimits.OrderingCooldown+facts.SafetyLimits.EventInterval)
	d.engines = engines.New(d.limits, facts.Connections.AttemptsPerConnection, d.loop.PostEngineEvent,
		d.log)
	d.loop.SetEngines(d.engines)
	defer d.leaveFleet()
	var pending pendingSignals
	if d.file.Config != nil {
		d.fleetConfig = newFleetConfig(d.config, d.file)
		if err := d.joinFleet(); err != nil {
			return err
		}
		pending = d.awaitLatestVersion(ctx, signals, d.fleet.WaitConfig)
		if pending.stop {
			d.log.Info("shutdown started before clients were served")
			return nil
		}
	}
	listener, err := d.serveClients(ctx)
	if err != nil {
		return err
	}
	if d.file.Fleet != nil && d.fleet == nil {
		if err := d.joinFleet(); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", d.config.Name, "listen", listener.Addr().String())
	d.handleEvents(signals, pending)
	d.shutdown(listener)
	return nil
}

// pendingSignals records signals that arrived before they could be handled.
type pendingSignals struct {
	stop   bool
	reload bool
}

// handleEvents handles signals and versions of the fleet's configuration until a signal asks for
// shutdown. A reload reads its files on another goroutine, so that a hanging disk does not delay
// the shutdown.
func (d *daemon) handleEvents(signals <-chan os.Signal, pending pendingSignals) {
	reading := false
	requested := pending.reload
	reads := make(chan reloadResult, 1)
	for {
		if requested && !reading {
			reading = true
			requested = false
			go func() { reads <- d.readFiles() }()
		}
		select {
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				d.logCounts("counts")
			case syscall.SIGHUP:
				requested = true
			default:
				return
			}
		case r := <-reads:
			reading = false
			d.applyReload(r)
		case r := <-d.fleetConfig.versionRequests():
			r.reply <- d.applyVersion(r)
		}
	}
}

// logCounts logs the counters of all parts.
func (d *daemon) logCounts(message string) {
	counts := []any{"commands", d.loop.Counts(), "clients", d.clients, "engines", d.engines}
	if d.snapshotWriter != nil {
		counts = append(counts, "memory", d.snapshotWriter)
	}
	if d.file.Rules != nil {
		counts = append(counts, "rules", d.clients.RuleCounts())
	}
	if d.fleet != nil {
		counts = append(counts, "fleet", d.fleet)
	}
	if d.fleetConfig != nil {
		counts = append(counts, "config", d.fleetConfig)
	}
	d.log.Info(message, counts...)
}
