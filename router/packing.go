package router

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

const (
	memoryReserve      = 0.1     // share of an engine's memory that packing leaves free
	assumedMemoryShare = 0.5     // share of it assumed to be used while nothing is known
	demandHalfLife     = 10000.0 // ms, of the demand and the memory footprint of table groups
)

// footprints estimates the memory in MB that each table group needs on the engines of a kind: the
// mean memory of its queries times the number that run at once, over all controllers, times the
// kind's share of all engines. By Little's law, the first two are the rate of memory times run time
// of its attempts. While nothing is known, all groups have the same size.
func (r *Router) footprints(kind int) map[*tableGroup]float64 {
	total := 0.0
	for _, g := range r.groupList {
		total += g.memoryTime.rate(r.now)
	}
	sizes := map[*tableGroup]float64{}
	engines := float64(len(r.readyEngines(kind)))
	for _, g := range r.groupList {
		if total == 0 {
			sizes[g] = assumedMemoryShare * r.kinds[kind].MemoryMB * engines / float64(len(r.groupList))
			continue
		}
		sizes[g] = g.memoryTime.rate(r.now) / r.trafficShare() * engines / float64(len(r.engineList))
	}
	return sizes
}

// bestFitDecreasing packs table groups into bins of one size by Best Fit Decreasing: in descending
// order of size, each into the bin in which it leaves the least memory free. A group that is larger
// than a bin gets a bin of its own.
func bestFitDecreasing(groups []*tableGroup, sizes map[*tableGroup]float64,
	binSize float64) [][]*tableGroup {
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b *tableGroup) int {
		return cmp.Compare(sizes[b], sizes[a])
	})
	var packs [][]*tableGroup
	index := newBinIndex()
	for _, g := range sorted {
		best, ok := index.takeBestFit(sizes[g])
		if !ok {
			best = bin{free: binSize, pack: len(packs)}
			packs = append(packs, nil)
		}
		packs[best.pack] = append(packs[best.pack], g)
		best.free -= sizes[g]
		index.put(best)
	}
	return packs
}

// bin is a pack of table groups and its free memory.
type bin struct {
	free float64 // MB; negative if its only group is too large
	pack int     // index of the pack
}

// binIndex finds the best fit for a table group.
type binIndex struct {
	byFree *btree.BTreeG[bin] // ordered by free memory, then by pack
}

func newBinIndex() binIndex {
	less := func(a, b bin) bool {
		return a.free < b.free || a.free == b.free && a.pack < b.pack
	}
	return binIndex{byFree: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})}
}

func (index binIndex) put(b bin) { index.byFree.Set(b) }

// takeBestFit removes and returns the bin with the least free memory that is enough, the first of
// several; ok reports whether there is one.
func (index binIndex) takeBestFit(size float64) (best bin, ok bool) {
	index.byFree.Ascend(bin{free: size, pack: -1}, func(b bin) bool {
		best = b
		ok = true
		return false
	})
	if ok {
		index.byFree.Delete(best)
	}
	return best, ok
}
