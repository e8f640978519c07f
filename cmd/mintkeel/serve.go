package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
)

func serveCommand() *cobra.Command {
	var from configSources
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a controller until SIGTERM",
		Long: `Run a controller until SIGTERM.

SIGHUP reads the configuration and the operator's file again, SIGUSR1 prints the
counts so far. The log goes to standard error.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(from) },
	}
	from.addFlags(c)
	return c
}

// serve reads the configuration, sets the limits of the process and runs a daemon until a signal
// asks for shutdown.
func serve(from configSources) error {
	// By default SIGHUP terminates a process, so signals are caught before anything is read.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	config, file, err := from.read()
	if err != nil {
		return err
	}
	processLimits := limitsFor(config)
	debug.SetMemoryLimit(processLimits.RuntimeMemoryBytes)
	runtime.GOMAXPROCS(max(1, int(config.Grants.Cores+0.5)))
	d := &daemon{
		sources:   from,
		config:    config,
		file:      file,
		limits:    processLimits,
		logOutput: logs.New(os.Stderr, file.Log),
	}
	return d.run(signals)
}

// limitsFor derives the limits of a process from its grants and the longest client timeout.
func limitsFor(config *controllerConfig) *limits.Limits {
	longestMS := 0.0
	for _, class := range config.facts.Classes {
		longestMS = max(longestMS, class.ClientTimeout)
	}
	connections := config.facts.Connections
	return limits.For(config.Grants.Descriptors, config.Grants.MemoryMB, connections.ConnectTimeout,
		connections.IdleTimeout, time.Duration(longestMS*float64(time.Millisecond)))
}
