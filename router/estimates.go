package router

import (
	"cmp"
	"math"
)

// Half-lives, in ms, of what is learned of a class.
const (
	unitTimeHalfLife    = 10000.0
	logSlowdownHalfLife = 1000.0
	workHalfLife        = 20000.0
	scaleHalfLife       = 30000.0
)

const (
	minAnswersForBest      = 25.0   // answers of a class after which its bestUnitTime counts
	bestUnitTimeDrift      = 1.0001 // growth of bestUnitTime with each answer: it follows slower work
	maxSlowdownSample      = 20.0   // slowdown that one answer may count as, at most
	slowdownPriorWeight    = 1.0    // answers that a slowdown of 1 counts as
	workScalePriorWeight   = 2.0    // answers that an unscaled estimate of the work counts as
	memoryScalePriorWeight = 3.0    // answers that an unscaled estimate of the memory counts as
	unknownWorkDivisor     = 3.0    // of the client timeout: the usual work while little is known
	unknownTimeDivisor     = 2.0    // of the latency objective: the unloaded time while not known
)

// When estimates that were restored from an earlier run are discarded.
const (
	restoredMaxAge          = 10000.0 // ms without an answer after which they are
	answersToRefuteRestored = 5.0     // answers after which they can be refuted
	refuteRatio             = 3.0     // of learned and restored unit time, from which they are refuted
)

// workUnits is the size of q for its class: its estimated time in ms on an idle engine, corrected
// by the class's workScale. Without an estimate all queries of a class are of the same size, 1.
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

// meanWorkScale is the ratio of true to estimated work by the recent answers, 1 while there are
// none.
func (class *queryClass) meanWorkScale(now float64) float64 {
	return class.workScale.mean(now, 1, workScalePriorWeight)
}

// meanSlowdown is the ratio by which the class's queries run longer than on an idle engine: the
// geometric mean of the recent answers.
func (class *queryClass) meanSlowdown(now float64) float64 {
	return math.Exp(class.logSlowdown.mean(now, 0, slowdownPriorWeight))
}

// unloadedTime is the time in ms that q would take on an idle engine, as far as is known; a part of
// its latency objective if nothing is.
func (class *queryClass) unloadedTime(q *query, now float64) float64 {
	if class.bestUnitTime == 0 && q.estimatedWork <= 0 {
		return class.LatencyObjective / unknownTimeDivisor
	}
	return cmp.Or(class.bestUnitTime, 1) * class.workUnits(q, now)
}

// expectedRunTime is the time in ms that q would take as such queries run lately.
func (class *queryClass) expectedRunTime(q *query, now float64) float64 {
	return class.meanSlowdown(now) * class.unloadedTime(q, now)
}

// meanWork is the mean work in ms of a class. It is high while little is known, as it guards
// warming engines: too low a guess would break rule 4.
func (class *queryClass) meanWork(now float64) float64 {
	return class.work.mean(now, class.ClientTimeout/unknownWorkDivisor, 1)
}

// learnFromSuccess records how long a successful attempt of q took on e: for the estimates of its
// class, the slowdown of the engine, and its concurrency limit.
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

// updateBestUnitTime keeps the least mean of the unit time, once enough answers are known. Until
// then a restored value stands, unless answers show that the class's queries have become others.
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

// recordMeasuredCost records the true work and memory of an answered query, and reports whether the
// work was both estimated and measured.
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

// discardRestored forgets the estimates that were restored from an earlier run.
func (class *queryClass) discardRestored() {
	class.bestUnitTime = 0
	class.unconfirmedSince = 0
	class.workScale = decayedMean{halfLife: scaleHalfLife}
	class.memoryScale = decayedMean{halfLife: scaleHalfLife}
}

// discardUnconfirmed drops restored estimates that no answer has confirmed for long. An estimate
// that is too long would have every query of its class shed, and so would never be corrected by an
// answer.
func (r *Router) discardUnconfirmed() {
	for _, class := range r.classes {
		if class.unconfirmedSince > 0 && r.now > class.unconfirmedSince+restoredMaxAge {
			class.discardRestored()
		}
	}
}
