// Package scale measures how each cost of a fleet grows with its size, and estimates the costs of a fleet of the target
// size. The measurements are in the packages below this one, which holds their registry, the table of results, and the
// reader of the page that lists the costs known to be over their budget.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"mintkeel/internal/lab/scale/datapath"
	"mintkeel/internal/lab/scale/hollow"
	"mintkeel/internal/lab/scale/membership"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/scale/spread"
)

// Options configure a run of measurements.
type Options struct {
	Quick   bool
	Seed    int64
	Sizes   []int                            // sizes of the fleets of hollow controllers; nil: the defaults
	Command func(context.Context) *exec.Cmd  // runs hollow.ServeChild in a child process
	Logf    func(format string, args ...any) // logs each measured figure; nil: no log
}

// Measurement measures some rows. Together with an error, Run returns the rows that it could measure.
type Measurement struct {
	Name string
	Run  func(ctx context.Context, o Options) ([]slope.Row, error)
}

// Measurements returns all measurements in the order in which Run makes them.
func Measurements() []Measurement {
	return []Measurement{
		{"hollow", hollowMeasurement(hollow.Measure)},
		{"agreement", hollowMeasurement(hollow.MeasureAgreement)},
		{"digest", hollowMeasurement(hollow.MeasureDigest)},
		{"day", hollowMeasurement(hollow.MeasureDay)},
		{"loss", hollowMeasurement(hollow.MeasureLoss)},
		{"leases", measureLeases},
		{"membership", measureMembership},
		{"datapath", measureDataPath},
		{"spread", measureSpread},
	}
}

func measureMembership(ctx context.Context, o Options) ([]slope.Row, error) {
	return membership.Measure(ctx, membership.Options{Quick: o.Quick, Seed: o.Seed})
}

func measureDataPath(ctx context.Context, o Options) ([]slope.Row, error) {
	return datapath.Measure(ctx, datapath.Options{Quick: o.Quick, Seed: o.Seed})
}

func measureSpread(ctx context.Context, o Options) ([]slope.Row, error) {
	return spread.Measure(ctx, spread.Options{Quick: o.Quick, Seed: o.Seed})
}

func hollowMeasurement(measure func(context.Context, hollow.Options) ([]slope.Row, error)) func(context.Context, Options) ([]slope.Row, error) {
	return func(ctx context.Context, o Options) ([]slope.Row, error) {
		return measure(ctx, hollow.Options{Quick: o.Quick, Seed: o.Seed, Sizes: o.Sizes, Command: o.Command, Logf: o.Logf})
	}
}

// Select returns the measurements with the given names, or all if there are no names.
func Select(names []string) ([]Measurement, error) {
	all := Measurements()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []Measurement
	for _, name := range names {
		i := slices.IndexFunc(all, func(m Measurement) bool { return m.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown measurement %.40q", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// Run makes measurements one after another or, with Quick, all at the same time: most measurements wait most of the time,
// and none counts the processor time of the others.
func Run(ctx context.Context, measurements []Measurement, o Options) ([]slope.Row, error) {
	rows := make([][]slope.Row, len(measurements))
	errs := make([]error, len(measurements))
	run := func(i int) {
		rows[i], errs[i] = measurements[i].Run(ctx, o)
		if errs[i] != nil {
			errs[i] = fmt.Errorf("%s: %w", measurements[i].Name, errs[i])
		}
	}
	var group sync.WaitGroup
	for i := range measurements {
		if o.Quick {
			group.Go(func() { run(i) })
		} else if ctx.Err() == nil {
			run(i)
		}
	}
	group.Wait()
	return slices.Concat(rows...), errors.Join(errs...)
}

// PrintTable prints rows as a table.
func PrintTable(w io.Writer, rows []slope.Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	printRow := func(cells ...string) { fmt.Fprintf(table, "| %s\t|\n", strings.Join(cells, "\t| ")) }
	printRow("role", "cost", "condition", "method", "sizes", "slope", "residual", "at target", "origin", "budget", "ratio")
	printRow(slices.Repeat([]string{"---"}, 11)...)
	for _, r := range rows {
		line := r.Fit()
		value, _ := r.AtTarget()
		budget, ratio := "", ""
		if r.Budget > 0 {
			budget, ratio = formatFigure(r.Budget)+" "+r.Unit, formatFigure(r.Ratio())
		}
		per := r.Per
		if r.Log {
			per = "doubling of " + r.Per
		}
		printRow(r.Role, r.Cost, r.Condition, r.Method, formatSizes(r), fmt.Sprintf("%s %s per %s", formatFigure(line.Slope), r.Unit, singular(per)),
			formatFigure(line.Residual), fmt.Sprintf("%s %s at %g %s", formatFigure(value), r.Unit, r.Target, r.Per), r.Origin(), budget, ratio)
	}
	return table.Flush()
}

func singular(unit string) string { return strings.TrimSuffix(unit, "s") }

func formatSizes(r slope.Row) string {
	var text []string
	for _, p := range r.Points {
		text = append(text, fmt.Sprintf("%g", p.Size))
	}
	return strings.Join(text, " ")
}

// formatFigure formats a number with three significant digits, or without a fraction from 1000 on.
func formatFigure(x float64) string {
	if x >= 1000 || x <= -1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
