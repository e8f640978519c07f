// Package reference is a former version of the decision module (package router), from before it got its
// data structures for a thousand engines: it examines every engine and every queued query, one after
// another. It is the oracle for those structures, which must save time and change no decision. No program
// that serves queries contains it.
//
// Twin steps the module and this copy on the same events and reports the first step in which their actions
// differ. TestAsReference of internal/lab/simulation plays random deployments with it. While
// internal/lab/recorded checks that fixed scenes are decided as when they were recorded, Twin compares any
// scene, and both sides can be debugged step by step.
//
// The logic is frozen. Names follow those of package router where they mean the same. Nothing is to be
// optimized or refactored here: a change made to both sides at once would be compared with itself. A change
// that is meant to alter decisions must be made here too, in its simplest form, or the comparison ends.
package reference
