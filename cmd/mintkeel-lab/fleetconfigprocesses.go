package main

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

// configurationProcessTotals sum up histories in which daemon processes agree on a configuration.
type configurationProcessTotals struct {
	fleet.Report           // sums of the counts; no other field is set
	catchUpTimes []float64 // ms from the recovery until the newest version was in force
	afterPut     []float64 // ms from a put after the catch-up until its version was in force
}

// playConfigurationProcesses runs histories in which daemon processes agree on a configuration.
// It prints the totals even if the histories end early.
func (r *fleetRun) playConfigurationProcesses(c *cobra.Command) error {
	daemon, remove, err := labDaemon(c.Context(), r.daemon)
	if err != nil {
		return err
	}
	defer remove()
	var mu sync.Mutex
	var totals configurationProcessTotals
	failures := failureLog{keepGoing: r.keepGoing, out: c.ErrOrStderr()}
	err = r.play(c.Context(), func(seed int64) error {
		controllers := r.controllersOf(seed, fleetSizes)
		scene := fleet.ConfigurationScene(daemon, seed, controllers, r.faults)
		report, err := r.playScene(c, scene)
		mu.Lock()
		defer mu.Unlock()
		if broken, ok := errors.AsType[*brokenHistoryError](err); ok {
			return failures.add(broken)
		}
		if err != nil {
			return err
		}
		totals.add(&report)
		return nil
	})
	totals.print(c.OutOrStdout(), failures.count)
	return failures.result(err, r.count)
}

func (t *configurationProcessTotals) add(report *fleet.Report) {
	t.ConfigProposals += report.ConfigProposals
	t.ConfigAgreed += report.ConfigAgreed
	t.ConfigApplied += report.ConfigApplied
	t.ConfigRefused += report.ConfigRefused
	t.ConfigStatuses += report.ConfigStatuses
	t.catchUpTimes = append(t.catchUpTimes, milliseconds(report.ConfigCatchUp))
	t.afterPut = append(t.afterPut, milliseconds(report.ConfigAfterPut))
}

func (t *configurationProcessTotals) print(out io.Writer, failed int) {
	fmt.Fprintf(out, "%d configuration histories with processes passed, %d failed\n",
		len(t.catchUpTimes), failed)
	fmt.Fprintf(out, "%d proposals, %d agreed; %d versions applied, "+
		"%d refused by controllers that can't use them; %d statuses\n",
		t.ConfigProposals, t.ConfigAgreed, t.ConfigApplied, t.ConfigRefused, t.ConfigStatuses)
	fmt.Fprintf(out,
		"newest version in force after the recovery: %s ms\nversion of a later put in force: %s ms\n",
		distribution(t.catchUpTimes), distribution(t.afterPut))
}
