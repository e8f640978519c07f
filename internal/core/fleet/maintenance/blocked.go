package maintenance

import (
	"fmt"
	"slices"
)

// msOfMinute is the length of a minute in ms.
const msOfMinute = 60000

// blockReason returns why an engine may not be taken out now, as text for operators; empty: it may.
// preparing says that the engine is being prepared already.
func (v View) blockReason(id EngineID, l Limits, preparing bool) string {
	e, ok := findEngine(v.Engines, id)
	if !ok {
		return "it is not in the endpoint list"
	}
	plan, ok := Merge(v.Plans, e)
	if !ok {
		return "its plan is halted or withdrawn"
	}
	if v.StaleReason != "" {
		return v.StaleReason
	}
	if reason := v.hourBlockReason(plan); reason != "" {
		return reason
	}
	if v.ReconnectStorm {
		return "many clients are reconnecting (a reconnect storm)"
	}
	unavailable := v.unavailable(id)
	if len(unavailable) >= plan.MaxUnavailable {
		return fmt.Sprintf("%d are out or lost, and %d may be", len(unavailable), plan.MaxUnavailable)
	}
	if reason := v.taskBlockReason(id, l, preparing); reason != "" {
		return reason
	}
	r := remainingFleet{view: v, engine: e, unavailable: unavailable}
	if reason := r.minAvailableBlockReason(plan); reason != "" {
		return reason
	}
	if reason := r.requiredCoresBlockReason(l); reason != "" {
		return reason
	}
	return r.loadBlockReason(l)
}

// hourBlockReason returns why no engine may be taken out at this time of day; empty: one may.
func (v View) hourBlockReason(plan Plan) string {
	for _, h := range plan.BlockedHours {
		if left, ok := h.within(int(v.Now/msOfMinute) % dayMinutes); ok {
			return fmt.Sprintf("no engine is taken out in these hours, for %d min more", left)
		}
	}
	return ""
}

// taskBlockReason returns which other engine's step must end first; empty: none.
func (v View) taskBlockReason(id EngineID, l Limits, preparing bool) string {
	for _, t := range v.Tasks {
		if t.Engine == id {
			continue
		}
		if l.WaitForWarm && t.Step == Warming {
			return fmt.Sprintf("%s is back and still cold", t.Engine)
		}
		if !preparing && t.Step == Preparing {
			return fmt.Sprintf("%s is being prepared", t.Engine)
		}
	}
	return ""
}

// remainingFleet is the fleet without an engine that would be taken out, and without those that are
// unavailable already.
type remainingFleet struct {
	view        View
	engine      Engine // the one that would be taken out
	unavailable []Engine
}

// staysReady reports whether an engine would continue to serve.
func (r remainingFleet) staysReady(e Engine) bool {
	isUnavailable := func(u Engine) bool { return u.ID == e.ID }
	return e.ID != r.engine.ID && e.Ready && !slices.ContainsFunc(r.unavailable, isUnavailable)
}

// staysWarm reports whether an engine would continue to serve with warm caches.
func (r remainingFleet) staysWarm(e Engine) bool {
	return r.staysReady(e) && r.view.Now >= e.WarmAt
}

// all returns the engines of the endpoint list, and the unavailable ones, which may no longer be in
// it.
func (r remainingFleet) all() []Engine {
	all := slices.Clone(r.view.Engines)
	for _, e := range r.unavailable {
		if _, listed := findEngine(all, e.ID); !listed {
			all = append(all, e)
		}
	}
	return all
}

// minAvailableBlockReason returns which rule of the plan's MinAvailable would be violated; empty:
// none.
func (r remainingFleet) minAvailableBlockReason(plan Plan) string {
	all := r.all()
	for _, rule := range plan.MinAvailable {
		if !rule.matches(r.engine) {
			continue
		}
		available := 0
		for _, e := range all {
			if rule.matches(e) && r.staysWarm(e) {
				available++
			}
		}
		if required := rule.required(countMatching(rule, all)); available < required {
			return fmt.Sprintf("%s must remain, and %d would", rule, available)
		}
	}
	return ""
}

// requiredCoresBlockReason returns which kinds would have too few cores for the query classes that
// run only on them; empty: none.
func (r remainingFleet) requiredCoresBlockReason(l Limits) string {
	for _, requirement := range r.view.Requirements {
		if !slices.Contains(requirement.Kinds, r.engine.Kind) {
			continue
		}
		cores := 0.0
		for _, e := range r.view.Engines {
			if slices.Contains(requirement.Kinds, e.Kind) && r.staysWarm(e) {
				cores += e.Cores
			}
		}
		needed := l.CapacityFactor * requirement.Cores
		if cores < needed {
			return fmt.Sprintf("query classes that run only on %s need %.1f cores, and %.1f would remain",
				joinKinds(requirement.Kinds), needed, cores)
		}
	}
	return ""
}

// loadBlockReason returns why the remaining engines could not take over the load; empty: they
// could.
func (r remainingFleet) loadBlockReason(l Limits) string {
	used := 0.0
	cores := 0.0
	for _, e := range r.view.Engines {
		isTaken := e.ID == r.engine.ID
		if !isTaken && !r.staysReady(e) {
			continue
		}
		used += e.Load * e.Cores
		if !isTaken {
			cores += e.Cores
		}
	}
	if cores == 0 {
		return "no engine would remain"
	}
	if used > l.MaxLoad*cores {
		return fmt.Sprintf("the remaining engines would be busy to %.0f%%", 100*used/cores)
	}
	return ""
}
