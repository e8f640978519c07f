// Package restore decides which statistics of an earlier run of a controller still count, and with
// what weight. It does no I/O and reads no clock.
//
// It is asked once, when the first endpoint list has come. Every record is weighed by its age with
// the half-life of its kind; records that are too old, come from the future, belong to another
// controller, other settings or another process of an engine, or hold impossible values, are
// dropped and counted. Weights and numbers are bounded, so that answers of this run soon outweigh
// what was restored.
//
// What is restored influences decisions only: the decision module uses none of it where the safety
// of a query depends on it.
package restore
