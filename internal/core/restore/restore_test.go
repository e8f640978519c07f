package restore

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintkeel/router"
)

// infiniteHalfLives returns half-lives with which no record decays.
func infiniteHalfLives() HalfLives {
	inf := math.Inf(1)
	return HalfLives{inf, inf, inf, inf, inf, inf, inf}
}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201") // a fixed seed makes the result reproducible
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const now = 1.8e12

var (
	owner         = Identity{Name: "n3", Settings: 77}
	testEndpoints = []router.Endpoint{
		{Engine: "a"},
		{Engine: "b", StartedAt: now - 1e6},
		{Engine: "d", State: router.Draining},
	}
)

// sampleSnapshot returns a snapshot with one record of each kind, all of the given age in ms.
func sampleSnapshot(age float64) *Snapshot {
	at := now - age
	return &Snapshot{Owner: owner, Statistics: router.Statistics{
		Engines: []router.EngineStatistics{{
			At:             at,
			Engine:         "a",
			Slowdown:       router.WeightedMean{Mean: 5, Weight: 3},
			ThreadsPerCore: 1.6,
			Outcomes:       0b11110000,
			PoolLeader:     "a",
		}},
		Tables: []router.TableStatistics{{
			At:          at,
			Tables:      7,
			Demand:      2,
			MemoryTime:  40,
			PoolLeaders: []router.EngineID{"a"},
		}},
		Classes: []router.ClassStatistics{{
			At:              at,
			FirstTryTimeout: 900,
			UnloadedTime:    20,
			WorkScale:       router.WeightedMean{Mean: 2, Weight: 5},
		}},
		Traffic: []router.TrafficStatistics{{At: at, Share: router.WeightedMean{Mean: 0.4, Weight: 300}}},
	}}
}

// Records of several ages, some with timestamps in the future, are restored or counted as expired
// by the half-life of their kind.
func TestRecordsExpireByAge(t *testing.T) {
	halfLives := DefaultHalfLives()
	for _, c := range []struct {
		name                              string
		age                               float64
		halfLives                         HalfLives
		engines, tables, classes, traffic int
		counts                            Counts
	}{
		{"fresh", 0, halfLives, 1, 1, 1, 1, Counts{Restored: 4}},
		{"a clock set back by half a second", -500, halfLives, 1, 1, 1, 1, Counts{Restored: 4}},
		{"from the future", -5000, halfLives, 0, 0, 0, 0, Counts{FromFuture: 4}},
		{"a minute", 60e3, halfLives, 1, 1, 1, 1, Counts{Restored: 4}},
		{"ten minutes", 600e3, halfLives, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"three hours", 3 * 3600e3, halfLives, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"a day", 24 * 3600e3, halfLives, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"two weeks", 14 * 24 * 3600e3, halfLives, 0, 0, 0, 0, Counts{Expired: 4}},
		{"a day, with infinite half-lives", 24 * 3600e3, infiniteHalfLives(), 1, 1, 1, 1, Counts{Restored: 4}},
		{"half-lives of zero", 0, HalfLives{}, 0, 0, 0, 0, Counts{Expired: 4}},
	} {
		selected, counts := Select(sampleSnapshot(c.age), owner, testEndpoints, now, c.halfLives)
		if len(selected.Engines) != c.engines || len(selected.Tables) != c.tables || len(selected.Classes) != c.classes ||
			len(selected.Traffic) != c.traffic || counts != c.counts {
			t.Errorf("%s: selected %+v with counts %+v, want those of the table", c.name, selected, counts)
		}
	}
}

// Each value of a record decays to that of an engine without statistics, by its own half-life.
func TestValuesAgeByTheirOwnHalfLife(t *testing.T) {
	halfLives := DefaultHalfLives()
	at := func(age float64) router.Statistics {
		selected, _ := Select(sampleSnapshot(age), owner, testEndpoints, now, halfLives)
		return selected
	}
	if e := at(0).Engines[0]; e.Slowdown.Weight != 3 || e.ThreadsPerCore != 1.6 || e.Outcomes != 0b11110000 || e.PoolLeader != "a" {
		t.Errorf("age 0: engine record %+v, want it unchanged", e)
	}
	if e := at(halfLives.Slowdown).Engines[0]; e.Slowdown.Weight != 1.5 || e.Slowdown.Mean != 5 {
		t.Errorf("after the half-life of slowdowns: %+v, want slowdown 5 with weight 1.5", e)
	}
	if e := at(halfLives.ThreadsPerCore).Engines[0]; math.Abs(e.ThreadsPerCore-1.8) > 1e-9 {
		t.Errorf("after the half-life of threads per core: %+v, want 1.8 threads per core", e)
	}
	if e := at(halfLives.Outcomes).Engines[0]; e.Outcomes != 0b11110000 {
		t.Errorf("after the half-life of outcomes: %08b, want the four latest, which are failures", e.Outcomes)
	}
	if e := at(2 * halfLives.Outcomes).Engines[0]; e.Outcomes != 0b11111100 {
		t.Errorf("after twice the half-life of outcomes: %08b, want 11111100", e.Outcomes)
	}
	if e := at(5 * halfLives.Outcomes).Engines[0]; e.Outcomes != 0xff {
		t.Errorf("after five times the half-life of outcomes: %08b, want 11111111", e.Outcomes)
	}
	if table := at(halfLives.Tables).Tables[0]; math.Abs(table.Demand-1) > 1e-9 || math.Abs(table.MemoryTime-20) > 1e-9 {
		t.Errorf("after the half-life of table groups: %+v, want demand 1 and memory time 20", table)
	}
	if table := at(4.5 * halfLives.Pools).Tables[0]; table.PoolLeaders != nil || table.Demand < 1.9 {
		t.Errorf("after 4.5 half-lives of pools: %+v, want no pool leaders and the demand kept", table)
	}
}

