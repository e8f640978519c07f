package reference

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Commands and the rules' guards.

const (
	unitLife, runLife, workLife, scaleLife = 10000.0, 1000.0, 20000.0, 30000.0 // ms that learning goes back
	shareLife, tenantLife                  = 5000.0, 2000.0

	netSlack, roundsToEnd    = 60.0, 2.0 // ms by which windows are kept wider; rounds before a client timeout
	coldShareUsed, coldSpans = 0.6, 2.0  // of a cold engine's allowance; stretches in a window
)

var coldParts = [...]float64{500, 2000, 8000} // ms of work that a part must hold, or turns are taken

// unitOf is the time that c's estimate gives it alone; without estimates all commands of a profile are alike.
func (p *profile) unitOf(c *command, now float64) float64 {
	if c.estimate <= 0 {
		return 1
	}
	return max(1, c.estimate*p.workScale.mean(now, 1, 2)/p.Threads)
}

// alone is the time that c would take on an idle engine, as far as is known.
func (p *profile) alone(c *command, now float64) float64 {
	if p.best == 0 && c.estimate <= 0 {
		return p.LatencyObjective / 2
	}
	return cmp.Or(p.best, 1) * p.unitOf(c, now)
}

// usualWork leans high while little is known: it guards cold engines, where too low a guess breaks a rule.
func (p *profile) usualWork(now float64) float64 { return p.work.mean(now, p.ClientTimeout/3, 1) }

// coldWork is what c counts for at a cold engine: as its profile usually does, more if its estimate says so.
func (c *command) coldWork(now float64) float64 { return max(c.profile.usualWork(now), c.stated) }

// mayGo tells whether c may go to e now. Every send passes it, first or further: it keeps the rules
// on drains, repeats, order, placement, the sends budget and cold engines.
func (r *Router) mayGo(c *command, e *engine) bool {
	p := c.profile
	return e.state == Ready && r.listHolds(e) && allows(p.Kinds, e.kind) && allows(p.Zones, e.zone) &&
		allows(c.kinds, e.kind) && allows(c.zones, e.zone) && r.mayStart(c) &&
		(c.doubt == nil || p.Effect == Idempotent || scopeHolds(p.Scope, c.doubt, e)) && r.coldAllows(c, e)
}

// listHolds tells whether the list may be trusted of e. Once expired, it may for one that answered what was
// sent so lately that no later drain counts as told: who drains turns new work away. One that was seen to
// break may have come back cold, or have another in its place.
func (r *Router) listHolds(e *engine) bool {
	return r.expired == 0 || e.brokeAt < r.heardAt && r.now-e.tookAt < r.expired
}

// mayStart is the part of mayGo that is the same for all engines.
func (r *Router) mayStart(c *command) bool {
	return r.inTurn(c) && !c.over && !c.begun && c.wantEnd == open && c.out == 0 && r.now < r.endBy(c) &&
		!r.spent(c) && (len(c.sends) == 0 || r.budgetAllows())
}

// inTurn tells whether c is the first of all its keys, none of which rests. All stand by arrival, so who came
// first of all is the first of each of its own, and nobody waits in a circle.
func (r *Router) inTurn(c *command) bool {
	for _, l := range c.lines {
		if l.cmds[0] != c || len(c.sends) == 0 && r.now < l.rest || l.others() {
			return false
		}
	}
	return true
}

// endBy is when a command is ended at the latest: before its client timeout, and before a planned end of this
// controller, so that who cannot be done by then is told at once and can try another.
func (r *Router) endBy(c *command) float64 {
	return min(c.timeout, r.stopAt) - roundsToEnd*r.guards.EventInterval - 5
}

// spent tells that no further send of c can ever be allowed.
func (r *Router) spent(c *command) bool {
	p := c.profile
	return len(c.sends) >= r.allowed.MaxAttempts || c.doubt != nil && (p.Effect == NonIdempotent ||
		p.Effect == Deduplicated && r.now > p.repeatBy(c.doubtAt))
}

// repeatBy is the latest that a repeat may go out of what first did at a time, for engines to know it as one.
func (p *profile) repeatBy(first float64) float64 { return first + p.DeduplicationWindow - netSlack }

// budgetAllows counts resends over a little more, and commands taken over a little less, than the window.
func (r *Router) budgetAllows() bool {
	g := r.guards
	return !g.RetryBudgeted || r.resends.since(r.now-g.RetryBudgetWindow-netSlack)+1 <=
		g.RetryBudgetMin+g.RetryBudgetRatio*r.taken.since(r.now-g.RetryBudgetWindow+netSlack)
}

