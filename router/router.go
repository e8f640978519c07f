// This file holds every decision of a controller, all its tables and tuned values. A caller makes one Router with
// New and hands each batch of events to Step, from one goroutine; the actions it gets back are to be carried out in
// order. The interface (ids, facts, events, actions) is types.go beside this file.
//
// It reads top down: measures; commands and the rules' guards; the engine view; footprints and packing; ownership;
// thread bound; release, choice and spill; resend, cancel, shed; and last the step that diffs wanted and present.
package router

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
)

// decay is a pair of sums that halve every life milliseconds, brought up to date when read.
type decay struct{ life, at, sum, n float64 }

func (d *decay) fade(now float64) {
	if now > d.at {
		f := math.Exp2((d.at - now) / d.life)
		d.sum, d.n, d.at = d.sum*f, d.n*f, now
	}
}

func (d *decay) add(now, x, n float64) { d.fade(now); d.sum += x; d.n += n }

// mean leans on a prior that counts as much as weight of what was added.
func (d *decay) mean(now, prior, weight float64) float64 {
	d.fade(now)
	if d.n+weight < 1e-9 {
		return prior
	}
	return (d.sum + prior*weight) / (d.n + weight)
}

// rate is what was added for each millisecond, over about the last life.
func (d *decay) rate(now float64) float64 { d.fade(now); return d.sum * math.Ln2 / d.life }

// Commands and the rules' guards.

type ending int

const (
	open ending = iota
	shed
	failed
)

// attempt is one send of a command.
type attempt struct {
	engine             *engine
	at                 float64
	out, cancelled     bool
	threads, mem, work float64
}

// command is one that is owed an answer, or has a send without an outcome. The want fields are the wanted state;
// emit alone compares them with the rest.
type command struct {
	id               CommandID
	profile          *profile
	tables           *tableGroup
	tenantOver       bool
	key              OrderKey
	arrived, timeout float64
	estimate, need   float64
	sends            []attempt
	out              int
	over, begun      bool
	doubtAt          float64 // when the first send left that may have run; 0: none did
	doubt            *engine
	priority         int // as last told
	grant            float64
	wantEngine       *engine
	wantEnd          ending
	wantCancel       bool
	wantPriority     int
	wantGrant        float64
	touched          bool
}

// profile is what is stated of a profile with what was learned of it.
type profile struct {
	Profile
	best      float64 // least mean of the time taken over the unit, lately: how it runs alone
	unit      decay   // time taken over the unit
	work      decay   // what a command needs on one thread
	workScale decay   // true work over estimate
	needScale decay   // true memory over estimate
}

// unitOf is the time that c's estimate gives it alone; without one all commands of a profile count as alike.
func (p *profile) unitOf(c *command, now float64) float64 {
	if c.estimate <= 0 {
		return 1
	}
	return max(1, c.estimate*p.workScale.mean(now, 1, 2)/p.Threads)
}

// alone is the time that c would take on an idle engine, as far as is known.
func (p *profile) alone(c *command, now float64) float64 {
	if p.best > 0 {
		return p.best * p.unitOf(c, now)
	}
	if c.estimate > 0 {
		return p.unitOf(c, now)
	}
	return p.Target / 2
}

// usualWork is what a command of the profile needs on one thread, leaning high while little is known: it guards cold
// engines, where too low a guess breaks a rule.
func (p *profile) usualWork(now float64) float64 { return p.work.mean(now, p.Timeout/3, 1) }

// line is the queue of one order key. rest is when its next command may start after a doubtful outcome.
type line struct {
	cmds []*command
	rest float64
}

// stamps are times within a sliding window.
type stamps struct {
	at, amount []float64
	total      float64
}

func (s *stamps) add(at, amount float64) {
	s.at, s.amount, s.total = append(s.at, at), append(s.amount, amount), s.total+amount
}

func (s *stamps) since(from float64) float64 {
	for len(s.at) > 0 && s.at[0] < from {
		s.total -= s.amount[0]
		s.at, s.amount = s.at[1:], s.amount[1:]
	}
	if len(s.at) == 0 {
		s.total = 0
	}
	return s.total
}

// netSlack covers the way to an engine and the simulated tick: what is due by a time is done this much earlier.
const netSlack = 60

// answerSlack is how long before the client timeout a command is ended: two rounds and a little for the timer.
func (r *Router) answerSlack() float64 { return 2*r.guards.Round + 5 }

// mayGo tells whether c may be sent to e now. Every send passes it, the first and all further ones: it alone keeps
// the rules on drains, repeats, cold engines, order, placement and the sends budget.
func (r *Router) mayGo(c *command, e *engine) bool {
	p := c.profile
	if c.over || c.wantEnd != open || e.state != Ready || r.now > c.timeout-r.answerSlack() {
		return false
	}
	if p.Kinds != nil && !slices.Contains(p.Kinds, e.kind) || p.Zones != nil && !slices.Contains(p.Zones, e.zone) {
		return false
	}
	return r.mayStart(c) && (c.doubtAt == 0 || p.Effect == Replayable || p.sameScope(c.doubt, e)) &&
		r.coldAllows(c, e)
}

// mayStart is the part of mayGo that is the same for all engines.
func (r *Router) mayStart(c *command) bool {
	if l := r.lines[c.key]; l != nil && c.profile.InOrder && c.key != "" {
		if l.cmds[0] != c || len(c.sends) == 0 && r.now < l.rest {
			return false
		}
	}
	return c.out == 0 && len(c.sends) < r.allowed.MaxSends && !r.spent(c) && (len(c.sends) == 0 || r.budgetAllows())
}

