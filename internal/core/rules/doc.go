// Package rules applies an operator's rules to a query before the controller's loop takes it: named
// rules, in order, each with a condition and effects. It is free of I/O and clocks.
//
// # Contract
//
// Compile turns rules into a Set, or returns all that is wrong with them. A rule may only narrow
// what the settings allow, and that is shown by Compile, for every query that there can be and
// whatever rules come before (reachable.go). Ordering keys must be the same for all retries of a
// query (retrystable.go). What all rules tried on one query may cost together is bounded
// (index.go).
//
// A Set never changes, and several goroutines may apply it at once, each with a Scratch of its own.
// Apply never fails: Compile reports whatever could.
//
// Epochs give the ordering keys while the rules change. They belong to the goroutine of the loop.
package rules
