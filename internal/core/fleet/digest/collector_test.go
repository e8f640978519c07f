package digest

import (
	"fmt"
	"math"
	"testing"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// engine returns the statistics of an engine that has only successes.
func engine(
	id router.EngineID, at, slowdown, weight float64, leader router.EngineID,
) router.EngineStatistics {
	return router.EngineStatistics{
		At:             at,
		Engine:         id,
		Slowdown:       router.WeightedMean{Mean: slowdown, Weight: weight},
		ThreadsPerCore: 2,
		Outcomes:       0xff,
		PoolLeader:     leader,
	}
}

// TestMergeWeighsByWeightAndAge: figures are means weighted by weight and age, the health of an
// engine is that of the newest record, and pools are those of the report with the highest demand.
func TestMergeWeighsByWeightAndAge(t *testing.T) {
	const now = 1e6
	var collector Collector
	bad := engine("s1", now-1, 4, 3, "s1")
	bad.Outcomes = 0x0f
	collector.Add(Report{From: "a", At: now, Statistics: router.Statistics{
		Engines: []router.EngineStatistics{engine("s1", now-30000, 2, 3, "s2"), engine("s2", now, 1, 1, "s2")},
		Tables: []router.TableStatistics{
			{At: now, Tables: 1, Demand: 10, MemoryTime: 4, PoolLeaders: []router.EngineID{"s2"}},
		},
		Classes: []router.ClassStatistics{{
			At:              now,
			UnloadedTime:    2,
			FirstTryTimeout: 900,
			WorkScale:       router.WeightedMean{Mean: 1, Weight: 1},
		}},
	}})
	collector.Add(Report{From: "b", At: now, Statistics: router.Statistics{
		Engines: []router.EngineStatistics{bad},
		Tables: []router.TableStatistics{
			{At: now, Tables: 1, Demand: 2, PoolLeaders: []router.EngineID{"s1"}},
			{At: now, Tables: 2, Demand: 4},
			{At: now, Tables: 3, Demand: math.Inf(1)},
		},
		Classes: []router.ClassStatistics{{
			At:              now,
			UnloadedTime:    4,
			FirstTryTimeout: 1000,
			WorkScale:       router.WeightedMean{Mean: 3, Weight: 3},
		}},
	}})
	merged := collector.Merge(now, restore.DefaultHalfLives())
	if len(merged.Engines) != 2 || len(merged.Tables) != 2 || len(merged.Classes) != 1 {
		t.Fatalf("got digest %+v, want 2 engines, 2 table groups and 1 class", merged)
	}
	s1 := merged.Engines[0]
	want := (2*1.5 + 4*3) / 4.5 // the first record is a half-life old
	if math.Abs(s1.Slowdown.Mean-want) > 0.01 {
		t.Errorf("got slowdown %g, want %g", s1.Slowdown.Mean, want)
	}
	if s1.Outcomes != 0x0f || s1.PoolLeader != "s2" {
		t.Errorf("engine: got %+v, want the newest record's health and the pool of the report with the highest demand", s1)
	}
	first, second := merged.Tables[0], merged.Tables[1]
	if first.Demand != 6 || first.PoolLeaders[0] != "s2" || second.Demand != 2 {
		t.Errorf("got table groups %+v, want demands 6 and 2, and pools of the report with the highest demand",
			merged.Tables)
	}
	if p := merged.Classes[0]; p.FirstTryTimeout != 1000 || p.UnloadedTime != 3 || p.WorkScale.Mean != 2.5 {
		t.Errorf("got class %+v, want the longest timeout 1000 and the means 3 and 2.5", p)
	}
	if merged := collector.Merge(now+maxReportAge+1, restore.DefaultHalfLives()); merged.Len() != 0 {
		t.Errorf("got digest %+v after maxReportAge, want an empty one", merged)
	}
}

// TestOrderOfReportsChangesNothing: reports in another order give the same digest, and an older
// report does not replace a newer one.
func TestOrderOfReportsChangesNothing(t *testing.T) {
	var g, h Collector
	var reports []Report
	for i := range 10 {
		engines := []router.EngineStatistics{engine("s", float64(i), float64(i), 1, "s")}
		reports = append(reports, Report{
			From:       members.ID(fmt.Sprint(i)),
			At:         float64(i),
			Statistics: router.Statistics{Engines: engines},
		})
	}
	for i := range reports {
		g.Add(reports[i])
		h.Add(reports[len(reports)-1-i])
	}
	h.Add(Report{From: "9", At: 1})
	inOrder := fmt.Sprint(g.Merge(20, restore.DefaultHalfLives()))
	reversed := fmt.Sprint(h.Merge(20, restore.DefaultHalfLives()))
	if inOrder != reversed {
		t.Errorf("the digest depends on the order of reports:\n%s\n%s", inOrder, reversed)
	}
}

// TestDigestIsBounded: however many reports, table groups and engines are added, the digest stays
// within its bounds.
func TestDigestIsBounded(t *testing.T) {
	var collector Collector
	for i := range 3 * maxReports {
		report := Report{From: members.ID(fmt.Sprint(i)), At: float64(i)}
		for j := range 200 {
			tables := router.TableStatistics{Tables: router.TableGroup(i*200 + j), Demand: float64(j)}
			report.Statistics.Tables = append(report.Statistics.Tables, tables)
			e := engine(router.EngineID(fmt.Sprint(i, j)), 0, 1, 1, "")
			report.Statistics.Engines = append(report.Statistics.Engines, e)
		}
		collector.Add(report)
	}
	merged := collector.Merge(200, restore.DefaultHalfLives())
	if collector.Len(200) > maxReports || len(merged.Tables) > MaxTables || len(merged.Engines) > MaxEngines {
		t.Errorf("got %d reports, %d table groups, %d engines, of which one exceeds its bound",
			collector.Len(200), len(merged.Tables), len(merged.Engines))
	}
}
