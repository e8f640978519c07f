package router

import (
	"slices"
	"testing"
)

// Rebalancing moves one engine between pools when their loads differ by a margin, and recomputes
// all counts after a sharp swing. Two pools that underuse their only engines are merged, and a busy
// pool of several packs is divided.
func TestRebalance(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts []int
		packs  []int
		loads  []float64
		want   []int
	}{
		{"moves from the lowest future load", []int{2, 6, 2}, nil, []float64{0.20, 0.25, 0.5}, []int{2, 5, 3}},
		{"moves nothing within the margin", []int{2, 2}, nil, []float64{0.49, 0.20}, []int{2, 2}},
		{"moves at the margin", []int{2, 2}, nil, []float64{0.51, 0.20}, []int{3, 1}},
		{"recomputes all counts after a swing", []int{3, 7}, nil, []float64{0.70, 0.10}, []int{7, 3}},
		{"merges two pools that underuse their only engines", []int{1, 1, 1}, nil, []float64{0.1, 0.2, 0.9}, []int{1, 2}},
		{"does not merge pools that are used", []int{1, 1, 1}, nil, []float64{0.3, 0.2, 0.9}, []int{1, 1, 1}},
		{"divides the busiest pool of several packs", []int{1, 3}, []int{2, 1}, []float64{0.9, 0.3}, []int{1, 2, 1}},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits)
		var endpoints []Endpoint
		for i := range 10 {
			endpoints = append(endpoints, readyEndpoint(EngineID(rune('a'+i)), 0, "z", 1))
		}
		tr.step(EndpointsUpdated{Endpoints: endpoints[:sum(c.counts)]})
		free := tr.r.readyEngines(0)
		for i, n := range c.counts {
			pool := &enginePool{engines: slices.Clone(free[:n]), targetCount: n}
			free = free[n:]
			for j := range max(1, append(c.packs, make([]int, 9)...)[i]) {
				g := &tableGroup{id: TableGroup(10*i + j), demand: decayedMean{halfLife: 1000},
					pools: []*enginePool{pool, nil}}
				pool.packs = append(pool.packs, []*tableGroup{g})
			}
			for _, e := range pool.engines {
				e.reportedAt = tr.r.now
				e.utilization.add(tr.r.now, c.loads[i], 1)
			}
			tr.r.pools.byKind[0] = append(tr.r.pools.byKind[0], pool)
		}
		tr.r.rebalance(0)
		var got []int
		for _, pool := range tr.r.pools.byKind[0] {
			got = append(got, len(pool.engines))
			for _, g := range pool.tableGroups() {
				if g.pools[0] != pool {
					t.Errorf("%s: table group %d refers to another pool than the one that has it", c.name, g.id)
				}
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: pools have %v engines, want %v", c.name, got, c.want)
		}
	}
}

// A table group that a rule marks as hot has more engines from the first packing on, before any
// load shows that it needs them.
func TestHotTableGroupGetsMoreEngines(t *testing.T) {
	var engines [2]int
	for i, hot := range []bool{false, true} {
		var endpoints []Endpoint
		for n := range 8 {
			endpoints = append(endpoints, readyEndpoint(EngineID(rune('a'+n)), 0, "z", 1))
		}
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, endpoints...)
		for id := range QueryID(80) {
			ev := newQuery(id)
			ev.Tables = TableGroup(id % 4)
			ev.EstimatedMemoryMB = 500
			ev.Hot = hot && ev.Tables == 0
			tr.step(ev)
			end := attemptEnded(id, 0, Succeeded)
			end.Elapsed = 20000 // large footprints, so that each group is a pack of its own
			tr.step(end)
			tr.wait(30)
		}
		engines[i] = len(tr.r.groupList[0].pools[0].engines)
	}
	if engines[0] >= engines[1] || engines[1] < 3 {
		t.Errorf("table group has %d engines, and %d if it is hot; want more if hot, at least 3", engines[0], engines[1])
	}
}
