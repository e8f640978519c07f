// Package router is the decision module of a controller: it decides which query runs when, on which
// engine and with what concurrency, and what is rejected. It is a pure state machine in the manner
// of a consensus core: events and the time go in, actions come out. It has no clock, goroutine, I/O
// or log.
//
// # Contract with the caller
//
//   - One goroutine owns a Router. It calls Step with a time in milliseconds that never goes back
//     and all events since the last step, and carries out the returned actions in order. The
//     attempts of one query are numbered by the order of their StartAttempt actions, from 0.
//   - After SetTimer the caller calls Step again when that time has passed, with a TimerFired event
//     if there is no other event.
//   - Each StartAttempt is answered by exactly one AttemptEnded, whatever happens to the
//     connection. An outcome for which Outcome.NeverRan is true promises that the engine did not
//     and will not run the attempt.
//   - AttemptEnded with QueryDone, Reject, Fail and ClientDisconnected end a query: nothing is
//     started for it afterwards. Its id may be used again when all its attempts have ended.
//   - The same seed and the same steps give the same actions.
//
// All times are milliseconds; memory is megabytes; work is milliseconds on one thread of an idle
// engine.
//
// # The rules that always hold
//
// Each rule is enforced from what this controller alone knows, at one point in the code that every
// attempt or answer passes:
//
//  1. Every query gets one final answer, before its client timeout: answerBy, rejectOrFail,
//     collectActions. Once a response has started (ResponseStarted) the module answers no more, and
//     the caller has to end the response.
//  2. No effect happens twice: eligible, attemptsExhausted, repeatDeadline, attemptStartBy;
//     mayReject for the answer.
//  3. Draining engines get no new attempts: eligible, endpointTrusted, attemptStartBy.
//  4. Warming engines are not overloaded: slowStartAllows (slowstart.go).
//  5. Queries with the same ordering key run one at a time, in order: headOfQueues (ordering.go has
//     the queues).
//  6. Queries stay on the machine kinds and zones that are configured for them: placementAllows.
//  7. Retries stay within their budget: retryBudgetAllows (retrybudget.go).
//
// # Where to find what
//
// The interface: settings.go (what is configured), events.go, actions.go, router.go (New and Step).
//
// The decision logic, each file with the question that it answers:
//
//	admission.go     is an arriving query accepted, or rejected at once?
//	eligibility.go   may an attempt of this query start on this engine? (rules 1, 2, 3, 5, 6)
//	slowstart.go     how much may a warming engine get from this controller? (rule 4)
//	retrybudget.go   may there be one more retry? (rule 7)
//	selection.go     which engine is best for a query?
//	concurrency.go   how much may run at once, on one engine and on all?
//	dispatch.go      which queued query is next?
//	retry.go         an attempt ended or has gone silent: is there another one?
//	shedding.go      when is a queued query shed, and what is its answer?
//	outlier.go       which engine is healthy, for all queries and for one class?
//	healthcheck.go   when is an engine asked for its health and load?
//	endpoints.go     what follows from an update of the endpoint list?
//	load.go          how loaded is an engine, by its reports?
//	packing.go       which table groups fit together into one engine's memory?
//	pools.go         which engines serve which table groups, and when do they change?
//	assignment.go    how many engines, and which, does each pool get?
//	trafficshare.go  which share of all traffic passes through this controller?
//	estimates.go     how long does a query run, and how much memory does it need?
//	periodic.go      what is done periodically and not on events?
//	restore.go       which statistics of an earlier run are used, and what follows from them?
//
// reasons.go lists the reasons for which a query is rejected or failed, and those for which no
// engine may take it now. What excludes single engines (capacity, backoff, slow start, placement)
// is checked per engine, in selection.go.
//
// State and data structures, which decide nothing: query.go, class.go, engine.go, tablegroup.go,
// ordering.go, queue.go, alarms.go; search.go and candidates.go (bounds by which a selection looks
// at few engines of many), shedwatch.go and worthcache.go (bounds by which few queued queries are
// looked at), statistics.go and status.go (what is learned, exported), decay.go, window.go,
// backoff.go, heap.go, sort.go.
package router
