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

// ageless returns the half-lives of a plain baseline, by which all records count as if they were new.
func ageless() HalfLives {
	inf := math.Inf(1)
	return HalfLives{inf, inf, inf, inf, inf, inf, inf}
}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201") // the same verdict each time
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const now = 1.8e12

var (
	me            = Identity{Name: "n3", Settings: 77}
	testEndpoints = []router.Endpoint{{Engine: "a"}, {Engine: "b", StartedAt: now - 1e6}, {Engine: "d", State: router.Draining}}
)

// sampleSnapshot has a record of each kind, of an age in ms.
func sampleSnapshot(age float64) *Snapshot {
	at := now - age
	return &Snapshot{Owner: me, Statistics: router.Statistics{
		Engines: []router.EngineStatistics{{At: at, Engine: "a", Slowdown: router.WeightedMean{Mean: 5, Weight: 3}, ThreadsPerCore: 1.6,
			Outcomes: 0b11110000, PoolLeader: "a"}},
		Tables:  []router.TableStatistics{{At: at, Tables: 7, Demand: 2, MemoryTime: 40, PoolLeaders: []router.EngineID{"a"}}},
		Classes: []router.ClassStatistics{{At: at, FirstTryTimeout: 900, UnloadedTime: 20, WorkScale: router.WeightedMean{Mean: 2, Weight: 5}}},
		Traffic: []router.TrafficStatistics{{At: at, Share: router.WeightedMean{Mean: 0.4, Weight: 300}}},
	}}
}

// Records of several ages, also of the future, are restored or counted as expired by the half-life
// of their kind.
func TestRecordsExpireByAge(t *testing.T) {
	u := DefaultHalfLives()
	for _, c := range []struct {
		name                              string
		age                               float64
		lives                             HalfLives
		engines, tables, profiles, traffc int
		account                           Counts
	}{
		{"fresh", 0, u, 1, 1, 1, 1, Counts{Restored: 4}},
		{"a clock set back by half a second", -500, u, 1, 1, 1, 1, Counts{Restored: 4}},
		{"from the future", -5000, u, 0, 0, 0, 0, Counts{FromFuture: 4}},
		{"a minute", 60e3, u, 1, 1, 1, 1, Counts{Restored: 4}},
		{"ten minutes", 600e3, u, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"three hours", 3 * 3600e3, u, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"a day", 24 * 3600e3, u, 0, 1, 1, 0, Counts{Restored: 2, Expired: 2}},
		{"two weeks", 14 * 24 * 3600e3, u, 0, 0, 0, 0, Counts{Expired: 4}},
		{"a day, by the plain baseline", 24 * 3600e3, ageless(), 1, 1, 1, 1, Counts{Restored: 4}},
		{"no life at all", 0, HalfLives{}, 0, 0, 0, 0, Counts{Expired: 4}},
	} {
		l, account := Select(sampleSnapshot(c.age), me, testEndpoints, now, c.lives)
		if len(l.Engines) != c.engines || len(l.Tables) != c.tables || len(l.Classes) != c.profiles ||
			len(l.Traffic) != c.traffc || account != c.account {
			t.Errorf("%s: %+v, %+v", c.name, l, account)
		}
	}
}

// Each value of a record ages towards that of an engine without statistics, by its own half-life.
func TestValuesAgeByTheirOwnHalfLife(t *testing.T) {
	u := DefaultHalfLives()
	at := func(age float64) router.Statistics {
		l, _ := Select(sampleSnapshot(age), me, testEndpoints, now, u)
		return l
	}
	if e := at(0).Engines[0]; e.Slowdown.Weight != 3 || e.ThreadsPerCore != 1.6 || e.Outcomes != 0b11110000 || e.PoolLeader != "a" {
		t.Errorf("fresh: %+v", e)
	}
	if e := at(u.Slowdown).Engines[0]; e.Slowdown.Weight != 1.5 || e.Slowdown.Mean != 5 {
		t.Errorf("after the life of a pace: %+v", e)
	}
	if e := at(u.ThreadsPerCore).Engines[0]; math.Abs(e.ThreadsPerCore-1.8) > 1e-9 {
		t.Errorf("after the life of a width: %+v", e)
	}
	if e := at(u.Outcomes).Engines[0]; e.Outcomes != 0b11110000 {
		t.Errorf("after the life of outcomes, of which the bad are the latest: %08b", e.Outcomes)
	}
	if e := at(2 * u.Outcomes).Engines[0]; e.Outcomes != 0b11111100 {
		t.Errorf("after twice the life of outcomes: %08b", e.Outcomes)
	}
	if e := at(5 * u.Outcomes).Engines[0]; e.Outcomes != 0xff {
		t.Errorf("after five times the life of outcomes: %08b", e.Outcomes)
	}
	if g := at(u.Tables).Tables[0]; math.Abs(g.Demand-1) > 1e-9 || math.Abs(g.MemoryTime-20) > 1e-9 {
		t.Errorf("after the life of table groups: %+v", g)
	}
	if g := at(4.5 * u.Pools).Tables[0]; g.PoolLeaders != nil || g.Demand < 1.9 {
		t.Errorf("after the life of homes: %+v", g)
	}
}

