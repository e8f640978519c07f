package controller

import (
	"testing"

	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/router"
)

// endpointRecorder also records the last address and state of each engine.
type endpointRecorder struct {
	*engineRecorder
	endpoints map[router.EngineID]engines.Endpoint
}

func (r *endpointRecorder) UpdateEndpoints(list []engines.Endpoint, _ bool) {
	for _, e := range list {
		r.endpoints[e.Engine] = e
	}
}

// Maintenance holds an engine, and discovery keeps listing it as ready, drains it and lists it as ready at
// another address. While it is held it is draining, for the module and for the Engines. Once it is released, it
// has the state of the endpoint list at that time.
func TestHoldEngines(t *testing.T) {
	module := newModule(router.QueryClass{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1},
		router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{})
	recorder := &endpointRecorder{
		engineRecorder: newEngineRecorder(10),
		endpoints:      map[router.EngineID]engines.Endpoint{},
	}
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(recorder)
	l.KeepEndpoints()
	update := func(id router.EngineID, state router.EngineState, startedAt float64,
		address string) discovery.Update {
		endpoint := router.Endpoint{Engine: id, State: state, StartedAt: startedAt}
		return discovery.Update{Endpoints: []discovery.Endpoint{{Endpoint: endpoint, Address: address}}}
	}
	status := func(id router.EngineID) (found router.EngineStatus) {
		l.step()
		for _, e := range module.EngineStatuses() {
			if e.Engine == id {
				found = e
			}
		}
		return found
	}
	l.UpdateEndpoints(update("a", router.Ready, 0, "there"), true)
	l.UpdateEndpoints(update("b", router.Ready, 0, "elsewhere"), true)
	l.handle(holdMessage{[]router.EngineID{"a"}})
	if status("a").State != router.Draining || recorder.endpoints["a"].State != router.Draining ||
		status("b").State != router.Ready {
		t.Error("held engine a is not draining, or b, which is not held, is not ready")
	}
	l.UpdateEndpoints(update("a", router.Draining, 0, "there"), false)
	l.UpdateEndpoints(update("a", router.Ready, 77, "a new place"), false) // it has restarted, and is still held
	if status("a").State != router.Draining || recorder.endpoints["a"].State != router.Draining {
		t.Error("an endpoint update released a held engine")
	}
	l.handle(holdMessage{[]router.EngineID{"a", "b"}})
	l.handle(holdMessage{[]router.EngineID{"b"}})
	wanted := engines.Endpoint{Engine: "a", Address: "a new place", State: router.Ready}
	if e := status("a"); e.State != router.Ready || e.StartedAt != 77 || recorder.endpoints["a"] != wanted {
		t.Errorf("released engine: got %+v, %+v, want it ready at the new address, started at 77", e, recorder.endpoints["a"])
	}
	l.UpdateEndpoints(update("b", router.Gone, 0, "elsewhere"), false)
	l.handle(holdMessage{nil})
	if status("b").State == router.Ready || recorder.endpoints["b"].State == router.Ready {
		t.Error("an engine that is gone became ready when it was released")
	}
}
