// Package eventqueue implements the event queue of a discrete-event simulation.
package eventqueue

import "math"

// Event is a function to be run at a virtual time.
type Event struct {
	At  float64 // ms
	Run func()

	sequence uint64 // orders events of one time by insertion
}

func (e *Event) before(other *Event) bool {
	return e.At < other.At || e.At == other.At && e.sequence < other.sequence
}

// Queue is a binary heap of events by time; events of the same time keep the order of their insertion. The zero value is
// an empty queue.
type Queue struct {
	heap     []Event
	sequence uint64
}

// NextTime returns the time of the earliest event, or +Inf if the queue is empty.
func (q *Queue) NextTime() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].At
}

// Add schedules run at a time in ms.
func (q *Queue) Add(at float64, run func()) {
	q.sequence++
	q.heap = append(q.heap, Event{At: at, Run: run, sequence: q.sequence})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// Pop removes and returns the earliest event. The queue must not be empty.
func (q *Queue) Pop() Event {
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = Event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.heap[child].before(&q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
