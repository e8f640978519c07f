package router

import (
	"cmp"
	"slices"
)

// This file finds the queued queries that are past their shedDeadline without a look at all of
// them. That time depends on the run times of the class, which change with every answer.
//
// Each queued query has an alarm at its shedDeadlineLowerBound: a time that is not after its shedDeadline,
// whatever the run times do within the tolerances below. So a query is not overdue before its alarm
// is due, and then it is looked at exactly. When a class leaves the tolerances, all its alarms come
// forward at once by as much as any of them could have to (shedWatch.offset), and each is set anew
// when it is looked at. As with the bounds of search.go, an alarm that comes too early costs time
// only.

// timeModel is what the run time of a query follows from, besides its own estimate.
type timeModel struct {
	unitTime  float64 // queryClass.bestUnitTime, ms
	workScale float64 // mean of queryClass.workScale
	slowdown  float64 // mean slowdown, from queryClass.logSlowdown
}

// timeModel returns the model of a class at a time (ms).
func (class *queryClass) timeModel(now float64) timeModel {
	return timeModel{
		unitTime:  class.bestUnitTime,
		workScale: class.meanWorkScale(now),
		slowdown:  class.meanSlowdown(now),
	}
}

// shedWatch has an alarm for each queued query of a class, and for some that are queued no longer.
type shedWatch struct {
	alarms          heap[alarm] // at shedDeadlineLowerBound plus the offset of the time when they were set
	offset          float64     // ms; an alarm is due at its time less this
	model           timeModel   // for which shedDeadlineLowerBound holds, within the tolerances
	largestEstimate float64     // ms on one thread, of the queries that are or were watched
}

const (
	// unitTimeTolerance, workScaleTolerance and slowdownTolerance are the ratios by which the values
	// of a timeModel may change, up or down, before the alarms are brought forward.
	unitTimeTolerance  = 1.25
	workScaleTolerance = 1.25
	slowdownTolerance  = 2.5
	// unloadedTolerance is the ratio by which unloadedTime changes at most within these.
	unloadedTolerance = unitTimeTolerance * workScaleTolerance
	// timeRoundingSlack, in ms, is more than rounding makes of a sum of times since 1970: as float64
	// these are about 0.0002 ms apart.
	timeRoundingSlack = 0.01
)

// withinRatio reports whether neither of two values is more than a ratio times the other.
func withinRatio(a, b, ratio float64) bool { return a <= b*ratio && b <= a*ratio }

// withinTolerances reports whether a model is within the tolerances of another.
func (m timeModel) withinTolerances(other timeModel) bool {
	return withinRatio(m.unitTime, other.unitTime, unitTimeTolerance) &&
		withinRatio(m.workScale, other.workScale, workScaleTolerance) &&
		withinRatio(m.slowdown, other.slowdown, slowdownTolerance)
}

// watchForShedding sets the alarm of a queued query.
func (r *Router) watchForShedding(q *query) {
	watch := &q.class.shedWatch
	watch.largestEstimate = max(watch.largestEstimate, q.estimatedWork)
	watch.alarms.push(alarm{r.shedDeadlineLowerBound(q) + watch.offset, q})
}

// refreshShedWatch takes over the present model of the class if it has left the tolerances, and
// brings all alarms forward: by as much as the old model and the new one, together, can move any of
// them.
func (class *queryClass) refreshShedWatch(now float64) {
	watch := &class.shedWatch
	model := class.timeModel(now)
	if len(watch.alarms.list) == 0 {
		watch.model = model
		watch.offset = 0
		watch.largestEstimate = 0
		return
	}
	if model.withinTolerances(watch.model) {
		return
	}
	shift := class.maxShedShift(watch.model) + class.maxShedShift(model)
	watch.model = model
	watch.offset += shift
}

// maxShedShift is the time in ms by which a model, within its tolerances, moves shedDeadlineLowerBound at
// most: it is the largest for the query with the largest estimate or for one without any.
func (class *queryClass) maxShedShift(model timeModel) float64 {
	largestEstimate := max(class.shedWatch.largestEstimate, 1)
	longest := max(class.unloadedTimeForModel(0, model), class.unloadedTimeForModel(largestEstimate, model))
	// Of the unloaded time, by latestStart and by what shedDeadline takes off it.
	shifts := max(lateRunTimeMargin, class.ObjectivePerWork, 1) +
		max(0, runTimeMargin*model.slowdown*slowdownTolerance-1)
	return shifts * unloadedTolerance * longest
}