// spent tells that no further send of c can ever be allowed by its effect.
func (r *Router) spent(c *command) bool {
	if len(c.sends) >= r.allowed.MaxSends {
		return true
	}
	switch c.profile.Effect {
	case NonReplayable:
		return c.doubtAt != 0
	case Uniqued:
		return c.doubtAt != 0 && r.now > c.doubtAt+c.profile.RepeatWindow-netSlack
	}
	return false
}

func (p *profile) sameScope(a, b *engine) bool {
	switch p.Scope {
	case ScopeZone:
		return a.zone == b.zone
	case ScopeCell:
		return a.cell == b.cell
	}
	return true
}

// budgetAllows counts resends a little longer and commands taken a little shorter than the stated window.
func (r *Router) budgetAllows() bool {
	if !r.guards.Budgeted {
		return true
	}
	made := r.resends.since(r.now - r.guards.ResendWindow - netSlack)
	taken := r.taken.since(r.now - r.guards.ResendWindow + netSlack)
	return made+1 <= r.guards.ResendFree+r.guards.ResendShare*taken
}

// coldShareUsed is what part of the cold allowance is used: the rest covers what the estimates of work miss.
const coldShareUsed = 0.6

// coldAllows keeps this controller's part of what a cold engine may be sent within the window, as if the engine had
// only its least stated capacity until it is warm and every other controller used its own part in full.
func (r *Router) coldAllows(c *command, e *engine) bool {
	g := r.guards
	if r.now > e.since+g.ColdTime+netSlack || e.since == 0 || g.ColdMultiple <= 0 {
		return true
	}
	if r.now < r.born+g.ColdWindow+netSlack { // what an earlier life of this controller sent is not known
		return false
	}
	whole := g.ColdMultiple * g.ColdShare * r.kind(e).Cores * g.ColdWindow
	sent := e.coldSent.since(r.now - g.ColdWindow - netSlack)
	return sent+c.profile.usualWork(r.now) <= coldShareUsed*whole/float64(r.controllers)
}

// mayShed tells whether the client may be told that trying again is harmless.
func (r *Router) mayShed(c *command) bool {
	doubt := c.doubtAt != 0 || c.out > 0
	return c.profile.Effect == Replayable || !doubt || c.profile.Effect == Uniqued && c.profile.Scope == ScopeAll
}

// The engine view.

// engine is one of the list, or one that left it with sends still out.
type engine struct {
	id         EngineID
	state      State
	zone       Zone
	kind       KindID
	cell       CellID
	since      float64
	out        int     // own sends out
	threads    float64 // of these
	mem        float64
	loads      map[*tableGroup]int // own loads out, by what they hold
	others     decay               // commands of other controllers, by its reports
	util, disk decay
	memory     float64 // share granted, by the last report; negative: not told
	reportAt   float64
	slow       decay  // time taken over the time alone
	outcomes   uint32 // the last outcomes, a bit each, 1 for success
	judged     int
	retryAt    float64 // while unwell, when the next trial send may go
	retryWait  float64
	probing    bool
	probeAt    float64
	width      float64 // threads a core that all controllers together may run here, by what this one sees
	cutAt      float64
	coldSent   stamps
	owner      *owner
}

const (
	judgeOver   = 8   // outcomes that an engine is judged by
	judgeLeast  = 5   // fewer successes among them than this: unwell
	firstTrial  = 250 // ms until an unwell engine gets a trial send; doubled by each failure
	longTrial   = 2000
	reportLife  = 1000
	reportStale = 4000 // a report older than this no longer counts
	probePace   = 400  // ms between probes of an engine by all controllers together
	probeMost   = 1000 // ms between probes of an engine by one controller at most
)

func (e *engine) well() bool {
	seen := min(e.judged, judgeOver)
	good := 0
	for i := range seen {
		good += int(e.outcomes >> i & 1)
	}
	return good+judgeOver-seen >= judgeLeast
}

// judge takes in an outcome. Against: engines that died, hang or refuse; whatever the cause, trials grow rarer.
func (e *engine) judge(now float64, good bool) {
	e.outcomes <<= 1
	e.judged++
	if good {
		e.outcomes |= 1
		e.retryWait = firstTrial
	} else {
		e.retryAt, e.retryWait = now+e.retryWait, min(longTrial, 2*e.retryWait)
	}
}

// fresh forgets what was learned of an engine's earlier process.
func (r *Router) fresh(e *engine) {
	e.outcomes, e.judged, e.retryWait, e.retryAt = 0, 0, firstTrial, 0
	e.others, e.util, e.disk = decay{life: reportLife}, decay{life: reportLife}, decay{life: reportLife}
	e.slow = decay{life: reportLife}
	e.memory, e.reportAt, e.width = -1, 0, startWidth
}

func (r *Router) kind(e *engine) Kind {
	if e.kind >= 0 && int(e.kind) < len(r.kinds) {
		return r.kinds[e.kind]
	}
	return Kind{Cores: 8, MemoryMB: 16384} // a kind that the settings don't name: a small machine
}

// ramp is the share of its capacity that a cold engine is taken to have.
func (r *Router) ramp(e *engine) float64 {
	if e.since == 0 || r.guards.ColdTime <= 0 || r.now >= e.since+r.guards.ColdTime {
		return 1
	}
	return r.guards.ColdShare + (1-r.guards.ColdShare)*max(0, r.now-e.since)/r.guards.ColdTime
}

