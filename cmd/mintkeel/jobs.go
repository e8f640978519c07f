package main

import (
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/fleet/sharedstatistics"
	"mintkeel/router"
)

// programs are what this controller can do for the fleet.
func (d *daemon) programs() []job.Job {
	programs := []job.Job{sharedstatistics.NewJob(d.learner())}
	if d.file.Maintenance == nil {
		return programs
	}
	facts := d.start.facts
	k := maintenance.Host{Engines: d.loop.EngineStatuses, Hold: d.loop.HoldEngines,
		Kinds: make([]string, len(facts.MachineKinds)), Log: d.log}
	for name, i := range facts.Names.MachineKinds {
		if int(i) >= 0 && int(i) < len(k.Kinds) {
			k.Kinds[i] = name
		}
	}
	for _, p := range facts.Classes {
		if p.Kinds != nil {
			k.Bounds = append(k.Bounds, p.Kinds)
		}
	}
	d.conductor = maintenance.NewJob(k, *d.file.Maintenance)
	return append(programs, d.conductor)
}

// learner is what the fleet's digest needs of this controller. One that remembers for itself takes nothing from others.
func (d *daemon) learner() sharedstatistics.Host {
	l := sharedstatistics.Host{Source: d.loop, Settings: d.identity().Settings, Log: d.log}
	if !d.remembers {
		l.Remember = func(learned router.Statistics) { go d.restoreDigest(learned) } // it may wait
	}
	return l
}

// restoreDigest takes over what the fleet knows. Where the fleet's configuration says whether this controller remembers for
// itself, that is waited for.
func (d *daemon) restoreDigest(learned router.Statistics) {
	if d.agreed != nil && !d.agreed.wantsDigest() {
		return
	}
	d.loop.RestoreStatistics(func(list []router.Endpoint) router.Statistics {
		now := float64(time.Now().UnixMicro()) / 1e3
		m := restore.Snapshot{Owner: d.identity(), Statistics: learned}
		believed, account := restore.Select(&m, d.identity(), list, now, restore.DefaultHalfLives())
		d.log.Info("fleet: the digest", "believed", account.Restored, "aged", account.Expired, "future", account.FromFuture,
			"unknown", account.UnknownEngines, "wrong", account.Invalid)
		return believed
	})
}
