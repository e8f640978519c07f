// Package rules applies an operator's rules to a query before it enters the controller's event
// loop: named rules, in order, each with a condition and effects. It does no I/O and reads no
// clocks.
//
// # Contract
//
// Compile turns rules into a Set, or returns all problems that it finds. A rule may only narrow
// what the settings allow; Compile proves this for every possible query and every combination of
// matching earlier rules (reachable.go). Ordering keys must be the same for all retries of a query
// (retrystable.go). The total cost of the rules tried on one query is bounded (index.go).
//
// A Set is immutable. Several goroutines may apply it concurrently, each with its own Scratch.
// Apply never fails: everything that could fail is reported by Compile.
//
// Epochs determines the ordering keys of queries while the rules change. It is used by the
// goroutine of the event loop only.
package rules
