package main

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/operator"
	"mintkeel/internal/settings"
)

// applyTimeout bounds the wait until the main goroutine has applied a version, which takes
// milliseconds unless the process gets no CPU time.
const applyTimeout = 5 * time.Second

// fleetConfig is the daemon's side of the fleet's configuration. The fleet's service checks
// documents and offers versions on goroutines of its own; the daemon's main goroutine applies them
// one by one.
type fleetConfig struct {
	name     string
	facts    *settings.Facts
	local    atomic.Pointer[operator.File]  // this controller's own file
	parsed   atomic.Pointer[parsedDocument] // the last valid document; nil: none
	requests chan versionRequest
	version  config.Version // in force, Number 0: none yet; owned by the main goroutine

	serving        chan struct{} // closed once clients are served
	hasOwnSnapshot bool          // a snapshot of an earlier run was found; read after serving closes
	stopped        chan struct{} // closed when no more versions are applied
	stop           sync.Once

	counts struct{ applied, rejected, retried atomic.Int64 }
}

// versionRequest asks the main goroutine to apply a version.
type versionRequest struct {
	version config.Version
	file    *operator.File
	reply   chan error // buffered, so that the reply never blocks
}

func newFleetConfig(controller *controllerConfig, own *operator.File) *fleetConfig {
	c := &fleetConfig{
		name:     controller.Name,
		facts:    controller.facts,
		requests: make(chan versionRequest),
		serving:  make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	c.local.Store(own)
	return c
}

// host returns the functions that the fleet's service calls.
func (c *fleetConfig) host() *configuration.Host {
	return &configuration.Host{Check: c.check, Apply: c.apply}
}

// setLocal sets the controller's own file after a reload.
func (c *fleetConfig) setLocal(own *operator.File) { c.local.Store(own) }

// versionRequests returns the channel of versions to be applied. Without a block config it is nil,
// so that a receive blocks forever.
func (c *fleetConfig) versionRequests() <-chan versionRequest {
	if c == nil {
		return nil
	}
	return c.requests
}

// beginServing records that clients are served, and whether this controller has a snapshot of its
// own.
func (c *fleetConfig) beginServing(hasOwnSnapshot bool) {
	c.hasOwnSnapshot = hasOwnSnapshot
	close(c.serving)
}

// needsSharedStatistics waits until clients are served, and reports whether this controller lacks a
// snapshot of its own.
func (c *fleetConfig) needsSharedStatistics() bool {
	select {
	case <-c.serving:
		return !c.hasOwnSnapshot
	case <-c.stopped:
		return false
	}
}

// stopApplying makes all further versions fail with errStopping.
func (c *fleetConfig) stopApplying() { c.stop.Do(func() { close(c.stopped) }) }

// parsedDocument caches the last parsed document. Each document is parsed once for the check and
// once to be applied, and a large one takes a second to parse.
type parsedDocument struct {
	hash  [sha256.Size]byte
	local *operator.File // the own file with which it was merged
	file  *operator.File // never modified
}

// parse parses a document with the code of mintkeel check, or returns the cached result.
func (c *fleetConfig) parse(document []byte) (*operator.File, error) {
	hash := sha256.Sum256(document)
	local := c.local.Load()
	if last := c.parsed.Load(); last != nil && last.hash == hash && last.local == local {
		return last.file, nil
	}
	file, err := operator.ParseDocument("", document, operator.Local{Name: c.name, File: local},
		c.facts)
	if err != nil {
		return nil, &documentError{err}
	}
	c.parsed.Store(&parsedDocument{hash: hash, local: local, file: file})
	return file, nil
}

// check returns an error if this controller could not use the document.
func (c *fleetConfig) check(document []byte) error {
	_, err := c.parse(document)
	return err
}

// Errors for versions that were not applied; a retry may succeed.
var (
	errApplyTimeout = fmt.Errorf("the controller did not apply it in time: %w",
		configuration.ErrRetryable)
	errStopping = fmt.Errorf("the controller is shutting down: %w", configuration.ErrRetryable)
)

// apply has the main goroutine apply a version, waits for the result and counts it.
func (c *fleetConfig) apply(v config.Version, document []byte) error {
	err := c.requestApply(v, document)
	switch {
	case err == nil:
		c.counts.applied.Add(1)
	case errors.Is(err, configuration.ErrRetryable):
		c.counts.retried.Add(1)
	default: // logged by the fleet's service
		c.counts.rejected.Add(1)
	}
	return err
}

// requestApply parses a document and hands it to the main goroutine, within applyTimeout.
func (c *fleetConfig) requestApply(v config.Version, document []byte) error {
	file, err := c.parse(document)
	if err != nil {
		return err
	}
	r := versionRequest{version: v, file: file, reply: make(chan error, 1)}
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	select {
	case c.requests <- r:
	case <-timer.C:
		return errApplyTimeout
	case <-c.stopped:
		return errStopping
	}
	select {
	case err := <-r.reply:
		return err
	case <-timer.C:
		return errApplyTimeout
	case <-c.stopped:
		return errStopping
	}
}

// LogValue returns the version in force and the counts, with their names in log lines: taken for
// applied, refused for rejected, tried_again for retried.
func (c *fleetConfig) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("version", c.version.Number),
		slog.String("hash", shortHash(c.version)),
		slog.Int64("taken", c.counts.applied.Load()),
		slog.Int64("refused", c.counts.rejected.Load()),
		slog.Int64("tried_again", c.counts.retried.Load()),
	)
}

// versionAttributes returns the attributes of a version for log lines.
func versionAttributes(v config.Version) []any {
	return []any{"version", v.Number, "hash", shortHash(v), "author", v.Author, "reason", v.Reason}
}

// hashDigits is the number of hash digits shown: enough to tell documents apart at a glance.
const hashDigits = 12

// shortHash returns the first hashDigits digits of a version's hash.
func shortHash(v config.Version) string { return v.Hash.String()[:hashDigits] }