// coldPart is this controller's part of what a cold engine may be sent within the window, as if it had its
// least stated capacity until warm and all used theirs. Where an equal part is under a command, controllers
// take turns by number, engine and time since its start, at parts for small, middling and large commands.
func (r *Router) coldPart(e *engine) float64 {
	g := r.guards
	if r.now > e.since+g.SlowStartTime+netSlack || g.SlowStartOverload <= 0 {
		return math.Inf(1)
	}
	whole := coldShareUsed * g.SlowStartOverload * g.SlowStartCapacity * e.cores * g.SlowStartWindow
	if whole >= coldParts[0]*r.controllers {
		return whole / r.controllers
	}
	whole /= coldSpans + 1 // a window touches so many stretches
	stretch := uint64(max(0, r.now-e.since) * coldSpans / (g.SlowStartWindow + 2*netSlack))
	turns := math.Ceil(r.controllers / max(1, math.Floor(whole/coldParts[stretch%uint64(len(coldParts))])))
	if (e.hash+uint64(r.number)+stretch/uint64(len(coldParts)))%uint64(turns) != 0 {
		return 0
	}
	return whole / math.Ceil(r.controllers/turns)
}

func (r *Router) coldAllows(c *command, e *engine) bool {
	part, from := r.coldPart(e), r.now-r.guards.SlowStartWindow-netSlack // what an earlier life sent is not known
	return math.IsInf(part, 1) || r.born <= from && e.coldSent.since(from)+c.coldWork(r.now) <= part
}

// beginBy is when a send of c to e must have gone out at the latest; 0: at any time. A connection may come up
// late: a repeat could pass its window meanwhile, a drain could count as told, and what counts in one window
// of cold engines or of the budget could fall into the next. Harm: some that would have gone well go anew.
func (r *Router) beginBy(c *command, e *engine) float64 {
	by := math.Inf(1)
	if c.doubt != nil && c.profile.Effect == Deduplicated {
		by = c.profile.repeatBy(c.doubtAt)
	}
	if r.expired > 0 {
		by = min(by, e.tookAt+r.expired)
	}
	if len(c.sends) > 0 && r.guards.RetryBudgeted || !math.IsInf(r.coldPart(e), 1) {
		by = min(by, r.now+netSlack)
	}
	if math.IsInf(by, 1) {
		return 0
	}
	return by
}

// mayShed tells whether the client may be told that trying again is harmless.
func (r *Router) mayShed(c *command) bool {
	p, doubt := c.profile, c.doubt != nil || c.out > 0
	return p.Effect == Idempotent || !doubt || p.Effect == Deduplicated && p.Scope == ScopeAll
}

// The engine view.

const (
	judgeOver, judgeLeast  = 8, 3          // last outcomes to judge an engine by; fewer successes: unwell
	firstTrial, longTrial  = 250.0, 2000.0 // ms until an unwell engine's trial send; doubled by failures
	goodFor                = 5000.0        // ms for which a profile's own success speaks for an unwell engine
	reportLife             = 1000.0        // ms over which reports are smoothed
	othersLife             = 5000.0        // ms over which what an engine was told to hold gives way to the mean
	slowLife, slowLongest  = 4.0, 10000.0  // its pace is learned over so many times own commands' distance
	reportStale            = 4000.0        // ms after which a report no longer counts
	mostUtil, mostEach     = 2.0, 100.0    // that may be true: busy cores over all; commands a core
	probePace, probeMost   = 400.0, 1000.0 // ms between probes of an engine: by all, by one at most
	askOver                = 1200.0        // ms from which a report is asked for anew ahead of a send
	probeShare, probeSaved = 1.0, 10.0     // probes a command; saved up, half for asking ahead of a send
	askAgain, spareCores   = 1000.0, 8.0   // ms, and up to as much again; for a kind not named
)

func (e *engine) well() bool { return bits.OnesCount64(e.outcomes<<(64-judgeOver)) >= judgeLeast }

// judge takes in an outcome, of probes too, against engines that died or hang. Harm: a short spell idles one.
func (e *engine) judge(now float64, good bool) {
	if e.outcomes <<= 1; good {
		e.outcomes, e.retryWait = e.outcomes|1, firstTrial
	} else {
		e.retryAt, e.retryWait = now+e.retryWait, min(longTrial, 2*e.retryWait)
	}
}

// mark takes in how a send did. Two failures of a profile in a row rest it there, its success speaks for it
// where others fail: against engines that fail one profile alone, and were left out by all, or by none.
func (r *Router) mark(c *command, s *sendState, good bool) {
	t := s.engine.turned(c.profile)
	if s.engine.judge(r.now, good); good {
		t.took(r.now, s.at, fullRest)
	} else if t.bad {
		t.away(r.now, s.at, fullRest, fullLongest)
	}
	t.bad, s.failed = !good, s.failed || !good
}

// ramp is the share of its capacity that a cold engine is taken to have.
func (r *Router) ramp(e *engine) float64 {
	return r.guards.SlowStartCapacity + (1-r.guards.SlowStartCapacity)*min(1, max(0, r.now-e.since)/max(1, r.guards.SlowStartTime))
}

