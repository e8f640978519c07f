package router

// heap is a binary heap. Its least member by less is list[0]. Where less finds no two members
// equal, the order in which they are taken out does not depend on the order in which they were put
// in.
type heap[T any] struct {
	list []T
	less func(a, b *T) bool
}

// push puts in a member.
func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	h.siftUp(len(h.list) - 1)
}

// pop takes out the least member; there must be one.
func (h *heap[T]) pop() T {
	top := h.list[0]
	last := len(h.list) - 1
	h.list[0] = h.list[last]
	var zero T
	h.list[last] = zero // so that the slice does not keep it in memory
	h.list = h.list[:last]
	h.siftDown(0)
	return top
}

// siftUp moves the member at an index up to its place.
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

// siftDown moves the member at an index down to its place.
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

// heapify makes a heap of a list in any order.
func (h *heap[T]) heapify() {
	for i := len(h.list)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}
