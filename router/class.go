package router

// queryClass is what is stated of a queryClass, with what was learned of it.
type queryClass struct {
	QueryClass
	index            int
	firstTryTimeout  float64     // what a first try leaves until its client gives up: the most seen
	bestUnitTime     float64     // least mean, lately, of the time taken over the unit: how it runs alone
	unitTime         decayedMean // time taken over the unit
	logSlowdown      decayedMean // logarithm of the time taken over the time alone, lately
	work             decayedMean // what a command needs on one thread
	workScale        decayedMean // true work over estimate
	memoryScale      decayedMean // true memory over estimate
	unconfirmedSince float64     // when best and scales were put in or last borne out, if they are remembered; 0: they are its own
	shedWatch        shedWatch   // its held commands, to be given up in time
	worthCache       worthCache
}

// newQueryClass returns the state of the class at an index of the list given at start.
func newQueryClass(index int, class QueryClass) *queryClass {
	return &queryClass{
		QueryClass:  class,
		index:       index,
		unitTime:    decayedMean{halfLife: unitTimeHalfLife},
		logSlowdown: decayedMean{halfLife: logSlowdownHalfLife},
		work:        decayedMean{halfLife: workHalfLife},
		workScale:   decayedMean{halfLife: scaleHalfLife},
		memoryScale: decayedMean{halfLife: scaleHalfLife},
		shedWatch:   shedWatch{heap: heap[alarm]{less: byAlarmTime}},
	}
}

// tenant is one that shares the fleet, with what it asks for here.
type tenant struct {
	Tenant
	queries decayedMean // commands taken
}
