package restore

import "math"

// Durations in ms, the unit of time of package router.
const (
	second = 1000.0
	minute = 60 * second
	day    = 24 * 60 * minute
)

// HalfLives are the times in ms after which a record of each kind has half of its weight. With 0,
// records of the kind are never restored; with infinity, they never decay.
type HalfLives struct {
	Slowdown       float64 // of an engine
	Outcomes       float64 // of an engine's last attempts
	ThreadsPerCore float64 // of an engine's concurrency limit
	Pools          float64 // which engines have which table groups in their caches
	Tables         float64 // demand for a table group
	Classes        float64 // how the queries of a class run
	TrafficShare   float64 // this controller's share of the traffic
}

// DefaultHalfLives returns the half-lives in use. An engine recovers from a fault, or is replaced,
// within a minute or two; its caches stay warm until other data evicts theirs. Statistics of query
// classes and the demand for table groups stay valid for days: with them table groups are assigned
// to engines at once, whereas a controller without statistics spreads all of them over all engines
// in its first seconds. Answers that contradict these statistics correct them within seconds.
func DefaultHalfLives() HalfLives {
	return HalfLives{
		Slowdown:       30 * second,
		Outcomes:       20 * second,
		ThreadsPerCore: 2 * minute,
		Pools:          2 * minute,
		Tables:         3 * day,
		Classes:        3 * day,
		TrafficShare:   minute,
	}
}

// clockSlack is how far in the future, in ms, a record's timestamp may be for the record to count
// as new: clocks are adjusted, and the parts of a snapshot are copied at slightly different times.
const clockSlack = 1 * second

// RemainingWeight returns the share of its weight that a record has at an age in ms, which is
// negative for a timestamp in the future. It is 0 if that exceeds clockSlack, and for a half-life
// of 0.
func RemainingWeight(age, halfLife float64) float64 {
	hasHalfLife := halfLife > 0 // false for NaN too
	switch {
	case math.IsNaN(age) || isFromFuture(age) || !hasHalfLife:
		return 0
	case age <= 0 || math.IsInf(halfLife, 1):
		return 1
	}
	return math.Exp2(-age / halfLife)
}

func isFromFuture(age float64) bool { return age < -clockSlack }
