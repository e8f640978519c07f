package maintenance

import (
	"fmt"
	"math"
)

// Reason is why an engine was chosen, or why none is taken out now.
type Reason struct {
	Engine EngineID // empty: all
	Text   string   // for operators
}

// decision collects the reasons of one call of Decide.
type decision struct {
	view    View
	limits  Limits
	reasons []Reason
}

// explain adds a reason.
func (d *decision) explain(engine EngineID, format string, args ...any) {
	d.reasons = append(d.reasons, Reason{Engine: engine, Text: fmt.Sprintf(format, args...)})
}

// Decide returns the next move, or nil if there is none, and the reasons. It returns one move at a
// time, as each changes the view. Tasks take precedence over engines that wait. The steps that
// depend on confirmations and on programs are taken by the caller.
func Decide(v View, l Limits) (*Move, []Reason) {
	d := &decision{view: v, limits: l}
	for _, t := range v.Tasks {
		if move := d.continueTask(t); move != nil {
			return move, d.reasons
		}
	}
	move := d.chooseNext()
	return move, d.reasons
}

// continueTask returns the next move of a task; nil: it waits, or its next step is taken by the
// caller.
func (d *decision) continueTask(t Task) *Move {
	v := d.view
	l := d.limits
	e, listed := findEngine(v.Engines, t.Engine)
	ready := listed && e.Ready
	isBack := ready && (v.DrainsListed || e.StartedAt > t.EngineStartedAt)
	move := &Move{Engine: t.Engine, Plan: t.Plan, From: t.Step}
	switch {
	case t.Step == Preparing && (hasWarmReplicas(e) || v.Now >= t.StepStartedAt+l.PrepareTimeout):
		if reason := v.blockReason(t.Engine, l, true); reason != "" {
			d.explain(t.Engine, "is prepared, and waits: %s", reason)
			return nil
		}
		d.explain(t.Engine,
			"goes: its table groups are warm on other engines, or %0.f s were spent on preparing that",
			l.PrepareTimeout/1e3)
		move.To = Draining
	case t.Step == Returning && isBack:
		move.To = Warming
	case t.Step == Returning && v.Now >= t.StepStartedAt+l.ReturnTimeout:
		d.explain(t.Engine, "has not come back %0.f s after its work was done", l.ReturnTimeout/1e3)
		move.To = Missing
	case t.Step == Missing && isBack:
		move.To = Warming
	case t.Step == Warming && ready && v.Now >= e.WarmAt:
		move.To = Done
	default:
		return nil
	}
	return move
}

// chooseNext returns the move that takes out the next engine: of those that may be taken out, the
// one with the lowest removal cost. Nil: there is none.
func (d *decision) chooseNext() *Move {
	var next *Move
	lowestCost := math.Inf(1)
	waiting := 0
	for _, e := range sortedByID(d.view.Engines) {
		plan, ok := Merge(d.view.Plans, e)
		if !ok || d.view.hasTask(e.ID, plan) || !e.Ready {
			continue
		}
		waiting++
		if reason := d.view.blockReason(e.ID, d.limits, false); reason != "" {
			d.explain(e.ID, "waits: %s", reason)
			continue
		}
		cost := d.view.removalCost(e)
		if cost < lowestCost {
			lowestCost = cost
			next = &Move{Engine: e.ID, Plan: plan.ID, To: Preparing, IsNew: true}
		}
	}
	if next != nil {
		d.explain(next.Engine, "is next: it costs least now (%.2f)", lowestCost)
	} else if waiting == 0 {
		d.explain("", "no engine waits to be taken out")
	}
	return next
}
