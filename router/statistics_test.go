package router

import (
	"fmt"
	"testing"
)

// newTrainedRouter returns a controller with statistics of six engines, one of which is slow, five table
// groups and a class.
func newTrainedRouter(t *testing.T) (tr *testRouter, slow EngineID) {
	var endpoints []Endpoint
	for i := range 6 {
		e := readyEndpoint(EngineID(fmt.Sprint("e", i)), KindID(i%2), "z", CellID(i))
		e.StartedAt = float64(i) * 10
		endpoints = append(endpoints, e)
	}
	tr = newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, endpoints...)
	for id := range QueryID(400) {
		ev := newQuery(id)
		ev.Tables = TableGroup(id % 5)
		to := startedOn(tr.step(ev), id)
		if slow == "" {
			slow = to
		}
		end := attemptEnded(id, 0, Succeeded)
		end.Elapsed = 100
		end.Load = &LoadReport{Inflight: 4, Utilization: 0.5, Disk: 0.1}
		if to == slow && id > 100 {
			end.Elapsed = 900
		}
		if tr.step(end); id%8 == 0 {
			tr.wait(30)
		}
	}
	return tr, slow
}

// exportAll exports all statistics in parts of at most limit records, and counts the parts.
func exportAll(r *Router, limit int) (all Statistics, parts int) {
	for from, more := (Cursor{}), true; more; parts++ {
		var part Statistics
		if part, from, more = r.Statistics(from, limit); part.Len() > limit {
			panic("a part has too many records")
		}
		all.Add(part)
	}
	return all, parts
}

// An export in parts of any size holds the same records, and changes nothing.
func TestExportInParts(t *testing.T) {
	tr, slow := newTrainedRouter(t)
	whole, _ := exportAll(tr.r, 1000)
	if len(whole.Engines) != 6 || len(whole.Tables) != 5 || len(whole.Classes) != 1 || len(whole.Traffic) != 1 {
		t.Fatalf("got %+v, want 6 engines, 5 table groups, 1 class and 1 traffic record", whole)
	}
	for _, limit := range []int{1, 2, 3, 7} {
		if inParts, parts := exportAll(tr.r, limit); fmt.Sprint(inParts) != fmt.Sprint(whole) || parts < 13/limit {
			t.Errorf("export in %d parts of at most %d records differs from the whole one: %+v", parts, limit, inParts)
		}
	}
	for _, e := range whole.Engines {
		if (e.Engine == slow) != (e.Slowdown.Mean > 2) {
			t.Errorf("only %s is slow, by a factor of nine, but the export has %+v", slow, e)
		}
	}
	if p := whole.Classes[0]; p.UnloadedTime < 50 || p.UnloadedTime > 200 || p.FirstTryTimeout < 4000 {
		t.Errorf("got %+v, want UnloadedTime from 50 to 200 and FirstTryTimeout of at least 4000", p)
	}
}

// An export continues after the last record that it returned while engines come and go.
func TestCursorSurvivesChanges(t *testing.T) {
	tr, _ := newTrainedRouter(t)
	seen := map[EngineID]int{}
	for from, more := (Cursor{}), true; more; {
		var part Statistics
		part, from, more = tr.r.Statistics(from, 1)
		for _, e := range part.Engines {
			if seen[e.Engine]++; e.Engine == "e2" {
				tr.step(EndpointsUpdated{Endpoints: []Endpoint{{Engine: "e1", State: Gone}, {Engine: "e15"},
					{Engine: "e4", State: Gone}}})
			}
		}
	}
	if len(seen) != 5 || seen["e4"] != 0 || seen["e3"] != 1 || seen["e5"] != 1 {
		t.Errorf("exported engines %v, want 5 with e3 and e5 once and without e4", seen)
	}
}