func (r *Router) listed(ev Listed) {
	if ev.Failed {
		r.subscribed, r.askAt = false, r.now+1000+1000*r.rng.Float64()
		return
	}
	r.subscribed = r.subscribed || !ev.Cached
	named := map[EngineID]bool{}
	for _, entry := range ev.Entries {
		named[entry.Engine] = true
		e := r.engines[entry.Engine]
		if e == nil {
			if entry.State == Gone {
				continue
			}
			e = &engine{id: entry.Engine, loads: map[*tableGroup]int{}, probeAt: r.now + probePace*r.rng.Float64()}
			r.fresh(e)
			r.engines[e.id] = e
			at, _ := slices.BinarySearchFunc(r.order, e.id, func(o *engine, id EngineID) int { return cmp.Compare(o.id, id) })
			r.order = slices.Insert(r.order, at, e)
		} else if entry.Since > e.since {
			r.fresh(e)
		}
		e.state, e.zone, e.kind, e.cell, e.since = entry.State, entry.Zone, entry.Kind, entry.Cell, entry.Since
	}
	for _, e := range r.order {
		if ev.Whole && !named[e.id] {
			e.state = Gone
		}
	}
	r.settle()
}

func (r *Router) report(e *engine, l *Load) {
	if l == nil {
		return
	}
	e.reportAt, e.memory = r.now, l.Memory
	if l.Util >= 0 {
		e.util.add(r.now, l.Util, 1)
	}
	if l.Disk >= 0 {
		e.disk.add(r.now, l.Disk, 1)
	}
	if l.Inflight >= 0 {
		e.others.add(r.now, max(0, l.Inflight-float64(e.out)), 1)
		r.share.add(r.now, min(float64(e.out), l.Inflight), l.Inflight)
	}
}

// portion is this controller's part of the traffic, learned from what engines hold; before that, an equal part.
// Against: controllers that carry very unequal parts.
func (r *Router) portion() float64 {
	n := float64(r.controllers)
	return min(1, max(0.2/n, r.share.mean(r.now, 1/n, 20)))
}

// load is the design's, with its fallbacks in order.
func (r *Router) load(e *engine) float64 {
	if r.now-e.reportAt < reportStale && e.reportAt > 0 {
		if e.util.n > 0 {
			return max(e.util.mean(r.now, 0, 0), e.disk.mean(r.now, 0, 0.01))
		}
		return (float64(e.out) + e.others.mean(r.now, 0, 0)) / r.kind(e).Cores
	}
	return float64(e.out) / r.kind(e).Cores / r.portion()
}

// Footprints and packing.

// tableGroup is a group of tables with its learned demand.
type tableGroup struct {
	id     TableGroup
	demand decay // work asked for
	held   decay // memory times time, of this controller's answered commands
	homes  []*owner
}

const (
	reserve    = 0.1   // share of an engine's memory that packing leaves free
	demandLife = 10000 // ms over which demand and footprints are learned
	blindShare = 0.6   // share of memory taken as used where neither estimates nor reports tell
)

// footprints are each group's mean memory times commands running at once, over all controllers: by Little's law
// memory times time for each millisecond. Where no command tells its memory, all groups are alike.
func (r *Router) footprints(groups []*tableGroup) map[*tableGroup]float64 {
	sizes, total := map[*tableGroup]float64{}, 0.0
	for _, g := range groups {
		sizes[g] = g.held.rate(r.now) / r.portion()
		total += sizes[g]
	}
	if total > 0 {
		return sizes
	}
	for _, e := range r.order {
		used := blindShare
		if e.memory >= 0 {
			used = e.memory
		}
		total += used * r.kind(e).MemoryMB
	}
	for _, g := range groups {
		sizes[g] = total / float64(len(groups))
	}
	return sizes
}

// pack is Best Fit Decreasing; a group too large for any engine stands alone.
func pack(groups []*tableGroup, size map[*tableGroup]float64, room float64) [][]*tableGroup {
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b *tableGroup) int {
		return cmp.Or(cmp.Compare(size[b], size[a]), cmp.Compare(a.id, b.id))
	})
	var bins [][]*tableGroup
	var left []float64
	for _, g := range sorted {
		best := -1
		for i := range bins {
			if left[i] >= size[g] && (best < 0 || left[i] < left[best]) {
				best = i
			}
		}
		if best < 0 {
			bins, left = append(bins, nil), append(left, room)
			best = len(bins) - 1
		}
		bins[best] = append(bins[best], g)
		left[best] -= size[g]
	}
	return bins
}

// Ownership.

// owner is a pack, or several packs that share as merged, with the engines of one kind that it owns.
type owner struct {
	packs   [][]*tableGroup
	engines []*engine
}

func (o *owner) groups() []*tableGroup { return slices.Concat(o.packs...) }

func (r *Router) demand(o *owner) float64 {
	sum := 1e-9
	for _, g := range o.groups() {
		sum += g.demand.rate(r.now)
	}
	return sum
}

