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
	twoKinds = []Kind{{Cores: 8, MemoryMB: 16000}, {Cores: 4, MemoryMB: 8000}}
	lookup   = Profile{Target: 1000, TargetStretch: 2, Timeout: 5000, Threads: 1}
	loose    = Allowed{Cancel: true, MaxSends: 6}
	tight    = Guards{Round: 5, ColdShare: 0.3, ColdTime: 10000, ColdMultiple: 4, ColdWindow: 1500}
)

func newDesk(t *testing.T, p Profile, a Allowed, g Guards, entries ...Entry) *desk {
	d := &desk{t: t, now: 100000, r: New(1, Place{Controllers: 1}, twoKinds, []Profile{p}, nil, a, g)}
	d.step(Listed{Whole: true, Cached: true, Entries: entries})
	return d
}

// more adds a profile of which nothing has been seen yet.
func (d *desk) more(p Profile) {
	d.r.profiles = append(d.r.profiles, &profile{Profile: p, number: len(d.r.profiles), watches: watches{heap: heap[alarm]{less: earlier}}})
	for _, e := range d.r.order {
		e.rests = append(e.rests, rest{})
	}
}

func (d *desk) step(events ...Event) []Action {
	d.now++
	return d.r.Step(d.now, events)
}

func (d *desk) wait(ms float64) []Action {
	d.now += ms
	return d.step(Woke{})
}

func engineAt(id EngineID, kind KindID, zone Zone, cell CellID) Entry {
	return Entry{Engine: id, Kind: kind, Zone: zone, Cell: cell}
}

func command1(id CommandID) Arrived { return Arrived{ID: id, Tenant: -1, Left: 5000, Tables: 7} }

func outcome(id CommandID, send SendID, o Outcome) Ended {
	return Ended{ID: id, Send: send, Outcome: o, Over: o == Answered, Took: 100}
}

// sent is where the command was sent by these actions; empty: nowhere.
func sent(actions []Action, id CommandID) (to EngineID) {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.ID == id {
			to = s.Engine
		}
	}
	return to
}

// answers counts the final answers to a command, by kind.
func answers(actions []Action, id CommandID) (sheds, fails int) {
	for _, a := range actions {
		if s, ok := a.(Shed); ok && s.ID == id {
			sheds++
		}
		if f, ok := a.(Fail); ok && f.ID == id {
			fails++
		}
	}
	return sheds, fails
}

func cancels(actions []Action) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Cancel); return ok })
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// crowd is a desk of one controller among many, with many engines of the first kind.
func crowd(t *testing.T, a Allowed, controllers, engines int) *desk {
	d := newDesk(t, lookup, a, tight)
	d.r.controllers = float64(controllers)
	for i := range engines {
		d.step(Listed{Entries: []Entry{engineAt(EngineID(fmt.Sprint("e", i)), 0, "z", CellID(i))}})
	}
	d.wait(tendEvery)
	return d
}
