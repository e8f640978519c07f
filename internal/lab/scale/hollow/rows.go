package hollow

import (
	"mintkeel/internal/lab/scale/slope"
)

// sizeRow is a row by fleet size, with the name of its figure.
type sizeRow struct {
	figure string
	row    slope.Row
}

const atRest = "at rest"

// sizeRows returns the rows that are measured by fleet size, without their points.
func sizeRows() (rows []sizeRow) {
	for _, role := range []struct{ figure, name, note string }{
		{"controller", "controller", "alone in its process"},
		{"voter", "voter", "one that follows, alone in its process"},
		{"leader", "quorum leader", "alone in its process"},
	} {
		rows = append(rows,
			sizeRow{role.figure + "/bytes", slope.Row{Role: role.name, Cost: "control: bytes sent and received", Unit: "bytes/s",
				Condition: atRest, Budget: budgetBytes, Note: "with TCP headers and handshakes, without the digest"}},
			sizeRow{role.figure + "/sent", slope.Row{Role: role.name, Cost: "control: bytes sent", Unit: "bytes/s", Condition: atRest,
				Note: "with TCP headers and handshakes, without the digest"}},
			sizeRow{role.figure + "/cores", slope.Row{Role: role.name, Cost: "control: processor", Unit: "cores", Condition: atRest,
				Budget: budgetCores, Note: role.note}},
			sizeRow{role.figure + "/memory", slope.Row{Role: role.name, Cost: "control: private memory", Unit: "MB", Condition: atRest,
				Budget: budgetMB, Note: role.note + "; with Go's runtime"}},
			sizeRow{role.figure + "/heap", slope.Row{Role: role.name, Cost: "control: heap and stacks", Unit: "MB", Condition: atRest,
				Note: role.note}},
			sizeRow{role.figure + "/wake-ups", slope.Row{Role: role.name, Cost: "control: wake-ups of threads", Unit: "1/s",
				Condition: atRest, Note: role.note}},
			sizeRow{role.figure + "/files", slope.Row{Role: role.name, Cost: "control: descriptors", Unit: "descriptors", Condition: atRest,
				Note: role.note}},
			sizeRow{role.figure + "/opened", slope.Row{Role: role.name, Cost: "connections opened", Unit: "1/s", Condition: atRest}},
			sizeRow{role.figure + "/connections", slope.Row{Role: role.name, Cost: "connections open, out and in", Unit: "connections",
				Condition: atRest}})
	}
	rows = append(rows,
		sizeRow{"packed/cores", slope.Row{Role: "controller", Cost: "control: processor, many in a process", Unit: "cores", Condition: atRest}},
		sizeRow{"packed/bytes", slope.Row{Role: "controller", Cost: "control: bytes sent and received, mean of many", Unit: "bytes/s",
			Condition: atRest, Budget: budgetBytes}},
		sizeRow{"packed/heap", slope.Row{Role: "controller", Cost: "control: heap and stacks, many in a process", Unit: "MB", Condition: atRest}},
		sizeRow{"loss/known", slope.Row{Role: "fleet", Cost: "membership: a death is known to all", Unit: "ms", Condition: "the leader killed",
			Log: true, Note: "one death at each size"}},
		sizeRow{"leader/free", slope.Row{Role: "quorum leader", Cost: "time without a leader", Unit: "ms", Condition: "the leader killed",
			Budget: budgetPrimaryChange, Note: "one death at each size; seen by all voters"}},
		sizeRow{"holder/free", slope.Row{Role: "lease holder", Cost: "time without a holder", Unit: "ms", Condition: "the holder killed, lease 10 s",
			Budget: budgetPrimaryChange, Note: "one death at each size"}})
	for _, start := range []struct{ figure, condition string }{
		{"start", "all start at once"},
		{"part", "the last 70% start at once"},
		{"zone", "a zone of 10% restarts at once"},
	} {
		rows = append(rows,
			sizeRow{start.figure + "/known", slope.Row{Role: "fleet", Cost: "membership: all know all", Unit: "ms", Condition: start.condition}},
			sizeRow{start.figure + "/median", slope.Row{Role: "fleet", Cost: "membership: half of all know all", Unit: "ms",
				Condition: start.condition}},
			sizeRow{start.figure + "/peak", slope.Row{Role: "voter", Cost: "connections in, at most", Unit: "connections", Condition: start.condition,
				Note: "the bound is 256"}},
			sizeRow{start.figure + "/refused", slope.Row{Role: "fleet", Cost: "connections refused at the bound", Unit: "connections",
				Condition: start.condition, Note: "at all controllers"}},
			sizeRow{start.figure + "/dropped", slope.Row{Role: "fleet", Cost: "messages dropped by senders", Unit: "messages",
				Condition: start.condition, Note: "at all controllers"}})
	}
	return append(rows, massStartRows()...)
}

// massStartRows returns the rows of the usage of a voter and an ordinary controller while many controllers start.
func massStartRows() (rows []sizeRow) {
	for _, rush := range []struct{ figure, condition string }{
		{"part", "the last 70% start at once"},
		{"zone", "a zone of 10% restarts at once"},
	} {
		for _, role := range []string{"voter", "controller"} {
			const note = "mean from the start until all know all, or 30 s where that is sooner (4 s if quick)"
			rows = append(rows,
				sizeRow{rush.figure + "/" + role + "/bytes", slope.Row{Role: role, Cost: "control: bytes sent and received", Unit: "bytes/s",
					Condition: rush.condition, Budget: budgetBytes, Note: note}},
				sizeRow{rush.figure + "/" + role + "/cores", slope.Row{Role: role, Cost: "control: processor", Unit: "cores",
					Condition: rush.condition, Budget: budgetCores, Note: note}})
		}
	}
	return rows
}