// listed takes in news of the list; a failed question is asked again before the old list counts as told.
func (r *Router) listed(ev EndpointsUpdated) {
	if r.subscribed = !ev.Failed && (r.subscribed || !ev.Cached); ev.Failed {
		r.askAt = r.now + askAgain*(1+r.rng.Float64())
		return
	}
	r.enlist(ev)
	for k := range r.owners {
		r.settle(k)
	}
}

// recalled takes in what is remembered. Engines go back to the owners of the table groups that they had; they
// merge and move only by loads that are known: at first all are none, and lone engines would be shared.
func (r *Router) recalled(l Statistics) {
	if r.recall(l); len(l.Tables) > 0 {
		r.moveAt = max(r.moveAt, r.now+period)
		for k := range r.owners {
			r.repack(k)
		}
	}
}

// portion is this controller's part of the traffic, by what engines hold; first, weighing 200, an equal one.
func (r *Router) portion() float64 {
	if r.controllers == 1 {
		return 1
	}
	return min(1, max(0.2/r.controllers, r.share.mean(r.now, 1/r.controllers, 200)))
}

// ask has an engine probed, in relation to commands: by time, a hundred controllers would probe all day.
func (r *Router) ask(e *engine) bool {
	if !r.allowed.HealthChecks || e.probing || r.credit < 1 {
		return false
	}
	r.credit, e.probing, r.asked = r.credit-1, true, append(r.asked, e)
	e.probeAt = r.now + min(probeMost, probePace*r.controllers)*(0.9+0.2*r.rng.Float64())
	return true
}

// plausible tells whether a report may be true: figures that no engine can mean change nothing.
func plausible(l *LoadReport, e *engine) bool {
	return l.Utilization <= mostUtil && l.Inflight <= mostEach*e.cores
}

// load is the design's, with its fallbacks in order.
func (r *Router) load(e *engine) float64 {
	if e.reportAt == 0 || r.now-e.reportAt > reportStale {
		return float64(e.out) / e.cores / r.portion()
	}
	if e.util.n > 0 {
		return max(e.util.mean(r.now, 0, 0), e.disk.mean(r.now, 0, 0))
	}
	return (float64(e.out) + e.others.mean(r.now, 0, 0)) / e.cores
}

// Footprints and packing.

const (
	reserve, blindShare = 0.1, 0.5 // of memory: left free by packing; taken as used without estimates
	demandLife          = 10000.0  // ms over which demand and footprints are learned
)

// footprints are mean memory times commands running at once, over all controllers and one kind's part of the
// fleet: by Little's law, memory times time for each millisecond. Without estimates all groups are alike.
func (r *Router) footprints(k int) map[*tableGroup]float64 {
	sizes, total, n := map[*tableGroup]float64{}, 0.0, float64(len(r.ready(k)))
	for _, g := range r.groups {
		total += g.held.rate(r.now)
	}
	for _, g := range r.groups {
		if sizes[g] = g.held.rate(r.now) / r.portion() * n / float64(len(r.order)); total == 0 {
			sizes[g] = blindShare * r.kinds[k].MemoryMB * n / float64(len(r.groups))
		}
	}
	return sizes
}

// pack is Best Fit Decreasing; a group too large for any engine stands alone.
func pack(groups []*tableGroup, size map[*tableGroup]float64, room float64) (bins [][]*tableGroup) {
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b *tableGroup) int { return cmp.Compare(size[b], size[a]) })
	var left []float64
	for _, g := range sorted {
		best := -1
		for i := range bins {
			if left[i] >= size[g] && (best < 0 || left[i] < left[best]) {
				best = i
			}
		}
		if best < 0 {
			bins, left, best = append(bins, nil), append(left, room), len(bins)
		}
		bins[best], left[best] = append(bins[best], g), left[best]-size[g]
	}
	return bins
}

const (
	period, moveMargin = 2000.0, 1.25 // ms between moves, and the margin for one
	hotWeight          = 3.0          // times its demand that a table group said to be hot counts when packed
	fastMargin         = 2.5          // the busiest so far over the lowest future load: counts are solved
	underused          = 0.25         // load of a lone engine that may be shared
	tablesLife         = 60000.0      // ms for which a table group is kept that nobody names
)

func (r *Router) each(o *owner) float64 { return r.demand(o) / float64(max(1, o.want)) }

// apportion makes the counts wanted sum to n, one at least each, by what demand leaves for each engine.
func (r *Router) apportion(owners []*owner, n int) {
	for _, o := range owners {
		o.want = max(1, o.want)
		n -= o.want
	}
	for ; n > 0; n-- {
		slices.MaxFunc(owners, func(a, b *owner) int { return cmp.Compare(r.each(a), r.each(b)) }).want++
	}
	for ; n < 0; n++ {
		after := func(o *owner) float64 { return r.demand(o) / (float64(o.want) - 1) }
		slices.MinFunc(owners, func(a, b *owner) int { return cmp.Compare(after(a), after(b)) }).want--
	}
}

