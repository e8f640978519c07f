package main

import (
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// This file alone maps the simulator's names of values and actions to the module's terms. The names
// of messages and their fields are mapped in internal/simwire.

// engineStates maps an engine's state on the wire to the module's.
var engineStates = map[int64]router.EngineState{
	0: router.Draining,
	2: router.Ready,
	3: router.Gone,
}

// progressKinds maps the kind of a progress message on the wire to the module's. Any other number
// stands for router.ProgressOther.
var progressKinds = map[int64]router.ProgressKind{
	1:               router.ProgressDone,
	2:               router.ProgressSpilling,
	progressBlocked: router.ProgressWaitsForMemory,
}

const (
	// progressBlocked is the kind of a message which reports that an attempt is blocked.
	progressBlocked = 3
	// blockedByTables is the value of a progressBlocked message if the attempt waits for locked
	// tables. Any other value means that it waits for memory.
	blockedByTables = 2
)

// outcomes maps the outcomes of attempts and health checks on the wire to the module's.
var outcomes = map[string]router.Outcome{
	"done":         router.Succeeded,
	"err":          router.Errored,
	"busy":         router.EngineFull,
	"etimedout":    router.TimedOut,
	"econnrefused": router.ConnectFailed,
	"econnreset":   router.ConnectionReset,
	"ecanceled":    router.Cancelled,
	"skipped":      router.NotSent,
}

// Names of the actions on the wire.
const (
	actionStartAttempt  = "submit_to"
	actionCancelAttempt = "recall"
	actionReject        = "deny"
	actionFail          = "finish_error"
	actionSetTimer      = "set_timer"
	actionCheckHealth   = "touch"
	actionSubscribe     = "follow"
	// reportPanic reports a panic of the module, in place of its actions.
	reportPanic = "bug"
)

// The cost of a successful attempt is packed into one number:
// work * costMemoryUnits + memory / costMemoryMB.
const (
	costMemoryUnits = 4096 // number of distinct memory values
	costMemoryMB    = 4    // MB in a unit of memory
)

// unpackCost returns the work, in ms on one thread, and the memory of a successful attempt.
func unpackCost(cost int64) (work, memoryMB float64) {
	return float64(cost / costMemoryUnits), float64(cost%costMemoryUnits) * costMemoryMB
}

// noTenant is the tenant of a query that names no tenant of the settings.
const noTenant router.TenantID = -1

// names maps the names in the settings to the module's ids.
type names settings.Names

// machineKind returns the id of a machine kind; -1 if the settings don't have it.
func (n *names) machineKind(name string) router.KindID {
	return (*settings.Names)(n).MachineKind(name)
}

// loadReport returns the load report with the given values, which are in the order of the settings'
// report fields; nil without values.
func (n *names) loadReport(values []float64) *router.LoadReport {
	if values == nil {
		return nil
	}
	report := settings.UnknownLoad()
	for i, x := range values[:min(len(values), len(n.ReportFields))] {
		settings.SetLoadField(report, n.ReportFields[i], x)
	}
	return report
}
