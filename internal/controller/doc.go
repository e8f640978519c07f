// Package controller is the event loop of the daemon: one goroutine that owns the decision module
// (package router). It converts the messages of packages clients, engines and discovery into events
// of the module and carries out the module's actions in order. It makes no decisions itself.
//
// # Contract
//
// To set up a loop, call New and SetEngines, then KeepEndpoints, RestoreOnFirstEndpoints and
// UpdateEndpoints as needed, and then Run on a goroutine of its own. SetRules, Statistics,
// EngineStatuses, Counts and Close wait for a reply from Run and so must be called while it runs.
//
// All state of the Loop belongs to the goroutine of Run, except for its two channels and one atomic
// counter. No other goroutine calls the module or the Engines.
//
// Messages reach the loop by two queues, so that answers and timeouts never wait behind new
// queries:
//
//   - The inbox takes events of engines, clients and discovery, and requests. Its capacity is
//     fixed; when it is full the poster waits, which slows down the poster's own connection only.
//     The loop's goroutine never posts to the inbox, as that could deadlock.
//   - The arrivals take new queries and have the same capacity. Offer never waits: when the
//     arrivals are full, the query is not accepted and its client gets a rejection at once.
//
// One step handles the messages in the inbox and a bounded number of arrivals (maxQueriesPerStep),
// then calls the module once. The loop waits only in Run: for a message, an arrival, its timer or
// the end of its context. Nothing that it calls to carry out an action blocks.
//
// # A query in flight
//
// The loop holds a queryState from the acceptance of a query until the query has its final answer
// and every attempt has its outcome:
//
//	waiting          no attempt is outstanding; the module has it queued, or decides on a retry
//	outstanding > 0  attempts were started that have no outcome yet
//	answered         it has its final answer or its client has disconnected; no further attempt is
//	                 started. Until its outstanding attempts have their outcomes, its ids are not
//	                 reused, and queries with the same ordering key may have to wait for it.
package controller