// allot hands the engines of a kind out as wanted. An engine stays where its tables are warm, else goes by a
// leaning that all controllers share. Who gives up engines chooses first, so that one move moves one engine.
func (r *Router) allot(k int, owners []*owner) {
	free, turn := r.ready(k), slices.Clone(owners)
	r.apportion(owners, len(free))
	growth := func(o *owner) int { return o.want - len(o.engines) }
	slices.SortStableFunc(turn, func(a, b *owner) int { return growth(a) - growth(b) })
	for _, o := range turn {
		fits := map[*engine]float64{}
		for _, g := range o.groups() {
			weight, home := g.demand.rate(r.now)+1e-9, g.homes[k]
			for _, e := range free {
				if fits[e] += weight * likes(g, e); home != nil && slices.Contains(home.engines, e) {
					fits[e] += weight
				}
			}
			g.homes[k] = o
		}
		slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(fits[b], fits[a]) })
		o.engines, free = slices.Clone(free[:o.want]), free[o.want:]
		for _, e := range o.engines {
			e.owner = o
		}
	}
	r.owners[k] = owners
}

func (r *Router) repack(k int) {
	r.owners[k] = nil
	for _, bin := range pack(r.groups, r.footprints(k), r.kinds[k].MemoryMB*(1-reserve)) {
		r.owners[k] = append(r.owners[k], &owner{packs: [][]*tableGroup{bin}})
	}
	r.settle(k)
}

// join gives a new group to the owner with least demand for each engine.
func (r *Router) join(k int, g *tableGroup) {
	if len(r.owners[k]) == 0 {
		r.owners[k] = []*owner{{packs: make([][]*tableGroup, 1)}}
	}
	o := slices.MinFunc(r.owners[k], func(a, b *owner) int { return cmp.Compare(r.each(a), r.each(b)) })
	if o.packs[0], g.homes[k] = append(o.packs[0], g), o; len(o.engines) == 0 {
		r.settle(k)
	}
}

// settle mends ownership after a change: surplus light packs share as merged, who has engines keeps them.
func (r *Router) settle(k int) {
	owners, ready := r.owners[k], r.ready(k)
	if len(ready) == 0 || len(r.groups) == 0 {
		return
	}
	asks := map[*owner]float64{}
	for len(owners) > len(ready) {
		last := len(owners) - 1
		if len(asks) == 0 {
			for _, o := range owners {
				asks[o] = r.demand(o)
			}
			slices.SortStableFunc(owners, func(a, b *owner) int { return cmp.Compare(asks[b], asks[a]) })
		}
		for i := last; i > 0 && asks[owners[i-1]] < asks[owners[i]]; i-- { // who shares by now asks for more
			owners[i-1], owners[i] = owners[i], owners[i-1]
		}
		owners[last-1].packs = append(owners[last-1].packs, owners[last].packs...)
		asks[owners[last-1]], owners = r.demand(owners[last-1]), owners[:last]
	}
	for _, o := range owners {
		o.engines = slices.DeleteFunc(o.engines, func(e *engine) bool { return !slices.Contains(ready, e) })
		o.want = len(o.engines)
	}
	r.allot(k, owners)
}

// future is the load of an owner that gives up an engine; one that can't is never the lowest.
func (r *Router) future(o *owner) float64 {
	if n := float64(len(o.engines)); n > 1 {
		return r.mean(o) * n / (n - 1)
	}
	return math.Inf(1)
}

// rebalance is the design's period for one kind: split, fast solve, move or merge.
func (r *Router) rebalance(k int) {
	owners := r.owners[k]
	if len(owners) == 0 || len(r.ready(k)) < len(owners) {
		return
	}
	busy := slices.MaxFunc(owners, func(a, b *owner) int { return cmp.Compare(r.mean(a), r.mean(b)) })
	donor := slices.MinFunc(owners, func(a, b *owner) int { return cmp.Compare(r.future(a), r.future(b)) })
	var lone []*owner
	total, high, low := 1e-9, r.mean(busy), r.future(donor)
	for _, o := range owners {
		total += r.mean(o) * float64(len(o.engines))
		if len(o.engines) == 1 && o != busy && r.mean(o) < underused {
			lone = append(lone, o)
		}
	}
	switch {
	case donor != busy && high >= moveMargin*low && len(busy.packs) > 1 && len(busy.engines) == 1:
		owners = append(owners, &owner{packs: busy.packs[:1:1], want: 1}) // who shares parts when busiest
		busy.packs = busy.packs[1:]
		donor.want--
	case donor != busy && high >= fastMargin*low: // equal load, rounded towards the present counts
		for _, o := range owners {
			n := float64(len(o.engines))
			o.want = max(1, o.want+int(r.mean(o)*n/total*float64(len(r.ready(k)))-n))
		}
	case donor != busy && high >= moveMargin*low:
		donor.want--
		busy.want++
	case len(lone) > 1:
		lone[0].packs = append(lone[0].packs, lone[1].packs...)
		owners = slices.DeleteFunc(owners, func(o *owner) bool { return o == lone[1] })
		busy.want++
	default:
		return
	}
	r.allot(k, owners)
}

