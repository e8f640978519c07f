package membership

import (
	"fmt"
	"slices"

	"mintkeel/internal/lab/scale/slope"
)

// column is one cost of a scenario; it gives a row.
type column struct {
	cost, unit string
	budget     float64
	log        bool // the cost grows with the logarithm of the size
	note       string
	value      func([]outcome) float64
}

const sentNote = "sent by one controller with headers, acknowledgements and handshakes; as much is received; " + budgetNote

var (
	bytesColumn = column{cost: "bytes sent", unit: "bytes/s", budget: bytesBudget, note: sentNote,
		value: mean(func(o outcome) float64 { return o.costs.bytes })}
	busiestColumn = column{cost: "bytes sent by the busiest controller in its busiest second", unit: "bytes",
		value: maximum(func(o outcome) []float64 { return []float64{o.costs.busiest} })}
	falseSuspicionsColumn = column{cost: "suspicions of controllers that run, whole fleet", unit: "1/h",
		value: mean(func(o outcome) float64 { return o.costs.falseSuspicions })}
	falseDeathsColumn = column{cost: "controllers that run and are taken to be gone, whole fleet", unit: "1/h",
		value: mean(func(o outcome) float64 { return o.costs.falseDeaths })}
	messagesColumn = column{cost: "messages sent", unit: "1/s", value: mean(func(o outcome) float64 { return o.costs.messages })}
	wakeUpsColumn  = column{cost: "wake-ups", unit: "1/s", note: "timers, and messages that come in",
		value: mean(func(o outcome) float64 { return o.costs.wakeUps })}
	handshakesColumn = column{cost: "bytes of opening and closing connections", unit: "bytes/s", note: "part of the bytes sent",
		value: mean(func(o outcome) float64 { return o.costs.handshakeBytes })}
	healedColumn = column{cost: "bytes sent in the minute after the region is back", unit: "bytes/s", budget: bytesBudget,
		note: sentNote, value: mean(func(o outcome) float64 { return o.healed.bytes })}
	healedBusiestColumn = column{cost: "bytes sent by the busiest controller in its busiest second after the region is back",
		unit: "bytes", value: maximum(func(o outcome) []float64 { return []float64{o.healed.busiest} })}
)

var steadyColumns = slices.Concat(
	[]column{bytesColumn, handshakesColumn, messagesColumn, wakeUpsColumn, falseSuspicionsColumn, falseDeathsColumn},
	timeColumns("until a death is known to all", func(o outcome) []float64 { return o.deaths }),
	timeColumns("until a new controller is known to all", func(o outcome) []float64 { return o.joins }),
)

var zoneColumns = slices.Concat(
	[]column{bytesColumn, busiestColumn},
	timeColumns("from the last start until all know all", func(o outcome) []float64 { return o.converged }),
)

var regionColumns = slices.Concat(
	[]column{bytesColumn, healedColumn, healedBusiestColumn},
	timeColumns("from the region's return until all know all", func(o outcome) []float64 { return o.converged }),
)

// timeColumns returns columns of the median, the 99th percentile and the maximum of times.
func timeColumns(cost string, times func(outcome) []float64) []column {
	of := func(name string, share float64) column {
		return column{cost: cost + ", " + name, unit: "ms", log: true, value: quantile(share, times)}
	}
	return []column{of("median", 0.5), of("99th percentile", 0.99), of("most", 1)}
}

// row returns the column's row over all sizes.
func (c column) row(condition string, o Options, outcomes [][]outcome) slope.Row {
	row := slope.Row{Role: "controller", Cost: "membership: " + c.cost, Unit: c.unit, Per: "controllers", Condition: condition,
		Method: "virtual time", Target: controllers, Budget: c.budget, Log: c.log, Note: c.note}
	if row.Note != "" {
		row.Note += "; "
	}
	row.Note += fmt.Sprintf("%d seeds from %d", o.Seeds, o.Seed)
	for i, size := range o.sizes() {
		row.Points = append(row.Points, slope.Point{Size: float64(size), Value: c.value(outcomes[i])})
	}
	return row
}

func mean(value func(outcome) float64) func([]outcome) float64 {
	return func(outcomes []outcome) (sum float64) {
		for _, o := range outcomes {
			sum += value(o) / float64(len(outcomes))
		}
		return sum
	}
}

func maximum(values func(outcome) []float64) func([]outcome) float64 { return quantile(1, values) }

// quantile returns a function for the smallest value such that the given share of all values does not exceed it.
func quantile(share float64, values func(outcome) []float64) func([]outcome) float64 {
	return func(outcomes []outcome) float64 {
		var all []float64
		for _, o := range outcomes {
			all = append(all, values(o)...)
		}
		if len(all) == 0 {
			return 0
		}
		slices.Sort(all)
		rank := int(share*float64(len(all))+0.999999) - 1
		return all[max(0, min(len(all)-1, rank))]
	}
}
