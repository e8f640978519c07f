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

// item stands for a queued query.
type item struct {
	at float64
	id uint32
	_  [20]uint64
}

func order(a, b *item) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) }

// queue is what the module asks of its queued queries.
type queue interface {
	insert(*item)
	remove(*item)
	first(n int, visit func(*item))
}

type asSlice struct{ list []*item }

func (s *asSlice) insert(x *item) {
	at, _ := slices.BinarySearchFunc(s.list, x, order)
	s.list = slices.Insert(s.list, at, x)
}
func (s *asSlice) remove(x *item) {
	if at, ok := slices.BinarySearchFunc(s.list, x, order); ok {
		s.list = slices.Delete(s.list, at, at+1)
	}
}
func (s *asSlice) first(n int, visit func(*item)) {
	for _, x := range s.list[:min(n, len(s.list))] {
		visit(x)
	}
}

type asGoogle struct{ t *gbtree.BTreeG[*item] }

func (s *asGoogle) insert(x *item) { s.t.ReplaceOrInsert(x) }
func (s *asGoogle) remove(x *item) { s.t.Delete(x) }
func (s *asGoogle) first(n int, visit func(*item)) {
	s.t.Ascend(func(x *item) bool { visit(x); n--; return n > 0 })
}

type asTidwall struct{ t *tbtree.BTreeG[*item] }

func (s *asTidwall) insert(x *item) { s.t.Set(x) }
func (s *asTidwall) remove(x *item) { s.t.Delete(x) }
func (s *asTidwall) first(n int, visit func(*item)) {
	s.t.Scan(func(x *item) bool { visit(x); n--; return n > 0 })
}

// What a queue of queries in order costs: one comes, one of the first goes, the first hundred are
// visited.
func BenchmarkQueue(b *testing.B) {
	less := func(x, y *item) bool { return order(x, y) < 0 }
	for _, n := range []int{10, 1000, 100000} {
		for name, newHeld := range map[string]func() queue{
			"slice":  func() queue { return &asSlice{} },
			"google": func() queue { return &asGoogle{gbtree.NewG(32, less)} },
			"tidwall": func() queue {
				return &asTidwall{tbtree.NewBTreeGOptions(less, tbtree.Options{NoLocks: true, Degree: 32})}
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				h, rng, id := newHeld(), rand.New(rand.NewSource(1)), uint32(0)
				come := func() {
					id++
					h.insert(&item{at: float64(id) + rng.Float64()*float64(n)/3, id: id})
				}
				for range n {
					come()
				}
				for b.Loop() {
					come()
					var gone *item
					skip, sum := rng.Intn(5), 0.0
					h.first(100, func(x *item) {
						if sum += x.at; skip == 0 {
							gone = x
						}
						skip--
					})
					if gone == nil {
						h.first(1, func(x *item) { gone = x })
					}
					h.remove(gone)
				}
			})
		}
	}
}
