package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

const (
	fleetSizes    = 7 // number of fleet sizes that are drawn: 3 to 9 controllers
	virtualLeases = 3 // leases of a fleet in virtual time
)

// virtualTotals sum up histories of leases in virtual time.
type virtualTotals struct {
	recoveries []float64 // ms from the last fault until the fleet had recovered
	unheld     []float64 // ms for which a lease had no holder
	effects    int       // effects of lease holders that receivers applied
	overlaps   int       // times that a holder began while another was still acting
	late       int       // effects that arrived after their holder had stopped
}

// playVirtual runs histories of leases in virtual time.
func (r *fleetRun) playVirtual(c *cobra.Command) error {
	var mu sync.Mutex
	var totals virtualTotals
	began := time.Now()
	err := r.play(c.Context(), func(seed int64) error {
		plan := fleet.UsualPlan(seed, r.controllersOf(seed, fleetSizes), virtualLeases, r.faults)
		world := fleet.NewWorld(plan)
		if world.Play() != "" {
			shortest, broken := fleet.Shrink(plan)
			return fmt.Errorf("seed %d, %d controllers, %d of them voters: %s\n%v", seed, plan.Nodes,
				plan.Voters, broken, shortest.Script)
		}
		mu.Lock()
		defer mu.Unlock()
		totals.add(world)
		return nil
	})
	if err != nil {
		return err
	}
	totals.print(c.OutOrStdout(), r.count, time.Since(began))
	return nil
}

func (t *virtualTotals) add(world *fleet.World) {
	t.recoveries = append(t.recoveries, world.Recovery)
	for _, unheld := range world.Checker.Vacancies {
		t.unheld = append(t.unheld, unheld...)
	}
	t.effects += world.Checker.Effects
	t.overlaps += world.Checker.Overlaps
	t.late += world.Checker.LateEffects
}

func (t *virtualTotals) print(out io.Writer, histories int, took time.Duration) {
	fmt.Fprintf(out, "%d histories in virtual time, no violation (%v)\n", histories,
		took.Round(time.Second))
	fmt.Fprintf(out, "%d effects applied; %d times a holder began while another was still acting; "+
		"%d effects arrived after their holder had stopped\n", t.effects, t.overlaps, t.late)
	fmt.Fprintf(out, "recovery after the last fault: %s ms\nlease without a holder: %s ms\n",
		distribution(t.recoveries), distribution(t.unheld))
}
