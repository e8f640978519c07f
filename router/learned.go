package router

import (
	"cmp"
	"math"
	"slices"
)

// This file takes out what a controller has learned, for it to be kept past a restart, and puts it in again. Like
// state.go it keeps books and decides nothing: what is still believed is decided before it comes here, and when what
// was put in gives way to what is learned anew stands in router.go.

// Weighed is a mean with its weight, in additions of the usual weight.
type Weighed struct{ Mean, Weight float64 }

// Learned is what a controller has learned, or a part of it. Each record has in At when it was taken out, in the
// module's time. What a rule rests on is not in it: sends to cold engines, the work that guards them, keys' rests,
// doubtful sends, the sends budget, and which engines answered since the list was last heard.
type (
	Learned struct {
		Engines  []LearnedEngine
		Tables   []LearnedTables
		Profiles []LearnedProfile
		Traffic  []LearnedTraffic // one at most
	}
	// LearnedEngine is what is known of one process of an engine.
	LearnedEngine struct {
		At       float64
		Engine   EngineID
		Since    float64  // when that process started; 0: long ago
		Pace     Weighed  // time taken over the time alone
		Width    float64  // threads a core
		Outcomes uint8    // of the last eight sends and probes, the latest lowest; 1: good
		Lead     EngineID // names the engines that have the same owner, of which it is one; empty: it has none
	}
	// LearnedTables is what is known of a table group.
	LearnedTables struct {
		At     float64
		Tables TableGroup
		Demand float64    // work asked for, ms on one thread for each ms
		Held   float64    // memory times time of its sends, for each ms
		Homes  []EngineID // by kind: the Lead of the engines that its owner has; empty: none
	}
	// LearnedProfile is how a profile's commands run.
	LearnedProfile struct {
		At        float64
		Profile   ProfileID
		FullLeft  float64 // what a first try leaves until its client gives up
		Best      float64 // time alone over the unit; 0: not known
		WorkScale Weighed // true work over estimate
		NeedScale Weighed // true memory over estimate
	}
	// LearnedTraffic is this controller's part of the traffic.
	LearnedTraffic struct {
		At   float64
		Part Weighed
	}
)

// Len is the number of records.
func (l *Learned) Len() int { return len(l.Engines) + len(l.Tables) + len(l.Profiles) + len(l.Traffic) }

// Add appends another part.
func (l *Learned) Add(part Learned) {
	l.Engines = append(l.Engines, part.Engines...)
	l.Tables = append(l.Tables, part.Tables...)
	l.Profiles = append(l.Profiles, part.Profiles...)
	l.Traffic = append(l.Traffic, part.Traffic...)
}

// Cursor is where the next part of what was learned begins; its zero value is the beginning. It stays good while
// engines and table groups come and go.
type Cursor struct {
	stage  int
	engine EngineID
	tables TableGroup
	number int
}

const ( // in the order in which they are taken out
	takeTraffic = iota
	takeProfiles
	takeEngines
	takeTables
	takeDone
)

// Learned takes out a part of most records at most, and where the next one begins; more tells whether there is one.
// It changes nothing, not even the last bit of a sum that fades, so that the same events lead to the same actions
// whether or not anyone asks. A part looks at as many records as it may return.
func (r *Router) Learned(from Cursor, most int) (part Learned, next Cursor, more bool) {
	for looked := 0; looked < most && from.stage < takeDone; {
		switch from.stage {
		case takeTraffic:
			if w := weighed(r.share, r.now); w.Weight > 0 {
				part.Traffic = append(part.Traffic, LearnedTraffic{r.now, w})
			}
			looked, from.stage = looked+1, takeProfiles
		case takeProfiles:
			for ; from.number < len(r.profiles) && looked < most; from.number++ {
				looked++
				if p := r.profiles[from.number]; p.best > 0 || p.fullLeft > 0 {
					part.Profiles = append(part.Profiles, LearnedProfile{r.now, ProfileID(from.number), p.fullLeft,
						p.best, weighed(p.workScale, r.now), weighed(p.needScale, r.now)})
				}
			}
			if from.number == len(r.profiles) {
				from.stage = takeEngines
			}
		case takeEngines:
			at, _ := slices.BinarySearchFunc(r.order, from.engine, func(e *engine, id EngineID) int {
				return cmp.Compare(e.id, id)
			})
			for ; at < len(r.order) && looked < most; at++ {
				looked++
				if e := r.order[at]; e.state != Gone {
					part.Engines = append(part.Engines, e.learned(r.now))
				}
				from.engine = r.order[at].id + "\x00" // the least that follows
			}
			if at == len(r.order) {
				from.stage, from.tables = takeTables, math.MinInt64
			}
		case takeTables:
			at, _ := slices.BinarySearchFunc(r.groups, from.tables, func(g *tableGroup, id TableGroup) int {
				return cmp.Compare(g.id, id)
			})
			for ; at < len(r.groups) && looked < most; at++ {
				looked++
				if g := r.groups[at]; g.known {
					part.Tables = append(part.Tables, g.learned(r.now))
				}
				if from.tables = r.groups[at].id; from.tables < math.MaxInt64 {
					from.tables++
				}
			}
			if at == len(r.groups) {
				from.stage = takeDone
			}
		}
	}
	return part, from, from.stage < takeDone
}

// weighed reads a decaying mean without bringing it up to date.
func weighed(d decay, now float64) Weighed { // d is a copy
	if d.fade(now); d.n < 1e-6 {
		return Weighed{}
	}
	return Weighed{d.sum / d.n, d.n}
}

