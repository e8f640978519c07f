package controller

import (
	"context"
	"sync/atomic"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/core/spacing"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/router"
)

const (
	// maxQueriesPerStep bounds the new queries that one step passes to the module, which takes a few
	// milliseconds for that many.
	maxQueriesPerStep = 512
	// minAttemptsToStepAgain is the number of attempts started by a step from which the next step
	// follows at once, without new queries. The module may have more attempts to start, and should
	// start them before it gets new queries: queries that it can't decide on in time stay in the
	// arrivals, and the module learns how long they waited there (ArrivalWait).
	minAttemptsToStepAgain = 64
	// initialTimerDelay is the delay of the timer until the module first sets it.
	initialTimerDelay = time.Hour
)

// Engines sends attempts and health checks to engines. Only the loop's goroutine calls its methods,
// and none of them blocks.
type Engines interface {
	// UpdateEndpoints sets addresses and states of engines. If complete is set, engines that are not
	// named are gone.
	UpdateEndpoints(endpoints []engines.Endpoint, complete bool)
	// SetExpired sets whether the endpoint list has expired: engines may have moved unnoticed.
	SetExpired(expired bool)
	// StartAttempt sends a query to an engine. The attempt ends as TimedOut after within. If
	// startWithin is above 0 and the attempt could not be sent within that time, it must not be sent
	// any more. Its outcome is reported by an engines.AttemptEnded.
	StartAttempt(
		query *request.Query, attempt router.AttemptID, engine router.EngineID,
		within, startWithin time.Duration,
	)
	// CancelAttempt cancels an attempt, whose outcome is still reported.
	CancelAttempt(query *request.Query, attempt router.AttemptID, engine router.EngineID)
	// CheckHealth starts a health check of an engine. Its result is reported by an
	// engines.HealthCheckEnded.
	CheckHealth(engine router.EngineID)
	// Close closes all connections.
	Close()
}

// Loop is the event loop. Unless its comment says otherwise, a field belongs to the goroutine of
// Run once Run is called, and before that to the goroutine that sets the loop up.
type Loop struct {
	module  *router.Router
	engines Engines
	clock   Clock

	inbox     chan message              // shared: posters send, Run receives
	arrivals  chan clients.QueryArrived // shared: Offer sends, Run receives
	queueFull atomic.Int64              // shared: queries that Offer did not accept

	inputs []Input // of its events; set before Run
	turnAt float64 // when it last had a turn, in ms; see hadNoTurn

	deferred []message // until the actions of the current step are carried out

	events []router.Event // for the next step
	timer  *time.Timer    // fires when the module has requested a step
	counts Counts

	// queries are those in flight: without a final answer, or with an attempt without an outcome.
	queries map[router.QueryID]*queryState

	clientIDs map[string]router.QueryID // ids of the queries in flight, by their client ids
	lastID    router.QueryID            // the last router id that was assigned

	ruleEpochs   rules.Epochs         // compute the ordering keys
	clientQueues spacing.ClientQueues // estimates how long queries waited at their clients

	// orderingKeyFreed is set if the last attempt of an answered query has ended since the last step,
	// so that the next query with its ordering keys may start.
	orderingKeyFreed bool

	// endpoints is the endpoint list as received; nil if it is not kept, see KeepEndpoints.
	endpoints map[router.EngineID]router.Endpoint

	addresses   map[router.EngineID]string // of the engines in endpoints
	heldEngines map[router.EngineID]bool   // treated as draining while the list has them as ready
	restore     restoreFunc                // nil: nothing to restore, or restored already
}

// New returns a loop that runs the module. SetEngines must be called before Run. inboxSize is the
// capacity of the inbox and of the arrivals. orderingCooldown, in ms, is how long an ordering key
// stays blocked after an attempt that may still be running.
func New(module *router.Router, clock Clock, inboxSize int, orderingCooldown float64) *Loop {
	return &Loop{
		module:     module,
		clock:      clock,
		inbox:      make(chan message, inboxSize),
		arrivals:   make(chan clients.QueryArrived, inboxSize),
		timer:      time.NewTimer(initialTimerDelay),
		queries:    map[router.QueryID]*queryState{},
		clientIDs:  map[string]router.QueryID{},
		ruleEpochs: rules.Epochs{OrderingCooldown: orderingCooldown},
	}
}

// SetEngines sets the Engines that carry out actions; it must be called before Run. It is separate
// from New because the Engines need the loop to post their events to.
func (l *Loop) SetEngines(e Engines) { l.engines = e }

// SetInputs sets the sources of events, which the loop catches up with after a time in which it had
// no turn. It must be called before Run.
func (l *Loop) SetInputs(inputs ...Input) { l.inputs = inputs }

// Run handles messages and runs the module until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	turns := time.NewTicker(turnInterval)
	defer turns.Stop()
	l.turnAt = l.clock()
	for { // the first step needs no event
		if stepAgain := l.step(); stepAgain {
			l.events = append(l.events, router.TimerFired{})
			l.drainInbox()
			if ctx.Err() != nil {
				return
			}
			continue
		}
		if !l.awaitEvents(ctx, turns.C) {
			return
		}
		l.drainInbox()
		l.drainArrivals()
	}
}

// awaitEvents waits until there is something to do, and handles the first of it. It reports whether
// ctx has not ended.
func (l *Loop) awaitEvents(ctx context.Context, turns <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case m := <-l.inbox:
			l.handle(m)
			l.catchUp()
			return true
		case arrived := <-l.arrivals:
			l.catchUp() // first, as its client may have disconnected meanwhile
			l.queryArrived(arrived.Query)
			return true
		case <-l.timer.C:
			l.catchUp()
			l.events = append(l.events, router.TimerFired{})
			return true
		case <-turns:
			l.catchUp()
			if len(l.events) > 0 {
				return true
			}
		}
	}
}

// drainInbox handles the messages in the inbox in the current step. It handles at most as many as
// the inbox can hold, so that goroutines that keep posting can't delay the step forever.
func (l *Loop) drainInbox() {
	for range cap(l.inbox) {
		select {
		case m := <-l.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

// drainArrivals handles a bounded number of new queries in the current step: answers and timeouts
// must not wait until the module has handled every query that arrived.
func (l *Loop) drainArrivals() {
	for range maxQueriesPerStep {
		select {
		case arrived := <-l.arrivals:
			l.queryArrived(arrived.Query)
		default:
			return
		}
	}
}

// step passes the events to the module and carries out its actions in order. It reports whether the
// next step should follow at once: if many attempts were started, if an ordering key was freed,
// whose next query the module starts in its next step, or if events came during the step.
func (l *Loop) step() (stepAgain bool) {
	l.catchUp()
	now := l.clock()
	actions := l.module.Step(now, l.events)
	stepAgain = l.orderingKeyFreed
	l.orderingKeyFreed = false
	clear(l.events)
	l.events = l.events[:0]
	l.catchUpDuringStep()
	started := 0
	for _, action := range actions {
		if _, ok := action.(router.StartAttempt); ok {
			started++
		}
		l.perform(action, now)
	}
	l.handleDeferred()
	return stepAgain || started >= minAttemptsToStepAgain || len(l.events) > 0
}
