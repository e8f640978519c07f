package router

import (
	"fmt"
	"slices"
	"testing"
)

// desk is a controller at a clock of its own, for tables of cases.
type desk struct {
	t   *testing.T
	r   *Router
	now float64
}

var (
	twoKinds = []MachineKind{{Cores: 8, MemoryMB: 16000}, {Cores: 4, MemoryMB: 8000}}
	lookup   = QueryClass{LatencyObjective: 1000, ObjectivePerWork: 2, ClientTimeout: 5000, Threads: 1}
	loose    = Capabilities{Cancel: true, MaxAttempts: 6}
	tight    = SafetyLimits{EventInterval: 5, SlowStartCapacity: 0.3, SlowStartTime: 10000, SlowStartOverload: 4, SlowStartWindow: 1500}
)

func newDesk(t *testing.T, p QueryClass, a Capabilities, g SafetyLimits, entries ...Endpoint) *desk {
	d := &desk{t: t, now: 100000, r: New(1, Identity{Controllers: 1}, twoKinds, []QueryClass{p}, nil, a, g)}
	d.step(EndpointsUpdated{Complete: true, Cached: true, Endpoints: entries})
	return d
}

// more adds a profile of which nothing has been seen yet.
func (d *desk) more(p QueryClass) {
	d.r.classes = append(d.r.classes, &queryClass{QueryClass: p, index: len(d.r.classes), shedWatch: shedWatch{alarms: heap[alarm]{less: byAlarmTime}}})
	for _, e := range d.r.engineList {
		e.classBackoffs = append(e.classBackoffs, backoff{})
	}
}

func (d *desk) step(events ...Event) []Action {
	d.now++
	return d.r.Step(d.now, events)
}

func (d *desk) wait(ms float64) []Action {
	d.now += ms
	return d.step(TimerFired{})
}

func engineAt(id EngineID, kind KindID, zone Zone, cell CellID) Endpoint {
	return Endpoint{Engine: id, Kind: kind, Zone: zone, Cell: cell}
}

func command1(id QueryID) QueryArrived {
	return QueryArrived{ID: id, Tenant: -1, TimeLeft: 5000, Tables: 7}
}

func outcome(id QueryID, send AttemptID, o Outcome) AttemptEnded {
	return AttemptEnded{ID: id, Attempt: send, Outcome: o, QueryDone: o == Succeeded, Elapsed: 100}
}

// sent is where the command was sent by these actions; empty: nowhere.
func sent(actions []Action, id QueryID) (to EngineID) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok && s.ID == id {
			to = s.Engine
		}
	}
	return to
}

// answers counts the final answers to a command, by kind.
func answers(actions []Action, id QueryID) (sheds, fails int) {
	for _, a := range actions {
		if s, ok := a.(Reject); ok && s.ID == id {
			sheds++
		}
		if f, ok := a.(Fail); ok && f.ID == id {
			fails++
		}
	}
	return sheds, fails
}

func cancels(actions []Action) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(CancelAttempt); return ok })
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// crowd is a desk of one controller among many, with many engines of the first kind.
func crowd(t *testing.T, a Capabilities, controllers, engines int) *desk {
	d := newDesk(t, lookup, a, tight)
	d.r.controllers = float64(controllers)
	for i := range engines {
		d.step(EndpointsUpdated{Endpoints: []Endpoint{engineAt(EngineID(fmt.Sprint("e", i)), 0, "z", CellID(i))}})
	}
	d.wait(periodicInterval)
	return d
}
