package router

import (
	"math"
	"math/rand"
)

// Router is the decision module of one controller. One goroutine owns it; Step is the only way to
// change it while it runs (Statistics and EngineStatuses read).
type Router struct {
	rng          *rand.Rand
	controllers  float64 // that serve the same engines, this one among them
	index        int     // its own place among them, from 0
	kinds        []MachineKind
	classes      []*queryClass
	tenants      []*tenant
	capabilities Capabilities
	limits       SafetyLimits

	now          float64 // ms, of the step that runs
	startedAt    float64 // ms, of the first step; -1: there was none yet
	firstQueryAt float64 // ms; 0: no query has come yet
	shutdownAt   float64 // ms, when this controller ends; +Inf: no end is planned
	stepCount    uint64
	timers       timers

	queries      map[QueryID]*query // owed an answer, or with an attempt without an outcome
	arrivalCount uint64             // queries taken so far, which orders them
	changed      []*query           // in this step: collectActions looks at them
	queue        queryQueue         // queries that wait for an engine
	ordering     ordering
	admission    admission

	engines         map[EngineID]*engine
	engineList      []*engine // the same, by id
	topologyVersion int       // grows with each change of the engines or of their pools
	endpoints       endpointWatch
	healthChecks    healthChecks
	concurrency     concurrency
	retryBudget     retryBudget
	traffic         traffic
	search          searchState

	tableGroups map[TableGroup]*tableGroup
	groupList   []*tableGroup // the same, by id
	pools       poolState
}

// New returns the module of a controller that has just started. The seed feeds its only source of
// randomness: the same seed and the same events give the same actions.
func New(seed int64, identity Identity, kinds []MachineKind, classes []QueryClass, tenants []Tenant,
	capabilities Capabilities, limits SafetyLimits) *Router {
	if capabilities.ProgressInterval == 0 {
		capabilities.ProgressInterval = math.Inf(1)
	}
	r := &Router{
		rng:          rand.New(rand.NewSource(seed)),
		controllers:  max(1, float64(identity.Controllers)),
		index:        identity.Index,
		kinds:        kinds,
		capabilities: capabilities,
		limits:       limits,
		startedAt:    -1,
		shutdownAt:   math.Inf(1),
		timers:       timers{alarms: heap[alarm]{less: byAlarmTime}},
		queries:      map[QueryID]*query{},
		queue:        queryQueue{firstAttempts: newDeadlineTree(), retries: newDeadlineTree()},
		ordering:     ordering{queues: map[OrderingKey]*orderingQueue{}},
		admission: admission{
			sizeLimit:   maxSizeLimit,
			arrivalWait: decayedMean{halfLife: arrivalWaitHalfLife},
		},
		engines: map[EngineID]*engine{},
		traffic: traffic{
			share:         decayedMean{halfLife: shareHalfLife},
			queryRate:     decayedMean{halfLife: shareHalfLife},
			othersPerCore: decayedMean{halfLife: shareHalfLife},
		},
		tableGroups: map[TableGroup]*tableGroup{},
		pools:       poolState{byKind: make([][]*enginePool, len(kinds))},
	}
	for i, class := range classes {
		r.classes = append(r.classes, newQueryClass(i, class))
	}
	for _, t := range tenants {
		r.tenants = append(r.tenants, &tenant{Tenant: t, queries: decayedMean{halfLife: tenantHalfLife}})
	}
	return r
}

// Step handles all events up to now, in their order, and returns what to do, in the order in which
// it is to be done. now is in ms and never goes back.
func (r *Router) Step(now float64, events []Event) []Action {
	r.now = now
	if r.startedAt < 0 {
		r.startedAt = now
	}
	r.stepCount++
	for _, event := range events {
		r.handle(event)
	}
	for q := r.popDueQuery(); q != nil; q = r.popDueQuery() {
		r.checkQuery(q)
	}
	if now >= r.timers.periodicAt {
		r.runPeriodic()
	}
	r.dispatch()
	return r.collectActions()
}

// handle calls the handler of one event.
func (r *Router) handle(event Event) {
	switch ev := event.(type) {
	case EndpointsUpdated:
		r.endpointsUpdated(ev)
	case QueryArrived:
		r.queryArrived(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case AttemptProgress:
		r.attemptProgress(ev)
	case ResponseStarted:
		r.responseStarted(ev.ID)
	case ClientDisconnected:
		r.clientDisconnected(ev.ID)
	case HealthCheckEnded:
		r.healthCheckEnded(ev)
	case OrderingKeyAdded:
		if q := r.queries[ev.ID]; q != nil {
			r.joinOrderingQueue(q, ev.Key)
		}
	case StatisticsRestored:
		r.statisticsRestored(ev.Statistics)
	case ShutdownStarted:
		r.startShutdown(ev.Within)
	case TimerFired:
		// A step is all that it asks for.
	}
}

// startShutdown has every query looked at by the time that it must have its answer, which is
// earlier now.
func (r *Router) startShutdown(within float64) {
	r.shutdownAt = r.now + within
	for _, q := range r.queries { // in any order: the heap of alarms brings its own
		r.setAlarm(r.answerBy(q), q)
	}
	r.rebuildShedWatches()
}

// markChanged has collectActions look at q at the end of this step.
func (r *Router) markChanged(q *query) {
	if !q.changed {
		q.changed = true
		r.changed = append(r.changed, q)
	}
}

// collectActions turns what this step wants into actions. Decisions set the fields startOn, answer
// and cancelWanted of queries, and the wanted lists; nothing else returns actions, so a query never
// gets two final answers.
func (r *Router) collectActions() []Action {
	var actions []Action
	for _, q := range r.changed {
		q.changed = false
		actions = r.queryActions(actions, q)
	}
	for _, e := range r.healthChecks.wanted {
		actions = append(actions, CheckHealth{Engine: e.id})
	}
	if r.endpoints.subscribeWanted {
		r.endpoints.subscribeWanted = false
		actions = append(actions, Subscribe{})
	}
	r.changed = r.changed[:0]
	r.healthChecks.wanted = r.healthChecks.wanted[:0]
	return r.appendTimer(actions)
}

// queryActions appends what is to be done for q, and forgets it if nothing is left of it.
func (r *Router) queryActions(actions []Action, q *query) []Action {
	if q.startOn != nil {
		actions = append(actions,
			StartAttempt{ID: q.id, Engine: q.startOn.id, Deadline: q.deadline, StartBy: q.startBy})
		q.startOn = nil
	}
	if !q.done {
		switch q.answer {
		case rejected:
			retryAfter := r.capabilities.RetryAfterDelay(r.rng.Float64())
			actions = append(actions, Reject{ID: q.id, RetryAfter: retryAfter})
		case failedFinally:
			actions = append(actions, Fail{ID: q.id})
		}
	}
	q.done = q.done || q.answer != unanswered
	if q.cancelWanted && r.capabilities.Cancel {
		actions = q.appendCancels(actions)
	}
	q.cancelWanted = false
	if q.done && q.outstanding == 0 {
		r.removeQuery(q)
	}
	return actions
}

// appendCancels cancels the attempts of q that are outstanding, once each.
func (q *query) appendCancels(actions []Action) []Action {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.outstanding && !a.cancelled {
			a.cancelled = true
			actions = append(actions, CancelAttempt{ID: q.id, Attempt: AttemptID(i)})
		}
	}
	return actions
}
