package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/bulletin"
	"mintkeel/internal/clients"
	"mintkeel/internal/controller"
	"mintkeel/internal/core/recall"
	"mintkeel/internal/engines"
	"mintkeel/internal/fleet"
	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator"
	"mintkeel/internal/settings"
	"mintkeel/internal/store/disk"
	"mintkeel/router"
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
			for _, p := range s.facts.Profiles {
				longest = max(longest, p.Timeout)
			}
			l := limits.For(s.Grants.Descriptors, s.Grants.MemoryMB, s.facts.Links.ConnectTimeout, s.facts.Links.Idle,
				time.Duration(longest*float64(time.Millisecond)))
			debug.SetMemoryLimit(l.MemoryBytes)
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
	file   *operator.File
	limits *limits.Limits
	lines  *logs.Log

	log    *slog.Logger
	loop   *controller.Loop
	feed   *bulletin.Feed
	server *clients.Server
	keeper *memory.Keeper // nil: memory is off
	gone   []*memory.Keeper
	fleet  *fleet.Service // nil: off

	remembers bool // its own folder held something to begin with
}

// run puts the parts together, serves until told to stop, and then until all is answered.
func (d *daemon) run(signals <-chan os.Signal) error {
	s, l := d.start, d.limits
	d.log = d.lines.Logger()
	guards := s.facts.Guards
	d.loop = controller.New(s.facts.Router(s.seed), controller.SystemClock(), l.Inbox, guards.OrderRest+guards.Round)
	pool := engines.New(l, s.facts.Links.Streams, d.loop.Post, d.log)
	d.loop.SetEngines(pool)
	if d.file.Memory != nil {
		d.recall()
	}
	if d.file.Fleet != nil {
		d.loop.KeepList()
	}
	last := s.Known.No
	for i, news := range s.news {
		d.loop.News(news, i == 0)
		last = max(last, news.No)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := clients.New(l, &s.facts.Names, s.facts.Profiles, d.loop.Offer, func() time.Duration {
		return time.Duration(s.facts.Allowed.ComeBack(rand.Float64()) * float64(time.Millisecond))
	}, d.loop.Post, d.log)
	go d.loop.Run(ctx)
	d.loop.SetRules(d.file.Rules)
	d.feed = bulletin.NewFeed(s.Feed, last, &s.facts.Names, l, func(news bulletin.News) { d.loop.Post(news) }, d.log)
	go d.feed.Follow(ctx)
	d.server = server
	if d.from.operator != "" {
		server.Describe()
	}
	server.SetRules(d.file.Rules)
	go server.Serve(listener)
	d.keep(nil, d.file.Memory)
	if d.file.Fleet != nil { // clients are served by now: nothing of theirs waits for it
		if d.fleet, err = fleet.Start(d.file.Fleet, s.Name, d.programs(), nil, d.log); err != nil {
			return err
		}
		defer d.fleet.Close()
	}
	d.log.Info("serving", "name", s.Name, "listen", listener.Addr().String())
	report := func(message string) {
		counts := []any{"commands", d.loop.Counts(), "clients", server, "engines", pool}
		if d.keeper != nil {
			counts = append(counts, "memory", d.keeper)
		}
		if d.file.Rules != nil {
			counts = append(counts, "rules", server.Rules())
		}
		if d.fleet != nil {
			counts = append(counts, "fleet", d.fleet)
		}
		d.log.Info(message, counts...)
	}
	// A reload reads beside: a disk that hangs must not keep this from hearing that it is to stop.
	var reading, again bool
	reads := make(chan reloaded, 1)
	for told := false; !told; {
		select {
		case sig := <-signals:
			switch sig {
			case syscall.SIGUSR1:
				report("counts")
			case syscall.SIGHUP:
				again = true
			default:
				told = true
			}
		case r := <-reads:
			reading = false
			d.takeOver(r)
		}
		if again && !reading {
			reading, again = true, false
			go func() { reads <- d.reread() }()
		}
	}
	d.log.Info("told to stop")
	end := time.Now().Add(l.EndTime)
	d.loop.Post(controller.Stop{Within: l.StopTime})
	if d.fleet != nil {
		d.fleet.Stop() // another takes over what this one owns, while commands are still answered
	}
	if d.keeper != nil {
		d.keeper.Last() // beside the commands that are still to be answered
	}
	drain(server, end.Add(-l.CloseTime), l.StopQuiet) // who goes on asking to the last is owed an orderly end too
	listener.Close()
	server.Shutdown(end)
	server.Close()
	d.loop.Close()
	d.letGo(end)
	report("stopped")
	return nil
}

// identity tells whose memory this controller's is.
func (d *daemon) identity() recall.Identity {
	return recall.Identity{Name: d.start.Name, Settings: settings.Flatten(d.start.Settings).Sum()}
}

// recall has the loop told what an earlier run has learned, once the first engines are listed.
func (d *daemon) recall() {
	kept := memory.Recall(disk.Folder(d.file.Memory.Folder), d.limits, d.log)
	if kept == nil {
		return
	}
	d.remembers = true
	d.loop.SetRecall(func(list []router.Entry) router.Learned {
		now := float64(time.Now().UnixMicro()) / 1e3
		learned, account := recall.Believe(&kept.Memory, d.identity(), list, now, recall.Usual())
		d.log.Info("remembered", "file", kept.File, "age_ms", int64(now-kept.Taken), "believed", account.Believed,
			"aged", account.Aged, "future", account.Future, "unknown", account.Unknown, "wrong", account.Wrong,
			"foreign", account.Foreign)
		return learned
	})
}

// programs are what this controller can do for the fleet.
func (d *daemon) programs() []fleet.Job {
	programs := []fleet.Job{fleet.NewDigest(d.learner())}
	if d.file.Maintenance == nil {
		return programs
	}
	facts := d.start.facts
	k := fleet.Keeper{Engines: d.loop.EnginesNow, Hold: func(held []router.EngineID) { d.loop.Post(controller.Hold{Engines: held}) },
		Kinds: make([]string, len(facts.Kinds)), Log: d.log}
	for name, i := range facts.Names.Kinds {
		if int(i) >= 0 && int(i) < len(k.Kinds) {
			k.Kinds[i] = name
		}
	}
	for _, p := range facts.Profiles {
		if p.Kinds != nil {
			k.Bounds = append(k.Bounds, p.Kinds)
		}
	}
	return append(programs, fleet.NewConductor(k, *d.file.Maintenance))
}

// learner is what the fleet's digest needs of this controller. One that remembers for itself takes nothing from others.
func (d *daemon) learner() fleet.Learner {
	l := fleet.Learner{Source: d.loop, Settings: d.identity().Settings, Log: d.log}
	if !d.remembers {
		l.Remember = func(learned router.Learned) {
			go d.loop.Post(controller.Remembered{Believe: func(list []router.Entry) router.Learned { // it may wait for room
				now := float64(time.Now().UnixMicro()) / 1e3
				m := recall.Memory{Of: d.identity(), Learned: learned}
				believed, account := recall.Believe(&m, d.identity(), list, now, recall.Usual())
				d.log.Info("fleet: the digest", "believed", account.Believed, "aged", account.Aged, "future", account.Future,
					"unknown", account.Unknown, "wrong", account.Wrong)
				return believed
			}})
		}
	}
	return l
}

// keep changes over from what is kept by one block to what is kept by another; nil stands for off.
func (d *daemon) keep(from, to *memory.Block) {
	if from != nil && to != nil && from.Folder == to.Folder {
		d.keeper.SetPace(to.Pace)
		return
	}
	if d.keeper != nil { // it ends by itself, with a last snapshot
		d.keeper.Last()
		d.gone, d.keeper = append(d.gone, d.keeper), nil
	}
	if to != nil {
		d.keeper = memory.Start(disk.Folder(to.Folder), to.Pace, d.identity(), built().String(), d.loop, d.limits, d.log)
	}
}

// letGo waits for folders to be let go of, as long as there is time.
func (d *daemon) letGo(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	keepers := d.gone
	if d.keeper != nil {
		keepers = append(keepers, d.keeper)
	}
	for _, k := range keepers {
		if err := k.Wait(ctx); err != nil {
			d.log.Warn("memory not written in time at the end", "why", err)
		}
	}
}

// reloaded is what was read again at a SIGHUP.
type reloaded struct {
	file     *operator.File
	fileErr  error
	again    *start
	againErr error
}

// reread reads the operator's file and the configuration again, each within a bound. It changes nothing.
func (d *daemon) reread() (r reloaded) {
	r.file, r.fileErr = inTime(d.limits.ReadTime, func() (*operator.File, error) {
		return operator.Read(d.from.operator, d.start.facts)
	})
	r.again, r.againErr = inTime(d.limits.ReadTime, func() (*start, error) { return readStart(d.from.config) })
	return r
}

// takeOver puts what was read in force, the operator's file and the configuration each as a whole, as far as it may
// change while running, or not at all; neither ends a controller that serves.
func (d *daemon) takeOver(r reloaded) {
	file, err := r.file, r.fileErr
	if err == nil && !d.loop.SetRules(file.Rules) {
		err = errRules
	}
	if err != nil {
		problems := operator.Problems(err)
		for _, p := range problems {
			d.log.Error("new operator's file not used", "why", p.Error())
		}
		if problems == nil {
			d.log.Error("new operator's file not used", "why", err)
		}
	} else {
		d.lines.Set(file.Log)
		d.prune()
		d.keep(d.file.Memory, file.Memory)
		d.server.SetRules(file.Rules)
		d.refleet(file)
		d.file = file
		if d.from.operator != "" {
			d.log.Info("operator's file read again", "memory", onOff(file.Memory != nil), "rules", ruleCount(file))
		}
	}
	if r.againErr != nil {
		d.log.Error("new configuration not used", "why", r.againErr)
		return
	}
	d.start.compare(r.again, d.log)
	d.feed.Move(r.again.Feed)
}

// refleet takes over what may change of the block fleet while running. What may not is told, and stays as it was.
func (d *daemon) refleet(file *operator.File) {
	if !file.Fleet.Same(d.file.Fleet) {
		d.log.Warn("field can't change while running", "field", "fleet")
		file.Fleet = d.file.Fleet
	}
	if d.fleet != nil {
		d.fleet.SetWilling(file.Fleet.Willing)
		if err := d.fleet.SetKeys(); err != nil {
			d.log.Error("new keys of the fleet not used", "why", err)
		}
	}
}

// inTime reads something that may hang: a disk that is gone must not keep a controller from hearing that it is to stop.
// What is read too late is dropped, with its goroutine.
func inTime[T any](within time.Duration, read func() (T, error)) (T, error) {
	type found struct {
		what T
		err  error
	}
	reply := make(chan found, 1)
	go func() {
		what, err := read()
		reply <- found{what, err}
	}()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case f := <-reply:
		return f.what, f.err
	case <-timer.C:
		var none T
		return none, fmt.Errorf("not read within %v", within)
	}
}

// errRules is that of rules that can't change just now.
var errRules = errors.New("rules have changed too often within the last seconds, or too many commands are held: try again")

// mostGone bounds the keepers that are letting go of their folders, against reloads in quick turn on a disk that hangs.
const mostGone = 8

// prune forgets keepers that have ended and, past a bound, gives up the oldest.
func (d *daemon) prune() {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	for i := 0; i < len(d.gone); {
		if d.gone[i].Ended() {
			d.gone = append(d.gone[:i], d.gone[i+1:]...)
			continue
		}
		i++
	}
	for len(d.gone) >= mostGone {
		d.gone[0].Wait(now)
		d.gone = d.gone[1:]
	}
}

// compare logs by field what a new configuration would change beside the feed's address, which alone may change while
// running.
func (s *start) compare(again *start, log *slog.Logger) {
	for _, kept := range []struct {
		field string
		same  bool
	}{{"name", again.Name == s.Name}, {"listen", again.Listen == s.Listen}, {"limits", again.Grants == s.Grants},
		{"settings", reflect.DeepEqual(again.Settings, s.Settings)}} {
		if !kept.same {
			log.Warn("field can't change while running", "field", kept.field)
		}
	}
	log.Info("configuration read again", "bulletin", again.Feed)
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