// likes is a fixed leaning of a table group to an engine, the same at every controller, so that controllers that
// never speak still warm the same engines.
func likes(g *tableGroup, e *engine) float64 {
	h := fnv.New64a()
	h.Write([]byte(e.id))
	x := h.Sum64() ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

// apportion splits n engines by load, one each at least.
func apportion(loads []float64, n int) []int {
	counts := make([]int, len(loads))
	for i := range counts {
		counts[i] = 1
	}
	for range n - len(loads) {
		best := 0
		for i := range loads {
			if loads[i]/float64(counts[i]) > loads[best]/float64(counts[best]) {
				best = i
			}
		}
		counts[best]++
	}
	return counts
}

func (r *Router) ready(k int) []*engine {
	var list []*engine
	for _, e := range r.order {
		if e.state == Ready && int(e.kind) == k {
			list = append(list, e)
		}
	}
	return list
}

// repack packs the groups anew for one kind and hands its engines out, each to the pack that its tables fit best, so
// that few change hands: one that does arrives cold.
func (r *Router) repack(k int) {
	engines := r.ready(k)
	if len(engines) == 0 || len(r.groups) == 0 {
		r.owners[k] = nil
		return
	}
	whole, mine := 0.0, 0.0
	for _, e := range r.order {
		whole += r.kind(e).MemoryMB
	}
	for _, e := range engines {
		mine += r.kind(e).MemoryMB
	}
	size := r.footprints(r.groups)
	for g := range size {
		size[g] *= mine / whole
	}
	var owners []*owner
	for _, bin := range pack(r.groups, size, r.kinds[k].MemoryMB*(1-reserve)) {
		owners = append(owners, &owner{packs: [][]*tableGroup{bin}})
	}
	lightest := func(a, b *owner) int { return cmp.Compare(r.demand(b), r.demand(a)) }
	slices.SortStableFunc(owners, lightest)
	for len(owners) > len(engines) { // surplus light packs share as merged
		last := len(owners) - 1
		owners[last-1].packs = append(owners[last-1].packs, owners[last].packs...)
		owners = owners[:last]
		slices.SortStableFunc(owners, lightest)
	}
	loads := make([]float64, len(owners))
	for i, o := range owners {
		loads[i] = r.demand(o)
	}
	counts := apportion(loads, len(engines))
	for i, o := range owners {
		fit := func(e *engine) float64 {
			sum := 0.0
			for _, g := range o.groups() {
				w := g.demand.rate(r.now) + 1e-9
				sum += w * likes(g, e)
				if e.owner != nil && slices.Contains(e.owner.groups(), g) {
					sum += w
				}
			}
			return sum
		}
		slices.SortStableFunc(engines, func(a, b *engine) int { return cmp.Compare(fit(b), fit(a)) })
		o.engines, engines = slices.Clone(engines[:counts[i]]), engines[counts[i]:]
	}
	r.install(k, owners)
}

// install makes owners the ones of kind k.
func (r *Router) install(k int, owners []*owner) {
	r.owners[k] = owners
	for _, e := range r.order {
		if int(e.kind) == k {
			e.owner = nil
		}
	}
	for _, o := range owners {
		for _, g := range o.groups() {
			g.homes[k] = o
		}
		for _, e := range o.engines {
			e.owner = o
		}
	}
}

// settle mends ownership after the list has changed: engines gone lose their owner, new ones go to the most loaded,
// and an owner left with none takes one from the lightest, or joins it.
func (r *Router) settle() {
	for k := range r.owners {
		owners := r.owners[k]
		for _, o := range owners {
			o.engines = slices.DeleteFunc(o.engines, func(e *engine) bool { return e.state != Ready || int(e.kind) != k })
		}
		if len(owners) == 0 {
			r.repack(k)
			continue
		}
		perEngine := func(o *owner) float64 { return r.demand(o) / max(0.1, float64(len(o.engines))) }
		owned := map[*engine]bool{}
		for _, o := range owners {
			for _, e := range o.engines {
				owned[e] = true
			}
		}
		for _, e := range r.ready(k) {
			if !owned[e] {
				o := slices.MaxFunc(owners, func(a, b *owner) int { return cmp.Compare(perEngine(a), perEngine(b)) })
				o.engines = append(o.engines, e)
			}
		}
		for i := 0; i < len(owners); i++ {
			o := owners[i]
			if len(o.engines) > 0 || len(owners) == 1 {
				continue
			}
			donor := slices.MinFunc(owners, func(a, b *owner) int { return cmp.Compare(r.future(a), r.future(b)) })
			if !math.IsInf(r.future(donor), 1) {
				r.hand(donor, o)
				continue
			}
			owners = slices.Delete(owners, i, i+1)
			i--
			light := slices.MinFunc(owners, func(a, b *owner) int { return cmp.Compare(perEngine(a), perEngine(b)) })
			light.packs = append(light.packs, o.packs...)
		}
		r.install(k, owners)
	}
}

func (r *Router) mean(o *owner) float64 {
	sum := 0.0
	for _, e := range o.engines {
		sum += r.load(e)
	}
	return sum / max(1, float64(len(o.engines)))
}

// future is the load of an owner that gives up an engine; one that can't is never the lowest.
func (r *Router) future(o *owner) float64 {
	n := float64(len(o.engines))
	if n < 2 {
		return math.Inf(1)
	}
	return r.mean(o) * n / (n - 1)
}

// hand moves the engine that the receiver's groups lean to most.
func (r *Router) hand(from, to *owner) {
	best, at := -1.0, 0
	for i, e := range from.engines {
		for _, g := range to.groups() {
			if x := likes(g, e); x > best {
				best, at = x, i
			}
		}
	}
	e := from.engines[at]
	from.engines = slices.Delete(from.engines, at, at+1)
	to.engines, e.owner = append(to.engines, e), to
}

const (
	period     = 2000 // ms between moves
	moveMargin = 1.25
	fastMargin = 2.5  // the busiest this far over the lowest future load: counts are solved at once
	underused  = 0.25 // load of a lone engine that may be shared
	firstPack  = 3000 // ms of traffic before the first packing by footprints
	packAgain  = 20000
)

// rebalance is the design's period for one kind: fast solve, split, move or merge.
func (r *Router) rebalance(k int) {
	owners := r.owners[k]
	if len(owners) == 0 {
		return
	}
	byMean := func(a, b *owner) int { return cmp.Compare(r.mean(a), r.mean(b)) }
	busiest := slices.MaxFunc(owners, byMean)
	donor := slices.MinFunc(owners, func(a, b *owner) int { return cmp.Compare(r.future(a), r.future(b)) })
	low, high := r.future(donor), r.mean(busiest)
	switch {
	case donor != busiest && high >= moveMargin*low && len(busiest.packs) > 1 && len(busiest.engines) == 1:
		half := &owner{packs: busiest.packs[:1:1]}
		busiest.packs = busiest.packs[1:]
		r.hand(donor, half)
		owners = append(owners, half)
	case donor != busiest && high >= fastMargin*low:
		r.solve(owners)
	case donor != busiest && high >= moveMargin*low:
		r.hand(donor, busiest)
	default:
		var lone []*owner
		for _, o := range owners {
			if len(o.engines) == 1 && o != busiest && r.mean(o) < underused {
				lone = append(lone, o)
			}
		}
		if len(lone) < 2 || high < moveMargin*(r.mean(lone[0])+r.mean(lone[1])) {
			return
		}
		lone[0].packs = append(lone[0].packs, lone[1].packs...)
		busiest.engines = append(busiest.engines, lone[1].engines...)
		owners = slices.DeleteFunc(owners, func(o *owner) bool { return o == lone[1] })
	}
	r.install(k, owners)
}

// solve sets the counts that make load times count over new count equal, rounded towards the present ones.
func (r *Router) solve(owners []*owner) {
	total, engines := 0.0, 0
	for _, o := range owners {
		total += r.mean(o) * float64(len(o.engines))
		engines += len(o.engines)
	}
	if total <= 0 {
		return
	}
	change := make([]int, len(owners))
	for i, o := range owners {
		n := float64(len(o.engines))
		change[i] = max(int(r.mean(o)*n/total*float64(engines)-n), 1-len(o.engines))
	}
	for i, to := range owners {
		for j, from := range owners {
			for change[i] > 0 && change[j] < 0 {
				r.hand(from, to)
				change[i]--
				change[j]++
			}
		}
	}
}

// Thread bound.

const (
	startWidth = 1.0 // threads a core
	leastWidth = 0.25
	mostWidth  = 2.5
	nearBest   = 1.8 // time taken over time alone up to which the bound widens
	farFrom    = 3.0 // from which it is cut
	cutBy      = 0.85
	cutEvery   = 400 // ms
)

func (r *Router) bound(e *engine) float64 {
	return e.width * r.kind(e).Cores * r.ramp(e) * r.portion()
}

// learn takes in the time of an answered send: what the profile takes alone, and with it the engine's bound.
func (r *Router) learn(c *command, s attempt, ev Ended) {
	p, e := c.profile, s.engine
	unit := p.unitOf(c, r.now)
	if ev.Work > 0 {
		if c.estimate > 0 {
			p.workScale.add(r.now, ev.Work/c.estimate, 1)
		}
		unit = max(1, ev.Work/p.Threads)
		if c.estimate <= 0 {
			unit = 1
		}
	}
	if ev.NeedMB > 0 && c.need > 0 {
		p.needScale.add(r.now, ev.NeedMB/c.need, 1)
	}
	p.unit.add(r.now, ev.Took/unit, 1)
	if m := p.unit.mean(r.now, 0, 0); p.unit.n > 8 && (p.best == 0 || m < p.best) {
		p.best = m
	} else if p.best > 0 {
		p.best *= 1.0005 // so that a fleet that has grown slower is not held to a past for ever
	}
	work := ev.Work
	if work == 0 && c.estimate > 0 {
		work = c.estimate
	} else if work == 0 {
		work = ev.Took * p.Threads
	}
	p.work.add(r.now, work, 1)
	if p.best == 0 {
		return
	}
	e.slow.add(r.now, min(20, ev.Took/(p.best*unit)), 1)
	slow := e.slow.mean(r.now, 1, 1)
	if full := e.threads+s.threads >= 0.7*r.bound(e); slow < nearBest && full {
		e.width = min(mostWidth, e.width+0.5/max(1, r.bound(e)))
	} else if slow > farFrom && r.now-e.cutAt > cutEvery {
		e.width, e.cutAt = max(leastWidth, e.width*cutBy), r.now
	}
}

// Release, choice and spill.

const (
	roomy     = 0.75 // filled up to this share of its bound an engine takes what others can't
	memFull   = 0.97 // granted share of memory from which an engine takes nothing more
	leaning   = 0.3  // what a table group's fixed leaning to an engine weighs, in threads a core
	heldTable = 1.5  // the same, for a load of its own controller that holds the command's tables there
	scanMost  = 100  // held commands that one step tries
)

// hasRoom is the thread bound and the memory of an engine, filled up to the given share. One command may always run
// where this controller has none.
func (r *Router) hasRoom(c *command, e *engine, fill float64) bool {
	if !e.well() && (e.out > 0 || r.now < e.retryAt) {
		return false
	}
	if e.out == 0 {
		return true
	}
	if e.memory > memFull*max(fill, roomy) {
		return false
	}
	memory := r.kind(e).MemoryMB * r.portion() * fill
	return e.threads+c.profile.Threads <= fill*r.bound(e) && e.mem+r.needOf(c) <= max(memory, 1)
}

func (r *Router) needOf(c *command) float64 {
	return c.need * c.profile.needScale.mean(r.now, 1, 3)
}

// pressure ranks engines for a command: threads a core by own sends and reports, what it reports itself, how slow it
// answers, and the leaning of the tables.
func (r *Router) pressure(c *command, e *engine) float64 {
	cores := r.kind(e).Cores * r.ramp(e)
	x := (e.threads + c.profile.Threads + 1.2*e.others.mean(r.now, 0, 0.5)) / cores
	if r.now-e.reportAt < reportStale {
		x += 0.5 * r.load(e)
	}
	x *= max(1, e.slow.mean(r.now, 1, 1)/nearBest)
	lean := likes(c.tables, e)
	if c.profile.HoldsTables { // loads lean the other way, so that those which wait on them find an engine free
		lean = 1 - lean
	} else if c.profile.Waits && e.loads[c.tables] > 0 {
		x += heldTable
	}
	return x + leaning*(1-lean)
}

// choose finds the engine for c: the least pressed of its owners' with room, else a roomy one anywhere.
func (r *Router) choose(c *command) *engine {
	if !r.mayStart(c) {
		return nil
	}
	var best *engine
	least := math.Inf(1)
	consider := func(engines []*engine, fill float64) {
		for _, e := range engines {
			if r.hasRoom(c, e, fill) && r.mayGo(c, e) {
				if x := r.pressure(c, e); x < least {
					best, least = e, x
				}
			}
		}
	}
	for _, o := range c.tables.homes {
		if o != nil {
			consider(o.engines, 1)
		}
	}
	if best == nil {
		consider(r.order, roomy)
	}
	return best
}

// hold puts c among the held, which leave earliest client timeout first.
func (r *Router) hold(c *command) {
	at, _ := slices.BinarySearchFunc(r.held, c, func(a, b *command) int {
		return cmp.Or(cmp.Compare(a.timeout, b.timeout), cmp.Compare(a.id, b.id))
	})
	r.held = slices.Insert(r.held, at, c)
}

func (r *Router) release() {
	tried := 0
	r.held = slices.DeleteFunc(r.held, func(c *command) bool {
		if c.over || c.wantEnd != open {
			return true
		}
		if tried >= scanMost {
			return false
		}
		tried++
		e := r.choose(c)
		if e == nil {
			return false
		}
		r.place(c, e)
		return true
	})
}

// place books c on e, so that the next choice of the same step sees it; emit sends it.
func (r *Router) place(c *command, e *engine) {
	s := attempt{engine: e, at: r.now, out: true, threads: c.profile.Threads, mem: r.needOf(c),
		work: c.profile.usualWork(r.now)}
	if len(c.sends) > 0 {
		r.resends.add(r.now, 1)
	}
	c.sends = append(c.sends, s)
	c.out++
	e.out++
	e.threads += s.threads
	e.mem += s.mem
	e.coldSent.add(r.now, s.work)
	if c.profile.HoldsTables {
		e.loads[c.tables]++
	}
	c.wantEngine, c.wantPriority = e, r.priorityOf(c)
	if r.allowed.Grants && s.mem > 0 {
		c.wantGrant = min(s.mem*grantOver, r.kind(e).MemoryMB*max(r.allowed.GrantCap, 0.1))
	}
	r.touch(c)
}

const grantOver = 1.15 // grant over need: what is granted beyond need is lost to others, what is short spills

// priorityOf puts the profile with most benefit for its work first, and loads that others wait on before the rest.
func (r *Router) priorityOf(c *command) int {
	if !r.allowed.Priorities {
		return c.priority
	}
	if c.profile == r.dense {
		return 3
	}
	if c.profile.HoldsTables {
		return 2
	}
	return 1
}

// Resend, cancel, shed.

const (
	badPlan    = 4.0 // times the time it should take here, from which a plan counts as bad
	badPlanGap = 1.5 // and its rest must be this many times what a new try would take
	lateShare  = 0.5 // a profile that keeps this much of its benefit when late is held past its latency target
)

// giveUpAt is when an unsent command is no longer worth its work: it could only miss its latency target, or, where
// late answers keep most of their benefit, its client timeout.
func (r *Router) giveUpAt(c *command) float64 {
	alone := c.profile.alone(c, r.now)
	if c.profile.LateShare >= lateShare {
		return c.timeout - 1.5*alone - r.answerSlack()
	}
	return min(c.arrived+c.profile.Target+(c.profile.TargetStretch-1)*alone, c.timeout-alone) - r.answerSlack()
}

// end gives c its final answer at once: never parked to keep its client from asking again.
func (r *Router) end(c *command) {
	if c.over || c.begun || c.wantEnd != open {
		return
	}
	c.wantEnd = failed
	if r.mayShed(c) {
		c.wantEnd = shed
	}
	c.wantCancel = true
	r.touch(c)
}

func (r *Router) arrived(ev Arrived) {
	g := r.tables[ev.Tables]
	if g == nil {
		g = &tableGroup{id: ev.Tables, demand: decay{life: demandLife}, held: decay{life: demandLife},
			homes: make([]*owner, len(r.kinds))}
		r.tables[ev.Tables] = g
		at, _ := slices.BinarySearchFunc(r.groups, g.id, func(o *tableGroup, id TableGroup) int { return cmp.Compare(o.id, id) })
		r.groups = slices.Insert(r.groups, at, g)
		for k := range r.owners { // a new group joins the owner with least demand an engine
			if len(r.owners[k]) == 0 {
				r.repack(k)
				continue
			}
			o := slices.MinFunc(r.owners[k], func(a, b *owner) int {
				return cmp.Compare(r.demand(a)/float64(len(a.engines)), r.demand(b)/float64(len(b.engines)))
			})
			o.packs[0] = append(o.packs[0], g)
			g.homes[k] = o
		}
	}
	p := &r.profiles[ev.Profile]
	c := &command{id: ev.ID, profile: p, tables: g, key: ev.Key, arrived: r.now, timeout: r.now + ev.Left,
		estimate: ev.Estimate, need: ev.NeedMB, priority: 1, wantPriority: 1}
	r.cmds[c.id] = c
	if r.firstAt == 0 {
		r.firstAt = r.now
	}
	if r.guards.Budgeted {
		r.taken.add(r.now, 1)
	}
	g.demand.add(r.now, p.alone(c, r.now)*p.Threads, 1)
	if p.InOrder && c.key != "" {
		l := r.lines[c.key]
		if l == nil {
			l = &line{}
			r.lines[c.key] = l
		}
		l.cmds = append(l.cmds, c)
	}
	heap.Push(&r.alarms, alarm{c.timeout - r.answerSlack(), c})
	r.hold(c)
}

func (r *Router) ended(ev Ended) {
	c := r.cmds[ev.ID]
	if c == nil || int(ev.Send) >= len(c.sends) || !c.sends[ev.Send].out {
		return
	}
	s := &c.sends[ev.Send]
	e, p := s.engine, c.profile
	s.out = false
	c.out--
	e.out--
	e.threads -= s.threads
	e.mem -= s.mem
	if p.HoldsTables {
		if e.loads[c.tables]--; e.loads[c.tables] == 0 {
			delete(e.loads, c.tables)
		}
	}
	r.report(e, ev.Load)
	c.tables.held.add(r.now, s.mem*ev.Took, 1)
	if !ev.Outcome.NeverRan() && c.doubtAt == 0 {
		c.doubtAt, c.doubt = s.at, e
	}
	if l := r.lines[c.key]; l != nil && p.InOrder && c.key != "" {
		if ev.Outcome == TimedOut || ev.Outcome == Reset || ev.Outcome == Cancelled {
			l.rest = max(l.rest, r.now+r.guards.OrderRest+r.guards.Round)
		}
	}
	c.over = c.over || ev.Over
	switch ev.Outcome {
	case Answered:
		e.judge(r.now, true)
		r.learn(c, *s, ev)
	case Full: // it is up, and holds all that it can: less of it is the cure, not a rest
		e.width = max(leastWidth, e.width*cutBy)
	case Errored, Refused, Reset, TimedOut:
		e.judge(r.now, false)
	}
	r.touch(c)
	if c.over || c.wantEnd != open || c.begun {
		return
	}
	if r.now >= c.timeout-r.answerSlack() || c.out == 0 && r.spent(c) {
		r.end(c)
	} else if c.out == 0 {
		r.hold(c)
	}
}

// noted looks for bad plans. Against: a plan drawn badly, but also an engine that has all but stopped; harm: work
// thrown away on a command that is truly large, so it acts only where an estimate says that it is not.
func (r *Router) noted(ev Noted) {
	c := r.cmds[ev.ID]
	if c == nil || int(ev.Send) >= len(c.sends) || c.over || c.wantEnd != open || !r.allowed.Cancel {
		return
	}
	s := &c.sends[ev.Send]
	if !s.out || s.cancelled || c.profile.Effect != Replayable || len(c.sends) >= r.allowed.MaxSends {
		return
	}
	passed := r.now - s.at
	should := c.profile.alone(c, r.now) * max(1, s.engine.slow.mean(r.now, 1, 1))
	if ev.What == NoteProgress && c.estimate > 0 && passed > 0 {
		total := passed / max(ev.Level, 0.01)
		if total > badPlan*should && total-passed > badPlanGap*should && r.budgetAllows() {
			c.wantCancel = true
			r.touch(c)
		}
	}
}

// The step.

// alarm is a time at which a command must be looked at.
type alarm struct {
	at  float64
	cmd *command
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].cmd.id < a[j].cmd.id
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)   { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Router is the decision module of one controller.
type Router struct {
	rng         *rand.Rand
	controllers int
	kinds       []Kind
	profiles    []profile
	allowed     Allowed
	guards      Guards

	now, born, firstAt float64
	cmds               map[CommandID]*command
	held               []*command
	lines              map[OrderKey]*line
	resting            []OrderKey // of empty lines that may not be forgotten yet
	resends, taken     stamps
	engines            map[EngineID]*engine
	order              []*engine // by id
	share              decay     // own commands over all, by reports
	tables             map[TableGroup]*tableGroup
	groups             []*tableGroup // by id
	owners             [][]*owner    // by kind
	dense              *profile      // most benefit for its work
	touched            []*command
	alarms             alarms
	subscribed         bool
	askAt              float64
	tendAt, moveAt     float64
	packAt             float64
	wakeAt             float64
}

// New makes the module of a controller that has just started.
func New(seed int64, place Place, kinds []Kind, profiles []Profile, tenants []Tenant, allowed Allowed,
	guards Guards) *Router {
	r := &Router{rng: rand.New(rand.NewSource(seed)), controllers: max(1, place.Controllers), kinds: kinds,
		allowed: allowed, guards: guards, cmds: map[CommandID]*command{}, lines: map[OrderKey]*line{},
		engines: map[EngineID]*engine{}, tables: map[TableGroup]*tableGroup{}, owners: make([][]*owner, len(kinds)),
		share: decay{life: 5000}, born: -1}
	for _, p := range profiles {
		r.profiles = append(r.profiles, profile{Profile: p, unit: decay{life: 3000}, work: decay{life: 20000},
			workScale: decay{life: 30000}, needScale: decay{life: 30000}})
	}
	return r
}

func (r *Router) touch(c *command) {
	if !c.touched {
		c.touched = true
		r.touched = append(r.touched, c)
	}
}

// Step takes in what happened by now and returns what to do.
func (r *Router) Step(now float64, events []Event) []Action {
	r.now = now
	if r.born < 0 {
		r.born = now
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case Listed:
			r.listed(ev)
		case Arrived:
			r.arrived(ev)
		case Ended:
			r.ended(ev)
		case Noted:
			r.noted(ev)
		case Began:
			if c := r.cmds[ev.ID]; c != nil {
				c.begun = true
			}
		case Left:
			if c := r.cmds[ev.ID]; c != nil {
				c.over, c.wantCancel = true, true
				r.touch(c)
			}
		case Probed:
			if e := r.engines[ev.Engine]; e != nil {
				e.probing = false
				e.judge(now, ev.Outcome == Answered)
				r.report(e, ev.Load)
			}
		}
	}
	for len(r.alarms) > 0 && r.alarms[0].at <= now {
		r.end(heap.Pop(&r.alarms).(alarm).cmd)
	}
	var probes []Action
	if now >= r.tendAt {
		probes = r.tend()
	}
	r.release()
	return append(r.emit(), probes...)
}

