package main

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"mintkeel/internal/await"
	"mintkeel/internal/fleet"
	"mintkeel/internal/operator"
)

// reloadResult holds the files read for a SIGHUP, or the errors of reading them.
type reloadResult struct {
	file      *operator.File
	fileErr   error
	config    *controllerConfig
	configErr error
}

// readFiles reads the operator's file and the configuration, each within limits.ConfigReadTimeout.
// It runs on a goroutine of its own and changes no state.
func (d *daemon) readFiles() (r reloadResult) {
	r.file, r.fileErr = readWithTimeout(d.limits.ConfigReadTimeout, func() (*operator.File, error) {
		return operator.Read(d.sources.operatorPath, d.config.facts)
	})
	r.config, r.configErr = readWithTimeout(d.limits.ConfigReadTimeout,
		func() (*controllerConfig, error) {
			return readControllerConfig(d.sources.configPath)
		})
	return r
}

// applyReload puts in force the fields that may change while running. The operator's file and the
// configuration are each applied completely or not at all; an error is logged, and serving
// continues.
func (d *daemon) applyReload(r reloadResult) {
	if err := d.applyOperatorFile(r.file, r.fileErr); err != nil {
		problems := operator.Problems(err)
		for _, p := range problems {
			d.log.Error("new operator's file not used", "why", p.Error())
		}
		if problems == nil {
			d.log.Error("new operator's file not used", "why", err)
		}
	}
	if r.configErr != nil {
		d.log.Error("new configuration not used", "why", r.configErr)
		return
	}
	d.config.logFixedFields(r.config, d.log)
	d.discovery.SetAddress(r.config.Discovery)
}

// applyOperatorFile puts the controller's own file in force, merged with the fleet's document.
func (d *daemon) applyOperatorFile(own *operator.File, err error) error {
	if err != nil {
		return err
	}
	merged := d.mergeFleetDocument(own)
	if err := d.applyFile(merged); err != nil {
		return err
	}
	d.updateFleetMembership(own.Fleet)
	if d.fleetConfig != nil {
		d.fleetConfig.setLocal(own)
	}
	if d.sources.operatorPath != "" {
		d.log.Info("operator's file read again", "memory", onOff(merged.Memory != nil), "rules",
			ruleCount(merged))
	}
	if d.fleetConfig != nil && d.fleetConfig.version.Number > 0 {
		d.log.Info("configuration version stays in force", versionAttributes(d.fleetConfig.version)...)
	}
	return nil
}

// mergeFleetDocument returns the controller's own file merged with the version of the fleet's
// document that is in force, if there is one. Fields that can't change while running are logged and
// keep their values.
func (d *daemon) mergeFleetDocument(own *operator.File) *operator.File {
	d.resetFixedFields(own)
	if d.fleetConfig == nil || d.fleetConfig.version.Number == 0 {
		return own
	}
	merged := *d.file
	block := *own.Fleet
	block.Leases = d.file.Fleet.Leases
	merged.Fleet = &block
	merged.Config = own.Config
	return &merged
}

// resetFixedFields logs fields that can't change while running, and sets them to those in force.
func (d *daemon) resetFixedFields(own *operator.File) {
	before := d.file
	if d.fleetConfig != nil {
		before = d.fleetConfig.local.Load()
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

// applyFile puts a file in force in place of the previous one. It fails with errRulesBusy, and
// changes nothing, if the event loop accepts no new rules at the moment.
func (d *daemon) applyFile(file *operator.File) error {
	if !d.loop.SetRules(file.Rules) {
		return errRulesBusy
	}
	d.logOutput.Configure(file.Log)
	d.forgetStoppedWriters()
	d.replaceSnapshotWriter(d.file.Memory, file.Memory)
	d.clients.SetRules(file.Rules)
	d.updateFleetSettings(file)
	d.file = file
	return nil
}

// updateFleetSettings passes the leases and the block maintenance of a file to the fleet's service.
func (d *daemon) updateFleetSettings(file *operator.File) {
	if d.maintenanceJob != nil && file.Maintenance != nil {
		d.maintenanceJob.SetBlock(*file.Maintenance)
	}
	if d.fleetConfig != nil && d.fleet != nil {
		d.fleet.SetLeases(file.Fleet.Leases)
	}
}

// updateFleetMembership applies the parts of the block fleet that may change while running: whether
// this controller takes leases (willing), and the keys.
func (d *daemon) updateFleetMembership(block *fleet.Block) {
	if d.fleet == nil {
		return
	}
	d.fleet.SetWilling(block.Willing)
	if err := d.fleet.SetKeys(); err != nil {
		d.log.Error("new keys of the fleet not used", "why", err)
	}
}

// readWithTimeout bounds a read that may hang, for example on a disk that is gone. A late result is
// dropped; the goroutine ends when the read returns.
func readWithTimeout[T any](within time.Duration, read func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	reply := make(chan result, 1)
	go func() {
		value, err := read()
		reply <- result{value, err}
	}()
	r, ok := await.Result(reply, within)
	if !ok {
		return r.value, fmt.Errorf("not read within %v", within)
	}
	return r.value, r.err
}

// errRulesBusy means that the event loop accepts no new rules at the moment; a retry may succeed.
var errRulesBusy = errors.New(
	"rules have changed too often within the last seconds, or too many queries are open: try again")

// logFixedFields logs the fields of a new configuration that differ and are not applied: only the
// address of discovery may change while running.
func (c *controllerConfig) logFixedFields(updated *controllerConfig, log *slog.Logger) {
	for _, kept := range []struct {
		field string
		same  bool
	}{
		{"name", updated.Name == c.Name},
		{"listen", updated.Listen == c.Listen},
		{"limits", updated.Grants == c.Grants},
		{"settings", reflect.DeepEqual(updated.Settings, c.Settings)},
	} {
		if !kept.same {
			log.Warn("field can't change while running", "field", kept.field)
		}
	}
	log.Info("configuration read again", "bulletin", updated.Discovery)
}
