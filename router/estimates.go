package router

import (
	"cmp"
	"math"
)

// Half-lives of what is learned of a class, in ms.
const (
	unitTimeHalfLife    = 10000.0
	logSlowdownHalfLife = 1000.0
	workHalfLife        = 20000.0
	scaleHalfLife       = 30000.0
)

const (
	minAnswersForBest = 25.0 // answers before a class's best unit time counts
	// growth of the best unit time with each answer, so that it follows slower work
	bestUnitTimeDrift       = 1.0001
	restoredMaxAge          = 10000.0 // ms without an answer after which restored estimates are discarded
	answersToRefuteRestored = 5.0     // answers from which restored estimates can be refuted
)

// workUnits is the time that c's estimate gives it alone; without estimates all commands of a profile are
// alike.
func (class *queryClass) workUnits(q *query, now float64) float64 {
	if q.estimatedWork <= 0 {
		return 1
	}
	return max(1, q.estimatedWork*class.workScale.mean(now, 1, 2)/class.Threads)
}

// unloadedTime is the time that c would take on an idle engine, as far as is known.
func (class *queryClass) unloadedTime(q *query, now float64) float64 {
	if class.bestUnitTime == 0 && q.estimatedWork <= 0 {
		return class.LatencyObjective / 2
	}
	return cmp.Or(class.bestUnitTime, 1) * class.workUnits(q, now)
}

// expectedRunTime is the time that c takes, from its alone, as such commands run lately.
func (class *queryClass) expectedRunTime(q *query, now float64) float64 {
	return math.Exp(class.logSlowdown.mean(now, 0, 1)) * class.unloadedTime(q, now)
}

// usualWork leans high while little is known: it guards cold engines, where too low a guess breaks a rule.
func (class *queryClass) usualWork(now float64) float64 {
	return class.work.mean(now, class.ClientTimeout/3, 1)
}

// learnFromSuccess takes in the time of an answered send: what the profile takes alone, and by it the
// engine's bound.
func (r *Router) learnFromSuccess(q *query, e *engine, ev AttemptEnded) {
	class, unit := q.class, q.class.workUnits(q, r.now)
	if class.recordMeasuredCost(r.now, q, ev) {
		unit = max(1, ev.Work/class.Threads)
	}
	class.work.add(r.now, cmp.Or(ev.Work, q.uncappedEstimate, ev.Elapsed*class.Threads), 1)
	class.unitTime.add(r.now, ev.Elapsed/unit, 1)
	m := class.unitTime.mean(r.now, 0, 0)
	if class.unconfirmedSince > 0 && class.unitTime.weight > answersToRefuteRestored &&
		(m > cutAboveSlowdown*class.bestUnitTime || m < class.bestUnitTime/cutAboveSlowdown) {
		class.discardRestored() // commands have become others than they are remembered
	}
	if class.unitTime.weight > minAnswersForBest {
		class.bestUnitTime, class.unconfirmedSince = cmp.Or(min(class.bestUnitTime*bestUnitTimeDrift, m), m), 0
	} else if class.unconfirmedSince > 0 {
		class.unconfirmedSince = r.now
	}
	if class.bestUnitTime > 0 {
		e.slowdown.add(r.now, min(20, ev.Elapsed/(class.bestUnitTime*unit)), 1)
		class.logSlowdown.add(r.now, math.Log(max(1, ev.Elapsed/(class.bestUnitTime*unit))), 1)
	}
	slow, bound := e.slowdown.mean(r.now, 1, 1), r.threadLimit(e)
	if slow < widenBelowSlowdown && e.threads+class.Threads >= 0.7*bound {
		e.threadsPerCore = min(maxThreadsPerCore, e.threadsPerCore*(1+widenStep/max(1, bound)))
	} else if slow > cutAboveSlowdown && r.now-e.limitCutAt > limitCutInterval {
		e.threadsPerCore, e.limitCutAt = max(minThreadsPerCore, e.threadsPerCore*limitCutFactor), r.now
	}
	r.updateBounds(e)
}

// recordMeasuredCost files what an answer tells of a command's true work and memory, and reports whether it
// recordMeasuredCost the work.
func (class *queryClass) recordMeasuredCost(now float64, q *query, ev AttemptEnded) bool {
	if ev.MemoryMB > 0 && q.estimatedMemoryMB > 0 {
		class.memoryScale.add(now, ev.MemoryMB/q.estimatedMemoryMB, 1)
	}
	if ev.Work > 0 && q.uncappedEstimate > 0 {
		class.workScale.add(now, ev.Work/q.uncappedEstimate, 1)
	}
	return ev.Work > 0 && q.uncappedEstimate > 0
}

// discardRestored forgets how a profile was said to run.
func (class *queryClass) discardRestored() {
	class.bestUnitTime, class.unconfirmedSince = 0, 0
	class.workScale, class.memoryScale = decayedMean{halfLife: scaleHalfLife},
		decayedMean{halfLife: scaleHalfLife}
}

// discardUnconfirmed drops restored estimates that no answer has confirmed for long. An estimate that is
// too long would have every query of its class shed, and so would never be corrected by an answer.
func (r *Router) discardUnconfirmed() {
	for _, class := range r.classes {
		if class.unconfirmedSince > 0 && r.now > class.unconfirmedSince+restoredMaxAge {
			class.discardRestored()
		}
	}
}