const tendEvery = 50 // ms between looks at held commands, probes and the period

func (r *Router) tend() (actions []Action) {
	r.tendAt = r.now + tendEvery
	for _, c := range r.held {
		if r.now > r.giveUpAt(c) && c.wantEnd == open && !c.over {
			r.end(c)
		}
	}
	r.resting = slices.DeleteFunc(r.resting, func(key OrderKey) bool {
		l := r.lines[key]
		if l != nil && len(l.cmds) == 0 && r.now >= l.rest {
			delete(r.lines, key)
		}
		return l == nil || len(l.cmds) > 0 || r.now >= l.rest
	})
	best := 0.0
	for i := range r.profiles {
		if x := r.profiles[i].Benefit / r.profiles[i].usualWork(r.now); x > best {
			best, r.dense = x, &r.profiles[i]
		}
	}
	if r.moveAt == 0 {
		r.moveAt = r.now + period
	} else if r.now >= r.moveAt {
		r.moveAt = r.now + period
		for k := range r.owners {
			r.rebalance(k)
		}
	}
	if r.firstAt > 0 && r.packAt == 0 {
		r.packAt = r.firstAt + firstPack
	} else if r.packAt > 0 && r.now >= r.packAt {
		r.packAt = math.Inf(1)
		for k := range r.owners {
			r.repack(k)
		}
	}
	if r.allowed.MustAsk && !r.subscribed && r.now >= r.askAt {
		r.askAt = r.now + max(500, r.guards.AskWithin/3)
		actions = append(actions, Subscribe{})
	}
	for _, e := range slices.Clone(r.order) {
		if e.state == Gone && e.out == 0 && !e.probing {
			delete(r.engines, e.id)
			r.order = slices.DeleteFunc(r.order, func(o *engine) bool { return o == e })
		} else if r.allowed.Probes && e.state == Ready && !e.probing && r.now >= e.probeAt {
			e.probing = true
			e.probeAt = r.now + min(probeMost, probePace*float64(r.controllers))*(0.9+0.2*r.rng.Float64())
			actions = append(actions, Probe{e.id})
		}
	}
	return actions
}

