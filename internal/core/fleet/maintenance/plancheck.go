package maintenance

import (
	"fmt"
	"slices"
)

// mostPlanID is how many letters a plan's id may have.
const mostPlanID = 64

const msOfHour = 3.6e6

// Check tells all that is wrong with a plan for a fleet, beside others. None: it can be done, as far as can be foreseen.
func Check(p Plan, others []Plan, fleet []Engine, bounds []Bound, now float64, t Times) []Problem {
	c := planCheck{plan: p, fleet: fleet}
	c.checkForm()
	if c.problems != nil {
		return c.problems
	}
	c.choose()
	if len(c.chosen) == 0 {
		c.add("select", "", "no engine of the list is selected")
		return c.problems
	}
	c.checkOthers(others)
	most := c.checkKept()
	c.checkBounds(bounds)
	if p.By > 0 && c.problems == nil {
		c.checkEnd(max(1, most), now, t)
	}
	return c.problems
}

// planCheck is the check of one plan.
type planCheck struct {
	plan     Plan
	fleet    []Engine
	chosen   []Engine // that the plan selects
	problems []Problem
}

func (c *planCheck) add(field, would, why string, args ...any) {
	c.problems = append(c.problems, Problem{field, fmt.Sprintf(why, args...), would})
}

// checkForm looks at what the plan says by itself.
func (c *planCheck) checkForm() {
	p := c.plan
	switch {
	case p.ID == "" || len(p.ID) > mostPlanID:
		c.add("id", "", "has to have 1 to %d letters", mostPlanID)
	case p.Needs <= 0:
		c.add("needs", "", "is no time")
	case p.AtOnce < 1:
		c.add("at_once", "", "is no number above 0")
	}
	for _, h := range p.Not {
		if h.From < 0 || h.From >= dayMinutes || h.To < 0 || h.To >= dayMinutes || h.From == h.To {
			c.add("not", "", "hours from %d to %d are no part of a day", h.From, h.To)
		}
	}
	if p.Select.empty() {
		c.add("select", "name engines, zones, kinds or an age", "selects nothing")
	}
}

// choose finds the engines that the plan selects.
func (c *planCheck) choose() {
	for _, e := range c.fleet {
		if c.plan.Select.has(e) {
			c.chosen = append(c.chosen, e)
		}
	}
	for _, id := range c.plan.Select.Engines {
		if !slices.ContainsFunc(c.fleet, func(e Engine) bool { return e.ID == id }) {
			c.add("select.engines", "", "%s is not in the list", id)
		}
	}
}

// checkOthers tells which plans want the opposite of this one for an engine.
func (c *planCheck) checkOthers(others []Plan) {
	for _, o := range others {
		if o.ID == c.plan.ID || o.Over || o.Halted == c.plan.Halted {
			continue
		}
		if i := slices.IndexFunc(c.chosen, o.Select.has); i >= 0 {
			e := c.chosen[i]
			c.add("select", fmt.Sprintf("withdraw %s, or leave %s out", o.ID, e.ID), "%s is in plan %s as well, of which one is halted", e.ID, o.ID)
		}
	}
}

// checkKept looks at what must always remain, and returns how many may be out at once.
func (c *planCheck) checkKept() (most int) {
	most = c.plan.AtOnce
	for _, k := range c.plan.Keep {
		all := countOf(k, c.fleet)
		must := k.must(all)
		if k.Count == 0 && k.Share == 0 {
			c.add("keep", "", "names neither a count nor a share")
			continue
		}
		if all == 0 {
			c.add("keep", "", "there are no %s", k)
			continue
		}
		if countOf(k, c.chosen) == 0 {
			continue
		}
		room := all - must
		if room < 1 {
			c.add("keep", fmt.Sprintf("at most %d of %d can be kept while one is out", all-1, all), "%s must remain of %d, so none can go", k, all)
		}
		most = min(most, room)
	}
	return most
}

// checkBounds looks at what only some kinds may run.
func (c *planCheck) checkBounds(bounds []Bound) {
	for _, b := range bounds {
		have, largest, touched := 0.0, 0.0, false
		for _, e := range c.fleet {
			if !slices.Contains(b.Kinds, e.Kind) {
				continue
			}
			have += e.Cores
			if c.plan.Select.has(e) {
				largest, touched = max(largest, e.Cores), true
			}
		}
		if touched && have-largest < b.Needs {
			c.add("select", "add engines of those kinds first, or take them out when less is asked",
				"what only %s may run needs %.0f cores now, and %.0f would remain while the largest is out", kinds(b.Kinds), b.Needs, have-largest)
		}
	}
}

// checkEnd tells what would do where the plan is over later than it has to be, with so many engines out at once.
func (c *planCheck) checkEnd(most int, now float64, t Times) {
	p, count := c.plan, len(c.chosen)
	end := forecast(p, count, most, now, t)
	if end <= p.By {
		return
	}
	enough := 1
	for enough < count && forecast(p, count, enough, now, t) > p.By {
		enough++
	}
	would := fmt.Sprintf("%d at once would do, if what must remain allows it", enough)
	if best := forecast(p, count, enough, now, t); best > p.By {
		would = fmt.Sprintf("%.1f h more are needed even with all at once", (best-p.By)/msOfHour)
	}
	c.add("by", would, "%d engines, %d at once, take %.1f h more than there are", count, most, (end-p.By)/msOfHour)
}
