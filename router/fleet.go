package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/tidwall/btree"
)

// This file keeps bounds on what engines weigh, so that a choice among a thousand reckons only the few in full that may
// be chosen. It decides nothing: a bound never says other than the exact figure would, which router.go alone uses to
// choose. Bounds hold until the next tend, which reckons all anew; whatever changes an engine reckons its own anew.

// bounds are those of an engine, until r.tendAt. Each is reckoned as the exact figure is, operation by operation, from
// parts that are no larger (or, under a division, no smaller): rounding keeps order, so it is a bound to the last bit.
type bounds struct {
	filled    float64 // at least so many threads a core is it taken to run
	capacity  float64 // at most so many cores does it have, as far as it is warm
	slow      float64 // at least this is the factor of its pace
	room      float64 // at most so many threads is its bound, for a part of the traffic of one
	fit, cold bool    // it may be fit for some profile; it may be cold
	airy      bool    // it may have room by reports, or as it is cold, where the pool has none
}

// rounding is how far a mean may lie outside of those at two times, when taken between these; and more.
const rounding = 1e-12

// least is the least that a mean may be between two times, for a prior that is no smaller.
func (d *decay) least(now, until, prior, weight float64) float64 {
	if d.n == 0 && d.sum == 0 {
		return prior
	}
	if d.sum > prior*d.n { // it falls towards the prior
		now = until
	}
	return d.mean(now, prior, weight) * (1 - rounding)
}

// rampAt is the share of its capacity that a cold engine is taken to have at some time, by what is stated of such.
func (r *Router) rampAt(e *engine, at float64) float64 {
	return r.guards.SlowStartCapacity + (1-r.guards.SlowStartCapacity)*min(1, max(0, at-e.since)/max(1, r.guards.SlowStartTime))
}

// coldWork is what c counts for at a cold engine: as its profile usually does, more if its estimate says so.
func (c *command) coldWork(now float64) float64 { return max(c.profile.usualWork(now), c.stated) }

func (r *Router) ramp(e *engine) float64 { return r.rampAt(e, r.now) }

// weigh reckons an engine's bounds anew.
func (r *Router) weigh(e *engine) {
	until := max(r.now, r.tendAt)
	b := &e.bounds
	b.fit = e.state == Ready && (e.well() || e.out == 0 || e.goodAt > r.now-goodFor)
	b.capacity = e.cores * r.rampAt(e, until)
	b.filled = (e.threads + threadsEach*max(0, e.others.least(r.now, until, e.cores*r.busyLeast, 0.5))) / b.capacity
	b.slow = 1
	if e.slow.sum > e.slow.n {
		b.slow = max(1, e.slow.least(r.now, until, 1, 1)/nearBest)
	}
	if b.fit {
		r.leastFilled, r.mostCapacity = min(r.leastFilled, b.filled), max(r.mostCapacity, b.capacity)
	}
	b.room = e.width * b.capacity * (1 + rounding)
	if b.cold = r.now <= e.since+r.guards.SlowStartTime+netSlack; b.cold {
		r.colds++ // at the least: it only tells that there is one
	}
	if was := b.airy; was != (b.fit && (b.cold || b.filled < roomy*startWidth)) {
		if b.airy = !was; was {
			r.airy--
		} else {
			r.airy++
		}
	}
}

// weighAll reckons all anew; busy, of which every engine takes a part where it has not been heard of, may fall by a
// tenth until then.
func (r *Router) weighAll() {
	r.busyLeast = 0.9 * r.busy.mean(r.now, 0, 1)
	r.leastFilled, r.mostCapacity, r.colds = math.Inf(1), 0, 0
	for _, e := range r.order {
		r.weigh(e)
	}
}

// atLeast is a bound on the pressure of c on e.
func (c *command) atLeast(e *engine) float64 {
	x := (e.bounds.filled + c.profile.Threads/e.bounds.capacity) * e.bounds.slow
	if !c.profile.LocksTables {
		x += leaning * (1 - likes(c.tables, e))
	}
	return x
}

// floors fills in, for each of some engines, a bound on the pressure of c on it, without end where it can't have room,
// and tells where the least of them is. Where leaning can't make it the least it is left out.
func (r *Router) floors(c *command, engines []*engine, fill, part float64) (list []float64, at int) {
	if cap(r.floor) < len(engines) {
		r.floor = make([]float64, len(engines)+len(engines)/2)
	}
	r.looked += len(engines)
	list = r.floor[:len(engines)]
	least, threads, leans := math.Inf(1), c.profile.Threads, !c.profile.LocksTables
	none, pooled, fill := r.out == 0, r.threads <= r.pool, fill*part
	for i, e := range engines {
		b := &e.bounds
		x := math.Inf(1)
		if b.fit && (none || (pooled || b.airy) && (e.out == 0 || b.cold || e.threads <= fill*b.room)) {
			if x = (b.filled + threads/b.capacity) * b.slow; x < least {
				if leans {
					x += leaning * (1 - likes(c.tables, e))
				}
				if x < least {
					least, at = x, i
				}
			}
		}
		list[i] = x
	}
	return list, at
}

