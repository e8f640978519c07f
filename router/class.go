package router

// queryClass is a configured QueryClass with the statistics of its queries.
type queryClass struct {
	QueryClass
	index int // its ClassID

	// firstTryTimeout is the time in ms that clients allow for a first try, as a slowly decaying
	// maximum.
	firstTryTimeout float64

	// bestUnitTime is the time in ms per unit of work on an idle engine: the lowest mean that unitTime
	// has had, raised a little with each answer (bestUnitTimeDrift). 0: not known.
	bestUnitTime float64

	unitTime    decayedMean // ms per unit of work, see workUnits
	logSlowdown decayedMean // natural logarithm of the run time over the time on an idle engine
	work        decayedMean // ms on one thread
	workScale   decayedMean // true work over estimated work
	memoryScale decayedMean // true memory over estimated memory

	// unconfirmedSince (ms) is when bestUnitTime and the scales were restored from an earlier run or,
	// if later, when the last answer came; 0: no restored values are in use.
	unconfirmedSince float64

	shedWatch  shedWatch
	worthCache worthCache
}

// newQueryClass returns the initial state of the class at an index of the list given to New.
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

// tenant is a configured Tenant with the rate of queries that it sends to this controller.
type tenant struct {
	Tenant
	queries decayedMean // its rate is queries per ms
}
