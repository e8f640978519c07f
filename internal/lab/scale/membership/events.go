package membership

// event is something that happens at a time in ms; of several at one time the one scheduled first comes first.
type event struct {
	at    float64
	order uint64
	run   func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// eventQueue is a binary heap of events.
type eventQueue struct {
	heap  []event
	order uint64
}

func (q *eventQueue) push(at float64, run func()) {
	q.order++
	q.heap = append(q.heap, event{at, q.order, run})
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

// pop takes the earliest event out; the queue must not be empty.
func (q *eventQueue) pop() event {
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
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
