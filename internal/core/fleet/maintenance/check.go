package maintenance

import (
	"fmt"
	"slices"
)

// maxPlanIDBytes bounds the length of a plan's ID.
const maxPlanIDBytes = 64

// msOfHour is the length of an hour in ms.
const msOfHour = 3.6e6

// maxBlockedHourSkips bounds the passes of nextAllowed over blocked hours that follow each other.
const maxBlockedHourSkips = 8

// Problem is a reason why a plan can't be carried out as it is, and what would remedy it. It is an
// error whose text is for operators.
type Problem struct {
	Field  string // name in the operators' file
	Reason string
	Remedy string // empty: none is known
}

// Error returns the text for operators.
func (p Problem) Error() string {
	text := p.Field + ": " + p.Reason
	if p.Remedy != "" {
		text += "; " + p.Remedy
	}
	return text
}

// StepDurations are the durations of the steps other than the work, in ms.
type StepDurations struct {
	Drain float64 // until no query runs on an engine
	Warm  float64 // until its caches are warm again
}

// Check returns all problems of a plan for a fleet, given the other plans. If there are none, the
// plan can be carried out as far as is foreseeable.
func Check(
	p Plan, others []Plan, fleet []Engine, requirements []Requirement, now float64,
	durations StepDurations,
) []Problem {
	c := planCheck{plan: p, fleet: fleet}
	c.checkForm()
	if c.problems != nil {
		return c.problems
	}
	c.selectEngines()
	if len(c.selected) == 0 {
		c.add("select", "", "no engine of the endpoint list is selected")
		return c.problems
	}
	c.checkOthers(others)
	maxOut := c.checkMinAvailable()
	c.checkRequirements(requirements)
	if p.Deadline > 0 && c.problems == nil {
		c.checkDeadline(max(1, maxOut), now, durations)
	}
	return c.problems
}

// planCheck is the check of one plan.
type planCheck struct {
	plan     Plan
	fleet    []Engine
	selected []Engine // by the plan
	problems []Problem
}

