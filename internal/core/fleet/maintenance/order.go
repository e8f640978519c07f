package maintenance

import (
	"fmt"
	"math"
	"slices"
)

// Step is how far the work on one engine is.
type Step uint8

const (
	Preparing Step = iota // the next homes of its table groups are being warmed; it serves
	Draining              // it is announced as taken out; some controllers may not have stopped yet
	Free                  // all that might send to it have said that they have stopped, and that nothing is out there
	Working               // somebody works on it
	Returning             // the work is done; it is to come back into the list
	Warming               // it is back, and cold
	Done
	Missing // it did not come back in time; it counts as a loss
)

var stepNames = [...]string{"preparing", "draining", "free", "working", "returning", "warming", "done", "missing"}

func (s Step) String() string { return stepNames[s] }

// out tells whether an engine in this step is missed by service, or soon will be.
func (s Step) out() bool { return s <= Warming || s == Missing }

// Task is the work on one engine, as agreed.
type Task struct {
	Engine EngineID `cbor:"1,keyasint"`
	Plan   PlanID   `cbor:"2,keyasint"`
	Step   Step     `cbor:"3,keyasint"`
	At     float64  `cbor:"4,keyasint"` // when the step began, ms since 1970
	Number uint64   `cbor:"5,keyasint"` // rises with each step of any task: who acts on an older one is refused
	Zone   Zone     `cbor:"6,keyasint"`
	Kind   Kind     `cbor:"7,keyasint"`
	Cores  float64  `cbor:"8,keyasint"`
	Before float64  `cbor:"9,keyasint,omitempty"`  // when the engine last started before it was taken: one back has started since
	Begun  float64  `cbor:"10,keyasint,omitempty"` // when it was chosen
}

// View is all that the order goes by.
type View struct {
	Now     float64 // ms since 1970
	Engines []Engine
	Lost    []Engine // that should be there, are not, and were not taken out
	Tasks   []Task
	Plans   []Plan
	Bounds  []Bound
	Storm   bool   // clients reconnect, or controllers are coming back
	Listed  bool   // the list told of each that was taken out that it was: one that it tells of as ready is back
	Behind  string // who conducts can't be sure of the view: why; empty: it can
}

// Limits are what the order leaves room for.
type Limits struct {
	Busy     float64 // mean load of what remains, above which none is taken
	Spare    float64 // times what bound profiles need, that has to remain
	Prepare  float64 // ms for which next homes are warmed at most
	Missing  float64 // ms after the work was done until an engine that is not back counts as missing
	ColdRest bool    // none is taken while one that came back is cold
}

// Usual are the limits.
func Usual() Limits {
	return Limits{Busy: 0.75, Spare: 1.2, Prepare: 30000, Missing: 600000, ColdRest: true}
}

// Move is one difference between what is and what is wanted.
type Move struct {
	Engine EngineID
	Plan   PlanID
	From   Step // for a task that is there
	To     Step
	New    bool // there is no task yet
}

// Reason tells why an engine was chosen, or why nothing is taken now.
type Reason struct {
	Engine EngineID // empty: all
	Why    string
}

// Decide tells the next move, if there is one: always one, as each changes the view. What others have to tell (that it is
// free, that the work is done, that it is back) makes the other steps.
func Decide(v View, l Limits) (move *Move, reasons []Reason) {
	why := func(e EngineID, format string, args ...any) {
		reasons = append(reasons, Reason{e, fmt.Sprintf(format, args...)})
	}
	for _, t := range v.Tasks { // first what is under way goes on
		e, listed := find(v.Engines, t.Engine)
		switch {
		case t.Step == Preparing && (prepared(e) || v.Now >= t.At+l.Prepare):
			if blocked := v.blocked(t.Engine, t.Plan, l, true); blocked != "" {
				why(t.Engine, "is prepared, and waits: %s", blocked)
				continue
			}
			why(t.Engine, "goes: its table groups have other warm homes, or %0.f s were spent on that", l.Prepare/1e3)
			return &Move{Engine: t.Engine, Plan: t.Plan, From: Preparing, To: Draining}, reasons
		case t.Step == Returning && listed && e.Ready && (v.Listed || e.Since > t.Before):
			return &Move{Engine: t.Engine, Plan: t.Plan, From: Returning, To: Warming}, reasons
		case t.Step == Returning && v.Now >= t.At+l.Missing:
			why(t.Engine, "has not come back %0.f s after its work was done", l.Missing/1e3)
			return &Move{Engine: t.Engine, Plan: t.Plan, From: Returning, To: Missing}, reasons
		case t.Step == Missing && listed && e.Ready && (v.Listed || e.Since > t.Before):
			return &Move{Engine: t.Engine, Plan: t.Plan, From: Missing, To: Warming}, reasons
		case t.Step == Warming && listed && e.Ready && v.Now >= e.WarmAt:
			return &Move{Engine: t.Engine, Plan: t.Plan, From: Warming, To: Done}, reasons
		}
	}
	best, least := EngineID(""), math.Inf(1)
	var of PlanID
	waiting := 0
	for _, e := range byID(v.Engines) {
		plan, ok := Merge(v.Plans, e)
		if !ok || v.taken(e.ID, plan) || !e.Ready {
			continue
		}
		waiting++
		if blocked := v.blocked(e.ID, plan.ID, l, false); blocked != "" {
			why(e.ID, "waits: %s", blocked)
			continue
		}
		if cost := v.cost(e); cost < least {
			best, least, of = e.ID, cost, plan.ID
		}
	}
	if best == "" {
		if waiting == 0 {
			why("", "no engine waits to be taken")
		}
		return nil, reasons
	}
	why(best, "is next: it costs least now (%.2f)", least)
	return &Move{Engine: best, Plan: of, To: Preparing, New: true}, reasons
}