// Snapshots of another controller or settings, records of engines that aren't listed, and values
// that can't be are dropped and counted.
func TestForeignAndInvalidRecordsAreDropped(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, c := range []struct {
		name   string
		change func(m *Snapshot)
		left   int
		tell   Counts
	}{
		{"another controller's", func(m *Snapshot) { m.Owner.Name = "n4" }, 0, Counts{Foreign: 4}},
		{"other settings", func(m *Snapshot) { m.Owner.Settings++ }, 0, Counts{Foreign: 4}},
		{"an engine not listed", func(m *Snapshot) { m.Statistics.Engines[0].Engine = "c" }, 3, Counts{Restored: 3, UnknownEngines: 1}},
		{"an engine that drains", func(m *Snapshot) { m.Statistics.Engines[0].Engine = "d" }, 3, Counts{Restored: 3, UnknownEngines: 1}},
		{"another process", func(m *Snapshot) { m.Statistics.Engines[0].StartedAt = 5 }, 3, Counts{Restored: 3, UnknownEngines: 1}},
		{"a pace that is no number", func(m *Snapshot) { m.Statistics.Engines[0].Slowdown.Mean = nan }, 3, Counts{Restored: 3, Invalid: 1}},
		{"a width without end", func(m *Snapshot) { m.Statistics.Engines[0].ThreadsPerCore = inf }, 3, Counts{Restored: 3, Invalid: 1}},
		{"a weight below zero", func(m *Snapshot) { m.Statistics.Engines[0].Slowdown.Weight = -1 }, 3, Counts{Restored: 3, Invalid: 1}},
		{"a demand that can't be", func(m *Snapshot) { m.Statistics.Tables[0].Demand = 1e9 }, 3, Counts{Restored: 3, Invalid: 1}},
		{"no profile", func(m *Snapshot) { m.Statistics.Classes[0].Class = -1 }, 3, Counts{Restored: 3, Invalid: 1}},
		{"more than all traffic", func(m *Snapshot) { m.Statistics.Traffic[0].Share.Mean = 1.1 }, 3, Counts{Restored: 3, Invalid: 1}},
		{"a time that is no number", func(m *Snapshot) { m.Statistics.Traffic[0].At = nan }, 3, Counts{Restored: 3, Invalid: 1}},
		{"twice the same engine", func(m *Snapshot) {
			m.Statistics.Engines = append(m.Statistics.Engines, m.Statistics.Engines[0])
		}, 4, Counts{Restored: 4, Invalid: 1}},
	} {
		m := sampleSnapshot(0)
		c.change(m)
		if l, account := Select(m, me, testEndpoints, now, DefaultHalfLives()); l.Len() != c.left || account != c.tell {
			t.Errorf("%s: %d left, %+v", c.name, l.Len(), account)
		}
	}
}

// There are more table groups than can be taken in at once. Those with the most demand are
// restored, ordered by id.
func TestTableGroupsWithMostDemandAreRestored(t *testing.T) {
	m := &Snapshot{Owner: me}
	for i := range 1000 {
		m.Statistics.Tables = append(m.Statistics.Tables, router.TableStatistics{At: now, Tables: router.TableGroup(i),
			Demand: float64(i * 7919 % 1000)})
	}
	var many []router.Endpoint
	for range maxTableEnginePairs / 100 {
		many = append(many, router.Endpoint{})
	}
	l, account := Select(m, me, many, now, DefaultHalfLives())
	if len(l.Tables) != 100 || account.Invalid != 900 {
		t.Fatalf("%d left, %+v", len(l.Tables), account)
	}
	for _, g := range l.Tables {
		if g.Demand < 900 {
			t.Errorf("%+v is left", g)
		}
	}
	if !slices.IsSortedFunc(l.Tables, func(a, b router.TableStatistics) int { return int(a.Tables - b.Tables) }) {
		t.Error("not by id")
	}
}

