package router

import (
	"slices"
	"testing"
)

// Table groups are packed into bins of one size: in descending order of size, each into the bin in
// which it leaves the least memory free.
func TestBestFitDecreasing(t *testing.T) {
	for _, c := range []struct {
		name    string
		sizes   []float64
		binSize float64
		want    [][]TableGroup
	}{
		{"best fit decreasing", []float64{5, 4, 3, 6}, 10, [][]TableGroup{{3, 1}, {0, 2}}},
		{"an oversized group alone", []float64{12, 1, 2}, 10, [][]TableGroup{{0}, {2, 1}}},
		{"ties by id", []float64{6, 6}, 10, [][]TableGroup{{0}, {1}}},
	} {
		groups := []*tableGroup{}
		size := map[*tableGroup]float64{}
		for i, s := range c.sizes {
			groups = append(groups, &tableGroup{id: TableGroup(i)})
			size[groups[i]] = s
		}
		var got [][]TableGroup
		for _, bin := range bestFitDecreasing(groups, size, c.binSize) {
			var ids []TableGroup
			for _, g := range bin {
				ids = append(ids, g.id)
			}
			got = append(got, ids)
		}
		if !slices.EqualFunc(got, c.want, slices.Equal[[]TableGroup]) {
			t.Errorf("%s: packed %v, want %v", c.name, got, c.want)
		}
	}
}