func find(fleet []Engine, id EngineID) (Engine, bool) {
	for _, e := range fleet {
		if e.ID == id {
			return e, true
		}
	}
	return Engine{}, false
}

// prepared tells whether all table groups of an engine have another warm home.
func prepared(e Engine) bool {
	return !slices.ContainsFunc(e.Groups, func(h Held) bool { return h.Homes == 0 })
}

// taken tells whether there is a task for an engine, or was one by this plan.
func (v View) taken(id EngineID, p Plan) bool {
	return slices.ContainsFunc(v.Tasks, func(t Task) bool {
		return t.Engine == id && (t.Step != Done || t.Plan == p.ID && t.Number >= uint64(p.Version))
	})
}

// away are the engines that are out by plan, or lost; but for one.
func (v View) away(but EngineID) (list []Engine) {
	for _, t := range v.Tasks {
		if t.Step.out() && t.Engine != but {
			list = append(list, Engine{ID: t.Engine, Zone: t.Zone, Kind: t.Kind, Cores: t.Cores})
		}
	}
	for _, e := range v.Lost {
		if !slices.ContainsFunc(list, func(o Engine) bool { return o.ID == e.ID }) && e.ID != but {
			list = append(list, e)
		}
	}
	return list
}

// The weights of what taking an engine costs: what is asked of table groups that have no other warm home, in cores; a
// zone from which more are away than from others; and size, as a small one is back sooner and leaves more.
const (
	noHome, oneHome = 1.0, 0.3
	zoneWeight      = 0.5
	sizeWeight      = 0.02
)

// cost is what taking an engine now would cost, in cores of work that finds cold tables or less room.
func (v View) cost(e Engine) float64 {
	cost := sizeWeight * e.Cores
	for _, h := range e.Groups {
		switch h.Homes {
		case 0:
			cost += noHome * h.Asked
		case 1:
			cost += oneHome * h.Asked
		}
	}
	for _, a := range v.away(e.ID) {
		if a.Zone == e.Zone {
			cost += zoneWeight * e.Cores * max(e.Load, 0.1)
		}
	}
	return cost
}

// Apply is the tasks after a move, with the number that it has. A move that no longer fits changes nothing: whoever made it
// has been overtaken.
func Apply(tasks []Task, m Move, e Engine, now float64) ([]Task, bool) {
	number := uint64(0)
	for _, t := range tasks {
		number = max(number, t.Number)
	}
	out := slices.Clone(tasks)
	for i := range out {
		t := &out[i]
		if t.Engine != m.Engine || t.Step == Done {
			continue
		}
		if m.New || t.Step != m.From {
			return tasks, false
		}
		t.Step, t.At, t.Number = m.To, now, number+1
		return out, true
	}
	if !m.New {
		return tasks, false
	}
	out = slices.DeleteFunc(out, func(t Task) bool { return t.Engine == m.Engine }) // of an earlier plan, done
	return append(out, Task{Engine: m.Engine, Plan: m.Plan, Step: m.To, At: now, Number: number + 1, Zone: e.Zone, Kind: e.Kind,
		Cores: e.Cores, Before: e.Since, Begun: now}), true
}

// Forecast is when all that a plan still selects will be back and warm: between two times, in nine of ten cases. It goes by
// how far apart engines have come back so far, waits and losses with them; until three have, nothing is told.
func Forecast(v View, p Plan) (low, high float64, ok bool) {
	left, first := 0, math.Inf(1)
	var ends []float64
	for _, t := range v.Tasks {
		if t.Plan != p.ID {
			continue
		}
		if first = min(first, t.Begun); t.Step == Done {
			ends = append(ends, t.At)
		} else {
			left++
		}
	}
	for _, e := range v.Engines {
		if p.Select.has(e) && !slices.ContainsFunc(v.Tasks, func(t Task) bool { return t.Engine == e.ID }) {
			left++
		}
	}
	if len(ends) < 3 {
		return 0, 0, false
	}
	if left == 0 {
		return slices.Max(ends), slices.Max(ends), true
	}
	slices.Sort(ends)
	mean := (ends[len(ends)-1] - first) / float64(len(ends))
	sum := 0.0
	for i, end := range ends {
		before := first
		if i > 0 {
			before = ends[i-1]
		}
		sum += (end - before - mean) * (end - before - mean)
	}
	n := float64(left)
	spread := max(0.05*mean, math.Sqrt(sum/float64(len(ends)-1)))
	half := 1.64*spread*math.Sqrt(n+n*n/float64(len(ends))) + 0.05*n*mean // what is to come, and how well the pace is known
	since := v.Now - ends[len(ends)-1]
	at := v.Now - min(since, mean) + n*mean
	return max(v.Now, at-half), at + half, true
}
