// Package restore decides what of the statistics of an earlier run of a controller still counts. It is free of I/O and
// clocks, and stands beside the loop: asked once, when the first list of engines is there. What it lets through can
// only steer and guard: the module takes no figure of it into anything that a rule rests on.
package restore

import (
	"cmp"
	"math"
	"slices"

	"mintkeel/router"
)

// Identity tells which controller a snapshot is of. One of another controller, or from under other settings, does not
// count: profiles, kinds and tenants are known by their places in the settings.
type Identity struct {
	Name     string
	Settings uint64 // a hash of the settings
}

// Snapshot is what was stored, as it was read.
type Snapshot struct {
	Owner      Identity
	Statistics router.Statistics
}

// HalfLives are the times in ms after which a record of each kind weighs half. Zero: it does not count at all; infinite:
// it never ages.
type HalfLives struct {
	Slowdown       float64 // how slow an engine is
	Outcomes       float64 // outcomes of its last sends
	ThreadsPerCore float64 // threads a core that it bears
	Pools          float64 // which engines have which table groups warm
	Tables         float64 // how much is asked of a table group
	Classes        float64 // how a profile's commands run
	TrafficShare   float64 // this controller's part of the traffic
}

// DefaultHalfLives are those in use. An engine's trouble passes or gets it replaced within a minute or
// two; its caches hold as long as nobody else has filled them. How commands run, and how much is asked of each table
// group beside the others, holds for days: with it table groups are packed at once and not after the first seconds, in
// which a controller without memory spreads all of them over all engines (docs/results.md). The module lets go of both
// within seconds where answers tell otherwise.
func DefaultHalfLives() HalfLives {
	const second, minute, day = 1000.0, 60 * 1000.0, 24 * 60 * 60 * 1000.0
	return HalfLives{Slowdown: 30 * second, Outcomes: 20 * second, ThreadsPerCore: 2 * minute, Pools: 2 * minute, Tables: 3 * day,
		Classes: 3 * day, TrafficShare: minute}
}

// Bounds on what is believed at once, whatever a file holds.
const (
	leastBelief = 1.0 / 16 // a record that is to weigh less is forgotten
	clockSlack  = 1000.0   // ms into the future that pass as now: clocks are set, and kept records have times of parts
	mostEngines = 10000
	mostTables  = 20000
	mostFits    = 300000 // table groups times engines: what the module must weigh in the step that puts them in
	mostPaceN   = 4.0    // a remembered pace weighs as so many answers at the most, so that new ones soon outweigh it
	mostScaleN  = 8.0
	mostTraffic = 400.0 // the same of a part of the traffic, in commands told of by reports
	usualWidth  = 2.0   // threads a core, towards which a width fades
	mostRate    = 1e6   // ms of work for each ms that a table group may be said to ask for
)

// Counts tells what became of the records.
type Counts struct {
	Restored       int
	Expired        int // too old to weigh anything
	FromFuture     int // from a time that has not come: nobody knows how old they are
	UnknownEngines int // of engines that the list does not hold, or of other processes under their ids
	Invalid        int // with figures that can't be, named twice, or past what is believed at once
	Foreign        int // all, as they are of another controller or from under other settings
}

// RemainingWeight is the share of its weight that a record still has after an age in ms; age below zero is the future.
func RemainingWeight(age, life float64) float64 {
	switch {
	case math.IsNaN(age) || age < -clockSlack || !(life > 0):
		return 0
	case age <= 0 || math.IsInf(life, 1):
		return 1
	}
	return math.Exp2(-age / life)
}

// selector ages records and counts what became of them.
type selector struct {
	now     float64
	lives   HalfLives
	account Counts
}

// factor is that of a record taken out at a time, or 0, which is then accounted for.
func (s *selector) factor(at, life float64) float64 {
	f := RemainingWeight(s.now-at, life)
	if f < leastBelief {
		if s.now-at < -clockSlack {
			s.account.FromFuture++
		} else {
			s.account.Expired++
		}
		return 0
	}
	return f
}

func finite(xs ...float64) bool {
	return !slices.ContainsFunc(xs, func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) || x < 0 })
}

// Select returns what of a snapshot still counts for this controller, with this list of engines, at a time in the
// module's ms. The records come out ordered by id, each with the weight that is left.
func Select(m *Snapshot, of Identity, list []router.Endpoint, now float64, lives HalfLives) (router.Statistics, Counts) {
	s := &selector{now: now, lives: lives}
	if m.Owner != of {
		s.account.Foreign = m.Statistics.Len()
		return router.Statistics{}, s.account
	}
	l := router.Statistics{Engines: s.engines(m.Statistics.Engines, list), Classes: s.profiles(m.Statistics.Classes),
		Traffic: s.traffic(m.Statistics.Traffic)}
	l.Tables = s.tables(m.Statistics.Tables, len(list))
	s.account.Restored = l.Len()
	return l, s.account
}