// add adds a problem with a field; remedy is empty if none is known.
func (c *planCheck) add(field, remedy, format string, args ...any) {
	c.problems = append(c.problems,
		Problem{Field: field, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}

// checkForm checks the values of the plan, without the fleet.
func (c *planCheck) checkForm() {
	p := c.plan
	switch {
	case p.ID == "" || len(p.ID) > maxPlanIDBytes:
		c.add("id", "", "must have 1 to %d bytes", maxPlanIDBytes)
	case p.WorkTime <= 0:
		c.add("needs", "", "must be a time above 0")
	case p.MaxUnavailable < 1:
		c.add("at_once", "", "must be a number above 0")
	}
	for _, h := range p.BlockedHours {
		if h.From < 0 || h.From >= dayMinutes || h.To < 0 || h.To >= dayMinutes || h.From == h.To {
			c.add("not", "", "minutes from %d to %d are not a part of a day", h.From, h.To)
		}
	}
	if p.Select.empty() {
		c.add("select", "name engines, zones, kinds or an age", "selects nothing")
	}
}

// selectEngines finds the engines that the plan selects.
func (c *planCheck) selectEngines() {
	for _, e := range c.fleet {
		if c.plan.Select.matches(e) {
			c.selected = append(c.selected, e)
		}
	}
	for _, id := range c.plan.Select.Engines {
		if _, listed := findEngine(c.fleet, id); !listed {
			c.add("select.engines", "", "%s is not in the endpoint list", id)
		}
	}
}

// checkOthers reports engines that are also selected by another plan, if only one of the two plans
// is halted.
func (c *planCheck) checkOthers(others []Plan) {
	for _, other := range others {
		if other.ID == c.plan.ID || other.Withdrawn || other.Halted == c.plan.Halted {
			continue
		}
		if i := slices.IndexFunc(c.selected, other.Select.matches); i >= 0 {
			e := c.selected[i]
			remedy := fmt.Sprintf("withdraw %s, or leave %s out", other.ID, e.ID)
			c.add("select", remedy, "%s is in plan %s as well, and one of the two plans is halted",
				e.ID, other.ID)
		}
	}
}

// checkMinAvailable checks the rules of MinAvailable, and returns how many engines may be out at
// once.
func (c *planCheck) checkMinAvailable() (maxOut int) {
	maxOut = c.plan.MaxUnavailable
	for _, rule := range c.plan.MinAvailable {
		if rule.Count == 0 && rule.Share == 0 {
			c.add("keep", "", "names neither a count nor a share")
			continue
		}
		all := countMatching(rule, c.fleet)
		if all == 0 {
			c.add("keep", "", "there are no %s", rule)
			continue
		}
		if countMatching(rule, c.selected) == 0 {
			continue
		}
		spare := all - rule.required(all)
		if spare < 1 {
			remedy := fmt.Sprintf("at most %d of %d can be kept while one is out", all-1, all)
			c.add("keep", remedy, "%s must remain of %d, so none can go", rule, all)
		}
		maxOut = min(maxOut, spare)
	}
	return maxOut
}

// checkRequirements checks that the kinds that query classes depend on have enough cores without
// their largest selected engine.
func (c *planCheck) checkRequirements(requirements []Requirement) {
	const remedy = "add engines of those kinds first, or take them out when demand is lower"
	for _, requirement := range requirements {
		cores := 0.0
		largest := 0.0
		affected := false
		for _, e := range c.fleet {
			if !slices.Contains(requirement.Kinds, e.Kind) {
				continue
			}
			cores += e.Cores
			if c.plan.Select.matches(e) {
				largest = max(largest, e.Cores)
				affected = true
			}
		}
		if affected && cores-largest < requirement.Cores {
			c.add("select", remedy,
				"classes that run only on %s need %.0f cores now, and %.0f would remain without the largest",
				joinKinds(requirement.Kinds), requirement.Cores, cores-largest)
		}
	}
}

// checkDeadline checks that the plan is done by its deadline with at most maxOut engines out at
// once, and finds the number that would suffice.
func (c *planCheck) checkDeadline(maxOut int, now float64, durations StepDurations) {
	p := c.plan
	count := len(c.selected)
	end := plannedEnd(p, count, maxOut, now, durations)
	if end <= p.Deadline {
		return
	}
	enough := 1
	for enough < count && plannedEnd(p, count, enough, now, durations) > p.Deadline {
		enough++
	}
	remedy := fmt.Sprintf("%d at once would do, if the engines that must remain allow it", enough)
	if best := plannedEnd(p, count, enough, now, durations); best > p.Deadline {
		remedy = fmt.Sprintf("%.1f h more are needed even with all at once", (best-p.Deadline)/msOfHour)
	}
	c.add("by", remedy, "%d engines, %d at once, take %.1f h more than there are",
		count, maxOut, (end-p.Deadline)/msOfHour)
}

// plannedEnd returns when a plan's last engine would be back and warm, in ms since 1970, if nothing
// fails. Each round of engines starts when the previous one is warm, outside blocked hours.
func plannedEnd(p Plan, engines, atOnce int, now float64, durations StepDurations) float64 {
	perRound := durations.Drain + p.WorkTime + durations.Warm
	at := now
	for rounds := (engines + atOnce - 1) / atOnce; rounds > 0; rounds-- {
		at = nextAllowed(p, at) + perRound
	}
	return at
}

// nextAllowed returns the first time from at on that is not in the plan's blocked hours, in ms
// since 1970. If they block the whole day, it gives up after maxBlockedHourSkips passes.
func nextAllowed(p Plan, at float64) float64 {
	for range maxBlockedHourSkips {
		blocked := false
		for _, h := range p.BlockedHours {
			minute := int(at / msOfMinute)
			if left, ok := h.within(minute % dayMinutes); ok {
				at = (float64(minute) + float64(left)) * msOfMinute
				blocked = true
			}
		}
		if !blocked {
			break
		}
	}
	return at
}