// A snapshot holds anything. What is restored has no more weight than it had, less the older it is;
// it names each engine once and only as listed; and every value is a number.
func TestAnySnapshotIsRestoredWithinBounds(t *testing.T) {
	odd := func(t *rapid.T, name string) float64 {
		return rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 5), rapid.SampledFrom([]float64{math.NaN(),
			math.Inf(1), math.Inf(-1), now, now - 1e4, now + 1e9, 0})).Draw(t, name)
	}
	weighed := func(t *rapid.T) router.WeightedMean {
		return router.WeightedMean{Mean: odd(t, "mean"), Weight: odd(t, "weight")}
	}
	id := rapid.Map(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}), func(s string) router.EngineID {
		return router.EngineID(s)
	})
	rapid.Check(t, func(t *rapid.T) {
		m := &Snapshot{Owner: me}
		for range rapid.IntRange(0, 6).Draw(t, "engines") {
			m.Statistics.Engines = append(m.Statistics.Engines, router.EngineStatistics{At: odd(t, "at"), Engine: id.Draw(t, "id"),
				StartedAt: rapid.SampledFrom([]float64{0, now - 1e6, 5}).Draw(t, "since"), Slowdown: weighed(t),
				ThreadsPerCore: odd(t, "width"), Outcomes: rapid.Uint8().Draw(t, "outcomes"), PoolLeader: id.Draw(t, "lead")})
		}
		for range rapid.IntRange(0, 6).Draw(t, "tables") {
			m.Statistics.Tables = append(m.Statistics.Tables, router.TableStatistics{At: odd(t, "at"),
				Tables: router.TableGroup(rapid.IntRange(-2, 2).Draw(t, "group")), Demand: odd(t, "demand"),
				MemoryTime: odd(t, "held"), PoolLeaders: []router.EngineID{id.Draw(t, "home")}})
		}
		m.Statistics.Classes = []router.ClassStatistics{{At: odd(t, "at"), FirstTryTimeout: odd(t, "left"), UnloadedTime: odd(t, "best"),
			WorkScale: weighed(t), MemoryScale: weighed(t)}}
		m.Statistics.Traffic = []router.TrafficStatistics{{At: odd(t, "at"), Share: weighed(t)}}
		before := clone(m)
		sooner, _ := Select(m, me, testEndpoints, now, DefaultHalfLives())
		later, account := Select(m, me, testEndpoints, now+30000, DefaultHalfLives())
		if before != clone(m) {
			t.Fatal("the snapshot itself was changed")
		}
		if account.Restored != later.Len() || later.Len() > sooner.Len()+6 {
			t.Fatalf("%+v of %d", account, later.Len())
		}
		seen := map[router.EngineID]bool{}
		for _, e := range sooner.Engines {
			if seen[e.Engine] || e.Engine != "a" && e.Engine != "b" || !allValid(e.Slowdown.Mean, e.Slowdown.Weight, e.ThreadsPerCore) ||
				e.Slowdown.Weight > maxSlowdownWeight {
				t.Fatalf("%+v", e)
			}
			seen[e.Engine] = true
			for _, o := range later.Engines {
				if o.Engine == e.Engine && o.At == e.At && (o.Slowdown.Weight > e.Slowdown.Weight ||
					math.Abs(o.ThreadsPerCore-defaultThreadsPerCore) > math.Abs(e.ThreadsPerCore-defaultThreadsPerCore)+1e-9 || o.Outcomes|e.Outcomes != o.Outcomes) {
					t.Fatalf("later %+v weighs more than %+v", o, e)
				}
			}
		}
		for _, g := range sooner.Tables {
			if !allValid(g.Demand, g.MemoryTime) || g.Demand > maxDemand {
				t.Fatalf("%+v", g)
			}
		}
		for _, p := range sooner.Classes {
			if !allValid(p.UnloadedTime, p.FirstTryTimeout, p.WorkScale.Mean, p.MemoryScale.Mean) || p.WorkScale.Weight > maxScaleWeight {
				t.Fatalf("%+v", p)
			}
		}
		for _, p := range sooner.Traffic {
			if !(p.Share.Mean >= 0 && p.Share.Mean <= 1) || !(p.Share.Weight <= maxShareWeight) {
				t.Fatalf("%+v", p)
			}
		}
	})
}

// clone returns a snapshot as text, in which NaN equals itself.
func clone(m *Snapshot) string { return fmt.Sprint(*m) }
