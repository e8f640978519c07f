package main

import (
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/fleet/sharedstatistics"
	"mintkeel/router"
)

// fleetJobs returns the jobs that this controller runs while it holds their leases.
func (d *daemon) fleetJobs() []job.Job {
	jobs := []job.Job{sharedstatistics.NewJob(d.sharedStatisticsHost())}
	if d.file.Maintenance == nil {
		return jobs
	}
	facts := d.config.facts
	host := maintenance.Host{
		Engines: d.loop.EngineStatuses,
		Hold:    d.loop.HoldEngines,
		Kinds:   make([]string, len(facts.MachineKinds)),
		Log:     d.log,
	}
	for name, i := range facts.Names.MachineKinds {
		if int(i) >= 0 && int(i) < len(host.Kinds) {
			host.Kinds[i] = name
		}
	}
	for _, class := range facts.Classes {
		if class.Kinds != nil {
			host.Bounds = append(host.Bounds, class.Kinds)
		}
	}
	d.maintenanceJob = maintenance.NewJob(host, *d.file.Maintenance)
	return append(jobs, d.maintenanceJob)
}

// sharedStatisticsHost gives the shared-statistics job access to this controller. A controller with
// a snapshot of its own restores nothing from others.
func (d *daemon) sharedStatisticsHost() sharedstatistics.Host {
	host := sharedstatistics.Host{Source: d.loop, Settings: d.identity().Settings, Log: d.log}
	if !d.hasOwnSnapshot {
		host.Restore = func(shared router.Statistics) { go d.restoreSharedStatistics(shared) }
	}
	return host
}

// restoreSharedStatistics restores the statistics that the fleet shares. With a block config it
// waits until clients are served, because only then is it known whether this controller has a
// snapshot of its own.
func (d *daemon) restoreSharedStatistics(shared router.Statistics) {
	if d.fleetConfig != nil && !d.fleetConfig.needsSharedStatistics() {
		return
	}
	d.loop.RestoreStatistics(func(list []router.Endpoint) router.Statistics {
		now := float64(time.Now().UnixMicro()) / 1e3
		snapshot := restore.Snapshot{Owner: d.identity(), Statistics: shared}
		restored, counts := restore.Select(&snapshot, d.identity(), list, now, restore.DefaultHalfLives())
		// The keys of the counts are those of mintkeel memory show --json.
		d.log.Info("restored statistics from fleet digest",
			"believed", counts.Restored,
			"aged", counts.Expired,
			"future", counts.FromFuture,
			"unknown", counts.UnknownEngines,
			"wrong", counts.Invalid)
		return restored
	})
}
