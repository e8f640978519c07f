// Package restore decides which statistics of an earlier run of a controller are still valid, and
// with what weight. It does no I/O and reads no clock.
//
// Select is called once, when the first endpoint list has arrived. The weight of each record decays
// exponentially with its age, by the half-life of its kind. Records are dropped and counted if they
// are too old, have a timestamp in the future, belong to another controller, other settings or
// another process of an engine, or have impossible values. Weights and the number of records are
// bounded, so that the answers observed in this run soon outweigh what was restored.
//
// Restored statistics only influence decisions: the decision module uses none of them where the
// safety of a query depends on it.
package restore
