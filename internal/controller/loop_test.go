package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// engineRecorder is a fake of Engines that records which attempts are started and cancelled.
type engineRecorder struct {
	started      chan *request.Query
	cancelled    chan router.AttemptID
	startWithins chan time.Duration // nil: not recorded
}

func newEngineRecorder(size int) *engineRecorder {
	return &engineRecorder{
		started:   make(chan *request.Query, size),
		cancelled: make(chan router.AttemptID, size),
	}
}

func (r *engineRecorder) UpdateEndpoints([]engines.Endpoint, bool) {}
func (r *engineRecorder) SetExpired(bool)                          {}
func (r *engineRecorder) StartAttempt(query *request.Query, _ router.AttemptID, _ router.EngineID,
	_, startWithin time.Duration) {
	if r.startWithins != nil {
		r.startWithins <- startWithin
	}
	r.started <- query
}
func (r *engineRecorder) CancelAttempt(_ *request.Query, attempt router.AttemptID, _ router.EngineID) {
	r.cancelled <- attempt
}
func (r *engineRecorder) CheckHealth(router.EngineID) {}
func (r *engineRecorder) Close()                      {}

// singleOwnerEngines may be used by one goroutine only, like package engines. The race detector reports any
// other use.
type singleOwnerEngines struct {
	*engineRecorder
	uses int
}

func (e *singleOwnerEngines) UpdateEndpoints([]engines.Endpoint, bool) { e.uses++ }
func (e *singleOwnerEngines) Close()                                   { e.uses++ }

// machine is the machine kind that the tests' engines run on.
var machine = router.MachineKind{Cores: 8, MemoryMB: 1000}

// newModule returns a decision module with one query class.
func newModule(class router.QueryClass, capabilities router.Capabilities,
	limits router.SafetyLimits) *router.Router {
	return router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{machine},
		[]router.QueryClass{class}, nil, capabilities, limits)
}

// engineList returns a complete endpoint list of these engines, all ready.
func engineList(ids ...router.EngineID) discovery.Update {
	update := discovery.Update{Complete: true}
	for _, id := range ids {
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{Endpoint: router.Endpoint{Engine: id}})
	}
	return update
}

// newLoop returns a running loop with one engine.
func newLoop(t *testing.T) (*Loop, *engineRecorder) {
	module := newModule(router.QueryClass{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1},
		router.Capabilities{Cancel: true, MaxAttempts: 3},
		router.SafetyLimits{EventInterval: 5, SlowStartCapacity: 0.3, SlowStartTime: 1000, SlowStartOverload: 4,
			SlowStartWindow: 1000})
	recorder := newEngineRecorder(10)
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(recorder)
	l.UpdateEndpoints(engineList("e"), true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l, recorder
}

// newQuery returns a query that was read just now.
func newQuery(id string) *request.Query {
	return &request.Query{ID: id, Tenant: -1, ReadAt: time.Now(), TimeLeft: 5 * time.Second}
}

// The daemon closes the connections to engines while discovery posts an update. If the caller of Close closed
// them itself, two goroutines would use the Engines at once. So the loop's goroutine must do both; the race
// detector reports any other use.
func TestCloseDuringEndpointUpdates(_ *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, nil, nil, nil, router.Capabilities{},
		router.SafetyLimits{})
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(&singleOwnerEngines{engineRecorder: &engineRecorder{}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	halfPosted := make(chan bool)
	go func() {
		for i := range 100 {
			l.PostEndpoints(discovery.Update{})
			if i == 50 {
				close(halfPosted)
			}
		}
	}()
	<-halfPosted
	l.Close()
	l.Counts() // the loop still replies
}

// More queries arrive than one step handles, and more than the queue of arrivals holds. If the engines'
// answers and the requests to the loop went through that queue too, they would wait behind the queries.
// Queries beyond the capacity are not accepted, a request gets its reply after one step, and every accepted
// query gets its answer.
func TestManyArrivals(t *testing.T) {
	module := newModule(router.QueryClass{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1},
		router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{EventInterval: 5})
	recorder := newEngineRecorder(10000)
	l := New(module, SystemClock(), 1000, 0)
	l.SetEngines(recorder)
	l.UpdateEndpoints(engineList("e"), true)
	answers := make(chan request.Verdict, 2000)
	accepted := 0
	for i := range 1200 {
		query := newQuery(fmt.Sprint("c", i))
		query.TimeLeft = 400 * time.Millisecond
		query.OnAnswer(func() { answers <- query.Answer().Verdict })
		if l.Offer(clients.QueryArrived{Query: query}) {
			accepted++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.StartShutdown(time.Hour) // posted after a thousand queries, but handled before them
	counts := make(chan Counts, 1)
	// Posted before the loop runs, so that it waits for at most one step, however slow the machine is.
	l.post(countsRequest{counts})
	go l.Run(ctx)
	got := <-counts
	if accepted != 1000 || got.QueueFull != 200 || got.Accepted > maxQueriesPerStep {
		t.Errorf("%d queries accepted, counts %+v, want 1000 accepted, 200 not, at most maxQueriesPerStep in a step",
			accepted, got)
	}
	for range accepted {
		select {
		case <-answers:
		case <-time.After(10 * time.Second):
			t.Fatalf("an accepted query got no answer in time: %+v", l.Counts())
		}
	}
}