// retryAfter spreads the clients that were shed, so that they don't come back together.
func (r *Router) retryAfter() float64 {
	if !r.allowed.RetryAfter {
		return 0
	}
	return r.allowed.MaxRetryAfter * (0.5 + 0.5*r.rng.Float64())
}

// emit is the one place where the wanted state meets the present: it returns what makes them equal.
func (r *Router) emit() (actions []Action) {
	for _, c := range r.touched {
		c.touched = false
		last := len(c.sends) - 1
		if c.wantEngine != nil {
			if c.priority != c.wantPriority || c.grant != c.wantGrant {
				c.priority, c.grant = c.wantPriority, c.wantGrant
				actions = append(actions, Terms{c.id, c.priority, c.grant})
			}
			actions = append(actions, Send{c.id, c.wantEngine.id, c.timeout})
			c.wantEngine = nil
		}
		if c.wantEnd != open && !c.over {
			if c.wantEnd == shed {
				actions = append(actions, Shed{c.id, r.retryAfter()})
			} else {
				actions = append(actions, Fail{c.id})
			}
			c.over = true
		}
		if c.wantCancel && r.allowed.Cancel && last >= 0 && c.sends[last].out && !c.sends[last].cancelled {
			c.sends[last].cancelled = true
			actions = append(actions, Cancel{c.id, SendID(last)})
		}
		c.wantCancel = false
		if c.over && c.out == 0 {
			r.forget(c)
		}
	}
	r.touched = r.touched[:0]
	wake := r.tendAt
	if len(r.alarms) > 0 {
		wake = min(wake, r.alarms[0].at)
	}
	if r.wakeAt <= r.now || wake < r.wakeAt {
		r.wakeAt = wake
		actions = append(actions, Wake{max(0.001, wake-r.now)})
	}
	return actions
}

// forget drops a command that no rule needs any more; its key is kept while it rests.
func (r *Router) forget(c *command) {
	delete(r.cmds, c.id)
	if l := r.lines[c.key]; l != nil && c.profile.InOrder && c.key != "" {
		l.cmds = slices.DeleteFunc(l.cmds, func(o *command) bool { return o == c })
		if len(l.cmds) == 0 {
			if r.now >= l.rest {
				delete(r.lines, c.key)
			} else {
				r.resting = append(r.resting, c.key)
			}
		}
	}
}