// rebuildShedWatches sets all alarms anew. It is for a change of answerBy, on which they depend
// too.
func (r *Router) rebuildShedWatches() {
	for _, class := range r.classes {
		class.worthCache.epoch++
		watch := &class.shedWatch
		for i := range watch.alarms.list {
			a := &watch.alarms.list[i]
			a.at = r.shedDeadlineLowerBound(a.query) + watch.offset
		}
		watch.alarms.heapify()
	}
}

// overdueQueries lists the queued queries that are past their shedDeadline, by client timeout.
func (r *Router) overdueQueries() []*query {
	overdue := r.queue.overdueBuffer[:0]
	examined := r.queue.scanBuffer[:0]
	for _, class := range r.classes {
		class.refreshShedWatch(r.now)
		examined = class.shedWatch.popDue(r.now, examined)
	}
	for _, q := range examined {
		if r.now > r.shedDeadline(q) {
			overdue = append(overdue, q)
		}
		r.resetShedAlarm(q)
	}
	clear(examined)
	slices.SortFunc(overdue, byDeadline)
	r.queue.overdueBuffer = overdue[:0]
	r.queue.scanBuffer = examined[:0]
	return overdue
}

// popDue takes out the alarms that are due at a time (ms), and appends the queries that are still
// queued.
func (watch *shedWatch) popDue(now float64, queued []*query) []*query {
	alarms := &watch.alarms
	for len(alarms.list) > 0 && alarms.list[0].at-watch.offset < now {
		q := alarms.pop().query
		if q.queued {
			queued = append(queued, q)
		} else {
			q.watched = false
		}
	}
	return queued
}

// resetShedAlarm sets the alarm of a query that was looked at. An overdue one gets an alarm too: it
// stays queued if it can't be given an answer, as its response has begun.
func (r *Router) resetShedAlarm(q *query) {
	watch := &q.class.shedWatch
	watch.alarms.push(alarm{max(r.now, r.shedDeadlineLowerBound(q)) + watch.offset, q})
}

// shedDeadlineLowerBound is a lower bound in ms of the shedDeadline of q, for all run times within the
// tolerances of the watch's model. It is shedDeadline with its least latestStart, and the most that
// is taken off it.
func (r *Router) shedDeadlineLowerBound(q *query) float64 {
	class := q.class
	model := class.shedWatch.model
	longest := class.unloadedTimeForModel(q.estimatedWork, model) * unloadedTolerance
	latest := r.latestStartLowerBound(q)
	slower := max(0, longest*(runTimeMargin*model.slowdown*slowdownTolerance-1))
	shed := max(latest-slower, min(latest, q.firstTriedAt+minQueueShare*class.LatencyObjective))
	return shed - timeRoundingSlack
}

// latestStartLowerBound is a lower bound in ms of the latestStart of q, for all run times within
// the tolerances. latestStart is a sum of terms that grow or fall evenly with the unloaded time, so
// each is least at one of the ends of its range.
func (r *Router) latestStartLowerBound(q *query) float64 {
	class := q.class
	unloaded := class.unloadedTimeForModel(q.estimatedWork, class.shedWatch.model)
	shortest := unloaded / unloadedTolerance
	longest := unloaded * unloadedTolerance
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - lateRunTimeMargin*longest
	}
	added := min((class.ObjectivePerWork-1)*shortest, (class.ObjectivePerWork-1)*longest)
	return min(q.firstTriedAt+class.LatencyObjective+added, r.answerBy(q)-longest)
}

// unloadedTimeForModel is unloadedTime by a model, for a query with this estimate of its work.
func (class *queryClass) unloadedTimeForModel(estimatedWork float64, model timeModel) float64 {
	if model.unitTime == 0 && estimatedWork <= 0 {
		return class.LatencyObjective / unknownTimeDivisor
	}
	units := 1.0
	if estimatedWork > 0 {
		units = class.estimatedUnits(estimatedWork, model.workScale)
	}
	return cmp.Or(model.unitTime, 1) * units
}
