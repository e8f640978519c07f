package router

// heap keeps what is least by less at place 0.
type heap[T any] struct {
	list []T
	less func(a, b *T) bool
}

func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	for i := len(h.list) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(&h.list[i], &h.list[up]) {
			break
		}
		h.list[i], h.list[up] = h.list[up], h.list[i]
		i = up
	}
}

func (h *heap[T]) pop() T {
	top, last := h.list[0], len(h.list)-1
	h.list[0] = h.list[last]
	var none T
	h.list[last] = none // it holds on to nothing
	h.list = h.list[:last]
	h.sink(0)
	return top
}

func (h *heap[T]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.list); child++ {
			if h.less(&h.list[child], &h.list[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.list[i], h.list[least] = h.list[least], h.list[i]
		i = least
	}
}

// heapify makes a heap of a list in any order.
func (h *heap[T]) heapify() {
	for i := len(h.list)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
}

// alarm is a time at which a command must be looked at.
type alarm struct {
	at    float64
	query *query
}

func byAlarmTime(a, b *alarm) bool { return a.at < b.at || a.at == b.at && a.query.id < b.query.id }
