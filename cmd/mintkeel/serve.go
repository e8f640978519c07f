package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/clients"
	"mintkeel/internal/controller"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator"
)

func serveCommand() *cobra.Command {
	var from sources
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a controller until SIGTERM",
		Long: `Run a controller until SIGTERM.

SIGHUP reads the configuration and the operator's file again, SIGUSR1 prints the
counts so far. The log goes to standard error.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := make(chan os.Signal, 4) // from the first moment: the default for SIGHUP is to end
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
			s, file, err := from.read()
			if err != nil {
				return err
			}
			longest := 0.0
			for _, p := range s.facts.Classes {
				longest = max(longest, p.ClientTimeout)
			}
			l := limits.For(s.Grants.Descriptors, s.Grants.MemoryMB, s.facts.Connections.ConnectTimeout, s.facts.Connections.IdleTimeout,
				time.Duration(longest*float64(time.Millisecond)))
			debug.SetMemoryLimit(l.RuntimeMemoryBytes)
			runtime.GOMAXPROCS(max(1, int(s.Grants.Cores+0.5)))
			d := &daemon{from: from, start: s, file: file, limits: l, lines: logs.New(os.Stderr, file.Log)}
			return d.run(signals)
		},
	}
	from.flags(c)
	return c
}

// daemon is a controller with all its parts, and what it was told.
type daemon struct {
	from   sources
	start  *start
	file   *operator.File // in force
	limits *limits.Limits
	lines  *logs.Log

	log             *slog.Logger
	loop            *controller.Loop
	pool            *engines.Pool
	feed            *discovery.Watcher
	server          *clients.Server
	snapshotWriter  *memory.SnapshotWriter // nil: memory is off
	stoppingWriters []*memory.SnapshotWriter
	fleet           *fleet.Service // nil: off
	agreed          *agreedConfig  // nil: the fleet has no say in this controller's configuration

	conductor *maintenance.Job // nil: maintenance is off

	remembers bool // its own folder held something to begin with
}

// run puts the parts together, serves until told to stop, and then until all is answered.
func (d *daemon) run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.log = d.lines.Logger()
	guards := d.start.facts.SafetyLimits
	d.loop = controller.New(d.start.facts.NewRouter(d.start.seed), controller.SystemClock(), d.limits.EventQueueLength, guards.OrderingCooldown+guards.EventInterval)
	d.pool = engines.New(d.limits, d.start.facts.Connections.AttemptsPerConnection, d.loop.PostEngineEvent, d.log)
	d.loop.SetEngines(d.pool)
	defer d.leaveFleet()
	var pending pendingSignals
	if d.file.Config != nil { // what is in force is to be known before clients are served
		d.agreed = newAgreedConfig(d.start, d.file)
		if err := d.joinFleet(); err != nil {
			return err
		}
		if pending = d.awaitConfig(ctx, signals, d.fleet.WaitConfig); pending.stop {
			d.log.Info("told to stop before clients were served")
			return nil
		}
	}
	listener, err := d.serveClients(ctx)
	if err != nil {
		return err
	}
	if d.file.Fleet != nil && d.fleet == nil { // clients are served by now: nothing of theirs waits for it
		if err := d.joinFleet(); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", d.start.Name, "listen", listener.Addr().String())
	d.handle(signals, pending)
	d.stop(listener)
	return nil
}

// serveClients opens the listener for clients and has them served by the file in force, until ctx ends.
func (d *daemon) serveClients(ctx context.Context) (net.Listener, error) {
	if d.file.Memory != nil {
		d.restoreSnapshot()
	}
	if d.file.Fleet != nil {
		d.loop.KeepEndpoints()
	}
	last := d.start.Known.Number
	for i, news := range d.start.news {
		d.loop.UpdateEndpoints(news, i == 0)
		last = max(last, news.Number)
	}
	listener, err := net.Listen("tcp", d.start.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	facts := d.start.facts
	d.server = clients.New(d.limits, &facts.Names, facts.Classes, d.loop.Offer, func() time.Duration {
		return time.Duration(facts.Capabilities.RetryAfterDelay(rand.Float64()) * float64(time.Millisecond))
	}, d.loop.PostClientEvent, d.log)
	go d.loop.Run(ctx)
	d.loop.SetRules(d.file.Rules)
	d.feed = discovery.NewWatcher(d.start.Feed, last, &facts.Names, d.limits, d.loop.PostEndpoints, d.log)
	go d.feed.Follow(ctx)
	if d.from.operator != "" {
		d.server.ExpectRules()
	}
	d.server.SetRules(d.file.Rules)
	go d.server.Serve(listener)
	d.replaceSnapshotWriter(nil, d.file.Memory)
	if d.agreed != nil {
		d.agreed.beginServing(d.remembers)
	}
	return listener, nil
}

// joinFleet begins to take part in the fleet.
func (d *daemon) joinFleet() (err error) {
	var host *configuration.Host
	if d.agreed != nil {
		host = d.agreed.host()
	}
	d.fleet, err = fleet.Start(d.file.Fleet, d.start.Name, d.programs(), host, d.log)
	return err
}

// leaveFleet ends this controller's part in the fleet, if it takes one.
func (d *daemon) leaveFleet() {
	if d.agreed != nil {
		d.agreed.stopTaking()
	}
	if d.fleet != nil {
		d.fleet.Close()
	}
}

// pendingSignals are signals that came before they could be handled.
type pendingSignals struct{ stop, reload bool }

// handle does what signals and the fleet ask for, until one tells to stop.
func (d *daemon) handle(signals <-chan os.Signal, pending pendingSignals) {
	// A reload reads beside: a disk that hangs must not keep this from hearing that it is to stop.
	reading, again := false, pending.reload
	reads := make(chan reloaded, 1)
	for {
		if again && !reading {
			reading, again = true, false
			go func() { reads <- d.reread() }()
		}
		select {
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				d.report("counts")
			case syscall.SIGHUP:
				again = true
			default:
				return
			}
		case r := <-reads:
			reading = false
			d.takeOver(r)
		case r := <-d.agreed.offered():
			r.reply <- d.takeVersion(r)
		}
	}
}

// report logs all counts.
func (d *daemon) report(message string) {
	counts := []any{"commands", d.loop.Counts(), "clients", d.server, "engines", d.pool}
	if d.snapshotWriter != nil {
		counts = append(counts, "memory", d.snapshotWriter)
	}
	if d.file.Rules != nil {
		counts = append(counts, "rules", d.server.RuleCounts())
	}
	if d.fleet != nil {
		counts = append(counts, "fleet", d.fleet)
	}
	if d.agreed != nil {
		counts = append(counts, "config", d.agreed)
	}
	d.log.Info(message, counts...)
}

// stop serves on until all is answered, as long as there is time, and ends the parts.
func (d *daemon) stop(listener net.Listener) {
	l := d.limits
	d.log.Info("told to stop")
	end := time.Now().Add(l.ShutdownTimeout)
	d.loop.StartShutdown(l.DrainTimeout)
	if d.agreed != nil {
		d.agreed.stopTaking()
	}
	if d.fleet != nil {
		d.fleet.Stop() // another takes over what this one owns, while commands are still answered
	}
	if d.snapshotWriter != nil {
		d.snapshotWriter.Stop() // beside the commands that are still to be answered
	}
	drain(d.server, end.Add(-l.ClientCloseTimeout), l.DrainQuietPeriod) // who goes on asking to the last is owed an orderly end too
	listener.Close()
	d.server.Shutdown(end)
	d.server.Close()
	d.loop.Close()
	d.awaitSnapshotWriters(end)
	d.report("stopped")
}

// drain goes on serving while commands come and until all answers are written, as long as there is time.
func drain(server *clients.Server, until time.Time, quiet time.Duration) {
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	look := time.NewTicker(quiet / 20)
	defer look.Stop()
	for server.Quiet() < quiet {
		select {
		case <-end.C:
			return
		case <-look.C:
		}
	}
}
