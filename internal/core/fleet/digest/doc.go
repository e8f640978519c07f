// Package digest merges the statistics of several controllers into what a controller that starts
// without any can begin with.
//
// The package has no I/O, no clock and no goroutine. A [Collector] belongs to the goroutine of the
// fleet service. The digest job there, on the holder of the lease "digest", adds the reports of
// controllers and merges them. Nothing has to be durable: a new holder collects the reports again.
//
// A digest only steers: package core/restore decides which of its figures are believed, and no rule
// of safety depends on it. Its size is bounded by MaxTables and MaxEngines, that of a Collector by
// the number and age of reports.
package digest