// Thread bound.

const (
	startWidth, leastWidth, mostWidth = 2.0, 1.5, 2.5 // threads a core
	nearBest, farFrom                 = 1.8, 3.0      // time over time alone: widens up to one, cut from other
	widenBy, bestOver                 = 0.5, 25.0     // threads for each answer; answers behind a best time
	cutBy, cutEvery                   = 0.85, 400.0   // and ms between cuts
	bestDrift                         = 1.0001        // with each answer: who grew slower is not held to it
	hearsayFor, hearsayOver           = 10000.0, 5.0  // ms for which memory stands unanswered; answers to refute it
)

func (r *Router) bound(e *engine) float64 { return e.width * e.cores * r.ramp(e) * r.portion() }

// learn takes in the time of an answered send: what the profile takes alone, and by it the engine's bound.
func (r *Router) learn(c *command, e *engine, ev AttemptEnded) {
	p, unit := c.profile, c.profile.unitOf(c, r.now)
	if p.told(r.now, c, ev) {
		unit = max(1, ev.Work/p.Threads)
	}
	p.work.add(r.now, cmp.Or(ev.Work, c.stated, ev.Elapsed*p.Threads), 1)
	p.unit.add(r.now, ev.Elapsed/unit, 1)
	m := p.unit.mean(r.now, 0, 0)
	if p.hearsayAt > 0 && p.unit.n > hearsayOver && (m > farFrom*p.best || m < p.best/farFrom) {
		p.unlearn() // commands have become others than they are remembered
	}
	if p.unit.n > bestOver {
		p.best, p.hearsayAt = cmp.Or(min(p.best*bestDrift, m), m), 0
	} else if p.hearsayAt > 0 {
		p.hearsayAt = r.now
	}
	if p.best > 0 {
		e.slow.add(r.now, min(20, ev.Elapsed/(p.best*unit)), 1)
		p.run.add(r.now, math.Log(max(1, ev.Elapsed/(p.best*unit))), 1)
	}
	slow, bound := e.slow.mean(r.now, 1, 1), r.bound(e)
	if slow < nearBest && e.threads+p.Threads >= 0.7*bound {
		e.width = min(mostWidth, e.width*(1+widenBy/max(1, bound)))
	} else if slow > farFrom && r.now-e.cutAt > cutEvery {
		e.width, e.cutAt = max(leastWidth, e.width*cutBy), r.now
	}
}

// Release, choice and spill.

const (
	roomy                   = 0.75        // filled up to this share an engine takes what others can't
	leaning                 = 1.0         // weight of a table group's fixed leaning, in threads a core
	heldTable, heldFor      = 4.0, 1500.0 // the same of a load that holds the tables; ms that its note counts
	crowdedFrom             = 2.0 / 3     // of the engines, on which loads hold the same tables
	fullRest, fullLongest   = 200.0, 1e3  // ms of rest of a profile at an engine that turned it away
	overhang                = 3.0         // threads past its part that a controller may run by reports of room
	threadsEach, memoryMost = 1.2, 0.9    // of a command of others; share granted that stops sends
	scanMost                = 100         // held commands that one step tries
)

// hasRoom is the thread bound, for the engine and pooled over all: a small controller's part of one engine is
// less than a command, of which one may always run, and the last may overhang. Its part of all is coarse too:
// it may go a little past it where a report tells of room, and nothing goes where one tells of no memory.
func (r *Router) hasRoom(c *command, e *engine, fill float64) bool {
	told, pool, room, t := r.now-e.reportAt < reportStale, r.pool, fill*r.bound(e), e.turned(c.profile)
	if room < 1 && !math.IsInf(r.coldPart(e), 1) { // a cold one's guard is its part
		pool, room = math.Inf(1), room/r.portion()
	} else if told && r.filled(e) < roomy*startWidth {
		pool += overhang
	}
	return r.now >= t.until && (e.well() || t.good(r.now-goodFor) || e.out == 0 && r.now >= e.retryAt) &&
		(r.out == 0 || r.threads <= pool && (e.out == 0 || e.threads <= room) && (!told || e.granted <= memoryMost))
}

// filled is the threads a core that an engine is taken to run, own and others', by its reports.
func (r *Router) filled(e *engine) float64 {
	others := e.others.mean(r.now, e.cores*r.busy.mean(r.now, 0, 1), 0.5)
	return (e.threads + threadsEach*others) / (e.cores * r.ramp(e))
}

