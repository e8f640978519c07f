package router

import (
	"math/rand"
	"slices"
	"testing"
)

// By each of its methods splitByAffinity picks the engines with the highest affinity, the earlier
// one in a tie. The methods for more than maxEnginesSortedWhole engines keep the order of the rest.
func TestSplitByAffinity(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ engines, n int }{{5, 2}, {256, 256}, {300, 1}, {300, 8}, {300, 9}, {300, 300},
		{1000, 500}} {
		var free []*engine
		for range c.engines {
			free = append(free, &engine{affinity: float64(rng.Intn(50))})
		}
		want := slices.Clone(free)
		slices.SortStableFunc(want, func(a, b *engine) int { return int(b.affinity - a.affinity) })
		order := map[*engine]int{}
		for i, e := range free {
			order[e] = i
		}
		best, rest := splitByAffinity(free, c.n)
		if !slices.Equal(best, want[:c.n]) || len(rest) != c.engines-c.n {
			t.Errorf("%+v: the engines picked are not the n of highest affinity, or some are lost", c)
		}
		if c.engines > maxEnginesSortedWhole && !slices.IsSortedFunc(rest,
			func(a, b *engine) int { return order[a] - order[b] }) {
			t.Errorf("%+v: the engines that were not picked are not in their former order", c)
		}
	}
}