func (e *engine) learned(now float64) LearnedEngine {
	l := LearnedEngine{At: now, Engine: e.id, Since: e.since, Pace: weighed(e.slow, now), Width: e.width,
		Outcomes: uint8(e.outcomes)}
	if math.IsInf(e.since, -1) {
		l.Since = 0
	}
	if e.owner != nil && len(e.owner.engines) > 0 {
		l.Lead = e.owner.engines[0].id
	}
	return l
}

func (g *tableGroup) learned(now float64) LearnedTables {
	demand, held := g.demand, g.held
	l := LearnedTables{At: now, Tables: g.id, Demand: demand.rate(now), Held: held.rate(now),
		Homes: make([]EngineID, len(g.homes))}
	for k, o := range g.homes {
		if o != nil && len(o.engines) > 0 {
			l.Homes[k] = o.engines[0].id
		}
	}
	return l
}

// The bounds of what is put in: past them no figure can be true, and none may starve a profile or an engine.
const (
	mostWeight, mostPace = 1000.0, 20.0
	mostScale, mostRate  = 16.0, 1e6
)

// sane brings a figure within bounds; what is no number counts as the least.
func sane(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return min(x, most)
}

// refill is a decaying mean as it would stand had it just been learned.
func (w Weighed) refill(life, now, least, most float64) decay {
	n := sane(w.Weight, 0, mostWeight)
	return decay{life: life, at: now, sum: sane(w.Mean, least, most) * n, n: n}
}

// recall puts in what an earlier run of this controller learned. Whatever this run has learned itself stands, an
// engine of which another process is remembered is passed over, and no figure is taken past its bounds.
func (r *Router) recall(l Learned) {
	sets := map[EngineID]*owner{} // engines that had the same owner
	for _, m := range l.Engines {
		e := r.engines[m.Engine]
		if e == nil || e.state != Ready || max(e.since, 0) != m.Since {
			continue
		}
		if e.slow.n == 0 && e.outcomes == math.MaxUint64 && e.width == startWidth {
			e.slow = m.Pace.refill(e.slow.life, r.now, 0, mostPace)
			e.outcomes = math.MaxUint64&^0xff | uint64(m.Outcomes)
			e.width = sane(m.Width, leastWidth, mostWidth)
			r.weigh(e)
		}
		if m.Lead != "" {
			if sets[m.Lead] == nil {
				sets[m.Lead] = &owner{}
			}
			sets[m.Lead].engines = append(sets[m.Lead].engines, e)
		}
	}
	for _, m := range l.Profiles {
		if m.Profile < 0 || int(m.Profile) >= len(r.profiles) || r.profiles[m.Profile].unit.n > 0 {
			continue
		}
		p := r.profiles[m.Profile]
		p.fullLeft = max(p.fullLeft, sane(m.FullLeft, 0, p.Timeout))
		p.best, p.hearsayAt = sane(m.Best, 0, p.Timeout), r.now
		p.workScale = m.WorkScale.refill(scaleLife, r.now, 1/mostScale, mostScale)
		p.needScale = m.NeedScale.refill(scaleLife, r.now, 1/mostScale, mostScale)
	}
	for _, m := range l.Traffic {
		if r.share.n == 0 {
			r.share = m.Part.refill(shareLife, r.now, 0, 1)
		}
	}
	for _, m := range l.Tables {
		g := r.groupOf(m.Tables)
		if g.known {
			continue
		}
		g.known, g.asked = true, r.now
		demand, held := sane(m.Demand, 0, mostRate), sane(m.Held, 0, mostRate*mostRate)
		g.demand.add(r.now, demand*demandLife/math.Ln2, 1)
		g.held.add(r.now, held*demandLife/math.Ln2, 1)
		for k, lead := range m.Homes {
			if k < len(g.homes) && sets[lead] != nil {
				g.homes[k] = sets[lead]
			}
		}
	}
}

// unlearn forgets how a profile was said to run.
func (p *profile) unlearn() {
	p.best, p.hearsayAt = 0, 0
	p.workScale, p.needScale = decay{life: scaleLife}, decay{life: scaleLife}
}

// EngineNow is what a controller knows of an engine just now, for those who plan by it: nothing is decided here.
type EngineNow struct {
	Engine EngineID
	State  State
	Listed State // what the list tells, where somebody holds the engine otherwise
	Zone   Zone
	Kind   KindID
	Since  float64
	WarmAt float64 // from when it counts as warm
	Cores  float64
	Load   float64 // as the design's
	Out    int     // own sends out
	Tables []TablesNow
}

// TablesNow is a table group that an engine's owner has.
type TablesNow struct {
	Tables TableGroup
	Asked  float64 // of this controller there, work on one thread for each ms
	Homes  int     // other ready engines of that owner
}

// EnginesNow tells of all engines, in the order of the list. It changes nothing.
func (r *Router) EnginesNow() []EngineNow {
	list := make([]EngineNow, 0, len(r.order))
	for _, e := range r.order {
		now := EngineNow{Engine: e.id, State: e.state, Listed: e.state, Zone: e.zone, Kind: e.kind, Since: e.since, Cores: e.cores, Out: e.out}
		if e.since > 0 {
			now.WarmAt = e.since + r.guards.ColdTime
		}
		if e.reportAt > 0 && r.now-e.reportAt <= reportStale {
			now.Load = r.load(e)
		}
		if o := e.owner; o != nil && e.state == Ready {
			for _, g := range o.groups() {
				now.Tables = append(now.Tables, TablesNow{g.id, g.demand.rate(r.now) / float64(max(1, len(o.engines))), len(o.engines) - 1})
			}
		}
		list = append(list, now)
	}
	return list
}
