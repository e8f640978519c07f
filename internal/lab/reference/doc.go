// Package reference is a copy of the decision module (package router) from before it got its structures for
// a thousand engines: it looks at every engine and every queued query, one after another. It is the oracle
// for those structures, which must save time and change no decision. It is no part of any program that
// serves.
//
// Twin steps the module and this copy on the same events and reports the first step in which their actions
// differ. TestAsReference of internal/lab/simulation plays random deployments with it. Where
// internal/lab/recorded shows that fixed scenes are decided as when they were recorded, this compares any
// scene, and can be debugged step by step on both sides.
//
// The code is frozen, in the names that it had then; only the module's interface (events, actions,
// settings) is followed when it is renamed. Nothing in it is to be improved: a change made to both sides at
// once would be compared with itself. A change that is meant to alter decisions must be made here too, as
// its plainest version, or ends the comparison.
package reference
