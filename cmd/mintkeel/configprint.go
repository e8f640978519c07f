package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/core/fleet/config"
)

// printStatus prints a status, and returns the error that holds the exit code.
func (cc *configCommands) printStatus(
	c *cobra.Command, local config.Readiness, found configStatus,
) error {
	now := cc.now()
	out := c.OutOrStdout()
	if found.status == nil {
		err := errors.New("where versions are in force is not known: no leader answered")
		if cc.flags.json {
			return cmp.Or(errors.Join(err, found.err), printJSON(c, statusView{Local: localViewOf(local)}))
		}
		fmt.Fprintf(out, "the controller asked: %s\n", formatReadiness(local))
		return errors.Join(err, found.err)
	}
	latest := found.status.Latest.Number
	var err error
	if latest > 0 {
		err = found.resultError(latest, 0)
	}
	if cc.flags.json {
		return cmp.Or(printJSON(c, statusViewOf(found, localViewOf(local), now)), err)
	}
	fmt.Fprintln(out, found.summary(now))
	if found.collectedTooShort() {
		fmt.Fprintf(out, "the leader has collected for %v only: "+
			"controllers not heard may not have reported to it yet\n", collectedFor(found.status))
	}
	fmt.Fprintf(out, "the controller asked: %s\n", formatReadiness(local))
	return err
}

// formatReadiness describes the version that a controller itself has in force.
func formatReadiness(r config.Readiness) string {
	text := fmt.Sprintf("version %d in force", r.Number)
	if r.Number == 0 {
		text = "no version in force, only its own file"
	}
	if r.Latest > r.Number {
		text += fmt.Sprintf(", version %d heard of", r.Latest)
	}
	if !r.Confirmed {
		text += ", not confirmed as the latest"
	}
	return text
}

func printHistory(out io.Writer, versions []config.Version) error {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "version\tagreed\tauthor\tbytes\thash\treason")
	for _, v := range slices.Backward(versions) {
		reason := oneLine(v.Reason)
		if v.RollbackOf > 0 {
			reason = fmt.Sprintf("rollback to %d: %s", v.RollbackOf, reason)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\t%s\n", v.Number,
			time.UnixMilli(v.Time).Format(time.DateTime), oneLine(v.Author), v.Size, shortHash(v), reason)
	}
	return t.Flush()
}
