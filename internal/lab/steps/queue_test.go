package steps

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	gbtree "github.com/google/btree"
	tbtree "github.com/tidwall/btree"
)

// item stands in for a queued query; the padding makes it about as large.
type item struct {
	at float64
	id uint32
	_  [20]uint64
}

func compareItems(a, b *item) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) }

// queue holds the operations that the decision module needs on its queued queries.
type queue interface {
	insert(*item)
	remove(*item)
	first(n int, visit func(*item))
}

type sliceQueue struct{ list []*item }

func (s *sliceQueue) insert(x *item) {
	at, _ := slices.BinarySearchFunc(s.list, x, compareItems)
	s.list = slices.Insert(s.list, at, x)
}
func (s *sliceQueue) remove(x *item) {
	if at, ok := slices.BinarySearchFunc(s.list, x, compareItems); ok {
		s.list = slices.Delete(s.list, at, at+1)
	}
}
func (s *sliceQueue) first(n int, visit func(*item)) {
	for _, x := range s.list[:min(n, len(s.list))] {
		visit(x)
	}
}

type googleQueue struct{ t *gbtree.BTreeG[*item] }

func (s *googleQueue) insert(x *item) { s.t.ReplaceOrInsert(x) }
func (s *googleQueue) remove(x *item) { s.t.Delete(x) }
func (s *googleQueue) first(n int, visit func(*item)) {
	s.t.Ascend(func(x *item) bool { visit(x); n--; return n > 0 })
}

type tidwallQueue struct{ t *tbtree.BTreeG[*item] }

func (s *tidwallQueue) insert(x *item) { s.t.Set(x) }
func (s *tidwallQueue) remove(x *item) { s.t.Delete(x) }
func (s *tidwallQueue) first(n int, visit func(*item)) {
	s.t.Scan(func(x *item) bool { visit(x); n--; return n > 0 })
}

// BenchmarkQueue compares data structures for an ordered queue of queries. An iteration inserts one
// query, visits the first hundred and removes one of the first five.
func BenchmarkQueue(b *testing.B) {
	less := func(x, y *item) bool { return compareItems(x, y) < 0 }
	for _, n := range []int{10, 1000, 100000} {
		for name, newQueue := range map[string]func() queue{
			"slice":  func() queue { return &sliceQueue{} },
			"google": func() queue { return &googleQueue{gbtree.NewG(32, less)} },
			"tidwall": func() queue {
				return &tidwallQueue{tbtree.NewBTreeGOptions(less, tbtree.Options{NoLocks: true, Degree: 32})}
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				q, rng, id := newQueue(), rand.New(rand.NewSource(1)), uint32(0)
				insertNext := func() {
					id++
					q.insert(&item{at: float64(id) + rng.Float64()*float64(n)/3, id: id})
				}
				for range n {
					insertNext()
				}
				for b.Loop() {
					insertNext()
					var removed *item
					skip, sum := rng.Intn(5), 0.0
					q.first(100, func(x *item) {
						if sum += x.at; skip == 0 {
							removed = x
						}
						skip--
					})
					if removed == nil {
						q.first(1, func(x *item) { removed = x })
					}
					q.remove(removed)
				}
			})
		}
	}
}
