package restore

import (
	"cmp"
	"slices"

	"mintkeel/router"
)

// selectTables returns the valid records of table groups, with decayed values. If there are too
// many for this number of engines, it returns those with the highest demand.
func (s *selector) selectTables(
	records []router.TableStatistics, engines int,
) (selected []router.TableStatistics) {
	id := func(t *router.TableStatistics) router.TableGroup { return t.Tables }
	for _, t := range uniqueByID(s, records, id, len(records)) {
		if !allValid(t.At, t.Demand, t.MemoryTime) || t.Demand > maxDemand {
			s.counts.Invalid++
			continue
		}
		weight, ok := s.remainingWeight(t.At, s.halfLives.Tables)
		if !ok {
			continue
		}
		t.Demand *= weight
		t.MemoryTime *= weight
		if RemainingWeight(s.now-t.At, s.halfLives.Pools) < minRemainingWeight {
			t.PoolLeaders = nil
		}
		selected = append(selected, t)
	}
	return s.limitTables(selected, min(maxTables, maxTableEnginePairs/max(1, engines)))
}

// limitTables returns the table groups with the highest demand, at most limit, ordered by id.
func (s *selector) limitTables(
	tables []router.TableStatistics, limit int,
) []router.TableStatistics {
	if len(tables) <= limit {
		return tables
	}
	slices.SortStableFunc(tables, func(a, b router.TableStatistics) int {
		return cmp.Compare(b.Demand, a.Demand)
	})
	s.counts.Invalid += len(tables) - limit
	tables = tables[:limit]
	slices.SortFunc(tables, func(a, b router.TableStatistics) int {
		return cmp.Compare(a.Tables, b.Tables)
	})
	return tables
}
