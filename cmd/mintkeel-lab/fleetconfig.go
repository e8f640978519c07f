package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

// configurationSizes is the number of fleet sizes drawn in virtual time: 3 to 12 controllers.
const configurationSizes = 10

// configurationTotals sum up histories of a fleet's configuration in virtual time.
type configurationTotals struct {
	applied    int // versions that came into force at a controller
	proposed   int
	agreed     int // proposals that were committed
	lost       int // proposals that failed because another was committed first
	refused    int // proposals that were refused
	unanswered int // proposals without an answer
	statuses   int // status requests of operators
	noMajority int // histories that lost the folders of most voters; the other sums exclude them

	catchUpTimes []float64 // ms from the last heal until the newest version was in force
	afterPut     []float64 // ms from a put after the catch-up until its version was in force
	untilStatus  []float64 // ms from then until a status reported it
}

// playConfiguration runs histories of a fleet's configuration in virtual time. It prints the
// totals even if the histories end early.
func (r *fleetRun) playConfiguration(c *cobra.Command) error {
	var mu sync.Mutex
	var totals configurationTotals
	failures := failureLog{keepGoing: r.keepGoing, out: c.ErrOrStderr()}
	began := time.Now()
	err := r.play(c.Context(), func(seed int64) error {
		plan := fleet.ConfigurationPlan(seed, r.controllersOf(seed, configurationSizes), r.faults)
		world := fleet.NewWorld(plan)
		var broken error
		if world.Play() != "" {
			broken = errors.New(fleet.ShrinkConfiguration(plan))
		}
		mu.Lock()
		defer mu.Unlock()
		if broken != nil {
			return failures.add(broken)
		}
		totals.add(world)
		return nil
	})
	totals.print(c.OutOrStdout(), failures.count, time.Since(began))
	return failures.result(err, r.count)
}

func (t *configurationTotals) add(world *fleet.World) {
	if world.MajorityLost() {
		t.noMajority++
		return
	}
	counts := world.Configuration()
	t.applied += counts.Applications
	t.proposed += counts.Proposals
	t.agreed += counts.Agreed
	t.lost += counts.Lost
	t.refused += counts.Refused
	t.unanswered += counts.Unanswered
	t.statuses += counts.Statuses
	times := world.ConfigurationTimes()
	t.catchUpTimes = append(t.catchUpTimes, times.CatchUp)
	t.afterPut = append(t.afterPut, times.AfterPut)
	t.untilStatus = append(t.untilStatus, times.AfterStatus)
}

func (t *configurationTotals) print(out io.Writer, failed int, took time.Duration) {
	fmt.Fprintf(out, "%d histories of a configuration in virtual time passed, %d failed (%v)\n",
		len(t.catchUpTimes), failed, took.Round(time.Second))
	if t.noMajority > 0 {
		fmt.Fprintf(out, "%d more broke no promise, and ended without a majority, "+
			"as the script lost the folders of most voters\n", t.noMajority)
	}
	fmt.Fprintf(out, "%d versions applied; %d proposals: %d agreed, %d lost, %d refused, "+
		"%d not answered; %d statuses\n",
		t.applied, t.proposed, t.agreed, t.lost, t.refused, t.unanswered, t.statuses)
	fmt.Fprintf(out, "newest in force after the last heal: %s ms\n", distribution(t.catchUpTimes))
	fmt.Fprintf(out, "a put after that in force: %s ms\na status tells it after: %s ms\n",
		distribution(t.afterPut), distribution(t.untilStatus))
}