// pressure ranks engines for a command: how filled and slow they are, loads that hold its tables, leaning.
func (r *Router) pressure(c *command, e *engine) float64 {
	x := (r.filled(e) + c.profile.Threads/(e.cores*r.ramp(e))) * max(1, e.slow.mean(r.now, 1, 1)/nearBest)
	x += heldTable * r.against(c, e) // who would stand still behind a load finds another engine
	if !c.profile.LocksTables {      // those don't meet, or they would stand still behind each other
		x += leaning * (1 - likes(c.tables, e))
	}
	return x
}

// against is what is known against c on e: loads that it would stand still behind, its sends that failed
// there.
func (r *Router) against(c *command, e *engine) float64 {
	if p := c.profile; p.LocksTables || p.WaitsForTables {
		return e.holds(c.tables, r.now) + c.failedAt(e)
	}
	return c.failedAt(e)
}

// crowded tells whether loads hold c's tables on so many engines that another goes where they are held: it
// waits its turn there, and who waits for tables finds engines where it need not. Against traffic that meets
// on few tables, whose loads would hold them everywhere. Harm: loads queue up, and more of them are late.
func (r *Router) crowded(c *command) bool {
	held, all := 0.0, 0.0
	for _, e := range r.order {
		if e.state == Ready && e.well() {
			if all++; e.holds(c.tables, r.now) > 0 {
				held++
			}
		}
	}
	return c.profile.LocksTables && held > 0 && held >= crowdedFrom*all
}

// choose finds the engine for c: the least pressed of its owners' with room, else a roomy one anywhere.
func (r *Router) choose(c *command) (best *engine) {
	least, crowded := math.Inf(1), r.crowded(c)
	consider := func(engines []*engine, fill float64) {
		for _, e := range engines {
			x := r.pressure(c, e)
			goes := !crowded || e.holds(c.tables, r.now) > 0
			if x < least && goes && r.hasRoom(c, e, fill) && r.mayGo(c, e) {
				best, least = e, x
			}
		}
	}
	for _, o := range c.tables.homes {
		if o != nil {
			consider(o.engines, 1)
		}
	}
	if best == nil || r.against(c, best) > 0 {
		consider(r.order, roomy)
	}
	return best
}

// release lets the held go, earliest client timeout first.
func (r *Router) release() {
	tried := 0
	r.held = slices.DeleteFunc(r.held, func(c *command) bool {
		if c.over || c.wantEnd != open || tried >= scanMost || !r.mayStart(c) {
			return c.over || c.wantEnd != open
		}
		if tried++; r.unwise(c) {
			r.end(c)
			return true
		}
		e, p := r.choose(c), c.profile
		if e == nil || r.now-e.reportAt > askOver && (e.probing || r.now > e.probeAt && r.ask(e)) {
			return false
		}
		e.turned(p).try(r.now)
		r.setAlarm(r.now+r.quiet(), c)
		r.book(c, e, c.need*p.needScale.mean(r.now, 1, 3), c.coldWork(r.now), r.beginBy(c, e))
		return true
	})
}

// Resend, cancel, shed.

const (
	quietPaces, noteWeight = 1.6, 0.5   // notes come within 1.5 paces; a first note against an answer
	badPlan, badPlanGap    = 4.0, 1.5   // a plan is bad from so many times its time here, so much of it left
	sizeCut, sizeGrow      = 0.9, 1.005 // the limit between the next two: at a miss, each tendEvery

	mostSize, leastSize = 64.0, 4.0   // times the usual work that a command may have: at ease, when short
	shareOver, shortFor = 1.2, 1000.0 // times a tenant's share that passes as it; ms that a jam lasts
	patience, retryLeft = 0.997, 0.95 // how what first tries leave falls by command; retries leave less
	runOver, leastHold  = 1.2, 0.5    // over what commands took lately; of the latency target
	linedMost           = 0.75        // of what a client names, that may have passed in a line at the client
	lateShare           = 0.5         // who keeps this much of its benefit when late is held past its target
)

// startBy is the latest that c may start and be worth its work, if it runs as alone: later it could only miss
// its latency target or, where late answers keep most of their benefit, its client timeout.
func (r *Router) startBy(c *command) float64 {
	p, alone := c.profile, c.profile.alone(c, r.now)
	if p.LateBenefit >= lateShare {
		return r.endBy(c) - 1.5*alone
	}
	return min(c.asked+p.LatencyObjective+p.ObjectivePerWork*alone, r.endBy(c)) - alone
}

// giveUpAt is when a held command is given up: as startBy, but by how long such commands run lately, or
// overload would send all at the last moment. A part of its target is waited: one slow answer shuts none out.
func (r *Router) giveUpAt(c *command) float64 {
	p, by := c.profile, r.startBy(c)
	return max(by-max(0, runOver*p.runs(c, r.now)-p.alone(c, r.now)), min(by, c.asked+leastHold*p.LatencyObjective))
}

