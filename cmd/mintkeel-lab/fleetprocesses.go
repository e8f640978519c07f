package main

import (
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

// maintainedEngines is the number of engines in a history with the maintenance script.
const maintainedEngines = 6

// processTotals sum up histories of fleets of processes.
type processTotals struct {
	fleet.Report               // sums of the counts; no other field is set
	recoveries       []float64 // ms from the last fault until the fleet had recovered
	unheld           []float64 // ms between the effects of two successive holders of a lease
	maintenanceTimes []float64 // ms from the recovery until all engines were back in service
}

// playProcesses runs histories of leases with daemons as processes.
func (r *fleetRun) playProcesses(c *cobra.Command) error {
	daemon, remove, err := labDaemon(c.Context(), r.daemon)
	if err != nil {
		return err
	}
	defer remove()
	var mu sync.Mutex
	var totals processTotals
	err = r.play(c.Context(), func(seed int64) error {
		scene := fleet.UsualScene(daemon, seed, r.controllersOf(seed, fleetSizes), r.faults)
		if r.script == maintenanceScript {
			scene.Engines = maintainedEngines
			scene.MaxUnavailable = 1 + int(seed%2)
		}
		report, err := r.playScene(c, scene)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		totals.add(&report)
		return nil
	})
	if err != nil {
		return err
	}
	totals.print(c.OutOrStdout(), r.count)
	if r.script == maintenanceScript {
		totals.printMaintenance(c.OutOrStdout())
	}
	return nil
}

// brokenHistoryError reports a history with processes in which a checker found a fault.
type brokenHistoryError struct {
	scene  fleet.Scene
	broken string // the checker's finding
	events string // events of the history, one per line
}

func (e *brokenHistoryError) Error() string {
	return fmt.Sprintf("seed %d, %d controllers, %d of them voters: %s\n%v\n%s", e.scene.Seed,
		e.scene.Nodes, e.scene.Voters, e.broken, e.scene.Script, e.events)
}

// playScene runs one history with processes. The error is a brokenHistoryError if a checker found
// a fault, and another one if the history could not be run.
func (r *fleetRun) playScene(c *cobra.Command, scene fleet.Scene) (fleet.Report, error) {
	events := r.newEventLog(c.ErrOrStderr())
	scene.Log = events.add
	report, err := fleet.PlayProcesses(c.Context(), scene)
	if err != nil {
		return report, fmt.Errorf("seed %d: %w", scene.Seed, err)
	}
	if report.Broken != "" {
		return report, &brokenHistoryError{scene, report.Broken, events.String()}
	}
	return report, nil
}

func (t *processTotals) add(report *fleet.Report) {
	t.Effects += report.Effects
	t.Refused += report.Refused
	t.PeerEffects += report.PeerEffects
	t.Commands += report.Commands
	t.Answered += report.Answered
	t.Shed += report.Shed
	t.Failed += report.Failed
	t.Returned += report.Returned
	if report.Maintained > 0 {
		t.maintenanceTimes = append(t.maintenanceTimes, milliseconds(report.Maintained))
	}
	t.recoveries = append(t.recoveries, milliseconds(report.Recovery))
	for _, unheld := range report.HolderGaps {
		t.unheld = append(t.unheld, milliseconds(unheld))
	}
}

func (t *processTotals) print(out io.Writer, histories int) {
	fmt.Fprintf(out, "%d histories with processes, no violation\n", histories)
	fmt.Fprintf(out, "%d effects accepted by the endpoint, %d refused there by their token, "+
		"%d accepted by controllers\n",
		t.Effects, t.Refused, t.PeerEffects)
	fmt.Fprintf(out, "%d commands: %d answered, %d shed, %d failed, none lost\n",
		t.Commands, t.Answered, t.Shed, t.Failed)
	fmt.Fprintf(out,
		"recovery after the last fault: %s ms\nbetween the effects of two successive holders: %s ms\n",
		distribution(t.recoveries), distribution(t.unheld))
}

func (t *processTotals) printMaintenance(out io.Writer) {
	fmt.Fprintf(out, "%d engines were taken out once and are back, never more at once than allowed, "+
		"no command at one that was reported free; all back after the recovery: %s ms\n",
		t.Returned, distribution(t.maintenanceTimes))
}
