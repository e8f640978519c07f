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

// configPath is where a configuration is, by flag or the platform's variable.
func configPath(name string, args []string) (string, error) {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	path := flags.String("config", os.Getenv("PROXY_CONFIG"), "`file` with the configuration, as JSON")
	flags.Parse(args)
	if flags.NArg() > 0 {
		return "", fmt.Errorf("%s takes no argument %q", name, flags.Arg(0))
	}
	if *path == "" {
		return "", errors.New("no configuration: set -config or PROXY_CONFIG")
	}
	return *path, nil
}

func check(args []string) error {
	path, err := configPath("check", args)
	if err != nil {
		return err
	}
	s, err := readStart(path)
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
		build = info.GoVersion
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
	path, err := configPath("serve", args)
	if err != nil {
		return err
	}
	s, err := readStart(path)
	if err != nil {
		return err
	}
	return run(s, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// run is the daemon: it puts the parts together, serves until told to stop, and then until all is answered.
func run(s *start, log *slog.Logger) error {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	l := limits.For(s.Grants.Descriptors, s.Grants.MemoryMB, duration(s.facts.Links.ConnectTimeout),
		duration(s.facts.Links.Idle))
	debug.SetMemoryLimit(l.MemoryBytes)
	runtime.GOMAXPROCS(max(1, int(s.Grants.Cores+0.5)))

	loop := controller.New(s.facts.Router(s.seed), controller.SystemClock(), l.Inbox, log)
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
	server := clients.New(l, s.facts, loop.Post, log)
	go loop.Run(ctx)
	feed := bulletin.NewFeed(s.Feed, last, &s.facts.Names, l, func(news bulletin.News) { loop.Post(news) }, log)
	go feed.Follow(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.Info("serving", "name", s.Name, "listen", s.Listen)
	select {
	case err := <-served:
		return err
	case <-term:
	}
	log.Info("told to stop")
	return stop(loop, server, pool, listener, l, log)
}

// stop goes on serving while commands come and until all are answered, as long as there is time.
func stop(loop *controller.Loop, server *clients.Server, pool *engines.Pool, listener net.Listener,
	l *limits.Limits, log *slog.Logger) error {
	loop.Post(controller.Stop{Within: l.StopTime})
	until := time.Now().Add(l.EndTime)
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		if server.Quiet() > l.StopQuiet && loop.Idle() {
			break
		}
	}
	listener.Close()
	server.Close()
	pool.Close()
	log.Info("stopped", "counts", loop.Counts())
	return nil
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
