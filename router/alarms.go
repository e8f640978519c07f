package router

import "math"

// minTimer is the shortest time in ms that a timer is set to.
const minTimer = 0.001

// timers are the times at which the module has something to do without an event.
type timers struct {
	alarms     heap[alarm] // of single queries
	periodicAt float64     // ms, when runPeriodic is due
	timerAt    float64     // ms, for which the caller was last asked to set its timer
}

// alarm is a time at which a query must be looked at.
type alarm struct {
	at    float64 // ms
	query *query
}

// byAlarmTime orders alarms by time, and by query id where that is the same.
func byAlarmTime(a, b *alarm) bool {
	return a.at < b.at || a.at == b.at && a.query.id < b.query.id
}

// setAlarm has checkQuery look at q at some time; +Inf: never.
func (r *Router) setAlarm(at float64, q *query) {
	if !math.IsInf(at, 1) {
		r.timers.alarms.push(alarm{at, q})
	}
}

// popDueQuery takes out the next query with an alarm that is due; nil: there is none.
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

// appendTimer asks for the next step if the timer that was set last has fired or is too late.
func (r *Router) appendTimer(actions []Action) []Action {
	at := min(r.timers.periodicAt, r.nextAlarmAt())
	if r.timers.timerAt > r.now && at >= r.timers.timerAt {
		return actions
	}
	r.timers.timerAt = at
	return append(actions, SetTimer{After: max(minTimer, at-r.now)})
}