// once passes each id once, in the records' order of ids; later ones are wrong.
func once[T any, K cmp.Ordered](s *selector, records []T, id func(*T) K, most int) []T {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(id(&a), id(&b)) })
	n := len(sorted)
	sorted = slices.CompactFunc(sorted, func(a, b T) bool { return id(&a) == id(&b) })
	if len(sorted) > most {
		sorted = sorted[:most]
	}
	s.account.Invalid += n - len(sorted)
	return sorted
}

func (s *selector) engines(records []router.EngineStatistics, list []router.Endpoint) (out []router.EngineStatistics) {
	since := make(map[router.EngineID]float64, len(list))
	for _, e := range list {
		if e.State == router.Ready {
			since[e.Engine] = e.StartedAt
		}
	}
	for _, e := range once(s, records, func(e *router.EngineStatistics) router.EngineID { return e.Engine }, mostEngines) {
		started, listed := since[e.Engine]
		switch {
		case !finite(e.At, e.StartedAt, e.Slowdown.Mean, e.Slowdown.Weight, e.ThreadsPerCore):
			s.account.Invalid++
			continue
		case !listed || started != e.StartedAt:
			s.account.UnknownEngines++
			continue
		}
		age := s.now - e.At
		if s.factor(e.At, max(s.lives.Slowdown, s.lives.Outcomes, s.lives.ThreadsPerCore, s.lives.Pools)) == 0 {
			continue
		}
		e.Slowdown.Weight = min(mostPaceN, e.Slowdown.Weight) * RemainingWeight(age, s.lives.Slowdown)
		e.ThreadsPerCore = usualWidth + (e.ThreadsPerCore-usualWidth)*RemainingWeight(age, s.lives.ThreadsPerCore)
		e.Outcomes = fadeOutcomes(e.Outcomes, RemainingWeight(age, s.lives.Outcomes))
		if RemainingWeight(age, s.lives.Pools) < leastBelief {
			e.PoolLeader = ""
		}
		out = append(out, e)
	}
	return out
}

// fadeOutcomes keeps the latest of eight outcomes and takes the others as good, as with an engine not known.
func fadeOutcomes(outcomes uint8, f float64) uint8 {
	kept := int(math.Round(8 * f))
	return outcomes | uint8(0xff<<kept)
}

func (s *selector) profiles(records []router.ClassStatistics) (out []router.ClassStatistics) {
	for _, p := range once(s, records, func(p *router.ClassStatistics) router.ClassID { return p.Class }, mostTables) {
		if p.Class < 0 || !finite(p.At, p.FirstTryTimeout, p.UnloadedTime, p.WorkScale.Mean, p.WorkScale.Weight, p.MemoryScale.Mean,
			p.MemoryScale.Weight) {
			s.account.Invalid++
			continue
		}
		f := s.factor(p.At, s.lives.Classes)
		if f == 0 {
			continue
		}
		p.WorkScale.Weight = min(mostScaleN, p.WorkScale.Weight) * f
		p.MemoryScale.Weight = min(mostScaleN, p.MemoryScale.Weight) * f
		out = append(out, p)
	}
	return out
}

func (s *selector) traffic(records []router.TrafficStatistics) (out []router.TrafficStatistics) {
	for _, t := range records {
		if len(out) > 0 || !finite(t.At, t.Share.Mean, t.Share.Weight) || t.Share.Mean > 1 {
			s.account.Invalid++
			continue
		}
		if f := s.factor(t.At, s.lives.TrafficShare); f > 0 {
			t.Share.Weight = min(mostTraffic, t.Share.Weight) * f
			out = append(out, t)
		}
	}
	return out
}

// tables passes those that are asked for most, as many as can be put in at once with so many engines.
func (s *selector) tables(records []router.TableStatistics, engines int) (out []router.TableStatistics) {
	for _, t := range once(s, records, func(t *router.TableStatistics) router.TableGroup { return t.Tables }, len(records)) {
		if !finite(t.At, t.Demand, t.MemoryTime) || t.Demand > mostRate {
			s.account.Invalid++
			continue
		}
		f := s.factor(t.At, s.lives.Tables)
		if f == 0 {
			continue
		}
		t.Demand, t.MemoryTime = t.Demand*f, t.MemoryTime*f
		if RemainingWeight(s.now-t.At, s.lives.Pools) < leastBelief {
			t.PoolLeaders = nil
		}
		out = append(out, t)
	}
	if most := min(mostTables, mostFits/max(1, engines)); len(out) > most {
		slices.SortStableFunc(out, func(a, b router.TableStatistics) int { return cmp.Compare(b.Demand, a.Demand) })
		s.account.Invalid += len(out) - most
		out = out[:most]
		slices.SortFunc(out, func(a, b router.TableStatistics) int { return cmp.Compare(a.Tables, b.Tables) })
	}
	return out
}
