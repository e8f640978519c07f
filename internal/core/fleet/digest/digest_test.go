package digest

import (
	"fmt"
	"math"
	"testing"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

func engine(id router.EngineID, at, pace, weight float64, lead router.EngineID) router.EngineStatistics {
	return router.EngineStatistics{At: at, Engine: id, Slowdown: router.WeightedMean{Mean: pace, Weight: weight}, ThreadsPerCore: 2, Outcomes: 0xff, PoolLeader: lead}
}

func TestMerge(t *testing.T) {
	const now = 1e6
	var g Gathered
	bad := engine("s1", now-1, 4, 3, "s1")
	bad.Outcomes = 0x0f
	g.Put(Source{From: "a", At: now, Learned: router.Statistics{
		Engines: []router.EngineStatistics{engine("s1", now-30000, 2, 3, "s2"), engine("s2", now, 1, 1, "s2")},
		Tables:  []router.TableStatistics{{At: now, Tables: 1, Demand: 10, MemoryTime: 4, PoolLeaders: []router.EngineID{"s2"}}},
		Classes: []router.ClassStatistics{{At: now, UnloadedTime: 2, FirstTryTimeout: 900, WorkScale: router.WeightedMean{Mean: 1, Weight: 1}}}}})
	g.Put(Source{From: "b", At: now, Learned: router.Statistics{
		Engines: []router.EngineStatistics{bad},
		Tables: []router.TableStatistics{{At: now, Tables: 1, Demand: 2, PoolLeaders: []router.EngineID{"s1"}},
			{At: now, Tables: 2, Demand: 4}, {At: now, Tables: 3, Demand: math.Inf(1)}},
		Classes: []router.ClassStatistics{{At: now, UnloadedTime: 4, FirstTryTimeout: 1000, WorkScale: router.WeightedMean{Mean: 3, Weight: 3}}}}})
	l := g.Merge(now, restore.DefaultHalfLives())
	if len(l.Engines) != 2 || len(l.Tables) != 2 || len(l.Classes) != 1 {
		t.Fatalf("%+v", l)
	}
	s1 := l.Engines[0]
	if want := (2*1.5 + 4*3) / 4.5; math.Abs(s1.Slowdown.Mean-want) > 0.01 { // the first is a half life old
		t.Errorf("pace %g, want %g", s1.Slowdown.Mean, want)
	}
	if s1.Outcomes != 0x0f || s1.PoolLeader != "s2" {
		t.Errorf("health by who saw it last, leads by of whom most is asked: %+v", s1)
	}
	if d := l.Tables[0].Demand; d != 6 || l.Tables[0].PoolLeaders[0] != "s2" || l.Tables[1].Demand != 2 {
		t.Errorf("tables %+v", l.Tables)
	}
	if p := l.Classes[0]; p.FirstTryTimeout != 1000 || p.UnloadedTime != 3 || p.WorkScale.Mean != 2.5 {
		t.Errorf("profile %+v", p)
	}
	if l := g.Merge(now+mostAge+1, restore.DefaultHalfLives()); l.Len() != 0 {
		t.Errorf("old words count: %+v", l)
	}
}

// The order in which words come changes nothing; an older word of the same controller is not taken.
func TestOrder(t *testing.T) {
	var g, h Gathered
	sources := []Source{}
	for i := range 10 {
		sources = append(sources, Source{From: members.ID(fmt.Sprint(i)), At: float64(i), Learned: router.Statistics{
			Engines: []router.EngineStatistics{engine("s", float64(i), float64(i), 1, "s")}}})
	}
	for i := range sources {
		g.Put(sources[i])
		h.Put(sources[len(sources)-1-i])
	}
	h.Put(Source{From: "9", At: 1})
	if a, b := fmt.Sprint(g.Merge(20, restore.DefaultHalfLives())), fmt.Sprint(h.Merge(20, restore.DefaultHalfLives())); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

func TestBounded(t *testing.T) {
	var g Gathered
	for i := range 3 * mostSources {
		s := Source{From: members.ID(fmt.Sprint(i)), At: float64(i)}
		for j := range 200 {
			s.Learned.Tables = append(s.Learned.Tables, router.TableStatistics{Tables: router.TableGroup(i*200 + j), Demand: float64(j)})
			s.Learned.Engines = append(s.Learned.Engines, engine(router.EngineID(fmt.Sprint(i, j)), 0, 1, 1, ""))
		}
		g.Put(s)
	}
	l := g.Merge(200, restore.DefaultHalfLives())
	if g.Len(200) > mostSources || len(l.Tables) > MostTables || len(l.Engines) > MostEngines {
		t.Errorf("%d sources, %d table groups, %d engines", g.Len(200), len(l.Tables), len(l.Engines))
	}
}
