// Package digest merges what several controllers have learned into what one that starts with nothing can begin with. It is
// free of I/O and clocks. Like what is remembered past a restart, a digest only steers: core/restore decides what of it is
// believed, and no rule rests on it.
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

// Source is what one controller told. Times of records are of this one's clock.
type Source struct {
	From    members.ID
	At      float64 // when it told it
	Learned router.Statistics
}

// Bounds on what is kept, whatever is told.
const (
	mostSources = 64
	mostAge     = 120000.0 // ms after which a source counts no more
	MostTables  = 3000     // of a digest: those that are asked for most
	MostEngines = 4000
)

// Gathered are the latest words of some controllers. The zero value has none.
type Gathered struct{ sources map[members.ID]Source }

// Put takes one in, in place of what the same controller told before; the oldest makes room.
func (g *Gathered) Put(s Source) {
	if g.sources == nil {
		g.sources = map[members.ID]Source{}
	}
	if was, ok := g.sources[s.From]; ok && was.At > s.At {
		return
	}
	g.sources[s.From] = s
	for len(g.sources) > mostSources {
		delete(g.sources, slices.MinFunc(slices.Collect(maps.Keys(g.sources)), func(a, b members.ID) int {
			return cmp.Or(cmp.Compare(g.sources[a].At, g.sources[b].At), cmp.Compare(a, b))
		}))
	}
}

// Len is how many count now.
func (g *Gathered) Len(now float64) int { return len(g.fresh(now)) }

// fresh are those that count, by name.
func (g *Gathered) fresh(now float64) (list []Source) {
	for _, id := range slices.Sorted(maps.Keys(g.sources)) {
		if s := g.sources[id]; now-s.At <= mostAge {
			list = append(list, s)
		}
	}
	return list
}

// mean is one weighed by what each source's figure weighs.
type mean struct{ sum, weight float64 }

func (m *mean) add(x, weight float64) {
	if weight > 0 && !math.IsNaN(x) && !math.IsInf(x, 0) {
		m.sum, m.weight = m.sum+x*weight, m.weight+weight
	}
}

func (m *mean) of(fallback float64) float64 {
	if m.weight == 0 {
		return fallback
	}
	return m.sum / m.weight
}

// Merge is what the sources know together: each figure by weight and age, health by who saw an engine last. Which engines
// belong together is one controller's word, or leads of one would name engines of another: that of whom most is asked,
// as its moves rest on most.
func (g *Gathered) Merge(now float64, lives restore.HalfLives) (l router.Statistics) {
	sources := g.fresh(now)
	lead := leading(sources)
	l.Engines = mergeEngines(sources, lead, now, lives)
	l.Tables = mergeTables(sources, lead, now, lives)
	l.Classes = mergeProfiles(sources, now, lives)
	return l
}

// leading is the source of which most is asked; -1: there is none.
func leading(sources []Source) int {
	best, most := -1, -1.0
	for i, s := range sources {
		asked := 0.0
		for _, t := range s.Learned.Tables {
			if t.Demand > 0 && !math.IsInf(t.Demand, 0) {
				asked += t.Demand
			}
		}
		if asked > most {
			best, most = i, asked
		}
	}
	return best
}

type process struct {
	id    router.EngineID
	since float64
}

func mergeEngines(sources []Source, lead int, now float64, lives restore.HalfLives) (out []router.EngineStatistics) {
	type sum struct {
		pace, width mean
		latest      router.EngineStatistics
		lead        router.EngineID
	}
	sums := map[process]*sum{}
	for i, s := range sources {
		for _, e := range s.Learned.Engines {
			p := process{e.Engine, e.StartedAt}
			x := sums[p]
			if x == nil {
				if len(sums) >= MostEngines {
					continue
				}
				x = &sum{latest: e}
				sums[p] = x
			}
			age := now - e.At
			x.pace.add(e.Slowdown.Mean, e.Slowdown.Weight*restore.Factor(age, lives.Pace))
			x.width.add(e.ThreadsPerCore, restore.Factor(age, lives.Width))
			if e.At > x.latest.At {
				x.latest = e
			}
			if i == lead {
				x.lead = e.PoolLeader
			}
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(sums), func(a, b process) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.since, b.since))
	}) {
		x := sums[p]
		e := x.latest
		e.Slowdown = router.WeightedMean{Mean: x.pace.of(1), Weight: x.pace.weight}
		e.ThreadsPerCore, e.PoolLeader = x.width.of(e.ThreadsPerCore), x.lead
		out = append(out, e)
	}
	return out
}

