package router

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Elements are popped in order, whether they were pushed one by one or ordered by heapify.
func TestHeap(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	h := heap[float64]{less: func(a, b *float64) bool { return *a < *b }}
	var want []float64
	for range 2000 {
		if len(want) == 0 || rng.Intn(5) < 3 {
			x := float64(rng.Intn(300))
			h.push(x)
			want = append(want, x)
			continue
		}
		slices.Sort(want)
		if x := h.pop(); x != want[0] {
			t.Fatalf("pop returned %v, want %v", x, want[0])
		}
		want = want[1:]
	}
	for i := range h.list {
		h.list[i] = math.Mod(7919*float64(i), 1009)
	}
	h.heapify()
	for last := -1.0; len(h.list) > 0; {
		x := h.pop()
		if x < last {
			t.Fatal(fmt.Sprint(x, " was popped after ", last))
		}
		last = x
	}
}
