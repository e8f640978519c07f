package digest

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// weightedMean accumulates a weighted mean of figures. The zero value has no figures.
type weightedMean struct {
	sum    float64
	weight float64
}

// add adds a figure. One that is not finite, or whose weight is not positive, is ignored.
func (m *weightedMean) add(x, weight float64) {
	if weight > 0 && !math.IsNaN(x) && !math.IsInf(x, 0) {
		m.sum += x * weight
		m.weight += weight
	}
}

// mean returns the mean, or a fallback if no figure was added.
func (m *weightedMean) mean(fallback float64) float64 {
	if m.weight == 0 {
		return fallback
	}
	return m.sum / m.weight
}

// weighted returns the mean, or a fallback, with the total weight of the figures.
func (m *weightedMean) weighted(fallback float64) router.WeightedMean {
	return router.WeightedMean{Mean: m.mean(fallback), Weight: m.weight}
}

// engineProcess is one run of an engine's process. Figures from before a restart are those of
// another process.
type engineProcess struct {
	engine    router.EngineID
	startedAt float64 // ms; 0: long ago
}

// compareProcesses orders processes by engine and start.
func compareProcesses(a, b engineProcess) int {
	return cmp.Or(cmp.Compare(a.engine, b.engine), cmp.Compare(a.startedAt, b.startedAt))
}

// engineSum accumulates the reports' records of one engine process.
type engineSum struct {
	slowdown       weightedMean
	threadsPerCore weightedMean
	newest         router.EngineStatistics
	poolLeader     router.EngineID
}

// mergeEngines merges the engines of all reports, and takes their pools from the report with the
// index poolReport.
func mergeEngines(
	reports []Report, poolReport int, now float64, halfLives restore.HalfLives,
) (merged []router.EngineStatistics) {
	sums := map[engineProcess]*engineSum{}
	for i, report := range reports {
		for _, e := range report.Statistics.Engines {
			process := engineProcess{engine: e.Engine, startedAt: e.StartedAt}
			sum := sums[process]
			if sum == nil {
				if len(sums) >= MaxEngines {
					continue
				}
				sum = &engineSum{newest: e}
				sums[process] = sum
			}
			age := now - e.At
			slowdownWeight := e.Slowdown.Weight * restore.RemainingWeight(age, halfLives.Slowdown)
			sum.slowdown.add(e.Slowdown.Mean, slowdownWeight)
			threadsWeight := restore.RemainingWeight(age, halfLives.ThreadsPerCore)
			sum.threadsPerCore.add(e.ThreadsPerCore, threadsWeight)
			if e.At > sum.newest.At {
				sum.newest = e
			}
			if i == poolReport {
				sum.poolLeader = e.PoolLeader
			}
		}
	}
	for _, process := range slices.SortedFunc(maps.Keys(sums), compareProcesses) {
		sum := sums[process]
		e := sum.newest
		e.Slowdown = sum.slowdown.weighted(1)
		e.ThreadsPerCore = sum.threadsPerCore.mean(e.ThreadsPerCore)
		e.PoolLeader = sum.poolLeader
		merged = append(merged, e)
	}
	return merged
}

// tableSum accumulates the reports' records of one table group.
type tableSum struct {
	demand      float64 // sum, weighted by age
	memoryTime  float64 // sum, weighted by age
	newest      router.TableStatistics
	poolLeaders []router.EngineID
}

// mergeTables merges the table groups of all reports, and takes their pools from the report with
// the index poolReport. A group's demand is the mean over all reports, including those without
// demand for it.
func mergeTables(
	reports []Report, poolReport int, now float64, halfLives restore.HalfLives,
) (merged []router.TableStatistics) {
	sums := map[router.TableGroup]*tableSum{}
	weights := 0.0
	for i, report := range reports {
		weight := restore.RemainingWeight(now-report.At, halfLives.Tables)
		weights += weight
		for _, t := range report.Statistics.Tables {
			if !validFigures(t) {
				continue
			}
			sum := sums[t.Tables]
			if sum == nil {
				sum = &tableSum{newest: t}
				sums[t.Tables] = sum
			}
			sum.demand += t.Demand * weight
			sum.memoryTime += t.MemoryTime * weight
			if t.At > sum.newest.At {
				sum.newest = t
			}
			if i == poolReport {
				sum.poolLeaders = t.PoolLeaders
			}
		}
	}
	for _, group := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[group]
		t := sum.newest
		t.PoolLeaders = sum.poolLeaders
		if weights > 0 {
			t.Demand = sum.demand / weights
			t.MemoryTime = sum.memoryTime / weights
		}
		merged = append(merged, t)
	}
	return highestDemandTables(merged)
}

// validFigures reports whether the figures of a table group are neither negative nor infinite nor
// NaN.
func validFigures(t router.TableStatistics) bool {
	return t.Demand >= 0 && t.MemoryTime >= 0 && !math.IsInf(t.Demand+t.MemoryTime, 0)
}

// highestDemandTables returns the MaxTables table groups with the highest demand, sorted by number.
func highestDemandTables(tables []router.TableStatistics) []router.TableStatistics {
	if len(tables) <= MaxTables {
		return tables
	}
	slices.SortStableFunc(tables, func(a, b router.TableStatistics) int {
		return cmp.Compare(b.Demand, a.Demand)
	})
	tables = tables[:MaxTables]
	slices.SortFunc(tables, func(a, b router.TableStatistics) int {
		return cmp.Compare(a.Tables, b.Tables)
	})
	return tables
}

// classSum accumulates the reports' records of one query class.
type classSum struct {
	unloadedTime    weightedMean
	workScale       weightedMean
	memoryScale     weightedMean
	firstTryTimeout float64
	at              float64
}

// mergeClasses merges the query classes of all reports.
func mergeClasses(
	reports []Report, now float64, halfLives restore.HalfLives,
) (merged []router.ClassStatistics) {
	sums := map[router.ClassID]*classSum{}
	for _, report := range reports {
		for _, class := range report.Statistics.Classes {
			sum := sums[class.Class]
			if sum == nil {
				sum = &classSum{}
				sums[class.Class] = sum
			}
			weight := restore.RemainingWeight(now-class.At, halfLives.Classes)
			if class.UnloadedTime > 0 {
				sum.unloadedTime.add(class.UnloadedTime, weight)
			}
			sum.workScale.add(class.WorkScale.Mean, class.WorkScale.Weight*weight)
			sum.memoryScale.add(class.MemoryScale.Mean, class.MemoryScale.Weight*weight)
			sum.firstTryTimeout = max(sum.firstTryTimeout, class.FirstTryTimeout)
			sum.at = max(sum.at, class.At)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[id]
		merged = append(merged, router.ClassStatistics{
			At:              sum.at,
			Class:           id,
			FirstTryTimeout: sum.firstTryTimeout,
			UnloadedTime:    sum.unloadedTime.mean(0),
			WorkScale:       sum.workScale.weighted(1),
			MemoryScale:     sum.memoryScale.weighted(1),
		})
	}
	return merged
}
