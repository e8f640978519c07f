package router

import "math"

// minTimer is the shortest delay, in ms, of a SetTimer action.
const minTimer = 0.001

// timers holds the times at which the module has work to do without an event.
type timers struct {
	alarms     heap[alarm] // of single queries
	periodicAt float64     // ms, when runPeriodic is due
	timerAt    float64     // ms, when the timer of the last SetTimer fires
}

// alarm is a time at which a query must be examined.
type alarm struct {
	at    float64 // ms
	query *query
}

// byAlarmTime orders alarms by time, and alarms of equal time by query id.
func byAlarmTime(a, b *alarm) bool {
	return a.at < b.at || a.at == b.at && a.query.id < b.query.id
}

// setAlarm schedules a checkQuery of q for a time (ms); +Inf: never.
func (r *Router) setAlarm(at float64, q *query) {
	if !math.IsInf(at, 1) {
		r.timers.alarms.push(alarm{at, q})
	}
}

// popDueQuery removes the earliest alarm if it is due, and returns its query; nil: no alarm is due.
func (r *Router) popDueQuery() *query {
	if r.nextAlarmAt() > r.now {
		return nil
	}
	return r.timers.alarms.pop().query
}

// nextAlarmAt is the time of the earliest alarm; +Inf: there is none.
func (r *Router) nextAlarmAt() float64 {
	if len(r.timers.alarms.list) == 0 {
		return math.Inf(1)
	}
	return r.timers.alarms.list[0].at
}

// appendTimer appends a SetTimer for the next step if the last timer has fired or would fire too
// late.
func (r *Router) appendTimer(actions []Action) []Action {
	at := min(r.timers.periodicAt, r.nextAlarmAt())
	if r.timers.timerAt > r.now && at >= r.timers.timerAt {
		return actions
	}
	r.timers.timerAt = at
	return append(actions, SetTimer{After: max(minTimer, at-r.now)})
}