// Snapshots of another controller or other settings, records of engines that are not listed, and
// impossible values are dropped and counted.
func TestForeignAndInvalidRecordsAreDropped(t *testing.T) {
	nan := math.NaN()
	inf := math.Inf(1)
	// changeEngine returns a function that changes the engine record of a snapshot.
	changeEngine := func(change func(*router.EngineStatistics)) func(*Snapshot) {
		return func(stored *Snapshot) { change(&stored.Statistics.Engines[0]) }
	}
	for _, c := range []struct {
		name     string
		change   func(stored *Snapshot)
		restored int
		want     Counts
	}{
		{"another controller", func(stored *Snapshot) { stored.Owner.Name = "n4" }, 0, Counts{Foreign: 4}},
		{"other settings", func(stored *Snapshot) { stored.Owner.Settings++ }, 0, Counts{Foreign: 4}},
		{"an engine not listed", changeEngine(func(e *router.EngineStatistics) { e.Engine = "c" }),
			3, Counts{Restored: 3, UnknownEngines: 1}},
		{"an engine that is draining", changeEngine(func(e *router.EngineStatistics) { e.Engine = "d" }),
			3, Counts{Restored: 3, UnknownEngines: 1}},
		{"another process of the engine", changeEngine(func(e *router.EngineStatistics) { e.StartedAt = 5 }),
			3, Counts{Restored: 3, UnknownEngines: 1}},
		{"a slowdown of NaN", changeEngine(func(e *router.EngineStatistics) { e.Slowdown.Mean = nan }),
			3, Counts{Restored: 3, Invalid: 1}},
		{"infinite threads per core", changeEngine(func(e *router.EngineStatistics) { e.ThreadsPerCore = inf }),
			3, Counts{Restored: 3, Invalid: 1}},
		{"a negative weight", changeEngine(func(e *router.EngineStatistics) { e.Slowdown.Weight = -1 }),
			3, Counts{Restored: 3, Invalid: 1}},
		{"a demand above its bound", func(stored *Snapshot) { stored.Statistics.Tables[0].Demand = 1e9 },
			3, Counts{Restored: 3, Invalid: 1}},
		{"a negative class", func(stored *Snapshot) { stored.Statistics.Classes[0].Class = -1 },
			3, Counts{Restored: 3, Invalid: 1}},
		{"a traffic share above 1", func(stored *Snapshot) { stored.Statistics.Traffic[0].Share.Mean = 1.1 },
			3, Counts{Restored: 3, Invalid: 1}},
		{"a timestamp of NaN", func(stored *Snapshot) { stored.Statistics.Traffic[0].At = nan },
			3, Counts{Restored: 3, Invalid: 1}},
		{"a duplicate engine", func(stored *Snapshot) {
			stored.Statistics.Engines = append(stored.Statistics.Engines, stored.Statistics.Engines[0])
		}, 4, Counts{Restored: 4, Invalid: 1}},
	} {
		stored := sampleSnapshot(0)
		c.change(stored)
		if selected, counts := Select(stored, owner, testEndpoints, now, DefaultHalfLives()); selected.Len() != c.restored || counts != c.want {
			t.Errorf("%s: %d records restored with counts %+v, want those of the table", c.name, selected.Len(), counts)
		}
	}
}

// A snapshot has more table groups than may be restored at once. Those with the highest demand are
// restored, ordered by id.
func TestTableGroupsWithMostDemandAreRestored(t *testing.T) {
	stored := &Snapshot{Owner: owner}
	for i := range 1000 {
		stored.Statistics.Tables = append(stored.Statistics.Tables, router.TableStatistics{At: now, Tables: router.TableGroup(i),
			Demand: float64(i * 7919 % 1000)})
	}
	var endpoints []router.Endpoint
	for range maxTableEnginePairs / 100 {
		endpoints = append(endpoints, router.Endpoint{})
	}
	selected, counts := Select(stored, owner, endpoints, now, DefaultHalfLives())
	if len(selected.Tables) != 100 || counts.Invalid != 900 {
		t.Fatalf("%d table groups restored, counts %+v; want 100 restored and 900 invalid", len(selected.Tables), counts)
	}
	for _, table := range selected.Tables {
		if table.Demand < 900 {
			t.Errorf("restored %+v, want only demands of 900 and more", table)
		}
	}
	if !slices.IsSortedFunc(selected.Tables, func(a, b router.TableStatistics) int { return int(a.Tables - b.Tables) }) {
		t.Error("the restored table groups are not ordered by id")
	}
}

