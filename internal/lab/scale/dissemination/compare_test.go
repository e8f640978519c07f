package dissemination

import (
	"slices"
	"testing"
)

// Each protocol delivers the document to all controllers of a small fleet, and its traffic matches its structure.
func TestCompare(t *testing.T) {
	const size = 4 << 10
	results := Compare(Options{Nodes: 100, Seeds: 3, Seed: 1, Sizes: []int{size}})
	if len(results) != len(Protocols())*len(conditions()) {
		t.Fatalf("%d results, want one per protocol and condition", len(results))
	}
	of := func(way, condition string) Result {
		i := slices.IndexFunc(results, func(r Result) bool { return r.Protocol == way && r.Condition == condition })
		return results[i]
	}
	for _, r := range results {
		if r.Missing != 0 || r.Median <= 0 || r.Longest < r.Median {
			t.Errorf("document missing or inconsistent times: %+v", r)
		}
	}
	push, tree, pull := of("voters push", "at rest"), of("tree by region", "at rest"), of("summaries and pull", "at rest")
	if push.Voter < 13*size || push.Node > 2*headerBytes {
		t.Errorf("voters push: traffic of voters or controllers out of bounds: %+v", push)
	}
	if tree.MaxNode > (treeFanOut+1)*(size+2*headerBytes) || tree.Voter < treeFanOut*size {
		t.Errorf("tree by region: traffic of voters or controllers out of bounds: %+v", tree)
	}
	if pull.Node < size/2 || pull.Voter > push.Voter {
		t.Errorf("summaries and pull: traffic of voters or controllers out of bounds: %+v", pull)
	}
}

// Runs with the same seed give the same results.
func TestSameSeed(t *testing.T) {
	o := Options{Nodes: 50, Seeds: 2, Seed: 7, Sizes: []int{70 << 10}}
	if first, again := Compare(o), Compare(o); !slices.Equal(first, again) {
		t.Errorf("results with the same seed differ: %+v and %+v", first, again)
	}
}
