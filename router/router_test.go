package router

import (
	"fmt"
	"testing"
)

// Engines and queries come and go indefinitely. The state kept for them stays bounded.
func TestStateOfGoneEnginesAndQueriesIsForgotten(t *testing.T) {
	waits := lookupClass
	waits.WaitsForTables = true
	tr := newTestRouter(t, waits, cancelCapabilities, slowStartLimits)
	id := QueryID(0)
	for n := range 400 {
		e := readyEndpoint(EngineID(fmt.Sprint("e", n)), 0, "z", 1)
		tr.step(EndpointsUpdated{Complete: true, Endpoints: []Endpoint{e}})
		for range 5 {
			id++
			tr.step(newQuery(id))
			tr.step(AttemptProgress{ID: id, Kind: ProgressWaitsForTables}, attemptEnded(id, 0, Succeeded))
		}
		tr.wait(100)
	}
	tr.wait(10000)
	tr.wait(rebalanceInterval)
	watched := len(tr.r.classes[0].shedWatch.alarms.list)
	if g := tr.r.tableGroups[7]; len(tr.r.engineList) > 2 || len(tr.r.queries) > 0 || tr.r.queue.length > 0 ||
		watched > 0 ||
		len(tr.r.timers.alarms.list) > 0 || g != nil && len(g.lockHolders) > 0 {
		t.Errorf("state is left: %d engines, %d queries, %d queued, %d watched, %d alarms, %+v",
			len(tr.r.engineList),
			len(tr.r.queries), tr.r.queue.length,
			watched, len(tr.r.timers.alarms.list), g)
	}
}

// A client disconnects in the same step in which an attempt of its query would start, in either order of the
// events. No attempt starts, and an attempt in flight is cancelled.
func TestClientDisconnectsInTheSameStep(t *testing.T) {
	for _, c := range []struct {
		name     string
		events   []Event
		inFlight bool // an attempt is in flight before these events
	}{
		{"as it arrives", []Event{newQuery(1), ClientDisconnected{1}}, false},
		{"as its attempt ends without being sent", []Event{attemptEnded(1, 0, NotSent), ClientDisconnected{1}},
			true},
		{"ahead of the end of its attempt", []Event{ClientDisconnected{1}, attemptEnded(1, 0, NotSent)}, true},
		{"as its engine rejects it", []Event{attemptEnded(1, 0, EngineFull), ClientDisconnected{1},
			EndpointsUpdated{Endpoints: []Endpoint{readyEndpoint("c", 0, "z", 1)}}}, true},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 0, "z", 1))
		if c.inFlight && startedOn(tr.step(newQuery(1)), 1) == "" {
			t.Fatalf("%s: the first attempt was not started", c.name)
		}
		actions := append(tr.step(c.events...), tr.wait(1000)...)
		if s, f := finalAnswers(actions, 1); startedOn(actions, 1) != "" || s+f > 0 || len(tr.r.queries) > 0 {
			t.Errorf("%s: got actions %+v and %d queries left, want no start, no answer and no query", c.name, actions,
				len(tr.r.queries))
		}
	}
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.step(newQuery(1))
	if !hasCancel(tr.step(ClientDisconnected{1})) {
		t.Error("the attempt in flight was not cancelled")
	}
}

// Unusual but legal events cause no panic, and the same events give the same actions.
func TestOddEventsAreDeterministic(t *testing.T) {
	run := func() string {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 1, "z", 2),
			readyEndpoint("c", -1, "z", 2))
		log := ""
		for i := range QueryID(200) {
			ev := newQuery(i)
			ev.Tables = TableGroup(i % 13)
			ev.TimeLeft = float64(i%7)*100 - 100
			log += fmt.Sprint(tr.step(ev, ClientDisconnected{ID: i / 2}, attemptEnded(i/3, 0, Outcome(i%8)),
				attemptEnded(i, 5, Succeeded),
				AttemptProgress{ID: i, Kind: ProgressDone}, HealthCheckEnded{Engine: "x"}, ResponseStarted{ID: i / 5},
				EndpointsUpdated{Complete: i%50 == 49}))
		}
		return log
	}
	if first, again := run(), run(); first != again {
		t.Errorf("the same events led to different actions:\n%s\n%s", first, again)
	}
}

// Rule 1 at a planned shutdown: all queries are answered by then, and a query that can't end by then is
// rejected at once.
func TestShutdownAnswersAllQueries(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	if to := startedOn(tr.step(newQuery(1)), 1); to != "a" {
		t.Fatal("the query was not started on a")
	}
	if s, f := finalAnswers(tr.step(ShutdownStarted{Within: 1000}), 1); s+f != 0 {
		t.Fatal("the query was answered as soon as the shutdown was planned, though there is time")
	}
	late := newQuery(2)
	late.EstimatedWork = 2000
	if s, _ := finalAnswers(append(tr.step(late), tr.wait(periodicInterval)...), 2); s != 1 {
		t.Error("a query that can't end by the shutdown was not rejected at once")
	}
	if s, _ := finalAnswers(tr.wait(900), 1); s != 0 {
		t.Error("the query was rejected well before the shutdown")
	}
	if s, _ := finalAnswers(tr.wait(50), 1); s != 1 {
		t.Error("the query was not rejected by the time of the shutdown")
	}
}
