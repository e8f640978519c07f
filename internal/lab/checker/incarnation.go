package checker

import (
	"math"
	"slices"

	"mintkeel/router"
)

// incarnation is one run of a controller: what it was given, and the queries that it has to answer.
type incarnation struct {
	queries        map[router.QueryID]*query
	orderingQueues map[router.OrderingKey][]*query // by arrival
	cooldownUntil  map[router.OrderingKey]float64  // ms
	endpoints      map[router.EngineID]router.Endpoint
	arrivedAt      []float64 // ms, of its queries
	retriedAt      []float64 // ms, of its retries
	expiredFor     float64   // ms, from the last update of its endpoint list
	subscribed     bool      // it gets updates of the endpoint list without polling
	polledAt       float64   // ms, when it last polled or was last subscribed
	shutdownAt     float64   // ms, when its planned shutdown ends; +Inf: none is planned
}

// query is a query with its attempts and its state at the controller.
type query struct {
	router.QueryArrived
	class           *router.QueryClass
	arrivedAt       float64 // ms
	arrivalOrder    int     // among the queries of all controllers
	deadline        float64 // ms
	work            float64 // ms on one thread that it really needs
	attempts        []attempt
	done            bool // it has its final answer, or its client has disconnected
	responseStarted bool
	keys            []router.OrderingKey
	// cooldownUntil is the time in ms until which no later query of its keys may start, because an
	// attempt of this query may still run.
	cooldownUntil float64
}

// attempt is one attempt of a query.
type attempt struct {
	startedAt float64 // ms
	engine    router.Endpoint
	ended     bool
	outcome   router.Outcome // once it has ended
}

// ControllerStarted records the start of a controller, which knows no query and no endpoint.
func (ch *Checker) ControllerStarted(controller int, now float64) {
	ch.incarnations[controller] = &incarnation{
		queries:        map[router.QueryID]*query{},
		orderingQueues: map[router.OrderingKey][]*query{},
		cooldownUntil:  map[router.OrderingKey]float64{},
		endpoints:      map[router.EngineID]router.Endpoint{},
		polledAt:       now,
		shutdownAt:     math.Inf(1),
	}
}

// ControllerKilled records that a controller was killed; its open queries need no answer any more.
func (ch *Checker) ControllerKilled(controller int) { delete(ch.incarnations, controller) }

// ControllerStopped records that a controller has completed a planned shutdown: all queries that it
// accepted must have their final answers.
func (ch *Checker) ControllerStopped(controller int, now float64) {
	if inc := ch.incarnations[controller]; inc != nil {
		for _, q := range inc.queries {
			if !q.done && !q.responseStarted {
				ch.breach(FinalAnswer, now, controller, "query %d has no answer at the planned end", q.ID)
			}
		}
	}
	ch.ControllerKilled(controller)
}

// updateEndpoints applies an update of the endpoint list.
func (inc *incarnation) updateEndpoints(now float64, ev router.EndpointsUpdated) {
	if ev.Failed {
		if inc.subscribed {
			inc.polledAt = now
		}
		inc.subscribed = false
		return
	}
	inc.expiredFor = ev.ExpiredFor
	inc.subscribed = inc.subscribed || !ev.Cached
	listed := map[router.EngineID]bool{}
	for _, e := range ev.Endpoints {
		inc.endpoints[e.Engine] = e
		listed[e.Engine] = true
	}
	if !ev.Complete {
		return
	}
	for id, e := range inc.endpoints {
		if !listed[id] {
			e.State = router.Gone
			inc.endpoints[id] = e
		}
	}
}

// addKey inserts a query into the queue of one more ordering key, in order of arrival.
func (inc *incarnation) addKey(q *query, key router.OrderingKey) {
	if !q.class.Ordered || key == "" || slices.Contains(q.keys, key) {
		return
	}
	q.keys = append(q.keys, key)
	inc.cooldownUntil[key] = max(inc.cooldownUntil[key], q.cooldownUntil)
	queue := append(inc.orderingQueues[key], q)
	for i := len(queue) - 1; i > 0 && queue[i-1].arrivalOrder > q.arrivalOrder; i-- {
		queue[i-1], queue[i] = queue[i], queue[i-1]
	}
	inc.orderingQueues[key] = queue
}

// forgetIfDone drops a query once no rule needs it: it is done, and all its attempts have ended.
func (inc *incarnation) forgetIfDone(q *query) {
	if !q.done || q.outstanding() {
		return
	}
	delete(inc.queries, q.ID)
	for _, key := range q.keys {
		queue := slices.DeleteFunc(inc.orderingQueues[key], func(other *query) bool { return other == q })
		if len(queue) == 0 {
			delete(inc.orderingQueues, key)
		} else {
			inc.orderingQueues[key] = queue
		}
	}
}

// answerBy returns the time in ms by which the final answer of a query is due. A query that arrives
// after the end of a planned shutdown is due on arrival.
func (inc *incarnation) answerBy(q *query) float64 {
	return max(q.arrivedAt, min(q.deadline, inc.shutdownAt))
}

// outstanding reports whether an attempt of the query has not ended.
func (q *query) outstanding() bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.ended })
}

// unresolved returns the first attempt that may have run or has not ended, or nil if there is none.
func (q *query) unresolved() *attempt {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.ended || !a.outcome.NeverRan() {
			return a
		}
	}
	return nil
}
