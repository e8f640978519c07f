package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/operator"
	"mintkeel/internal/settings"
)

// applyWait is how long a version waits for the daemon to take it over. It is taken over within milliseconds, unless the
// process has no processor time.
const applyWait = 5 * time.Second

// agreedConfig is the daemon's side of the configuration that the fleet agrees on. The service checks documents and offers
// versions by goroutines of its own; the daemon's main goroutine takes them over, one by one.
type agreedConfig struct {
	name     string
	facts    *settings.Facts
	local    atomic.Pointer[operator.File]  // this controller's own
	parsed   atomic.Pointer[parsedDocument] // the last that can be used
	requests chan versionRequest
	version  config.Version // in force; Number 0: none yet. Of the main goroutine alone

	serving   chan struct{} // closed once clients are served
	remembers bool          // its own folder held something; to be read once serving is closed
	stopped   chan struct{} // closed when no version is taken over any more
	stop      sync.Once

	counts struct{ taken, refused, later atomic.Int64 }
}

// versionRequest asks the main goroutine to take a version over.
type versionRequest struct {
	version config.Version
	file    *operator.File
	reply   chan error // has room for the answer
}

func newAgreedConfig(s *start, own *operator.File) *agreedConfig {
	a := &agreedConfig{name: s.Name, facts: s.facts, requests: make(chan versionRequest), serving: make(chan struct{}),
		stopped: make(chan struct{})}
	a.local.Store(own)
	return a
}

// host is what the fleet's service calls.
func (a *agreedConfig) host() *configuration.Host {
	return &configuration.Host{Check: a.check, Apply: a.apply}
}

// setLocal takes over the controller's own file as it was read again.
func (a *agreedConfig) setLocal(own *operator.File) { a.local.Store(own) }

// offered are the versions to be taken over; nil, from which nothing ever comes, where the fleet has no say.
func (a *agreedConfig) offered() <-chan versionRequest {
	if a == nil {
		return nil
	}
	return a.requests
}

// beginServing tells that clients are served, and whether this controller remembers for itself.
func (a *agreedConfig) beginServing(remembers bool) {
	a.remembers = remembers
	close(a.serving)
}

// wantsDigest waits until clients are served, and tells whether what the fleet has learned is of use here.
func (a *agreedConfig) wantsDigest() bool {
	select {
	case <-a.serving:
		return !a.remembers
	case <-a.stopped:
		return false
	}
}

// stopTaking has no more versions taken over.
func (a *agreedConfig) stopTaking() { a.stop.Do(func() { close(a.stopped) }) }

// parsedDocument is a document as it was read: it is checked before it is taken over, and a large one takes a second to read.
type parsedDocument struct {
	hash  [sha256.Size]byte
	local *operator.File // beside which it was read
	file  *operator.File // is never changed
}

// parse reads a document by the same code as mintkeel check.
func (a *agreedConfig) parse(document []byte) (*operator.File, error) {
	hash, local := sha256.Sum256(document), a.local.Load()
	if last := a.parsed.Load(); last != nil && last.hash == hash && last.local == local {
		return last.file, nil
	}
	file, err := operator.ParseDocument("", document, operator.Local{Name: a.name, File: local}, a.facts)
	if err != nil {
		return nil, &documentError{err}
	}
	a.parsed.Store(&parsedDocument{hash: hash, local: local, file: file})
	return file, nil
}

// check tells whether a document could be used here.
func (a *agreedConfig) check(document []byte) error {
	_, err := a.parse(document)
	return err
}

// Errors of versions that are not taken over, and that go away by themselves.
var (
	errLate     = fmt.Errorf("the controller did not take it over in time: %w", configuration.ErrRetryable)
	errStopping = fmt.Errorf("the controller is ending: %w", configuration.ErrRetryable)
)

// apply has a version taken over by the main goroutine, and waits for that.
func (a *agreedConfig) apply(v config.Version, document []byte) error {
	err := a.offer(v, document)
	switch {
	case err == nil:
		a.counts.taken.Add(1)
	case errors.Is(err, configuration.ErrRetryable):
		a.counts.later.Add(1)
	default: // the service logs it, as it does what did not pass the check
		a.counts.refused.Add(1)
	}
	return err
}