// A snapshot has arbitrary values. Restored records have no more weight than stored, and less the
// older they are; each engine is listed and occurs once; and every value is finite.
func TestAnySnapshotIsRestoredWithinBounds(t *testing.T) {
	drawFloat := func(t *rapid.T, name string) float64 {
		return rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 5), rapid.SampledFrom([]float64{math.NaN(),
			math.Inf(1), math.Inf(-1), now, now - 1e4, now + 1e9, 0})).Draw(t, name)
	}
	drawMean := func(t *rapid.T) router.WeightedMean {
		return router.WeightedMean{Mean: drawFloat(t, "mean"), Weight: drawFloat(t, "weight")}
	}
	id := rapid.Map(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}), func(s string) router.EngineID {
		return router.EngineID(s)
	})
	rapid.Check(t, func(t *rapid.T) {
		stored := &Snapshot{Owner: owner}
		for range rapid.IntRange(0, 6).Draw(t, "engines") {
			stored.Statistics.Engines = append(stored.Statistics.Engines, router.EngineStatistics{At: drawFloat(t, "at"), Engine: id.Draw(t, "id"),
				StartedAt: rapid.SampledFrom([]float64{0, now - 1e6, 5}).Draw(t, "started at"), Slowdown: drawMean(t),
				ThreadsPerCore: drawFloat(t, "threads per core"), Outcomes: rapid.Uint8().Draw(t, "outcomes"), PoolLeader: id.Draw(t, "pool leader")})
		}
		for range rapid.IntRange(0, 6).Draw(t, "tables") {
			stored.Statistics.Tables = append(stored.Statistics.Tables, router.TableStatistics{At: drawFloat(t, "at"),
				Tables: router.TableGroup(rapid.IntRange(-2, 2).Draw(t, "group")), Demand: drawFloat(t, "demand"),
				MemoryTime: drawFloat(t, "memory time"), PoolLeaders: []router.EngineID{id.Draw(t, "pool leader")}})
		}
		stored.Statistics.Classes = []router.ClassStatistics{{At: drawFloat(t, "at"), FirstTryTimeout: drawFloat(t, "first try timeout"), UnloadedTime: drawFloat(t, "unloaded time"),
			WorkScale: drawMean(t), MemoryScale: drawMean(t)}}
		stored.Statistics.Traffic = []router.TrafficStatistics{{At: drawFloat(t, "at"), Share: drawMean(t)}}
		before := snapshotText(stored)
		earlier, _ := Select(stored, owner, testEndpoints, now, DefaultHalfLives())
		later, counts := Select(stored, owner, testEndpoints, now+30000, DefaultHalfLives())
		if before != snapshotText(stored) {
			t.Fatal("Select changed the snapshot")
		}
		if counts.Restored != later.Len() || later.Len() > earlier.Len()+6 {
			t.Fatalf("counts %+v with %d records restored, want the same number, and hardly more than 30 s earlier", counts, later.Len())
		}
		seen := map[router.EngineID]bool{}
		for _, e := range earlier.Engines {
			if seen[e.Engine] || e.Engine != "a" && e.Engine != "b" || !allValid(e.Slowdown.Mean, e.Slowdown.Weight, e.ThreadsPerCore) ||
				e.Slowdown.Weight > maxSlowdownWeight {
				t.Fatalf("restored engine %+v is a duplicate, not listed or out of bounds", e)
			}
			seen[e.Engine] = true
			for _, laterEngine := range later.Engines {
				if laterEngine.Engine == e.Engine && laterEngine.At == e.At && (laterEngine.Slowdown.Weight > e.Slowdown.Weight ||
					math.Abs(laterEngine.ThreadsPerCore-defaultThreadsPerCore) > math.Abs(e.ThreadsPerCore-defaultThreadsPerCore)+1e-9 || laterEngine.Outcomes|e.Outcomes != laterEngine.Outcomes) {
					t.Fatalf("%+v, restored 30 s later, has more weight than %+v", laterEngine, e)
				}
			}
		}
		for _, table := range earlier.Tables {
			if !allValid(table.Demand, table.MemoryTime) || table.Demand > maxDemand {
				t.Fatalf("restored table group %+v is out of bounds", table)
			}
		}
		for _, class := range earlier.Classes {
			if !allValid(class.UnloadedTime, class.FirstTryTimeout, class.WorkScale.Mean, class.MemoryScale.Mean) || class.WorkScale.Weight > maxScaleWeight {
				t.Fatalf("restored class %+v is out of bounds", class)
			}
		}
		for _, traffic := range earlier.Traffic {
			if !(traffic.Share.Mean >= 0 && traffic.Share.Mean <= 1) || !(traffic.Share.Weight <= maxShareWeight) {
				t.Fatalf("restored traffic share %+v is out of bounds", traffic)
			}
		}
	})
}

// snapshotText formats a snapshot for comparison, as NaN does not equal itself.
func snapshotText(stored *Snapshot) string { return fmt.Sprint(*stored) }
