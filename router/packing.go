package router

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

const (
	memoryReserve      = 0.1     // share of an engine's memory that packing leaves free
	assumedMemoryShare = 0.5     // share of it that all groups are taken to use while nothing is known
	demandHalfLife     = 10000.0 // ms, of the demand and the footprints of table groups
)

// footprints are the memory in MB that each table group needs on the engines of a kind: mean memory
// times the queries that run at once, over all controllers, and the kind's part of all engines. By
// Little's law that is the memory times the time of its attempts, for each ms. While nothing is
// known all groups are alike.
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

// bestFitDecreasing packs table groups into bins of one size by Best Fit Decreasing: the largest
// first, each into the bin that it fills best. A group that is larger than a bin has one of its
// own.
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

// bin is one pack of table groups with the memory that it has left.
type bin struct {
	free float64 // MB; below 0 if its only group is too large
	pack int
}

// binIndex finds the bin that a group fits into best.
type binIndex struct {
	byFree *btree.BTreeG[bin] // then by pack
}

func newBinIndex() binIndex {
	less := func(a, b bin) bool {
		return a.free < b.free || a.free == b.free && a.pack < b.pack
	}
	return binIndex{byFree: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})}
}

func (index binIndex) put(b bin) { index.byFree.Set(b) }

// takeBestFit takes out the bin with the least memory left that is enough, the first of several; ok
// reports whether there is one.
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
