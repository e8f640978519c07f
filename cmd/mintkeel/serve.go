package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"mintkeel/internal/bulletin"
	"mintkeel/internal/clients"
	"mintkeel/internal/controller"
	"mintkeel/internal/engines"
	"mintkeel/internal/limits"
)

// configured reads the configuration that a flag or the platform's variable names, and tells its path.
func configured(name string, args []string) (s *start, path string, err error) {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	flags.StringVar(&path, "config", os.Getenv("PROXY_CONFIG"), "`file` with the configuration, as JSON")
	flags.Parse(args)
	if flags.NArg() > 0 {
		return nil, path, fmt.Errorf("%s takes no argument %q", name, flags.Arg(0))
	}
	if path == "" {
		return nil, path, errors.New("no configuration: set -config or PROXY_CONFIG")
	}
	s, err = readStart(path)
	return s, path, err
}

func check(args []string) error {
	s, _, err := configured("check", args)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d profiles, %d tenants, %d kinds of engine, feed up to event %d\n", cmp.Or(s.Name, "unnamed"),
		len(s.facts.Profiles), len(s.facts.Tenants), len(s.facts.Kinds), s.Known.No)
	return nil
}

func version(args []string) error {
	flag.NewFlagSet("version", flag.ExitOnError).Parse(args)
	build, revision := "unknown build", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version + " " + info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				revision += " " + s.Key + "=" + s.Value
			}
		}
	}
	fmt.Printf("mintkeel %s%s\n", build, revision)
	return nil
}

func serve(args []string) error {
	signals := make(chan os.Signal, 4) // from the first moment: the default for SIGHUP is to end
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	s, path, err := configured("serve", args)
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
	return run(s, path, l, signals, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// run is the daemon: it puts the parts together, serves until told to stop, and then until all is answered.
func run(s *start, path string, l *limits.Limits, signals <-chan os.Signal, log *slog.Logger) error {
	loop := controller.New(s.facts.Router(s.seed), controller.SystemClock(), l.Inbox)
	pool := engines.New(l, s.facts.Links.Streams, loop.Post, log)
	loop.SetEngines(pool)
	last := s.Known.No
	for i, news := range s.news {
		loop.News(news, i == 0)
		last = max(last, news.No)
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := clients.New(l, &s.facts.Names, s.facts.Profiles, loop.Post, log)
	go loop.Run(ctx)
	feed := bulletin.NewFeed(s.Feed, last, &s.facts.Names, l, func(news bulletin.News) { loop.Post(news) }, log)
	go feed.Follow(ctx)
	go server.Serve(listener)
	log.Info("serving", "name", s.Name, "listen", listener.Addr())
	report := func(message string) {
		log.Info(message, "commands", loop.Counts(), "clients", server, "engines", pool)
	}
	for sig := range signals {
		if sig == syscall.SIGUSR1 {
			report("counts")
		} else if sig != syscall.SIGHUP {
			break
		} else if addr := reread(s, path, log); addr != "" {
			feed.Move(addr)
		}
	}
	log.Info("told to stop")
	loop.Post(controller.Stop{Within: l.StopTime})
	drain(server, l)
	listener.Close()
	server.Close()
	pool.Close()
	report("stopped")
	return nil
}

// reread reads the configuration again for what may change while running, the feed's address; empty if that can't be
// had. It logs what can't be used or taken over, by field: neither ends a controller that serves.
func reread(s *start, path string, log *slog.Logger) string {
	again, err := readStart(path)
	if err != nil {
		log.Error("new configuration not used", "why", err)
		return ""
	}
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
	return again.Feed
}

// drain goes on serving while commands come and until all answers are written, as long as there is time.
func drain(server *clients.Server, l *limits.Limits) {
	end := time.NewTimer(l.EndTime)
	look := time.NewTicker(l.StopQuiet / 20)
	defer look.Stop()
	for server.Quiet() < l.StopQuiet {
		select {
		case <-end.C:
			return
		case <-look.C:
		}
	}
}
