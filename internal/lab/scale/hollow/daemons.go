package hollow

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/standin"
)

// daemons are real controllers in a fleet of hollow ones: shipped daemons that run as processes, without clients.
type daemons struct {
	folder    string
	processes []*daemon.Process
	feed      *standin.Feed
	engine    *standin.Engine
	cancel    context.CancelFunc
}

// startDaemons builds the daemon and starts a number of daemons that join the fleet. Their addresses follow those of the
// hollow controllers.
func (f *Fleet) startDaemons(ctx context.Context, count int, seed int64) (*daemons, error) {
	d := &daemons{}
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.startAll(ctx, f, count, seed); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *daemons) startAll(ctx context.Context, f *Fleet, count int, seed int64) (err error) {
	if d.folder, err = os.MkdirTemp("", "daemons"); err != nil {
		return err
	}
	binary, err := daemon.Build(ctx, d.folder)
	if err != nil {
		return err
	}
	if d.feed, err = standin.NewFeed(ctx); err != nil {
		return err
	}
	if d.engine, err = daemon.NewEngine(1, seed); err != nil {
		return err
	}
	d.processes = make([]*daemon.Process, count)
	errs := make([]error, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { d.processes[i], errs[i] = d.start(ctx, f, binary, i, seed) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (d *daemons) start(ctx context.Context, f *Fleet, binary string, i int, seed int64) (*daemon.Process, error) {
	name := daemonName(i)
	folder := filepath.Join(d.folder, name)
	if err := os.Mkdir(folder, 0o700); err != nil {
		return nil, err
	}
	operator := filepath.Join(folder, "operator.hcl")
	if err := os.WriteFile(operator, []byte(f.operatorFile(folder, f.spec.Controllers+i)), 0o600); err != nil {
		return nil, err
	}
	return daemon.Start(ctx, daemon.Options{Binary: binary, Folder: folder, Name: name, DiscoveryAddr: d.feed.Addr,
		Engines: []*standin.Engine{d.engine}, Controllers: f.spec.Controllers, Seed: seed + int64(i), OperatorFile: operator})
}

func daemonName(i int) string { return fmt.Sprintf("daemon-%d", i) }

// operatorFile returns the operator's file of a daemon that listens for the fleet at the address with the given number.
func (f *Fleet) operatorFile(folder string, number int) string {
	var voters []string
	for voter := range f.spec.Voters {
		voters = append(voters, fmt.Sprintf("%q = %q", name(voter), f.spec.Network.address(voter)))
	}
	return fmt.Sprintf("fleet {\n name = %q\n listen = %q\n key_file = %q\n folder = %q\n council = { %s }\n works = []\n"+
		" lease = %q\n willing = false\n}\nconfig {\n wait = \"2s\"\n}\n", fleetName, f.spec.Network.address(number),
		filepath.Join(f.folder, keyFile), filepath.Join(folder, "fleet"), strings.Join(voters, ", "), f.spec.LeaseTime)
}

func (d *daemons) close() {
	for _, p := range d.processes {
		if p != nil {
			p.Stop()
		}
	}
	if d.engine != nil {
		d.engine.Close()
	}
	d.cancel()
	if d.folder != "" {
		os.RemoveAll(d.folder)
	}
}

// awaitInForce waits until all daemons have a version in force.
func (d *daemons) awaitInForce(ctx context.Context, timeout time.Duration, version uint64) error {
	const interval = 50 * time.Millisecond
	what := fmt.Sprintf("version %d is in force at all daemons", version)
	return pollUntil(ctx, timeout, interval, what, func() (bool, error) {
		for _, p := range d.processes {
			log, err := p.Log()
			if err != nil || !hasInForce(log, version) {
				return false, err
			}
		}
		return true, nil
	})
}

// hasInForce reports whether a daemon's log states that a version is in force.
func hasInForce(log string, version uint64) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "configuration version in force") &&
			strings.HasSuffix(strings.TrimSpace(line), fmt.Sprintf("version=%d", version)) {
			return true
		}
	}
	return false
}

// daemonUsage is the processor time that a daemon has used and its memory.
type daemonUsage struct {
	processor float64 // processor time in s since its start
	resident  float64 // MB of 2^20 bytes
}

func (d *daemons) usage() ([]daemonUsage, error) {
	list := make([]daemonUsage, len(d.processes))
	for i, p := range d.processes {
		var err error
		if list[i].processor, err = p.ProcessorTime(); err != nil {
			return nil, err
		}
		if list[i].resident, err = p.Resident(); err != nil {
			return nil, err
		}
	}
	return list, nil
}
