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
	// maxQueriesPerStep bounds the queries that one step hands to the module, which needs some
	// milliseconds for so many.
	maxQueriesPerStep = 512
	// minAttemptsToStepAgain is how many attempts a step has to start for the next step to follow at once,
	// without new queries. The module may have more to start then, and should do so before it is given
	// new queries: those that can't be decided in time stay in the arrivals, where the module sees how
	// long they waited.
	minAttemptsToStepAgain = 64
	// initialTimerDelay is the time that the timer runs for until the module first sets it.
	initialTimerDelay = time.Hour
)

// Engines sends attempts and health checks to engines. The loop's goroutine alone calls its
// methods, and none of them blocks.
type Engines interface {
	// UpdateEndpoints sets addresses and states of engines. If complete, engines that are not named
	// are gone.
	UpdateEndpoints(endpoints []engines.Endpoint, complete bool)
	// SetExpired says whether the endpoint list is out of date: engines may have moved unnoticed.
	SetExpired(expired bool)
	// StartAttempt sends a query to an engine. It is given up as TimedOut after within. If startWithin
	// is above 0 and the attempt was not sent within that time, it must not be sent any more. Its
	// outcome comes as an engines.AttemptEnded.
	StartAttempt(
		query *request.Query, attempt router.AttemptID, engine router.EngineID,
		within, startWithin time.Duration,
	)
	// CancelAttempt gives an attempt up. Its outcome still comes.
	CancelAttempt(query *request.Query, attempt router.AttemptID, engine router.EngineID)
	// CheckHealth starts a health check of an engine, which ends by an engines.HealthCheckEnded.
	CheckHealth(engine router.EngineID)
	// Close ends all connections.
	Close()
}

// Loop is the state of the loop. Where a field's comment says nothing else, the goroutine of Run
// owns the field from the call of Run on, and before that the goroutine that sets the loop up.
type Loop struct {
	module  *router.Router
	engines Engines
	clock   Clock

	inbox     chan message              // shared: posters send, Run receives
	arrivals  chan clients.QueryArrived // shared: Offer sends, Run receives
	queueFull atomic.Int64              // shared: queries that Offer did not accept

	events []router.Event // for the next step
	timer  *time.Timer    // fires when the module has asked for a step
	counts Counts

	// queries are those in flight: without a final answer, or with an attempt without an outcome.
	queries map[router.QueryID]*queryState

	clientIDs map[string]router.QueryID // ids of the queries in flight, by their clients' ids
	lastID    router.QueryID            // the last id that was given to a query

	ruleEpochs   rules.Epochs         // give the ordering keys
	clientQueues spacing.ClientQueues // estimate how long queries waited at their clients

	// orderingKeyFreed says that in this step the last attempt of an answered query ended, so that the
	// next query of its ordering keys may start.
	orderingKeyFreed bool

	// endpoints is the endpoint list as received; nil: it is not kept, see KeepEndpoints.
	endpoints map[router.EngineID]router.Endpoint

	addresses   map[router.EngineID]string // of the engines in endpoints
	heldEngines map[router.EngineID]bool   // treated as draining, whatever the list says
	restore     restoreFunc                // nil: there is nothing to restore, or it was restored
}

// New returns a loop around the module. SetEngines must be called before Run. inboxSize bounds the
// messages in the inbox, and also the queries in the arrivals. orderingCooldown, in ms, is how long
// an ordering key rests after an attempt that may still be running.
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

// SetEngines sets what carries out actions, before Run. It is apart from New because engines post
// to the loop.
func (l *Loop) SetEngines(e Engines) { l.engines = e }

// Run handles messages and has the module decide until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for { // the first step needs no event
		if stepAgain := l.step(); stepAgain {
			l.events = append(l.events, router.TimerFired{})
			l.drainInbox()
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.handle(m)
		case arrived := <-l.arrivals:
			l.queryArrived(arrived.Query)
		case <-l.timer.C:
			l.events = append(l.events, router.TimerFired{})
		}
		l.drainInbox()
		l.drainArrivals()
	}
}

// drainInbox handles the messages in the inbox, for the same step. It handles no more than the
// inbox holds, so that goroutines that go on posting can't keep it here.
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

// drainArrivals handles queries for the same step, but not all that wait: answers and timeouts must
// not wait until the module has looked at every one.
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

// step has the module decide and carries its actions out in order. It reports whether the next step
// should follow at once: many attempts were started, or an ordering key is free for its next query,
// which the module sees at its next step.
func (l *Loop) step() (stepAgain bool) {
	now := l.clock()
	actions := l.module.Step(now, l.events)
	stepAgain = l.orderingKeyFreed
	l.orderingKeyFreed = false
	clear(l.events)
	l.events = l.events[:0]
	started := 0
	for _, action := range actions {
		if _, ok := action.(router.StartAttempt); ok {
			started++
		}
		l.perform(action, now)
	}
	return stepAgain || started >= minAttemptsToStepAgain
}
