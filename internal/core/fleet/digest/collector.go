package digest

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// Bounds of a digest and a Collector.
const (
	// MaxTables bounds the table groups of a digest; those with the highest demand are kept.
	MaxTables = 3000
	// MaxEngines bounds the engines of a digest.
	MaxEngines = 4000
	// maxReports bounds the reports of a Collector; the oldest are dropped.
	maxReports = 64
	// maxReportAge is the time in ms after which a report is no longer merged.
	maxReportAge = 120000.0
)

// Report is the statistics of one controller. The times of its records are by the clock of the
// controller that merges them (ShiftTimes).
type Report struct {
	From       members.ID
	At         float64 // ms, when it was received
	Statistics router.Statistics
}

// Collector holds the latest report of each controller. The zero value is empty and ready to use.
// It must be used by one goroutine.
type Collector struct {
	reports map[members.ID]Report
}

// Add replaces the report of a controller, unless the present one is newer.
func (c *Collector) Add(report Report) {
	if c.reports == nil {
		c.reports = map[members.ID]Report{}
	}
	if previous, ok := c.reports[report.From]; ok && previous.At > report.At {
		return
	}
	c.reports[report.From] = report
	for len(c.reports) > maxReports {
		delete(c.reports, c.oldest())
	}
}

// oldest returns the controller with the oldest report, the first by name among equals.
func (c *Collector) oldest() members.ID {
	ids := slices.Collect(maps.Keys(c.reports))
	return slices.MinFunc(ids, func(a, b members.ID) int {
		return cmp.Or(cmp.Compare(c.reports[a].At, c.reports[b].At), cmp.Compare(a, b))
	})
}

// Len returns the number of reports that Merge would use now.
func (c *Collector) Len(now float64) int { return len(c.fresh(now)) }

// fresh returns the reports that are not too old, by controller.
func (c *Collector) fresh(now float64) (list []Report) {
	for _, id := range slices.Sorted(maps.Keys(c.reports)) {
		if report := c.reports[id]; now-report.At <= maxReportAge {
			list = append(list, report)
		}
	}
	return list
}

// Merge returns the digest of the reports: each figure is the mean of the reported ones, weighted
// by their weights and ages, and an engine's health is that of the newest record. The engine pools
// are taken from one report alone, as pool leaders of different reports would not fit together:
// from the one with the highest demand, as its assignment is based on the most queries.
func (c *Collector) Merge(now float64, halfLives restore.HalfLives) router.Statistics {
	reports := c.fresh(now)
	poolReport := highestDemandReport(reports)
	return router.Statistics{
		Engines: mergeEngines(reports, poolReport, now, halfLives),
		Tables:  mergeTables(reports, poolReport, now, halfLives),
		Classes: mergeClasses(reports, now, halfLives),
	}
}

// highestDemandReport returns the index of the report with the highest total demand, or -1 if there
// is no report.
func highestDemandReport(reports []Report) int {
	index := -1
	most := -1.0
	for i, report := range reports {
		demand := 0.0
		for _, t := range report.Statistics.Tables {
			if t.Demand > 0 && !math.IsInf(t.Demand, 0) {
				demand += t.Demand
			}
		}
		if demand > most {
			index = i
			most = demand
		}
	}
	return index
}

// ShiftTimes converts the times of records from the clock of the controller that reported them to
// this controller's, which is ahead by a number of ms. Only the ages of records matter, and clocks
// that differ or jump don't change these.
func ShiftTimes(s *router.Statistics, by float64) {
	for i := range s.Engines {
		s.Engines[i].At += by
	}
	for i := range s.Tables {
		s.Tables[i].At += by
	}
	for i := range s.Classes {
		s.Classes[i].At += by
	}
	for i := range s.Traffic {
		s.Traffic[i].At += by
	}
}
