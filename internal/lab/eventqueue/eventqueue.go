// Package eventqueue is the queue of what happens next in a simulation in virtual time.
package eventqueue

import "math"

// Event is something that happens at a time in ms.
type Event struct {
	At  float64
	Run func()

	sequence uint64
}

func (e *Event) before(other *Event) bool {
	return e.At < other.At || e.At == other.At && e.sequence < other.sequence
}

// Queue is a binary heap of events; of several at one time the one added first comes first. Its zero value is empty.
type Queue struct {
	heap     []Event
	sequence uint64
}

// NextTime is the time of the earliest event; infinite: there is none.
func (q *Queue) NextTime() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].At
}

// Add adds an event.
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

// Pop takes the earliest event out; the queue must not be empty.
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
