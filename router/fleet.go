package router

import "slices"

// This file keeps bounds on what engines weigh, so that a choice among a thousand reckons only the few in full that may
// be chosen. It decides nothing: a bound never says other than the exact figure would, which router.go alone uses to
// choose. Bounds hold until the next tend, which reckons all anew; whatever changes an engine reckons its own anew.

// bounds are those of an engine, until r.tendAt.
type bounds struct {
	filled      float64 // at least so many threads a core is it taken to run
	rests       float64 // at least this is its pressure, without a command's threads and leaning,
	each        float64 // and at least so much more for each thread
	room        float64 // at most so many threads is its bound, for a part of the traffic of one
	ready, cold bool
}

// rounding is how far sums of the same in another order may differ, and more.
const rounding = 1e-9

// weigh reckons an engine's bounds anew.
func (r *Router) weigh(e *engine) {
	until := max(r.now, r.tendAt)
	b := &e.bounds
	b.ready = e.state == Ready
	capacity := e.cores * r.rampAt(e, until)
	prior := e.cores * r.busyLeast
	others := min(e.others.mean(r.now, prior, 0.5), e.others.mean(until, prior, 0.5))
	slow := max(1, min(e.slow.mean(r.now, 1, 1), e.slow.mean(until, 1, 1))/nearBest)
	b.filled = (e.threads + threadsEach*max(0, others)) / capacity * (1 - rounding)
	b.rests, b.each = b.filled*slow*(1-rounding), slow/capacity*(1-rounding)
	b.room = e.width * capacity * (1 + rounding)
	b.cold = r.now <= e.since+r.guards.ColdTime+netSlack
}

// weighAll reckons all anew; busy, of which every engine takes a part where it has not been heard of, may fall by a
// tenth until then.
func (r *Router) weighAll() {
	r.busyLeast = 0.9 * r.busy.mean(r.now, 0, 1)
	for _, e := range r.order {
		r.weigh(e)
	}
}

// atLeast is a bound on the pressure of c on e.
func (c *command) atLeast(e *engine) float64 {
	x := e.bounds.rests + c.profile.Threads*e.bounds.each
	if !c.profile.HoldsTables {
		x += leaning * (1 - likes(c.tables, e))
	}
	return x * (1 - rounding)
}

// mayHaveRoom tells whether hasRoom could say so, filled up to a share, for a part of the traffic.
func (r *Router) mayHaveRoom(e *engine, fill, part float64) bool {
	b := &e.bounds
	return b.ready && (r.out == 0 || (e.out == 0 || e.threads <= fill*part*b.room) &&
		(r.threads <= r.pool || b.cold || b.filled < roomy*startWidth)) && (e.well() || e.out == 0 || e.goodAt > r.now-goodFor)
}

// spare is a list of engines that may have room, kept for the step in which it was made: room only shrinks while held
// commands are let go. none are the profiles for which none has, by number.
type spare struct {
	step    uint64
	engines []*engine
	none    []uint64
}

// among narrows engines to those that may have room, where the list will be used again in this step.
func (r *Router) among(s *spare, engines []*engine, fill, part float64) []*engine {
	if r.held.n < fewHeld {
		return engines
	}
	if s.step != r.steps {
		s.step, s.engines = r.steps, s.engines[:0]
		for _, e := range engines {
			if r.mayHaveRoom(e, fill, part) {
				s.engines = append(s.engines, e)
			}
		}
	}
	return s.engines
}

// fewHeld is how many commands must be held for a list to be worth making.
const fewHeld = 4

// hasNone tells whether it is known of this step that no engine has room for a profile.
func (r *Router) hasNone(s *spare, p *profile) bool {
	return p.number < len(s.none) && s.none[p.number] == r.steps
}

func (r *Router) setNone(s *spare, p *profile) {
	if s.none == nil {
		s.none = make([]uint64, len(r.profiles))
	}
	s.none[p.number] = r.steps
}

// plain tells that nothing but its profile and table group narrows where c may go.
func (c *command) plain() bool {
	return c.kinds == nil && c.zones == nil && (c.doubt == nil || c.profile.Effect == Replayable)
}

// heldOn files that a load holds a table group on e, or that a note said so.
func (g *tableGroup) heldOn(e *engine) {
	if !slices.Contains(g.holders, e) {
		g.holders = append(g.holders, e)
	}
}

// heldAt counts the ready and well engines on which loads hold a table group, and forgets those on which none does.
func (r *Router) heldAt(g *tableGroup) (n float64) {
	g.holders = slices.DeleteFunc(g.holders, func(e *engine) bool { return e.holds(g, r.now) == 0 })
	for _, e := range g.holders {
		if e.state == Ready && e.well() {
			n++
		}
	}
	return n
}

// wellReady counts the engines that are ready and well.
func (r *Router) wellReady() (n float64) {
	for _, e := range r.order {
		if e.state == Ready && e.well() {
			n++
		}
	}
	return n
}
