package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// The Engines get the time within which an attempt must be sent: no limit for the first attempt; for a retry
// after one that may have run, the time for which engines recognize the idempotency key.
func TestStartWithin(t *testing.T) {
	class := router.QueryClass{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1,
		Effect: router.Deduplicated, DeduplicationWindow: 3600e3}
	module := newModule(class, router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{})
	recorder := newEngineRecorder(10)
	recorder.startWithins = make(chan time.Duration, 10)
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(recorder)
	l.UpdateEndpoints(engineList("e", "f"), true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	query := newQuery("c")
	query.TimeLeft = time.Minute
	l.Offer(clients.QueryArrived{Query: query})
	if within := <-recorder.startWithins; within != 0 {
		t.Errorf("first attempt: startWithin is %v, want 0", within)
	}
	<-recorder.started
	l.PostEngineEvent(engines.AttemptEnded{Query: query, Outcome: router.ConnectionReset})
	if within := <-recorder.startWithins; within <= 50*time.Minute || within >= time.Hour {
		t.Errorf("retry: startWithin is %v, want 50 to 60 minutes", within)
	}
}

// 200 queries with one ordering key are each answered at once. Each must start as soon as the one before has
// ended: if the next waited for the module's timer, all together would take ten seconds.
func TestNextOfOrderingKeyStartsAtOnce(t *testing.T) {
	class := router.QueryClass{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1, Ordered: true,
		LateBenefit: 1}
	module := newModule(class, router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{})
	recorder := newEngineRecorder(1000)
	l := New(module, SystemClock(), 1000, 0)
	l.SetEngines(recorder)
	l.UpdateEndpoints(engineList("e"), true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for i := range 200 {
		query := newQuery(fmt.Sprint("c", i))
		query.OrderingKey = "k"
		query.TimeLeft = time.Minute
		l.Offer(clients.QueryArrived{Query: query})
	}
	start := time.Now()
	for i := range 200 {
		query := <-recorder.started
		if query.ID != fmt.Sprint("c", i) {
			t.Fatalf("%s was started as query number %d, want the order of arrival", query.ID, i)
		}
		l.PostEngineEvent(engines.AttemptEnded{Query: query})
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("200 queries took %v, want 5 s at most", took)
	}
}

// Queries with one ordering key that arrive in close succession may have waited for one another at their
// client, while each still names the full timeout. By that timeout alone, the last would be answered after its
// client has given up. Its answer must come earlier, by the time that it arrived after the first.
//
// The test runs in virtual time: on a machine with three busy processes per core, its goroutine was woken up
// to 33 ms late, which exceeds the 15 ms that the answer comes early.
func TestClientSideQueueing(t *testing.T) { synctest.Test(t, testClientSideQueueing) }

func testClientSideQueueing(t *testing.T) {
	class := router.QueryClass{LatencyObjective: 1000, ClientTimeout: 5000, LateBenefit: 1, Threads: 1,
		Ordered: true}
	module := newModule(class, router.Capabilities{Cancel: true, MaxAttempts: 3},
		router.SafetyLimits{EventInterval: 5})
	const timeLeft = 2000 * time.Millisecond
	const interval = 50 * time.Millisecond
	now := time.Now()
	clock := func() float64 { return float64(time.Since(now)) / 1e6 }
	recorder := newEngineRecorder(100)
	l := New(module, clock, 100, 0)
	l.SetEngines(recorder)
	l.UpdateEndpoints(engineList("e"), true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan time.Duration, 1)
	for i := range 20 { // all but the last have a ReadAt in the past
		query := newQuery(fmt.Sprint("c", i))
		query.OrderingKey = "k"
		query.EstimatedWork = 1
		query.TimeLeft = timeLeft
		query.ReadAt = now.Add(-time.Duration(19-i) * interval)
		if i == 19 {
			query.OnAnswer(func() { answered <- time.Since(now) })
		}
		l.Offer(clients.QueryArrived{Query: query})
	}
	go l.Run(ctx)
	if took := <-answered; took > timeLeft-19*interval || took < timeLeft-19*interval-200*time.Millisecond {
		t.Errorf("the last query was answered after %v, want just before %v", took, timeLeft-19*interval)
	}
}

// For each way in which a query can end, it is answered once and then removed, so that its id can be used
// again.
//
// The test runs in virtual time: a query times out half a second after it arrived, and on a machine that pauses
// the test for longer between two attempts there would be no third, for which the test would wait forever.
func TestQueryEnds(t *testing.T) { synctest.Test(t, testQueryEnds) }

func testQueryEnds(t *testing.T) {
	rows := [][]byte{[]byte("a\tb\tc\n")}
	for _, c := range []struct {
		name   string
		events func(l *Loop, recorder *engineRecorder, query *request.Query)
		want   request.Verdict
		counts Counts
	}{
		{"answered", func(l *Loop, _ *engineRecorder, query *request.Query) {
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Pages: rows})
		}, request.Succeeded, Counts{Accepted: 1, Answered: 1, Attempts: 1}},
		{"retried, then answered", func(l *Loop, recorder *engineRecorder, query *request.Query) {
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Outcome: router.ConnectionReset})
			<-recorder.started
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Attempt: 1, Pages: rows})
		}, request.Succeeded, Counts{Accepted: 1, Answered: 1, Attempts: 2}},
		{"all its attempts used up", func(l *Loop, recorder *engineRecorder, query *request.Query) {
			for i := range 3 {
				attempt := router.AttemptID(i)
				l.PostEngineEvent(engines.AttemptEnded{Query: query, Attempt: attempt, Outcome: router.ConnectionReset})
				if i < 2 {
					<-recorder.started
				}
			}
		}, request.Rejected, Counts{Accepted: 1, Rejected: 1, Attempts: 3}},
		{"its client disconnected", func(l *Loop, recorder *engineRecorder, query *request.Query) {
			query.Finish(request.Answer{Verdict: request.Disconnected})
			l.PostClientEvent(clients.ClientDisconnected{Query: query})
			<-recorder.cancelled
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Outcome: router.Cancelled})
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Pages: rows}) // no longer in flight
		}, request.Disconnected, Counts{Accepted: 1, Disconnected: 1, Attempts: 1, Cancels: 1}},
		{"its client disconnected as the answer came", func(l *Loop, _ *engineRecorder, query *request.Query) {
			query.Finish(request.Answer{Verdict: request.Disconnected})
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Pages: rows})
			l.PostClientEvent(clients.ClientDisconnected{Query: query})
		}, request.Disconnected, Counts{Accepted: 1, Attempts: 1}},
		{"the controller shuts down", func(l *Loop, recorder *engineRecorder, query *request.Query) {
			l.StartShutdown(30 * time.Millisecond)
			<-recorder.cancelled
			l.PostEngineEvent(engines.AttemptEnded{Query: query, Outcome: router.Succeeded, Pages: rows}) // too late
		}, request.Rejected, Counts{Accepted: 1, Rejected: 1, Attempts: 1, Cancels: 1}},
	} {
		l, recorder := newLoop(t)
		query := newQuery("c")
		done := make(chan struct{})
		query.OnAnswer(func() { close(done) })
		l.PostClientEvent(clients.QueryArrived{Query: query})
		<-recorder.started
		c.events(l, recorder, query)
		<-done
		got := l.Counts()
		got.Outcomes = [router.Withdrawn + 1]int64{}
		got.EndpointUpdates = 0
		if got != c.counts || query.Answer().Verdict != c.want {
			t.Errorf("%s: got unexpected counts %+v or verdict %d", c.name, got, query.Answer().Verdict)
		}
		again := newQuery("c") // with the id of the query that has ended
		l.PostClientEvent(clients.QueryArrived{Query: again})
		if accepted := l.Counts().Accepted; accepted != 2 {
			t.Errorf("%s: another query with the same id is not accepted", c.name)
		}
	}
}

// Engines can't distinguish two queries with the same id, so the second fails while the first is in flight. And
// if a client disconnects before its query reaches the loop, no attempt must be started for the query.
func TestQueryNotAccepted(t *testing.T) {
	l, recorder := newLoop(t)
	l.PostClientEvent(clients.QueryArrived{Query: newQuery("c")})
	<-recorder.started
	second := newQuery("c")
	abandoned := newQuery("d")
	l.PostClientEvent(clients.QueryArrived{Query: second})
	abandoned.Finish(request.Answer{Verdict: request.Disconnected})
	l.PostClientEvent(clients.ClientDisconnected{Query: abandoned})
	l.PostClientEvent(clients.QueryArrived{Query: abandoned})
	c := l.Counts()
	if c.Accepted != 1 || c.Duplicates != 1 || second.Answer().Verdict != request.Failed ||
		len(recorder.started) > 0 {
		t.Errorf("got counts %+v, want 1 accepted, 1 duplicate that failed, and no attempt for either later query", c)
	}
}
