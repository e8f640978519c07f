package router

import (
	"cmp"
	"math"
	"slices"
)

// timeModel is what is learned of a profile that tells when its held commands are given up.
type timeModel struct{ unitTime, workScale, slowdown float64 }

func (class *queryClass) timeModel(now float64) timeModel {
	return timeModel{class.bestUnitTime, class.workScale.mean(now, 1, 2), math.Exp(class.logSlowdown.mean(now, 0, 1))}
}

// shedWatch are a profile's commands that are held, or were, each by a time before which it is not given
// up. A pace may move, by the ratios below, without these being wrong; if it moves farther all of them come
// earlier by as much as any can, which costs nothing now, and those that are looked at for it are reckoned
// anew one by one.
type shedWatch struct {
	heap            heap[alarm] // by that time, and shift
	offset          float64     // taken off all
	model           timeModel
	largestEstimate float64 // estimate among them
}

const (
	unitTimeTolerance, workScaleTolerance, slowdownTolerance = 1.25, 1.25, 2.5
	unloadedTolerance                                        = unitTimeTolerance * workScaleTolerance // of the time alone
)

func withinRatio(a, b, ratio float64) bool { return a <= b*ratio && b <= a*ratio }

// watchForShedding has c looked at in time.
func (r *Router) watchForShedding(q *query) {
	w := &q.class.shedWatch
	w.largestEstimate = max(w.largestEstimate, q.estimatedWork)
	w.heap.push(alarm{r.earliestShed(q) + w.offset, q})
}

// refreshShedWatch brings all forward if the profile's pace has moved too far.
func (class *queryClass) refreshShedWatch(now float64) {
	w, next := &class.shedWatch, class.timeModel(now)
	if len(w.heap.list) == 0 {
		w.model, w.offset, w.largestEstimate = next, 0, 0
	} else if !withinRatio(next.unitTime, w.model.unitTime, unitTimeTolerance) || !withinRatio(next.workScale, w.model.workScale, workScaleTolerance) ||
		!withinRatio(next.slowdown, w.model.slowdown, slowdownTolerance) {
		before := class.maxShedShift(w.model)
		w.model = next
		w.offset += before + class.maxShedShift(next)
	}
}

// maxShedShift is how far lookAt may lie from what no pace moves, for the largest command watched.
func (class *queryClass) maxShedShift(by timeModel) float64 {
	steepest := max(1.5, class.ObjectivePerWork, 1) + max(0, runTimeMargin*by.slowdown*slowdownTolerance-1)
	return steepest * unloadedTolerance * max(class.unloadedTimeBy(0, by), class.unloadedTimeBy(max(class.shedWatch.largestEstimate, 1), by))
}

// rebuildShedWatches reckons all anew: the time by which this controller ends has changed.
func (r *Router) rebuildShedWatches() {
	for _, class := range r.classes {
		w := &class.shedWatch
		class.worthCache.epoch++
		for i := range w.heap.list {
			w.heap.list[i].at = r.earliestShed(w.heap.list[i].query) + w.offset
		}
		w.heap.heapify()
	}
}

// overdueQueries is the held commands that are past giving up, by client timeout.
func (r *Router) overdueQueries() []*query {
	due, looked := r.queue.overdueBuffer[:0], r.queue.scanBuffer[:0]
	for _, class := range r.classes {
		class.refreshShedWatch(r.now)
		for h := &class.shedWatch.heap; len(h.list) > 0 && h.list[0].at-class.shedWatch.offset < r.now; {
			q := h.pop().query
			if !q.queued {
				q.watched = false
				continue
			}
			if r.now > r.shedDeadline(q) {
				due = append(due, q)
			}
			looked = append(looked, q)
		}
	}
	for _, q := range looked { // one that can't be ended, as its answer has begun, is looked at again
		q.class.shedWatch.heap.push(alarm{max(r.now, r.earliestShed(q)) + q.class.shedWatch.offset, q})
	}
	clear(looked)
	slices.SortFunc(due, byDeadline)
	r.queue.overdueBuffer, r.queue.scanBuffer = due[:0], looked[:0]
	return due
}

// earliestShed is a time before which c is not given up, whatever its profile's pace does within its
// drifts: giveUpAt at the worst of these, and a little earlier, as sums of times since 1970 are that
// coarse.
func (r *Router) earliestShed(q *query) float64 {
	class := q.class
	long := class.unloadedTimeBy(q.estimatedWork, class.shedWatch.model) * unloadedTolerance
	by, later := r.latestStartLowerBound(q), max(0, long*(runTimeMargin*class.shedWatch.model.slowdown*slowdownTolerance-1))
	return max(by-later, min(by, q.firstTriedAt+minQueueShare*class.LatencyObjective)) - 0.01
}

// latestStartLowerBound is the least that startBy may say within the drifts.
func (r *Router) latestStartLowerBound(q *query) float64 {
	class, alone := q.class, q.class.unloadedTimeBy(q.estimatedWork, q.class.shedWatch.model)
	short, long := alone/unloadedTolerance, alone*unloadedTolerance
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - 1.5*long
	}
	grows := min((class.ObjectivePerWork-1)*short, (class.ObjectivePerWork-1)*long)
	return min(q.firstTriedAt+class.LatencyObjective+grows, r.answerBy(q)-long)
}

// unloadedTimeBy is alone, by a pace, for an estimate.
func (class *queryClass) unloadedTimeBy(estimate float64, by timeModel) float64 {
	if by.unitTime == 0 && estimate <= 0 {
		return class.LatencyObjective / 2
	}
	unit := 1.0
	if estimate > 0 {
		unit = max(1, estimate*by.workScale/class.Threads)
	}
	return cmp.Or(by.unitTime, 1) * unit
}
