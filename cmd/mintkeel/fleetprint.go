package main

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"mintkeel/internal/fleet/control"
)

func printMembers(out io.Writer, s control.Status) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(t, "fleet %s, generation %d, as seen by %s\n", s.Fleet, s.Generation, s.Self)
	fmt.Fprintln(t, "controller\tstate\taddress\ttakes leases\trun")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.State, m.Addr, yesNo(m.Willing), m.Run)
	}
	t.Flush()
}

func printLeases(out io.Writer, s control.Status) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	source := "as " + s.Self + " last received them"
	if s.Agreed {
		source = "as the quorum agreed, as far as " + s.Self + " knows"
	}
	fmt.Fprintf(t, "%d leases, %s\nlease\ttoken\tholder\tpreferred holder\n", len(s.Leases), source)
	for _, w := range s.Leases {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", w.Lease, w.Token, cmp.Or(w.Holder, "nobody"), w.Preferred)
	}
	t.Flush()
}

func printQuorum(out io.Writer, s control.Status) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(t, "%s is %s", s.Self, s.Quorum.Role)
	if s.Quorum.Reason != "" {
		fmt.Fprintf(t, ": %s", s.Quorum.Reason)
	}
	fmt.Fprintf(t, "\nleader %s, term %d, record %d\n", cmp.Or(s.Quorum.Leader, "not known"),
		s.Quorum.Term, s.Quorum.Record)
	if len(s.Quorum.Members) > 0 {
		fmt.Fprintln(t, "member\tdisk\tvotes")
	}
	for _, m := range s.Quorum.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\n", m.Name, m.Disk, yesNo(m.Votes))
	}
	t.Flush()
}
