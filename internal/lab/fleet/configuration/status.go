package configuration

import (
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
)

// FreshFor is how long, in ms, a controller that has gone down may still count as in force. A status must not count a
// controller that has been down for longer.
const FreshFor = 30000.0

// StatusMade checks a status at the time at which the leader made it. The runs are those that the leader knew of the
// controllers at that time; a controller that is missing there may count by any of its runs.
func (c *Checker) StatusMade(now float64, s *config.Status, runs map[members.ID]uint64) {
	c.Statuses++
	c.identify(now, "a status", s.Latest.Number, s.Latest.Hash)
	listed := c.listed(now, s)
	if s.Members > len(c.controllers) {
		c.fail(now, "a status knows %d members of %d", s.Members, len(c.controllers))
	}
	if s.Latest.Number == 0 {
		return // there is nothing that could be in force
	}
	c.checkCounts(now, s)
	able := 0
	for _, id := range c.controllers {
		if c.countable(now, id, s.Latest.Number, runs) {
			able++
		}
	}
	if s.InForce > able {
		c.fail(now, "a status counts %d as in force at version %d, and %d had applied it", s.InForce, s.Latest.Number, able)
	}
	if s.Omitted > 0 || s.Members != len(c.controllers) {
		return // a controller that is not listed is not necessarily counted as in force
	}
	for _, id := range c.controllers {
		if !listed[id] && !c.countable(now, id, s.Latest.Number, runs) {
			c.fail(now, "a status takes %s as in force at version %d, which it had not applied, or it was down for too long", id, s.Latest.Number)
		}
	}
}

// countable reports whether a controller may count as in force at a version: its run had applied it, and it has not been
// down for longer than FreshFor.
func (c *Checker) countable(now float64, id members.ID, number uint64, runs map[members.ID]uint64) bool {
	if c.down[id] && now > c.lastSeen[id]+FreshFor {
		return false
	}
	if run, ok := runs[id]; ok {
		return c.runApplied(id, run, number, now)
	}
	return c.HasApplied(id, number, now)
}

// checkCounts checks the sums of a status: no controller counts twice.
func (c *Checker) checkCounts(now float64, s *config.Status) {
	heard := 0
	for _, count := range s.ByVersion {
		heard += count
	}
	if heard > s.Members {
		c.fail(now, "a status counts %d controllers by version, of %d members", heard, s.Members)
	}
	if s.InForce > s.ByVersion[s.Latest.Number] {
		c.fail(now, "a status counts %d as in force, and %d at version %d", s.InForce, s.ByVersion[s.Latest.Number], s.Latest.Number)
	}
	if others := len(s.Rejected) + len(s.Behind) + len(s.Unreachable) + s.Omitted; s.InForce+others != s.Members {
		c.fail(now, "a status counts %d as in force and %d others, of %d members", s.InForce, others, s.Members)
	}
}

// listed returns the controllers that a status names as not in force. It checks that each is named once, and with a version
// that it had applied.
func (c *Checker) listed(now float64, s *config.Status) map[members.ID]bool {
	listed := map[members.ID]bool{}
	for _, report := range slices.Concat(s.Rejected, s.Behind, s.Unreachable) {
		if listed[report.ID] {
			c.fail(now, "a status names %s twice", report.ID)
		}
		listed[report.ID] = true
		if !slices.Contains(c.controllers, report.ID) {
			c.fail(now, "a status names %s, which is not in the fleet", report.ID)
		}
	}
	for _, report := range slices.Concat(s.Rejected, s.Behind) {
		if report.Applied > 0 && !c.runApplied(report.ID, report.Run, report.Applied, now) {
			c.fail(now, "a status reports that %s/%x is at version %d, which it had not applied", report.ID, report.Run, report.Applied)
		}
	}
	return listed
}
