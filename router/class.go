package router

// queryClass is a configured QueryClass with what was learned of its queries.
type queryClass struct {
	QueryClass
	index int // its ClassID

	// firstTryTimeout is the time in ms that a first try leaves until its client gives up: a slowly
	// decaying maximum.
	firstTryTimeout float64

	// bestUnitTime is the time in ms per unit of work on an idle engine: the least recent mean of
	// unitTime. 0: not known.
	bestUnitTime float64

	unitTime    decayedMean // ms per unit of work, see workUnits
	logSlowdown decayedMean // natural logarithm of the run time over the time on an idle engine
	work        decayedMean // ms on one thread
	workScale   decayedMean // true work over estimated work
	memoryScale decayedMean // true memory over estimated memory

	// unconfirmedSince, in ms, is when bestUnitTime and the scales were restored from an earlier run
	// or, if later, when the last answer came; 0: they are this run's own.
	unconfirmedSince float64

	shedWatch  shedWatch
	worthCache worthCache
}

// newQueryClass returns the state of the class at an index of the list given to New.
func newQueryClass(index int, class QueryClass) *queryClass {
	return &queryClass{
		QueryClass:  class,
		index:       index,
		unitTime:    decayedMean{halfLife: unitTimeHalfLife},
		logSlowdown: decayedMean{halfLife: logSlowdownHalfLife},
		work:        decayedMean{halfLife: workHalfLife},
		workScale:   decayedMean{halfLife: scaleHalfLife},
		memoryScale: decayedMean{halfLife: scaleHalfLife},
		shedWatch:   shedWatch{alarms: heap[alarm]{less: byAlarmTime}},
	}
}

// tenant is a configured Tenant with the queries that it sends here.
type tenant struct {
	Tenant
	queries decayedMean // its rate is queries per ms
}
