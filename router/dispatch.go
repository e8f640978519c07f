package router

const maxTriedPerStep = 100 // queued queries that one step tries to start

// dispatch lets the held go, earliest client timeout first.
func (r *Router) dispatch() {
	r.dequeueAnswered()
	if r.traffic.othersPerCore.mean(r.now, 0, 1) < r.search.minOthersPerCore {
		r.updateAllBounds()
	}
	tried := 0
	r.eachStartable(func(q *query) bool {
		if !r.startable(q) {
			return true
		}
		if tried++; r.noCapacityAnywhere(q) && r.knownWorthRunning(q) {
			return tried < maxTriedPerStep
		} else if r.notWorthRunning(q) {
			r.rejectOrFail(q)
			r.dequeue(q)
		} else if e, class := r.selectEngine(q), q.class; e != nil &&
			(r.now-e.reportedAt <= reportRefreshAge || !e.checkingHealth && (r.now <= e.healthCheckAt ||
				!r.checkHealth(e))) {
			e.classBackoff(class).startTrial(r.now)
			r.setAlarm(r.now+r.silenceLimit(), q)
			r.recordStart(q, e, q.estimatedMemoryMB*class.memoryScale.mean(r.now, 1, 3), q.slowStartCost(r.now),
				r.attemptStartBy(q, e))
		}
		return tried < maxTriedPerStep
	})
}

// eachStartable hands the held that may be let go to visit, by client timeout, until it returns false.
// Commands may leave the held meanwhile.
func (r *Router) eachStartable(visit func(q *query) bool) {
	trees := [2]*deadlineTree{r.queue.firstAttempts, r.queue.retries}
	if trees[1].Len() > 0 && !r.retryBudgetAllows() {
		trees[1] = nil // a resend that is booked makes it no larger
	}
	var from [2]*query // the last that was handed over
	next := func(i int) (q *query) {
		if trees[i] == nil || trees[i].Len() == 0 {
			return nil
		}
		if from[i] == nil {
			q, _ = trees[i].Min()
			return q
		}
		trees[i].Ascend(from[i], func(x *query) bool {
			if x != from[i] {
				q = x
			}
			return q == nil
		})
		return q
	}
	if trees[1] == nil || trees[1].Len() == 0 { // the usual case: a piece at a time
		r.eachStartableIn(trees[0], visit)
		return
	}
	heads := [2]*query{next(0), next(1)}
	for heads[0] != nil || heads[1] != nil {
		i := 0
		if heads[0] == nil || heads[1] != nil && byDeadline(heads[1], heads[0]) < 0 {
			i = 1
		}
		from[i] = heads[i]
		if !visit(heads[i]) {
			return
		}
		heads[i] = next(i)
	}
}

// eachStartableIn is startable for one tree, which is read a piece at a time, as what is visited may leave
// it.
func (r *Router) eachStartableIn(t *deadlineTree, visit func(q *query) bool) {
	var last *query
	for size := 4; ; size = min(64, 2*size) {
		piece := r.queue.scanBuffer[:0]
		take := func(x *query) bool {
			if x != last {
				piece = append(piece, x)
			}
			return len(piece) < size
		}
		if last == nil {
			t.Scan(take)
		} else {
			t.Ascend(last, take)
		}
		r.queue.scanBuffer = piece[:0]
		for _, q := range piece {
			if !visit(q) {
				clear(piece)
				return
			}
		}
		if len(piece) < size {
			clear(piece)
			return
		}
		last = piece[len(piece)-1]
	}
}
