package router

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

const (
	memoryReserve    = 0.1     // share of an engine's memory that packing leaves free
	blindMemoryShare = 0.5     // share of it that all groups are taken to use while no estimate is known
	demandHalfLife   = 10000.0 // ms, of the demand and the footprints of table groups
)

// footprints are mean memory times commands running at once, over all controllers and one kind's part of the
// fleet: by Little's law, memory times time for each millisecond. Without estimates all groups are alike.
func (r *Router) footprints(k int) map[*tableGroup]float64 {
	sizes, total, n := map[*tableGroup]float64{}, 0.0, float64(len(r.readyEngines(k)))
	for _, g := range r.groupList {
		total += g.memoryTime.rate(r.now)
	}
	for _, g := range r.groupList {
		if sizes[g] = g.memoryTime.rate(r.now) / r.trafficShare() * n / float64(len(r.engineList)); total == 0 {
			sizes[g] = blindMemoryShare * r.kinds[k].MemoryMB * n / float64(len(r.groupList))
		}
	}
	return sizes
}

// bestFitDecreasing is Best Fit Decreasing; a group too large for any engine stands alone.
func bestFitDecreasing(groups []*tableGroup, size map[*tableGroup]float64,
	room float64) (bins [][]*tableGroup) {
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b *tableGroup) int { return cmp.Compare(size[b], size[a]) })
	left := newBinIndex()
	for _, g := range sorted {
		best, ok := left.takeBestFit(size[g])
		if !ok {
			bins, best = append(bins, nil), bin{room, len(bins)}
		}
		bins[best.index] = append(bins[best.index], g)
		left.put(bin{best.free - size[g], best.index})
	}
	return bins
}

// bin is a pack of table groups by what it has left.
type bin struct {
	free  float64
	index int
}

// binIndex are bins by room, then number.
type binIndex struct{ tree *btree.BTreeG[bin] }

func newBinIndex() binIndex {
	return binIndex{btree.NewBTreeGOptions(func(a, b bin) bool {
		return a.free < b.free || a.free == b.free && a.index < b.index
	}, btree.Options{NoLocks: true})}
}

func (r binIndex) put(b bin) { r.tree.Set(b) }

// takeBestFit takes out the bin with least room of those that have as much, the first of several; ok tells
// whether there is one.
func (r binIndex) takeBestFit(size float64) (b bin, ok bool) {
	r.tree.Ascend(bin{size, -1}, func(x bin) bool {
		b, ok = x, true
		return false
	})
	if ok {
		r.tree.Delete(b)
	}
	return b, ok
}