// runs is the time that c takes as such commands run lately.
func (p *profile) runs(c *command, t float64) float64 {
	return math.Exp(p.run.mean(t, 0, 1)) * p.alone(c, t)
}

// tooFar tells whether c stands so far back in the line of a key that its turn can't come in time.
func (r *Router) tooFar(c *command) bool {
	ahead, most := 0.0, r.startBy(c)-r.now
	for _, l := range c.lines {
		sum := 0.0
		for _, o := range l.cmds {
			if o == c || sum > most {
				break
			}
			if o.profile.best > 0 || o.estimate > 0 {
				sum += o.profile.runs(o, r.now)
			}
		}
		ahead = max(ahead, sum)
	}
	return ahead > 0 && r.now+ahead > r.startBy(c)
}

// unwise tells whether c asks for more than it is worth now. In a jam, who can only be late, who is past its
// tenant's share and the largest of a profile make room. Against overload, costs and tenants that swing, and
// retries, which by early client timeouts go before first tries. Harm: a few are shed that could have run.
func (r *Router) unwise(c *command) bool {
	p := c.profile
	return len(c.sends) == 0 && (r.now < r.jamUntil && (c.overShare || r.now > r.startBy(c)) || c.estimate > 0 &&
		(r.now > r.endBy(c)-p.alone(c, r.now) || p.unitOf(c, r.now)*p.Threads > r.sizeCap*p.usualWork(r.now)))
}

// end gives c its final answer at once: it is never parked to keep its client from asking again.
func (r *Router) end(c *command) {
	if c.over || c.begun || c.wantEnd != open {
		return
	}
	c.wantEnd, c.wantCancel = failed, true
	if r.mayShed(c) {
		c.wantEnd = shed
	}
	r.touch(c)
}

// comeBack is how long a client that is shed should stay away: long, and not all together.
func (r *Router) comeBack() float64 { return r.allowed.MaxRetryAfter * (0.5 + 0.5*r.rng.Float64()) }

func (r *Router) arrived(ev QueryArrived) {
	p := r.profiles[ev.Class]
	ev.TimeLeft = min(ev.TimeLeft, p.ClientTimeout) // a stranger may claim any
	c := r.enrol(ev)
	c.timeout -= min(ev.ClientQueueTime, linedMost*ev.TimeLeft)
	r.credit = min(probeSaved, r.credit+probeShare)
	if p.fullLeft = max(p.fullLeft*patience, ev.TimeLeft); ev.TimeLeft < p.fullLeft*retryLeft { // a retry, it seems
		c.asked -= max(0, p.ClientTimeout-ev.TimeLeft)
	}
	if t := c.tenant; t != nil && t.QueriesPerSecond > 0 { // past its share here, so many commands are worth little
		c.overShare = r.rng.Float64()*t.took.rate(r.now) > t.QueriesPerSecond/1000*r.portion()*shareOver
	}
	if ev.Hot && c.tables.known && !c.tables.hot { // of groups that are there; loads take over from then on
		c.tables.hot, r.packed = true, false
	}
	c.tables.demand.add(r.now, min(p.alone(c, r.now), p.ClientTimeout)*p.Threads, 1)
	if r.tooFar(c) {
		r.end(c)
		return
	}
	r.setAlarm(r.endBy(c), c)
	r.held = insert(r.held, c, byTimeout)
}

func (r *Router) ended(ev AttemptEnded) {
	c, s := r.sendOf(ev.ID, ev.Attempt)
	if s == nil {
		return
	}
	r.unbook(c, s, ev)
	r.report(s.engine, ev.Load)
	switch ev.Outcome {
	case Succeeded:
		r.mark(c, s, true)
		for _, o := range c.sends {
			if o.erred && o.engine != s.engine { // on what another can do
				o.engine.turned(c.profile).away(r.now, o.at, fullRest, fullLongest)
			}
		}
		r.missed = r.missed || r.now > c.asked+c.profile.LatencyObjective+c.profile.ObjectivePerWork*c.profile.alone(c, r.now)
		r.learn(c, s.engine, ev)
	case EngineFull, NotSent: // sending on would use up the sends of commands, and others may fare well there
		s.engine.turned(c.profile).away(r.now, s.at, fullRest, fullLongest)
		s.engine.width = max(leastWidth, s.engine.width*cutBy)
	case Errored, ConnectFailed, ConnectionReset, TimedOut: // an error may be the command's own fault, unless another answers it
		if s.erred = ev.Outcome == Errored && c.profile.Effect != NonIdempotent; !s.erred {
			r.mark(c, s, false)
		}
	}
	if c.over || c.wantEnd != open || c.begun || c.out > 0 || s.lost {
		return
	}
	if r.held = insert(r.held, c, byTimeout); r.now >= r.endBy(c) || r.spent(c) {
		r.end(c)
	}
}

