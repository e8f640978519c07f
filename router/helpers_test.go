package router

import (
	"fmt"
	"slices"
	"testing"
)

// testRouter is a Router with its own clock, for tests that drive it by events.
type testRouter struct {
	t   *testing.T
	r   *Router
	now float64 // ms, of the last step
}

// twoKinds are a large and a small machine kind.
var twoKinds = []MachineKind{{Cores: 8, MemoryMB: 16000}, {Cores: 4, MemoryMB: 8000}}

// lookupClass is a class of small idempotent queries.
var lookupClass = QueryClass{
	LatencyObjective: 1000,
	ObjectivePerWork: 2,
	ClientTimeout:    5000,
	Threads:          1,
}

// orderedClass is a class of queries with an idempotency key, which run one at a time by ordering key.
var orderedClass = QueryClass{
	Effect:              Deduplicated,
	DeduplicationWindow: 12000,
	Ordered:             true,
	LatencyObjective:    4000,
	ObjectivePerWork:    2,
	ClientTimeout:       13000,
	LateBenefit:         0.6,
	Threads:             2,
}

// cancelCapabilities allow cancelling attempts, and nothing else.
var cancelCapabilities = Capabilities{Cancel: true, MaxAttempts: 6}

// slowStartLimits limit the work sent to warming engines. Retries have no budget and ordering keys no
// cooldown.
var slowStartLimits = SafetyLimits{
	EventInterval:     5,
	SlowStartCapacity: 0.3,
	SlowStartTime:     10000,
	SlowStartOverload: 4,
	SlowStartWindow:   1500,
}

// newTestRouter returns a single controller with these endpoints and one query class.
func newTestRouter(t *testing.T, class QueryClass, capabilities Capabilities, limits SafetyLimits,
	endpoints ...Endpoint) *testRouter {
	r := New(1, Identity{Controllers: 1}, twoKinds, []QueryClass{class}, nil, capabilities, limits)
	tr := &testRouter{t: t, now: 100000, r: r}
	tr.step(EndpointsUpdated{Complete: true, Cached: true, Endpoints: endpoints})
	return tr
}

// newTestRouterInFleet returns one of many controllers, with many engines of the first machine kind.
func newTestRouterInFleet(t *testing.T, capabilities Capabilities, controllers, engines int) *testRouter {
	tr := newTestRouter(t, lookupClass, capabilities, slowStartLimits)
	tr.r.controllers = float64(controllers)
	for i := range engines {
		endpoint := readyEndpoint(EngineID(fmt.Sprint("e", i)), 0, "z", CellID(i))
		tr.step(EndpointsUpdated{Endpoints: []Endpoint{endpoint}})
	}
	tr.wait(periodicInterval)
	return tr
}

// addClass adds a query class, as if it had been given to New.
func (tr *testRouter) addClass(class QueryClass) {
	tr.r.classes = append(tr.r.classes, &queryClass{
		QueryClass: class,
		index:      len(tr.r.classes),
		shedWatch:  shedWatch{alarms: heap[alarm]{less: byAlarmTime}},
	})
	for _, e := range tr.r.engineList {
		e.classBackoffs = append(e.classBackoffs, backoff{})
	}
}

// step steps the router with these events 1 ms after the last step.
func (tr *testRouter) step(events ...Event) []Action {
	tr.now++
	return tr.r.Step(tr.now, events)
}

// wait lets a time (ms) pass and then steps once, with no event but TimerFired.
func (tr *testRouter) wait(ms float64) []Action {
	tr.now += ms
	return tr.step(TimerFired{})
}

// readyEndpoint is an engine that started long ago.
func readyEndpoint(id EngineID, kind KindID, zone Zone, cell CellID) Endpoint {
	return Endpoint{Engine: id, Kind: kind, Zone: zone, Cell: cell}
}

// newQuery is the arrival of a query of the first class without tenant, estimate or ordering key.
func newQuery(id QueryID) QueryArrived {
	return QueryArrived{ID: id, Tenant: -1, TimeLeft: 5000, Tables: 7}
}

// attemptEnded is the outcome of an attempt after 100 ms. A success is the final answer of the query.
func attemptEnded(id QueryID, number AttemptID, outcome Outcome) AttemptEnded {
	return AttemptEnded{
		ID:        id,
		Attempt:   number,
		Outcome:   outcome,
		QueryDone: outcome == Succeeded,
		Elapsed:   100,
	}
}

// startedOn returns the engine on which actions start an attempt of a query; empty: they start none.
func startedOn(actions []Action, id QueryID) EngineID {
	var engine EngineID
	for _, action := range actions {
		if start, ok := action.(StartAttempt); ok && start.ID == id {
			engine = start.Engine
		}
	}
	return engine
}

// isStart reports whether an action starts an attempt.
func isStart(action Action) bool {
	_, ok := action.(StartAttempt)
	return ok
}

// finalAnswers counts the final answers to a query, by kind.
func finalAnswers(actions []Action, id QueryID) (rejections, failures int) {
	for _, action := range actions {
		if reject, ok := action.(Reject); ok && reject.ID == id {
			rejections++
		}
		if fail, ok := action.(Fail); ok && fail.ID == id {
			failures++
		}
	}
	return rejections, failures
}

// hasCancel reports whether actions cancel an attempt.
func hasCancel(actions []Action) bool {
	return slices.ContainsFunc(actions, func(action Action) bool {
		_, ok := action.(CancelAttempt)
		return ok
	})
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
