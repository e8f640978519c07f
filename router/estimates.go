package router

import (
	"cmp"
	"math"
)

// Half-lives in ms of the statistics of a query class.
const (
	unitTimeHalfLife    = 10000.0
	logSlowdownHalfLife = 1000.0
	workHalfLife        = 20000.0
	scaleHalfLife       = 30000.0
)

const (
	minAnswersForBest      = 25.0   // answers of a class from which its bestUnitTime is learned
	bestUnitTimeDrift      = 1.0001 // growth of bestUnitTime per answer; it follows slower work
	maxSlowdownSample      = 20.0   // upper bound of the slowdown that one answer counts as
	slowdownPriorWeight    = 1.0    // weight of the prior slowdown, 1, in answers
	workScalePriorWeight   = 2.0    // weight of the prior work scale, 1, in answers
	memoryScalePriorWeight = 3.0    // weight of the prior memory scale, 1, in answers
	unknownWorkDivisor     = 3.0    // of the client timeout, for the mean work while little is known
	unknownTimeDivisor     = 2.0    // of the latency objective, for an unknown unloaded time
)

// When estimates that were restored from an earlier run are discarded.
const (
	restoredMaxAge          = 10000.0 // ms without an answer after which they are discarded
	answersToRefuteRestored = 5.0     // answers above which they can be refuted
	refuteRatio             = 3.0     // of learned and restored unit time, either way, to refute them
)

// workUnits is the size of q for its class: its estimated time in ms on an idle engine, corrected
// by the class's workScale. Without an estimate, all queries of a class have size 1.
func (class *queryClass) workUnits(q *query, now float64) float64 {
	if q.estimatedWork <= 0 {
		return 1
	}
	return class.estimatedUnits(q.estimatedWork, class.meanWorkScale(now))
}

// estimatedUnits is the size of a query with an estimate of its work (ms on one thread).
func (class *queryClass) estimatedUnits(estimatedWork, workScale float64) float64 {
	return max(1, estimatedWork*workScale/class.Threads)
}

// meanWorkScale is the mean ratio of true to estimated work over the recent answers; 1 without any.
func (class *queryClass) meanWorkScale(now float64) float64 {
	return class.workScale.mean(now, 1, workScalePriorWeight)
}

// meanSlowdown is the geometric mean, over the recent answers of the class, of the run time over
// the time on an idle engine.
func (class *queryClass) meanSlowdown(now float64) float64 {
	return math.Exp(class.logSlowdown.mean(now, 0, slowdownPriorWeight))
}

// unloadedTime is the estimated run time in ms of q on an idle engine. With neither an estimate of
// q nor a learned unit time, it is a fraction of the latency objective.
func (class *queryClass) unloadedTime(q *query, now float64) float64 {
	if class.bestUnitTime == 0 && q.estimatedWork <= 0 {
		return class.LatencyObjective / unknownTimeDivisor
	}
	return cmp.Or(class.bestUnitTime, 1) * class.workUnits(q, now)
}

// expectedRunTime is the estimated run time in ms of q at the recent slowdown of its class.
func (class *queryClass) expectedRunTime(q *query, now float64) float64 {
	return class.meanSlowdown(now) * class.unloadedTime(q, now)
}

// meanWork is the mean work in ms of the queries of a class. The prior is high, because slow start
// relies on this value: too low a value would break rule 4.
func (class *queryClass) meanWork(now float64) float64 {
	return class.work.mean(now, class.ClientTimeout/unknownWorkDivisor, 1)
}

// learnFromSuccess records the run time and cost of a successful attempt of q on e, for the
// estimates of the class and for the slowdown and the concurrency limit of the engine.
func (r *Router) learnFromSuccess(q *query, e *engine, ev AttemptEnded) {
	class := q.class
	units := class.workUnits(q, r.now)
	if class.recordMeasuredCost(r.now, q, ev) {
		units = max(1, ev.Work/class.Threads)
	}
	class.work.add(r.now, cmp.Or(ev.Work, q.uncappedEstimate, ev.Elapsed*class.Threads), 1)
	class.unitTime.add(r.now, ev.Elapsed/units, 1)
	class.updateBestUnitTime(r.now)
	if class.bestUnitTime > 0 {
		slowdown := ev.Elapsed / (class.bestUnitTime * units)
		e.slowdown.add(r.now, min(maxSlowdownSample, slowdown), 1)
		class.logSlowdown.add(r.now, math.Log(max(1, slowdown)), 1)
	}
	r.adjustThreadLimit(e, class.Threads)
	r.updateBounds(e)
}

// updateBestUnitTime tracks the minimum of the mean unit time, once enough answers are known. Until
// then a restored value stands, unless answers show that the queries of the class have changed.
func (class *queryClass) updateBestUnitTime(now float64) {
	answers := class.unitTime.weight
	mean := class.unitTime.mean(now, 0, 0)
	restored := class.unconfirmedSince > 0
	differs := mean > refuteRatio*class.bestUnitTime || mean < class.bestUnitTime/refuteRatio
	if restored && answers > answersToRefuteRestored && differs {
		class.discardRestored()
	}
	if answers > minAnswersForBest {
		class.bestUnitTime = cmp.Or(min(class.bestUnitTime*bestUnitTimeDrift, mean), mean)
		class.unconfirmedSince = 0
	} else if class.unconfirmedSince > 0 {
		class.unconfirmedSince = now
	}
}

// recordMeasuredCost records the true work and memory of an answered query against its estimates,
// and reports whether the work was both estimated and measured.
func (class *queryClass) recordMeasuredCost(now float64, q *query, ev AttemptEnded) bool {
	if ev.MemoryMB > 0 && q.estimatedMemoryMB > 0 {
		class.memoryScale.add(now, ev.MemoryMB/q.estimatedMemoryMB, 1)
	}
	if ev.Work <= 0 || q.uncappedEstimate <= 0 {
		return false
	}
	class.workScale.add(now, ev.Work/q.uncappedEstimate, 1)
	return true
}

// discardRestored resets the estimates that were restored from an earlier run.
func (class *queryClass) discardRestored() {
	class.bestUnitTime = 0
	class.unconfirmedSince = 0
	class.workScale = decayedMean{halfLife: scaleHalfLife}
	class.memoryScale = decayedMean{halfLife: scaleHalfLife}
}

// discardUnconfirmed discards restored estimates that no answer has confirmed for restoredMaxAge.
// Too long an estimate would have every query of its class shed, so that no answer could ever
// correct it.
func (r *Router) discardUnconfirmed() {
	for _, class := range r.classes {
		if class.unconfirmedSince > 0 && r.now > class.unconfirmedSince+restoredMaxAge {
			class.discardRestored()
		}
	}
}
