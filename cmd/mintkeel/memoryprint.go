package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"mintkeel/internal/memory"
)

// defaultRecordLimit is the number of records of each kind that are printed without --all.
const defaultRecordLimit = 20

func printReport(out io.Writer, report *memory.Report, all bool) error {
	fmt.Fprintf(out, "%s of %s, number %d, %s old, written by %s\n", report.File, report.Name,
		report.Serial, (time.Duration(report.AgeMS) * time.Millisecond).Round(time.Millisecond),
		report.Build)
	if !report.Complete {
		fmt.Fprintln(out, "some of its sections could not be used and were skipped")
	}
	fmt.Fprintf(out, "%d records: %d restorable now, %d expired, %d from the future, "+
		"%d invalid\n",
		report.Records, report.Restorable, report.Expired, report.FromFuture, report.Invalid)
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	table := func(title, head string, n int, line func(i int)) {
		if n == 0 {
			return
		}
		fmt.Fprintf(t, "\n%s\n%s\n", title, head)
		for i := range n {
			if i == defaultRecordLimit && !all {
				fmt.Fprintf(t, "... %d more\n", n-i)
				break
			}
			line(i)
		}
	}
	table("Engines", "id\tage\tweight\tslowdown\tthreads per core\toutcomes\tpool leader",
		len(report.Engines),
		func(i int) {
			e := report.Engines[i]
			fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%08b\t%s\n", e.Engine, ms(e.AgeMS),
				e.RemainingWeight, e.Slowdown, e.ThreadsPerCore, e.Outcomes, e.PoolLeader)
		})
	table("Table groups", "id\tage\tweight\tdemand\tpool leaders", len(report.Tables), func(i int) {
		g := report.Tables[i]
		fmt.Fprintf(t, "%d\t%s\t%.2f\t%.4g\t%v\n", g.Tables, ms(g.AgeMS), g.RemainingWeight, g.Demand,
			g.PoolLeaders)
	})
	table("Profiles", "index\tage\tweight\tunloaded time\twork / estimate\tmemory / estimate",
		len(report.Classes), func(i int) {
			p := report.Classes[i]
			fmt.Fprintf(t, "%d\t%s\t%.2f\t%.4g\t%.3g\t%.3g\n", p.Class, ms(p.AgeMS), p.RemainingWeight,
				p.UnloadedTime, p.WorkScale, p.MemoryScale)
		})
	table("Share of the traffic", "age\tweight\tshare", len(report.Traffic), func(i int) {
		p := report.Traffic[i]
		fmt.Fprintf(t, "%s\t%.2f\t%.3f\n", ms(p.AgeMS), p.RemainingWeight, p.Share)
	})
	return t.Flush()
}

func ms(x int64) time.Duration {
	return (time.Duration(x) * time.Millisecond).Round(time.Millisecond)
}