// mayHaveRoom tells whether hasRoom could say so, filled up to a share, for a part of the traffic.
func (r *Router) mayHaveRoom(e *engine, fill, part float64) bool {
	b := &e.bounds
	return b.fit && (r.out == 0 || (r.threads <= r.pool || b.airy) &&
		(e.out == 0 || b.cold || e.threads <= fill*part*b.room))
}

// spare is a list of engines that may have room, kept for the step in which it was made: room only shrinks while held
// commands are let go. none are the profiles for which none has, by number. It also keeps in which order table groups
// lean to the engines, as long as these are the same.
type spare struct {
	step    uint64
	engines []*engine
	none    []uint64

	fleet   int // by which the orders were made
	orders  map[*tableGroup]*leanings
	entries int
}

// leanings are the places of engines, the most liked first, once a group has been looked for often enough.
type leanings struct {
	uses   int
	places []int32
}

const (
	fewLeanings  = 64     // engines for which an order is worth making,
	usesLeanings = 8      // for a table group that is looked for so often
	mostLeanings = 200000 // entries that a list keeps: under two megabytes; any stranger may name a group, so
	// that it was looked for weighs as what its books take
	groupLeanings = 64
)

// leaning is the order in which a table group leans to engines; nil: none is worth keeping.
func (r *Router) leaning(s *spare, g *tableGroup, engines []*engine) []int32 {
	if len(engines) < fewLeanings {
		return nil
	}
	if s.fleet != r.fleet || s.orders == nil || s.entries > mostLeanings {
		s.fleet, s.orders, s.entries = r.fleet, map[*tableGroup]*leanings{}, 0
	}
	l := s.orders[g]
	if l == nil {
		l = &leanings{}
		s.orders[g] = l
		s.entries += groupLeanings
	}
	if l.uses++; l.uses < usesLeanings {
		return nil
	}
	if l.places == nil {
		for i := range engines {
			l.places = append(l.places, int32(i))
		}
		slices.SortFunc(l.places, func(a, b int32) int { return cmp.Compare(likes(g, engines[b]), likes(g, engines[a])) })
		s.entries += len(engines)
	}
	return l.places
}

// winner is the engine that is pressed least so far, with its place in the list that is looked through.
type winner struct {
	engine *engine
	press  float64
	at     int
}

// loses tells whether another wins over it: of two alike the first.
func (w *winner) loses(x float64, at int) bool { return x < w.press || x == w.press && at < w.at }

// likely hands the engines to try that may win, by their bounds, the likeliest first. try makes the winner.
func (r *Router) likely(c *command, s *spare, all []*engine, fill, part float64, best *winner, try func(e *engine, at int)) {
	if r.held.n < fewHeld && !c.profile.LocksTables {
		if places := r.leaning(s, c.tables, all); places != nil {
			least := r.leastFilled + c.profile.Threads/r.mostCapacity
			for _, i := range places {
				e := all[i]
				if least+leaning*(1-likes(c.tables, e)) > best.press { // and so is it for all that are liked less
					return
				}
				if r.mayHaveRoom(e, fill, part) && best.loses(c.atLeast(e), int(i)) {
					try(e, int(i))
				}
			}
			return
		}
	}
	engines := r.among(s, all, fill, part)
	floors, first := r.floors(c, engines, fill, part)
	if first < len(engines) { // who will hardly be beaten spares the others
		try(engines[first], first)
	}
	for i, x := range floors {
		if i != first && best.loses(x, i) && best.loses(c.atLeast(engines[i]), i) {
			try(engines[i], i)
		}
	}
}

