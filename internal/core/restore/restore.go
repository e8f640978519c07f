package restore

import (
	"cmp"
	"math"
	"slices"

	"mintkeel/router"
)

// Bounds on what is restored, whatever the snapshot contains.
const (
	minRemainingWeight = 1.0 / 16 // a record with a smaller share of its weight has expired

	maxEngines = 10_000
	maxClasses = 20_000
	maxTables  = 20_000

	// maxTableEnginePairs bounds the pairs of table group and engine: the decision module visits
	// each pair in the single step that restores the statistics.
	maxTableEnginePairs = 300_000

	maxSlowdownWeight = 4.0   // answers
	maxScaleWeight    = 8.0   // answers
	maxShareWeight    = 400.0 // queries in load reports

	// defaultThreadsPerCore is the concurrency limit of an engine without statistics, to which a
	// restored limit decays.
	defaultThreadsPerCore = 2.0

	maxDemand = 1e6 // of a table group, ms of work for each ms
)

// Identity is the controller and the settings that a snapshot belongs to. A snapshot is not used
// under other settings, because its records identify classes, machine kinds and tenants by their
// position in the settings.
type Identity struct {
	Name     string // of the controller
	Settings uint64 // hash of the settings
}

// Snapshot is the stored statistics of an earlier run.
type Snapshot struct {
	Owner      Identity
	Statistics router.Statistics
}

// Counts has the numbers of a snapshot's records that were restored or dropped, by reason.
type Counts struct {
	Restored       int
	Expired        int // too old
	FromFuture     int // timestamp in the future, so the age is unknown
	UnknownEngines int // the engine is not listed as ready, or has been restarted since
	Invalid        int // impossible values, duplicates, or more records than the bounds allow
	Foreign        int // all records of a snapshot of another controller or other settings
}

// Select returns the statistics of a snapshot that are still valid for the controller owner, given
// the listed endpoints, at the time now in ms since 1970. Records are ordered by id and have their
// remaining weight. The snapshot is not changed.
func Select(
	stored *Snapshot, owner Identity, endpoints []router.Endpoint, now float64, halfLives HalfLives,
) (router.Statistics, Counts) {
	if stored.Owner != owner {
		return router.Statistics{}, Counts{Foreign: stored.Statistics.Len()}
	}
	s := &selector{now: now, halfLives: halfLives}
	selected := router.Statistics{
		Engines: s.selectEngines(stored.Statistics.Engines, endpoints),
		Tables:  s.selectTables(stored.Statistics.Tables, len(endpoints)),
		Classes: s.selectClasses(stored.Statistics.Classes),
		Traffic: s.selectTraffic(stored.Statistics.Traffic),
	}
	s.counts.Restored = selected.Len()
	return selected, s.counts
}

// selector decays the weights of records and counts those that it drops.
type selector struct {
	now       float64 // ms since 1970
	halfLives HalfLives
	counts    Counts
}

// remainingWeight returns the share of its weight that a record with the timestamp at (ms) still
// has. If it is below minRemainingWeight, ok is false and the record is counted as dropped.
func (s *selector) remainingWeight(at, halfLife float64) (weight float64, ok bool) {
	age := s.now - at
	weight = RemainingWeight(age, halfLife)
	if weight >= minRemainingWeight {
		return weight, true
	}
	if isFromFuture(age) {
		s.counts.FromFuture++
	} else {
		s.counts.Expired++
	}
	return 0, false
}

// uniqueByID returns a copy of the records ordered by id: the first of each id, and at most limit
// of them. All others are counted as invalid.
func uniqueByID[T any, K cmp.Ordered](s *selector, records []T, id func(*T) K, limit int) []T {
	unique := slices.Clone(records)
	slices.SortStableFunc(unique, func(a, b T) int { return cmp.Compare(id(&a), id(&b)) })
	unique = slices.CompactFunc(unique, func(a, b T) bool { return id(&a) == id(&b) })
	if len(unique) > limit {
		unique = unique[:limit]
	}
	s.counts.Invalid += len(records) - len(unique)
	return unique
}

// allValid reports whether all values are finite and none is negative.
func allValid(values ...float64) bool {
	return !slices.ContainsFunc(values, func(x float64) bool {
		return math.IsNaN(x) || math.IsInf(x, 0) || x < 0
	})
}
