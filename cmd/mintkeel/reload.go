package main

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"mintkeel/internal/fleet"
	"mintkeel/internal/operator"
)

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
	if err := d.takeFile(r.file, r.fileErr); err != nil {
		problems := operator.Problems(err)
		for _, p := range problems {
			d.log.Error("new operator's file not used", "why", p.Error())
		}
		if problems == nil {
			d.log.Error("new operator's file not used", "why", err)
		}
	}
	if r.againErr != nil {
		d.log.Error("new configuration not used", "why", r.againErr)
		return
	}
	d.start.compare(r.again, d.log)
	d.feed.SetAddress(r.again.Feed)
}

// takeFile takes over the controller's own file as it was read again.
func (d *daemon) takeFile(own *operator.File, err error) error {
	if err != nil {
		return err
	}
	whole := d.wholeOf(own)
	if err := d.enforce(whole); err != nil {
		return err
	}
	d.refleet(own.Fleet)
	if d.agreed != nil {
		d.agreed.setLocal(own)
	}
	if d.from.operator != "" {
		d.log.Info("operator's file read again", "memory", onOff(whole.Memory != nil), "rules", ruleCount(whole))
	}
	if d.agreed != nil && d.agreed.version.Number > 0 {
		d.log.Info("configuration version stays in force", versionAttributes(d.agreed.version)...)
	}
	return nil
}

// wholeOf is the file to be in force once a controller's own file was read again: with the document that the fleet agreed
// on, if there is one. What may not change while running is told, and stays as it was.
func (d *daemon) wholeOf(own *operator.File) *operator.File {
	d.keepFields(own)
	if d.agreed == nil || d.agreed.version.Number == 0 {
		return own
	}
	whole, block := *d.file, *own.Fleet
	block.Leases = d.file.Fleet.Leases
	whole.Fleet, whole.Config = &block, own.Config
	return &whole
}

// keepFields sets what may not change while running to what it was.
func (d *daemon) keepFields(own *operator.File) {
	before := d.file
	if d.agreed != nil {
		before = d.agreed.local.Load()
	}
	kept := func(field string) { d.log.Warn("field can't change while running", "field", field) }
	if !own.Fleet.Same(before.Fleet) {
		kept("fleet")
		own.Fleet = before.Fleet
	}
	if (own.Maintenance == nil) != (before.Maintenance == nil) {
		kept("maintenance")
		own.Maintenance = before.Maintenance
	}
	if (own.Config == nil) != (before.Config == nil) {
		kept("config")
		own.Config = before.Config
	}
}

// enforce puts a whole file in force in place of the one before, in one step, or changes nothing.
func (d *daemon) enforce(file *operator.File) error {
	if !d.loop.SetRules(file.Rules) {
		return errRules
	}
	d.lines.Configure(file.Log)
	d.forgetStoppedWriters()
	d.replaceSnapshotWriter(d.file.Memory, file.Memory)
	d.server.SetRules(file.Rules)
	d.tellFleet(file)
	d.file = file
	return nil
}

// tellFleet has this controller's part in the fleet go by the leases of a file, and by its block maintenance.
func (d *daemon) tellFleet(file *operator.File) {
	if d.conductor != nil && file.Maintenance != nil {
		d.conductor.SetBlock(*file.Maintenance)
	}
	if d.agreed != nil && d.fleet != nil {
		d.fleet.SetLeases(file.Fleet.Leases)
	}
}

// refleet takes over what may change of the block fleet while running.
func (d *daemon) refleet(block *fleet.Block) {
	if d.fleet == nil {
		return
	}
	d.fleet.SetWilling(block.Willing)
	if err := d.fleet.SetKeys(); err != nil {
		d.log.Error("new keys of the fleet not used", "why", err)
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