// nowhere tells that no engine has room for c, as far as that is known without looking: the pool is used up and no
// engine is excused, or none had room for another of its profile in this step.
func (r *Router) nowhere(c *command) bool {
	return r.out > 0 && r.threads > r.pool && (r.threads > r.pool+overhang && r.colds == 0 || r.airy == 0) || r.noneFor(c)
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

// noneFor tells that it is known of this step that no engine has room for c.
func (r *Router) noneFor(c *command) bool {
	if !r.hasNone(&r.spare, c.profile) {
		return false
	}
	for k, o := range c.tables.homes {
		if o != nil && allows(c.profile.Kinds, KindID(k)) && !r.hasNone(&o.spare, c.profile) {
			return false
		}
	}
	return true
}

// plain tells that nothing but its profile and table group narrows where c may go: no estimate that makes it more than
// its profile's others to a cold engine.
func (r *Router) plain(c *command) bool {
	return (r.colds == 0 || c.stated <= c.profile.usualWork(r.now)) && c.kinds == nil && c.zones == nil && (c.doubt == nil || c.profile.Effect == Idempotent)
}

// heldOn files that a load holds a table group on e, or that a note said so.
func (g *tableGroup) heldOn(e *engine) {
	if !slices.Contains(g.holders, e) {
		g.holders = append(g.holders, e)
	}
}

// release forgets the engines on which no load holds the table group any more, those that are gone among them.
func (g *tableGroup) release(now float64) {
	if len(g.holders) > 0 {
		g.holders = slices.DeleteFunc(g.holders, func(e *engine) bool { return e.holds(g, now) == 0 })
	}
}

// heldAt counts the ready and well engines on which loads hold a table group.
func (r *Router) heldAt(g *tableGroup) (n float64) {
	g.release(r.now)
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

// each is what an owner asked for each engine, when that was last reckoned.
func (o *owner) each() float64 { return o.asks / float64(max(1, o.want)) }

// need is what an owner, by its place, asks for each engine.
type need struct {
	each float64
	at   int
}

// giveEach gives n engines out, one at a time, each to the first owner that asks for most for each that it has.
func giveEach(owners []*owner, n int) {
	neediest := heap[need]{less: func(a, b *need) bool { return a.each > b.each || a.each == b.each && a.at < b.at }}
	for i, o := range owners {
		neediest.push(need{o.each(), i})
	}
	for ; n > 0; n-- {
		top := &neediest.list[0]
		owners[top.at].want++
		top.each = owners[top.at].each()
		neediest.sink(0)
	}
}

// readyOf tells whether the list calls an engine of a kind ready.
func (e *engine) readyOf(k int) bool { return e.state == Ready && int(e.kind) == k }

// needs files what each owner asks for.
func (r *Router) needs(owners []*owner) {
	for _, o := range owners {
		o.asks = r.demand(o)
	}
}

// markHome marks an owner's engines, and no others, as found there.
func (r *Router) markHome(o *owner) {
	if r.homed == o || o == nil {
		return
	}
	if r.homed != nil {
		for _, e := range r.homedEngines {
			e.home = nil
		}
	}
	r.homed, r.homedEngines = o, append(r.homedEngines[:0], o.engines...)
	for _, e := range o.engines {
		e.home = o
	}
}

// unmarkHome forgets whose engines were marked: owners are about to be given others.
func (r *Router) unmarkHome() {
	for _, e := range r.homedEngines {
		e.home = nil
	}
	clear(r.homedEngines)
	r.homed, r.homedEngines = nil, r.homedEngines[:0]
}

// mostPairs is how many pairs of table group and engine are looked at when the engines of a kind are handed out: some
// milliseconds.
const mostPairs = 500000

// weightiest is all groups of an owner, or as many of those asked for most, one at least, as can be looked at: each is
// paired with so many engines.
func (r *Router) weightiest(groups []*tableGroup, pairs int) []*tableGroup {
	most := max(1, mostPairs/max(1, pairs))
	if len(groups) <= most {
		return groups
	}
	slices.SortStableFunc(groups, func(a, b *tableGroup) int { return cmp.Compare(b.demand.rate(r.now), a.demand.rate(r.now)) })
	return groups[:most]
}

// fewEngines are sorted whole, so that who finds engines alike takes them in the order that others left; fewFittest are
// found one by one.
const fewEngines, fewFittest = 256, 8

// fittest parts the engines that fit best, those first, from the others; of two alike the earlier fits better.
func fittest(free []*engine, n int) (best, rest []*engine) {
	if len(free) <= fewEngines {
		slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(b.fit, a.fit) })
		return slices.Clone(free[:n]), free[n:]
	}
	if n <= fewFittest { // as many owners as engines: a look each is less than a heap
		for range n {
			at := 0
			for i, e := range free {
				if e.fit > free[at].fit {
					at = i
				}
			}
			best, free = append(best, free[at]), slices.Delete(free, at, at+1)
		}
		return best, free
	}
	type fit struct {
		*engine
		at int
	}
	h := heap[fit]{less: func(a, b *fit) bool {
		return a.engine.fit > b.engine.fit || a.engine.fit == b.engine.fit && a.at < b.at
	}}
	h.list = make([]fit, 0, len(free))
	for i, e := range free {
		h.list = append(h.list, fit{e, i})
	}
	h.mend()
	taken := make([]bool, len(free))
	for range n {
		x := h.pop()
		best, taken[x.at] = append(best, x.engine), true
	}
	for i, e := range free {
		if !taken[i] {
			rest = append(rest, e)
		}
	}
	return best, rest
}

// bin is a pack of table groups by what it has left.
type bin struct {
	room   float64
	number int
}

// rooms are bins by room, then number.
type rooms struct{ tree *btree.BTreeG[bin] }

func newRooms() rooms {
	return rooms{btree.NewBTreeGOptions(func(a, b bin) bool {
		return a.room < b.room || a.room == b.room && a.number < b.number
	}, btree.Options{NoLocks: true})}
}

func (r rooms) put(b bin) { r.tree.Set(b) }

// best takes out the bin with least room of those that have as much, the first of several; ok tells whether there is one.
func (r rooms) best(size float64) (b bin, ok bool) {
	r.tree.Ascend(bin{size, -1}, func(x bin) bool {
		b, ok = x, true
		return false
	})
	if ok {
		r.tree.Delete(b)
	}
	return b, ok
}
