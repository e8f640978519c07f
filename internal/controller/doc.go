// Package controller is the loop of the daemon: one goroutine that owns the decision module
// (package router). It turns messages of the clients' side, the engines' side and discovery into
// events of the module, and carries out the module's actions in order. It decides nothing itself.
//
// # Contract
//
// Setting up: New, SetEngines, then KeepEndpoints, RestoreOnFirstEndpoints and UpdateEndpoints as
// needed, then Run on a goroutine of its own. SetRules, Statistics, EngineStatuses, Counts and
// Close wait for Run's answer and so need it to be running.
//
// Ownership: all state of the Loop belongs to the goroutine of Run, but for the two channels and
// one atomic counter. No other goroutine calls the module or the Engines.
//
// Two ways lead in, so that answers and timeouts never wait behind new queries:
//
//   - The inbox takes what engines, clients and discovery report, and requests. It holds a fixed
//     number of messages; when it is full the poster waits, which slows down that poster's
//     connection alone. The loop's goroutine never posts to it, as that could deadlock.
//   - The arrivals take new queries, up to the same number. Offer never waits: when they are full
//     the query is not accepted, and its client gets a rejection at once.
//
// One step handles all messages in the inbox and a bounded number of arrivals (maxQueriesPerStep),
// then calls the module once. The loop waits in one place only, in Run: for a message, an arrival,
// its timer or the end of its context. Nothing that it calls to carry out an action blocks.
//
// # A query in flight
//
// The loop holds a queryState from acceptance until the query has its final answer and every
// attempt has its outcome:
//
//	waiting          no attempt is outstanding; the module has it queued, or decides about a retry
//	outstanding > 0  attempts were started and their outcomes have not come
//	answered         it has its final answer, or its client has gone; nothing is started for it any
//	                 more. Its outstanding attempts still need their outcomes: until then its ids are
//	                 not used again, and queries with the same ordering key may have to wait for it.
package controller
