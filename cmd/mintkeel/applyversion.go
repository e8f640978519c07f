package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
)

// applyVersion puts a version in force in place of the previous one, on the main goroutine like a
// reload. It does not compare version numbers, which start over in a new generation of the
// fleet: the fleet's service orders versions.
func (d *daemon) applyVersion(r versionRequest) error {
	if d.clients == nil { // clients are not served yet; serveClients applies the rest
		d.logOutput.Configure(r.file.Log)
		d.updateFleetSettings(r.file)
		d.file = r.file
	} else if err := d.applyFile(r.file); err != nil {
		return fmt.Errorf("%w: %w", err, configuration.ErrRetryable)
	}
	d.fleetConfig.version = r.version
	d.log.Info("configuration version in force", versionAttributes(r.version)...)
	return nil
}

// awaitLatestVersion applies versions until wait returns, because the latest is in force or
// config.wait has elapsed. It returns the signals that arrived meanwhile; one that asks for
// shutdown ends the wait.
func (d *daemon) awaitLatestVersion(
	ctx context.Context, signals <-chan os.Signal, wait func(context.Context) config.Readiness,
) (pending pendingSignals) {
	ctx, cancel := context.WithTimeout(ctx, d.file.Config.Wait)
	defer cancel()
	began := time.Now()
	known := make(chan config.Readiness, 1)
	go func() { known <- wait(ctx) }()
	for {
		select {
		case r := <-d.fleetConfig.versionRequests():
			r.reply <- d.applyVersion(r)
		case readiness := <-known:
			d.logReadiness(readiness, time.Since(began))
			return pending
		case sig := <-signals:
			switch sig {
			case syscall.SIGHUP:
				pending.reload = true
			case syscall.SIGUSR1: // no counts exist yet
			default:
				pending.stop = true
				return pending
			}
		}
	}
}

// logReadiness logs the version under which clients will be served, as a warning if it is not
// confirmed as the latest.
func (d *daemon) logReadiness(r config.Readiness, took time.Duration) {
	attributes := []any{
		"version", d.fleetConfig.version.Number,
		"hash", shortHash(d.fleetConfig.version),
		"confirmed", r.Confirmed,
		"latest", r.Latest,
		"took", took.Round(time.Millisecond),
	}
	if r.Confirmed && r.Latest <= d.fleetConfig.version.Number {
		d.log.Info("configuration version confirmed as the latest", attributes...)
		return
	}
	d.log.Warn("configuration version not confirmed as the latest", attributes...)
}
