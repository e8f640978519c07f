// Package digest merges the statistics of several controllers into a digest, from which a
// controller that has no statistics of its own starts.
//
// The package has no I/O, no clock and no goroutine. A [Collector] belongs to the goroutine of the
// fleet service. The digest job there, on the holder of the lease "digest", adds the reports of
// controllers and merges them. Nothing has to be durable, as a new holder collects the reports
// again.
//
// A digest is advisory: package core/restore decides which of its figures are used, and no safety
// rule depends on it. Its size is bounded by MaxTables and MaxEngines, that of a Collector by the
// number and age of reports.
package digest
