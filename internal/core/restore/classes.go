package restore

import "mintkeel/router"

// selectClasses returns the valid records of query classes, with decayed weights.
func (s *selector) selectClasses(
	records []router.ClassStatistics,
) (selected []router.ClassStatistics) {
	id := func(c *router.ClassStatistics) router.ClassID { return c.Class }
	for _, c := range uniqueByID(s, records, id, maxClasses) {
		isValid := allValid(c.At, c.FirstTryTimeout, c.UnloadedTime,
			c.WorkScale.Mean, c.WorkScale.Weight, c.MemoryScale.Mean, c.MemoryScale.Weight)
		if c.Class < 0 || !isValid {
			s.counts.Invalid++
			continue
		}
		weight, ok := s.remainingWeight(c.At, s.halfLives.Classes)
		if !ok {
			continue
		}
		c.WorkScale.Weight = min(maxScaleWeight, c.WorkScale.Weight) * weight
		c.MemoryScale.Weight = min(maxScaleWeight, c.MemoryScale.Weight) * weight
		selected = append(selected, c)
	}
	return selected
}

// selectTraffic returns the first valid record of the controller's share of the traffic; there is
// one at most.
func (s *selector) selectTraffic(
	records []router.TrafficStatistics,
) (selected []router.TrafficStatistics) {
	for _, t := range records {
		isValid := allValid(t.At, t.Share.Mean, t.Share.Weight) && t.Share.Mean <= 1
		if len(selected) > 0 || !isValid {
			s.counts.Invalid++
			continue
		}
		if weight, ok := s.remainingWeight(t.At, s.halfLives.TrafficShare); ok {
			t.Share.Weight = min(maxShareWeight, t.Share.Weight) * weight
			selected = append(selected, t)
		}
	}
	return selected
}
