package main

import (
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// The simulator's words for values and actions are mapped to the module's terms in this file alone;
// the names of its messages and their fields are mapped in internal/simwire.

// engineStates are the states of an engine, by their numbers.
var engineStates = map[int64]router.EngineState{
	0: router.Draining,
	2: router.Ready,
	3: router.Gone,
}

// progressKinds are the kinds of progress messages, by their numbers. Of any other number the kind
// is router.ProgressOther.
var progressKinds = map[int64]router.ProgressKind{
	1:               router.ProgressDone,
	2:               router.ProgressSpilling,
	progressBlocked: router.ProgressWaitsForMemory,
}

const (
	// progressBlocked is the kind of a message that an attempt waits.
	progressBlocked = 3
	// blockedByTables is the value with progressBlocked of an attempt that waits for locked tables.
	// With other values it waits for memory.
	blockedByTables = 2
)

// outcomes are the outcomes of attempts and health checks.
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

// Names of the actions.
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

// The cost of a success is one number: work * costMemoryUnits + memory / costMemoryMB.
const (
	costMemoryUnits = 4096 // number of values that the memory can have
	costMemoryMB    = 4    // MB of a unit of memory
)

// unpackCost returns the work, in ms on one thread, and the memory of a success.
func unpackCost(cost int64) (work, memoryMB float64) {
	return float64(cost / costMemoryUnits), float64(cost%costMemoryUnits) * costMemoryMB
}

// noTenant is the tenant of a query that names none of the settings' tenants.
const noTenant router.TenantID = -1

// names map the names of the settings to the module's ids.
type names settings.Names

// machineKind is the id of a machine kind; -1: it is not among the settings.
func (n *names) machineKind(name string) router.KindID {
	return (*settings.Names)(n).MachineKind(name)
}

// loadReport returns the load report of values that stand in the order of the settings; nil: there
// is none.
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