func mergeTables(sources []Source, lead int, now float64, lives restore.HalfLives) (out []router.TableStatistics) {
	type sum struct {
		demand, held float64
		latest       router.TableStatistics
		homes        []router.EngineID
	}
	sums, weights := map[router.TableGroup]*sum{}, 0.0
	for i, s := range sources {
		f := restore.Factor(now-s.At, lives.Tables)
		weights += f
		for _, t := range s.Learned.Tables {
			if !(t.Demand >= 0) || !(t.MemoryTime >= 0) || math.IsInf(t.Demand+t.MemoryTime, 0) {
				continue
			}
			x := sums[t.Tables]
			if x == nil {
				x = &sum{latest: t}
				sums[t.Tables] = x
			}
			x.demand, x.held = x.demand+t.Demand*f, x.held+t.MemoryTime*f
			if t.At > x.latest.At {
				x.latest = t
			}
			if i == lead {
				x.homes = t.PoolLeaders
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		x := sums[id]
		t := x.latest
		t.PoolLeaders = x.homes
		if weights > 0 { // what one controller is asked for, on the mean of all: also of those that are not asked for it
			t.Demand, t.MemoryTime = x.demand/weights, x.held/weights
		}
		out = append(out, t)
	}
	if len(out) > MostTables {
		slices.SortStableFunc(out, func(a, b router.TableStatistics) int { return cmp.Compare(b.Demand, a.Demand) })
		out = out[:MostTables]
		slices.SortFunc(out, func(a, b router.TableStatistics) int { return cmp.Compare(a.Tables, b.Tables) })
	}
	return out
}

func mergeProfiles(sources []Source, now float64, lives restore.HalfLives) (out []router.ClassStatistics) {
	type sum struct {
		best, work, need mean
		left             float64
		at               float64
	}
	sums := map[router.ClassID]*sum{}
	for _, s := range sources {
		for _, p := range s.Learned.Classes {
			x := sums[p.Class]
			if x == nil {
				x = &sum{}
				sums[p.Class] = x
			}
			f := restore.Factor(now-p.At, lives.Profile)
			if p.UnloadedTime > 0 {
				x.best.add(p.UnloadedTime, f)
			}
			x.work.add(p.WorkScale.Mean, p.WorkScale.Weight*f)
			x.need.add(p.MemoryScale.Mean, p.MemoryScale.Weight*f)
			x.left, x.at = max(x.left, p.FirstTryTimeout), max(x.at, p.At)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		x := sums[id]
		out = append(out, router.ClassStatistics{At: x.at, Class: id, FirstTryTimeout: x.left, UnloadedTime: x.best.of(0),
			WorkScale:   router.WeightedMean{Mean: x.work.of(1), Weight: x.work.weight},
			MemoryScale: router.WeightedMean{Mean: x.need.of(1), Weight: x.need.weight}})
	}
	return out
}

// Shift brings the times of records from the clock of who told them to this one's: only how old they are counts, so clocks
// that are set differently, or jump, make nothing older or younger than it is.
func Shift(l *router.Statistics, by float64) {
	for i := range l.Engines {
		l.Engines[i].At += by
	}
	for i := range l.Tables {
		l.Tables[i].At += by
	}
	for i := range l.Classes {
		l.Classes[i].At += by
	}
	for i := range l.Traffic {
		l.Traffic[i].At += by
	}
}