func (a *agreedConfig) offer(v config.Version, document []byte) error {
	file, err := a.parse(document)
	if err != nil {
		return err
	}
	r := versionRequest{version: v, file: file, reply: make(chan error, 1)}
	timer := time.NewTimer(applyWait)
	defer timer.Stop()
	select {
	case a.requests <- r:
	case <-timer.C:
		return errLate
	case <-a.stopped:
		return errStopping
	}
	select {
	case err := <-r.reply:
		return err
	case <-timer.C:
		return errLate
	case <-a.stopped:
		return errStopping
	}
}

// LogValue prints the version in force and the counts.
func (a *agreedConfig) LogValue() slog.Value {
	return slog.GroupValue(slog.Uint64("version", a.version.Number), slog.String("hash", shortHash(a.version)),
		slog.Int64("taken", a.counts.taken.Load()), slog.Int64("refused", a.counts.refused.Load()),
		slog.Int64("tried_again", a.counts.later.Load()))
}

// versionAttributes are what log lines tell of a version.
func versionAttributes(v config.Version) []any {
	return []any{"version", v.Number, "hash", shortHash(v), "author", v.Author, "reason", v.Reason}
}

// shortHash is enough of a hash to tell documents apart by eye.
func shortHash(v config.Version) string { return v.Hash.String()[:12] }

// mostProblems are told of a document that can't be used; mintkeel check tells all.
const mostProblems = 16

// documentError is why a document can't be used, in one line for logs and for other controllers.
type documentError struct{ err error }

func (e *documentError) Error() string {
	var texts []string
	problems := operator.Problems(e.err)
	for i, p := range problems {
		if i == mostProblems {
			texts = append(texts, fmt.Sprintf("%d more", len(problems)-i))
			break
		}
		text := p.Why
		if p.Field != "" {
			text = "field " + p.Field + " " + text
		}
		if p.Line > 0 {
			text = fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, text)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

func (e *documentError) Unwrap() error { return e.err }

// takeVersion takes a version over in place of the one before: by the main goroutine, as a reload is. That it is a later one
// is the service's to know: in a new generation of the fleet numbers begin anew.
func (d *daemon) takeVersion(r versionRequest) error {
	a := d.agreed
	if d.server == nil { // clients are served later, by the file in force then
		d.lines.Configure(r.file.Log)
		d.tellFleet(r.file)
		d.file = r.file
	} else if err := d.enforce(r.file); err != nil {
		return fmt.Errorf("%w: %w", err, configuration.ErrRetryable)
	}
	a.version = r.version
	d.log.Info("configuration version in force", versionAttributes(r.version)...)
	return nil
}

// awaitConfig takes versions over until wait has found the latest to be in force, or the time for it is up. Signals that
// come meanwhile are returned; one to stop ends the wait.
func (d *daemon) awaitConfig(ctx context.Context, signals <-chan os.Signal,
	wait func(context.Context) config.Readiness) (pending pendingSignals) {
	ctx, cancel := context.WithTimeout(ctx, d.file.Config.Wait)
	defer cancel()
	began := time.Now()
	known := make(chan config.Readiness, 1)
	go func() { known <- wait(ctx) }()
	for {
		select {
		case r := <-d.agreed.offered():
			r.reply <- d.takeVersion(r)
		case readiness := <-known:
			d.logReadiness(readiness, time.Since(began))
			return pending
		case sig := <-signals:
			switch sig {
			case syscall.SIGHUP:
				pending.reload = true
			case syscall.SIGUSR1: // there are no counts yet
			default:
				pending.stop = true
				return pending
			}
		}
	}
}

// logReadiness tells which version clients are served by.
func (d *daemon) logReadiness(r config.Readiness, took time.Duration) {
	attributes := []any{"version", d.agreed.version.Number, "hash", shortHash(d.agreed.version), "confirmed", r.Confirmed, "latest", r.Latest,
		"took", took.Round(time.Millisecond)}
	if r.Confirmed && r.Latest <= d.agreed.version.Number {
		d.log.Info("configuration version confirmed as the latest", attributes...)
		return
	}
	d.log.Warn("configuration version not confirmed as the latest", attributes...)
}
