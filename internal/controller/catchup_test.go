package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// unreadInput is an Input that holds something unread. The loop's first look at it lets its reader run.
type unreadInput struct {
	read  func() // what the reader does when it has its turn
	looks atomic.Int64
}

func (u *unreadInput) HasInput() bool {
	if u.looks.Add(1) > 1 {
		return false
	}
	u.read()
	return true
}

// stalledLoop is a loop whose clock the test sets, and which is not running yet.
type stalledLoop struct {
	*Loop
	recorder *engineRecorder
	now      atomic.Int64 // ms
}

func newStalledLoop(u *unreadInput) *stalledLoop {
	s := &stalledLoop{recorder: newEngineRecorder(10)}
	module := newModule(router.QueryClass{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1},
		router.Capabilities{Cancel: true, MaxAttempts: 3}, router.SafetyLimits{EventInterval: 5})
	s.Loop = New(module, func() float64 { return float64(s.now.Load()) }, 10, 0)
	s.SetEngines(s.recorder)
	s.SetInputs(u)
	s.UpdateEndpoints(engineList("e"), true)
	return s
}

// run runs the loop, which has a turn, then none for a second, and then one again with a new query.
func (s *stalledLoop) run(t *testing.T, query *request.Query) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	s.Counts() // it has had a turn
	s.now.Add(1000)
	s.Offer(clients.QueryArrived{Query: query})
}

// TestDrainBeforeQueryAfterStall guards against an attempt on an engine whose drain was told while the process had no turn:
// the new query reaches the loop before the watch of the endpoint list has read the drain.
func TestDrainBeforeQueryAfterStall(t *testing.T) {
	u := &unreadInput{}
	s := newStalledLoop(u)
	draining := engineList("e")
	draining.Endpoints[0].State = router.Draining
	u.read = func() { s.PostEndpoints(draining) }
	s.run(t, newQuery("c1"))
	for s.Counts().Accepted == 0 {
	}
	if got := s.Counts(); got.Attempts > 0 || got.Stalls == 0 {
		t.Errorf("%d attempts on the draining engine, %d stalls noted; want none, and at least 1", got.Attempts, got.Stalls)
	}
	s.PostEndpoints(discovery.Update{Complete: true, Endpoints: engineList("f").Endpoints})
	select {
	case <-s.recorder.started:
	case <-time.After(10 * time.Second):
		t.Error("no attempt in time on an engine that is ready")
	}
}

// TestCancelBeforeQueryAfterStall guards against an attempt for a client that has gone while the process had no turn: its
// query reaches the loop before its session has read the cancel or the end of the connection.
func TestCancelBeforeQueryAfterStall(t *testing.T) {
	cancelled := newQuery("c1")
	s := newStalledLoop(&unreadInput{read: func() { cancelled.Finish(request.Answer{Verdict: request.Disconnected}) }})
	s.run(t, cancelled)
	next := newQuery("c2")
	s.Offer(clients.QueryArrived{Query: next})
	if got := <-s.recorder.started; got != next {
		t.Errorf("the first attempt is for query %s, want c2", got.ID)
	}
}

// TestCancelDuringStep guards against an attempt for a client that has gone while the process had no turn between a step and
// its actions. The attempt is withdrawn before it is written, as the session has marked the query by then.
func TestCancelDuringStep(t *testing.T) {
	query := newQuery("c1")
	u := &unreadInput{read: func() { query.Finish(request.Answer{Verdict: request.Disconnected}) }}
	s := newStalledLoop(u)
	s.turnAt = 0
	s.queryArrived(query)
	s.stallDuringStep()
	s.step()
	if got := <-s.recorder.started; got.Answer().Verdict != request.Disconnected {
		t.Errorf("the attempt started with answer %v, want Disconnected", got.Answer().Verdict)
	}
}

// stallDuringStep has the clock jump within the next step: its first two readings come ahead of the module's step.
func (s *stalledLoop) stallDuringStep() {
	readings := 0
	s.clock = func() float64 {
		readings++
		if readings <= 2 {
			return 0
		}
		return 1000
	}
}

// orderRecorder records whether the engine drained when an attempt was started on it.
type orderRecorder struct {
	*engineRecorder
	draining        bool
	startedDraining []bool // for each attempt
}

func (r *orderRecorder) UpdateEndpoints(endpoints []engines.Endpoint, _ bool) {
	r.draining = endpoints[0].State == router.Draining
}

func (r *orderRecorder) StartAttempt(*request.Query, router.AttemptID, router.EngineID, time.Duration, time.Duration) {
	r.startedDraining = append(r.startedDraining, r.draining)
}

// TestDrainDuringStep guards against an attempt on an engine whose drain was told while the process had no turn between a step
// and its actions. The Engines know of the drain first and refuse the attempt; what else came is handled after the actions.
func TestDrainDuringStep(t *testing.T) {
	u := &unreadInput{}
	s := newStalledLoop(u)
	recorder := &orderRecorder{engineRecorder: s.recorder}
	s.SetEngines(recorder)
	counts := make(chan Counts, 1)
	draining := engineList("e")
	draining.Endpoints[0].State = router.Draining
	u.read = func() {
		s.post(countsRequest{counts})
		s.PostEndpoints(draining)
	}
	s.turnAt = 0
	s.queryArrived(newQuery("c1"))
	s.stallDuringStep()
	again := s.step()
	if len(recorder.startedDraining) != 1 || !recorder.startedDraining[0] {
		t.Fatalf("attempts started with the drain known: %v, want one, which the Engines refuse", recorder.startedDraining)
	}
	if got := (<-counts).Attempts; got != 1 || !again {
		t.Errorf("deferred message saw %d attempts, next step at once %t; want it handled after the attempt, and true", got, again)
	}
}

// TestStallBetweenSteps guards against a step that follows another at once, after a time without a turn between the two, and
// decides without what came.
func TestStallBetweenSteps(t *testing.T) {
	cancelled := newQuery("c1")
	s := newStalledLoop(&unreadInput{read: func() { cancelled.Finish(request.Answer{Verdict: request.Disconnected}) }})
	s.turnAt = 0
	s.now.Store(1000)
	s.step()
	if cancelled.Answer().Verdict != request.Disconnected {
		t.Error("the step did not have the inputs read")
	}
}

// An input that is never empty holds up the loop for a bounded number of looks.
func TestCatchUpGivesUp(t *testing.T) {
	u := &endlessInput{}
	s := newStalledLoop(nil)
	s.SetInputs(u)
	query := newQuery("c1")
	s.run(t, query)
	if got := <-s.recorder.started; got != query {
		t.Errorf("got an attempt for %s, want c1", got.ID)
	}
	if u.looks.Load() < catchUpLooks {
		t.Errorf("%d looks, want at least %d", u.looks.Load(), catchUpLooks)
	}
}

type endlessInput struct{ looks atomic.Int64 }

func (u *endlessInput) HasInput() bool { u.looks.Add(1); return true }
