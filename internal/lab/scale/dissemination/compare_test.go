package dissemination

import (
	"slices"
	"testing"
)

// TestCompare has small fleets have the document everywhere by each way, and each way cost what its structure says.
func TestCompare(t *testing.T) {
	const size = 4 << 10
	results := Compare(Options{Nodes: 100, Seeds: 3, Seed: 1, Sizes: []int{size}})
	if len(results) != len(Protocols())*len(conditions()) {
		t.Fatalf("%d results", len(results))
	}
	of := func(way, condition string) Result {
		i := slices.IndexFunc(results, func(r Result) bool { return r.Protocol == way && r.Condition == condition })
		return results[i]
	}
	for _, r := range results {
		if r.Missing != 0 || r.Median <= 0 || r.Longest < r.Median {
			t.Errorf("%+v", r)
		}
	}
	push, tree, pull := of("voters push", "at rest"), of("tree by region", "at rest"), of("summaries and pull", "at rest")
	if push.Voter < 13*size || push.Node > 2*headerBytes {
		t.Errorf("voters push: %+v", push)
	}
	if tree.MaxNode > (treeFanOut+1)*(size+2*headerBytes) || tree.Voter < treeFanOut*size {
		t.Errorf("tree by region: %+v", tree)
	}
	if pull.Node < size/2 || pull.Voter > push.Voter {
		t.Errorf("summaries and pull: %+v", pull)
	}
}

// TestSameSeed has one seed play the same.
func TestSameSeed(t *testing.T) {
	o := Options{Nodes: 50, Seeds: 2, Seed: 7, Sizes: []int{70 << 10}}
	if first, again := Compare(o), Compare(o); !slices.Equal(first, again) {
		t.Errorf("%+v and %+v", first, again)
	}
}
