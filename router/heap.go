package router

// heap is a binary heap with the least element by less at list[0]. If no two elements are equal by
// less, the order of pops does not depend on the order of pushes.
type heap[T any] struct {
	list []T
	less func(a, b *T) bool
}

// push adds an element.
func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	h.siftUp(len(h.list) - 1)
}

// pop removes and returns the least element. The heap must not be empty.
func (h *heap[T]) pop() T {
	top := h.list[0]
	last := len(h.list) - 1
	h.list[0] = h.list[last]
	var zero T
	h.list[last] = zero // releases what the element refers to
	h.list = h.list[:last]
	h.siftDown(0)
	return top
}

// siftUp moves the element at index i up until its parent is not greater.
func (h *heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(&h.list[i], &h.list[parent]) {
			return
		}
		h.list[i], h.list[parent] = h.list[parent], h.list[i]
		i = parent
	}
}

// siftDown moves the element at index i down until no child is less.
func (h *heap[T]) siftDown(i int) {
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

// heapify restores the heap order of a list in any order.
func (h *heap[T]) heapify() {
	for i := len(h.list)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}