// noted cancels a plan drawn badly, or a send on an engine that has all but stopped. Harm: work is lost of
// a command that is truly large, so it acts only with an estimate.
func (r *Router) noted(ev AttemptProgress) {
	c, s := r.sendOf(ev.ID, ev.Attempt)
	if s == nil {
		return
	}
	first := s.word == s.at
	if s.word = r.now; ev.Kind == ProgressWaitsForTables {
		s.engine.heldUntil[c.tables] = r.now + heldFor
	}
	alone, passed := c.profile.alone(c, r.now), r.now-s.at
	total, should := passed/max(ev.Value, 0.01), alone*max(1, s.engine.slow.mean(r.now, 1, 1))
	if ev.Kind != ProgressDone || ev.Value < 0 || ev.Value > 1 { // or no share that an engine can mean
		return
	}
	if c.profile.best > 0 && first {
		s.engine.slow.add(r.now, noteWeight*min(20, total/alone), noteWeight)
	}
	if c.estimate > 0 && !c.over && c.profile.Effect == Idempotent && !r.spent(c) && r.budgetAllows() &&
		total > badPlan*should && total-passed > badPlanGap*should {
		c.wantCancel = true
		r.touch(c)
	}
}

func (r *Router) quiet() float64 { return quietPaces*r.allowed.ProgressInterval + netSlack }

// look is what a command's alarm asks for: its end or, if a send has gone quiet, another. Against answers
// that are lost and engines that hang, though they answer probes. Harm: if only notes are lost it runs twice.
func (r *Router) look(c *command) {
	if r.now >= r.endBy(c) {
		r.end(c)
	}
	for i := range c.sends {
		s, p := &c.sends[i], c.profile
		if c.over || c.begun || c.wantEnd != open || !s.out || s.lost || s.cancelled {
			continue
		}
		again := p.Effect == Idempotent || p.Effect == Deduplicated && r.now < p.repeatBy(s.at)
		if quiet := s.word + r.quiet(); r.now < quiet {
			r.setAlarm(quiet, c)
		} else if again && len(c.sends) < r.allowed.MaxAttempts && r.budgetAllows() {
			r.mark(c, s, false)
			if r.allowed.Cancel {
				c.wantCancel = true
				r.touch(c)
			} else if r.allowed.Hedging {
				r.lose(c, s)
				r.held = insert(r.held, c, byTimeout)
			}
		}
	}
}

// The step.

const tendEvery = 50.0 // ms between looks at held commands, probes and the period

// Step takes in what happened by now and returns what to do.
func (r *Router) Step(now float64, events []Event) []Action {
	r.setClock(now)
	for _, ev := range events {
		r.take(ev)
	}
	for c := r.due(); c != nil; c = r.due() {
		r.look(c)
	}
	if now >= r.tendAt {
		r.tend()
	}
	r.release()
	return r.emit()
}

// tend is what goes by time: it gives up held commands, keeps the period and asks for news.
func (r *Router) tend() {
	r.tendAt = r.now + tendEvery
	if r.sizeCap = min(mostSize, r.sizeCap*sizeGrow); r.missed {
		r.sizeCap, r.missed = max(leastSize, r.sizeCap*sizeCut), false
	}
	for _, p := range r.profiles { // too long a time would shed all, and so never be corrected
		if p.hearsayAt > 0 && r.now > p.hearsayAt+hearsayFor {
			p.unlearn()
		}
	}
	for _, c := range r.held {
		if r.now > r.giveUpAt(c) {
			if r.missed = true; c.asked == c.arrived { // of late retries alone, shedding them would keep a jam up
				r.jamUntil = r.now + shortFor
			}
			r.end(c)
		}
	}
	if r.now >= r.moveAt {
		r.moveAt = r.now + period
		r.forgetTables(r.now-tablesLife, r.now-period)
		pack := !r.packed && r.firstAt > 0 && r.now >= r.firstAt+period
		r.packed = r.packed || pack
		for k := range r.owners {
			if pack {
				r.repack(k)
			}
			r.rebalance(k)
		}
	}
	if r.allowed.PollEndpoints && !r.subscribed && r.now >= r.askAt {
		r.askAt, r.wantList = r.now+max(askAgain, r.guards.PollWithin/3), true
	}
	r.pool, r.cores = 0, 0
	for _, e := range r.order {
		e.slow.life = min(slowLongest, max(reportLife, slowLife*float64(len(r.order))/(r.rate.rate(r.now)+1e-9)))
		if e.state == Ready {
			r.cores += e.cores // a cold one that may get nothing is no room
			if slices.ContainsFunc(r.profiles, func(p *profile) bool { return p.usualWork(r.now) < r.coldPart(e) }) {
				r.pool += r.bound(e)
			}
			if r.now >= e.probeAt && r.credit > probeSaved/2 {
				r.ask(e)
			}
		}
	}
	r.forgetOld()
}
