package restore

import (
	"math"

	"mintkeel/router"
)

// recordedOutcomes is the number of attempts whose outcomes an engine's record has, one bit each.
const recordedOutcomes = 8

// selectEngines returns the records of engines that are listed as ready and are still the same
// process.
func (s *selector) selectEngines(
	records []router.EngineStatistics, endpoints []router.Endpoint,
) (selected []router.EngineStatistics) {
	startedAt := make(map[router.EngineID]float64, len(endpoints))
	for _, e := range endpoints {
		if e.State == router.Ready {
			startedAt[e.Engine] = e.StartedAt
		}
	}
	id := func(e *router.EngineStatistics) router.EngineID { return e.Engine }
	for _, e := range uniqueByID(s, records, id, maxEngines) {
		started, isListed := startedAt[e.Engine]
		switch {
		case !allValid(e.At, e.StartedAt, e.Slowdown.Mean, e.Slowdown.Weight, e.ThreadsPerCore):
			s.counts.Invalid++
		case !isListed || started != e.StartedAt:
			s.counts.UnknownEngines++
		default:
			if aged, ok := s.ageEngine(e); ok {
				selected = append(selected, aged)
			}
		}
	}
	return selected
}

// ageEngine returns a record with each of its values decayed by its own half-life. ok is false if
// all have expired.
func (s *selector) ageEngine(e router.EngineStatistics) (aged router.EngineStatistics, ok bool) {
	halfLives := s.halfLives
	longest := max(halfLives.Slowdown, halfLives.Outcomes, halfLives.ThreadsPerCore, halfLives.Pools)
	if _, ok := s.remainingWeight(e.At, longest); !ok {
		return e, false
	}
	age := s.now - e.At
	e.Slowdown.Weight = min(maxSlowdownWeight, e.Slowdown.Weight) *
		RemainingWeight(age, halfLives.Slowdown)
	deviation := e.ThreadsPerCore - defaultThreadsPerCore
	e.ThreadsPerCore = defaultThreadsPerCore + deviation*RemainingWeight(age, halfLives.ThreadsPerCore)
	e.Outcomes = ageOutcomes(e.Outcomes, RemainingWeight(age, halfLives.Outcomes))
	if RemainingWeight(age, halfLives.Pools) < minRemainingWeight {
		e.PoolLeader = ""
	}
	return e, true
}

// ageOutcomes keeps a share of the outcomes, the latest, and sets the others to success, which is
// the state of an engine without statistics.
func ageOutcomes(outcomes uint8, share float64) uint8 {
	count := int(math.Round(recordedOutcomes * share))
	return outcomes | uint8(0xff<<count)
}
