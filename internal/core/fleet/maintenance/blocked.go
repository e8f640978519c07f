package maintenance

import (
	"fmt"
	"slices"
)

const msOfMinute = 60000

// blocked tells why an engine may not go now; empty: it may.
func (v View) blocked(id EngineID, of PlanID, l Limits, begun bool) string {
	e, ok := find(v.Engines, id)
	if !ok {
		return "it is not in the list"
	}
	plan, ok := Merge(v.Plans, e)
	if !ok {
		return "its plan is halted or withdrawn"
	}
	if v.Behind != "" {
		return v.Behind
	}
	if why := v.blockedByHour(plan); why != "" {
		return why
	}
	if v.Storm {
		return "clients are coming back in a storm"
	}
	away := v.away(id)
	if len(away) >= plan.AtOnce {
		return fmt.Sprintf("%d are out or lost, and %d may be", len(away), plan.AtOnce)
	}
	r := remainder{view: v, engine: e, away: away}
	for _, why := range []func() string{
		func() string { return v.blockedByTasks(id, l, begun) },
		func() string { return r.lacksKept(plan) },
		func() string { return r.lacksCores(l) },
		func() string { return r.tooBusy(l) },
	} {
		if text := why(); text != "" {
			return text
		}
	}
	return ""
}

func (v View) blockedByHour(plan Plan) string {
	for _, h := range plan.Not {
		if left, ok := h.within(int(v.Now/msOfMinute) % dayMinutes); ok {
			return fmt.Sprintf("none is taken in these hours, for %d min more", left)
		}
	}
	return ""
}

// blockedByTasks tells which other engine's step has to end first.
func (v View) blockedByTasks(id EngineID, l Limits, begun bool) string {
	for _, t := range v.Tasks {
		if t.Engine == id {
			continue
		}
		if l.ColdRest && t.Step == Warming {
			return fmt.Sprintf("%s is back and still cold", t.Engine)
		}
		if !begun && t.Step == Preparing {
			return fmt.Sprintf("%s is being prepared", t.Engine)
		}
	}
	return ""
}

// remainder is the fleet without one engine and those that are away already.
type remainder struct {
	view   View
	engine Engine // that would go
	away   []Engine
}

// stays tells whether an engine would go on to serve.
func (r remainder) stays(o Engine) bool {
	return o.ID != r.engine.ID && o.Ready && !slices.ContainsFunc(r.away, func(a Engine) bool { return a.ID == o.ID })
}

// staysWarm tells whether it would, with its caches filled.
func (r remainder) staysWarm(o Engine) bool { return r.stays(o) && r.view.Now >= o.WarmAt }

// all are the engines of the list, and those that are away, which it may not hold.
func (r remainder) all() []Engine {
	all := slices.Clone(r.view.Engines)
	for _, o := range r.away {
		if _, listed := find(all, o.ID); !listed {
			all = append(all, o)
		}
	}
	return all
}

// lacksKept tells what the plan keeps and would not remain.
func (r remainder) lacksKept(plan Plan) string {
	all := r.all()
	for _, k := range plan.Keep {
		if !k.of(r.engine) {
			continue
		}
		remain := 0
		for _, o := range all {
			if k.of(o) && r.staysWarm(o) {
				remain++
			}
		}
		if must := k.must(countOf(k, all)); remain < must {
			return fmt.Sprintf("%s must remain, and %d would", k, remain)
		}
	}
	return ""
}

// lacksCores tells which kinds would have fewer cores than what only they may run needs.
func (r remainder) lacksCores(l Limits) string {
	for _, b := range r.view.Bounds {
		if !slices.Contains(b.Kinds, r.engine.Kind) {
			continue
		}
		cores := 0.0
		for _, o := range r.view.Engines {
			if slices.Contains(b.Kinds, o.Kind) && r.staysWarm(o) {
				cores += o.Cores
			}
		}
		if cores < l.Spare*b.Needs {
			return fmt.Sprintf("what only %s may run needs %.1f cores, and %.1f would remain", kinds(b.Kinds), l.Spare*b.Needs, cores)
		}
	}
	return ""
}

// tooBusy tells whether what remains could not bear the load.
func (r remainder) tooBusy(l Limits) string {
	busy, cores := 0.0, 0.0
	for _, o := range r.view.Engines {
		goes := o.ID == r.engine.ID
		if !goes && !r.stays(o) {
			continue
		}
		busy += o.Load * o.Cores
		if !goes {
			cores += o.Cores
		}
	}
	if cores == 0 {
		return "nothing would remain"
	}
	if busy > l.Busy*cores {
		return fmt.Sprintf("what remains would be busy to %.0f%%", 100*busy/cores)
	}
	return ""
}
