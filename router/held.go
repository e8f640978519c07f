package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/tidwall/btree"
)

// This file keeps the books of held commands, so that a step looks only at those that could go and at those that may
// have to be given up. Like state.go it decides nothing: what it leaves out is what router.go would pass over.

// heap keeps what is least by less at place 0.
type heap[T any] struct {
	list []T
	less func(a, b *T) bool
}

func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	for i := len(h.list) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(&h.list[i], &h.list[up]) {
			break
		}
		h.list[i], h.list[up] = h.list[up], h.list[i]
		i = up
	}
}

func (h *heap[T]) pop() T {
	top, last := h.list[0], len(h.list)-1
	h.list[0] = h.list[last]
	var none T
	h.list[last] = none // it holds on to nothing
	h.list = h.list[:last]
	h.sink(0)
	return top
}

func (h *heap[T]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.list); child++ {
			if h.less(&h.list[child], &h.list[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.list[i], h.list[least] = h.list[least], h.list[i]
		i = least
	}
}

// mend makes a heap of a list in any order.
func (h *heap[T]) mend() {
	for i := len(h.list)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
}

// alarm is a time at which a command must be looked at.
type alarm struct {
	at  float64
	cmd *command
}

func earlier(a, b *alarm) bool { return a.at < b.at || a.at == b.at && a.cmd.id < b.cmd.id }

// heldTree has held commands by client timeout.
type heldTree = btree.BTreeG[*command]

func newHeldTree() *heldTree {
	return btree.NewBTreeGOptions(func(a, b *command) bool { return byTimeout(a, b) < 0 },
		btree.Options{NoLocks: true, Degree: 32})
}

// heldBooks are the held commands. Those that stand behind another in the line of one of their keys are parked: they
// are in no tree until they are first. Fresh ones and those sent before stand apart, as the sends budget may bar all of
// the latter.
type heldBooks struct {
	n            int
	fresh, again *heldTree
	scan         []*command // of release, kept for its room
	due          []*command // of tend
}

func (h *heldBooks) tree(c *command) *heldTree {
	if len(c.sends) == 0 {
		return h.fresh
	}
	return h.again
}

// hold takes c among the held.
func (r *Router) hold(c *command) {
	if c.held {
		return
	}
	c.held = true
	r.held.n++
	r.park(c)
	if !c.watched {
		c.watched = true
		r.watch(c)
	}
}

// park puts a held command into its tree or, where another is ahead of it in a line, leaves it to that line.
func (r *Router) park(c *command) {
	c.parked = slices.ContainsFunc(c.lines, func(l *line) bool { return l.cmds[0] != c })
	if !c.parked {
		r.held.tree(c).Set(c)
	}
}

// unhold takes c out, before a send of it is booked.
func (r *Router) unhold(c *command) {
	if !c.held {
		return
	}
	if !c.parked {
		r.held.tree(c).Delete(c)
	}
	c.held, c.parked = false, false
	r.held.n--
}

// sweep drops from the held what has ended in this step.
func (r *Router) sweep() {
	for _, c := range r.touched {
		if c.over || c.wantEnd != open {
			r.unhold(c)
		}
	}
}

// ahead is the time that those ahead of c in a line take one after another, as such run lately; that of the longest of
// its lines, and no further than past most. Lines in which a command's time is not known count as none.
func (r *Router) ahead(c *command, most float64) (longest float64) {
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
		longest = max(longest, sum)
	}
	return longest
}

// startable hands the held that may be let go to visit, by client timeout, until it returns false. Commands may leave
// the held meanwhile.
func (r *Router) startable(visit func(c *command) bool) {
	trees := [2]*heldTree{r.held.fresh, r.held.again}
	if trees[1].Len() > 0 && !r.budgetAllows() {
		trees[1] = nil // a resend that is booked makes it no larger
	}
	var from [2]*command // the last that was handed over
	next := func(i int) (c *command) {
		if trees[i] == nil || trees[i].Len() == 0 {
			return nil
		}
		if from[i] == nil {
			c, _ = trees[i].Min()
			return c
		}
		trees[i].Ascend(from[i], func(x *command) bool {
			if x != from[i] {
				c = x
			}
			return c == nil
		})
		return c
	}
	if trees[1] == nil || trees[1].Len() == 0 { // the usual case: a piece at a time
		r.startableOf(trees[0], visit)
		return
	}
	heads := [2]*command{next(0), next(1)}
	for heads[0] != nil || heads[1] != nil {
		i := 0
		if heads[0] == nil || heads[1] != nil && byTimeout(heads[1], heads[0]) < 0 {
			i = 1
		}
		from[i] = heads[i]
		if !visit(heads[i]) {
			return
		}
		heads[i] = next(i)
	}
}

// startableOf is startable for one tree, which is read a piece at a time, as what is visited may leave it.
func (r *Router) startableOf(t *heldTree, visit func(c *command) bool) {
	var last *command
	for size := 4; ; size = min(64, 2*size) {
		piece := r.held.scan[:0]
		take := func(x *command) bool {
			if x != last {
				piece = append(piece, x)
			}
			return len(piece) < size
		}
		if last == nil {
			t.Scan(take)
		} else {
			t.Ascend(last, take)
		}
		r.held.scan = piece[:0]
		for _, c := range piece {
			if !visit(c) {
				clear(piece)
				return
			}
		}
		if len(piece) < size {
			clear(piece)
			return
		}
		last = piece[len(piece)-1]
	}
}

// Given up.

// pace is what is learned of a profile that tells when its held commands are given up.
type pace struct{ best, scale, run float64 }

func (p *profile) pace(now float64) pace {
	return pace{p.best, p.workScale.mean(now, 1, 2), math.Exp(p.run.mean(now, 0, 1))}
}

// watches are a profile's commands that are held, or were, each by a time before which it is not given up. A pace may
// move, by the ratios below, without these being wrong; if it moves farther all of them come earlier by as much as any
// can, which costs nothing now, and those that are looked at for it are reckoned anew one by one.
type watches struct {
	heap    heap[alarm] // by that time, and shift
	shift   float64     // taken off all
	by      pace
	largest float64 // estimate among them
}

const (
	bestDrifts, scaleDrifts, runDrifts = 1.25, 1.25, 2.5
	alongDrifts                        = bestDrifts * scaleDrifts // of the time alone
)

func within(a, b, ratio float64) bool { return a <= b*ratio && b <= a*ratio }

// watch has c looked at in time.
func (r *Router) watch(c *command) {
	w := &c.profile.watches
	w.largest = max(w.largest, c.estimate)
	w.heap.push(alarm{r.lookAt(c) + w.shift, c})
}

// drift brings all forward if the profile's pace has moved too far.
func (p *profile) drift(now float64) {
	w, next := &p.watches, p.pace(now)
	if len(w.heap.list) == 0 {
		w.by, w.shift, w.largest = next, 0, 0
	} else if !within(next.best, w.by.best, bestDrifts) || !within(next.scale, w.by.scale, scaleDrifts) ||
		!within(next.run, w.by.run, runDrifts) {
		before := p.reach(w.by)
		w.by = next
		w.shift += before + p.reach(next)
	}
}

// reach is how far lookAt may lie from what no pace moves, for the largest command watched.
func (p *profile) reach(by pace) float64 {
	steepest := max(1.5, p.ObjectivePerWork, 1) + max(0, runOver*by.run*runDrifts-1)
	return steepest * alongDrifts * max(p.aloneBy(0, by), p.aloneBy(max(p.watches.largest, 1), by))
}

// rewatch reckons all anew: the time by which this controller ends has changed.
func (r *Router) rewatch() {
	for _, p := range r.profiles {
		w := &p.watches
		p.wisdom.epoch++
		for i := range w.heap.list {
			w.heap.list[i].at = r.lookAt(w.heap.list[i].cmd) + w.shift
		}
		w.heap.mend()
	}
}

// hopeless is the held commands that are past giving up, by client timeout.
func (r *Router) hopeless() []*command {
	due, looked := r.held.due[:0], r.held.scan[:0]
	for _, p := range r.profiles {
		p.drift(r.now)
		for h := &p.watches.heap; len(h.list) > 0 && h.list[0].at-p.watches.shift < r.now; {
			c := h.pop().cmd
			if !c.held {
				c.watched = false
				continue
			}
			if r.now > r.giveUpAt(c) {
				due = append(due, c)
			}
			looked = append(looked, c)
		}
	}
	for _, c := range looked { // one that can't be ended, as its answer has begun, is looked at again
		c.profile.watches.heap.push(alarm{max(r.now, r.lookAt(c)) + c.profile.watches.shift, c})
	}
	clear(looked)
	slices.SortFunc(due, byTimeout)
	r.held.due, r.held.scan = due[:0], looked[:0]
	return due
}

// lookAt is a time before which c is not given up, whatever its profile's pace does within its drifts: giveUpAt at the
// worst of these, and a little earlier, as sums of times since 1970 are that coarse.
func (r *Router) lookAt(c *command) float64 {
	p := c.profile
	long := p.aloneBy(c.estimate, p.watches.by) * alongDrifts
	by, later := r.startLeast(c), max(0, long*(runOver*p.watches.by.run*runDrifts-1))
	return max(by-later, min(by, c.asked+leastHold*p.LatencyObjective)) - 0.01
}

// startLeast is the least that startBy may say within the drifts.
func (r *Router) startLeast(c *command) float64 {
	p, alone := c.profile, c.profile.aloneBy(c.estimate, c.profile.watches.by)
	short, long := alone/alongDrifts, alone*alongDrifts
	if p.LateBenefit >= lateShare {
		return r.endBy(c) - 1.5*long
	}
	grows := min((p.ObjectivePerWork-1)*short, (p.ObjectivePerWork-1)*long)
	return min(c.asked+p.LatencyObjective+grows, r.endBy(c)-long)
}

// runs is the time that c takes, from its alone, as such commands run lately.
func (p *profile) runs(c *command, now float64) float64 {
	return math.Exp(p.run.mean(now, 0, 1)) * p.alone(c, now)
}

// aloneBy is alone, by a pace, for an estimate.
func (p *profile) aloneBy(estimate float64, by pace) float64 {
	if by.best == 0 && estimate <= 0 {
		return p.LatencyObjective / 2
	}
	unit := 1.0
	if estimate > 0 {
		unit = max(1, estimate*by.scale/p.Threads)
	}
	return cmp.Or(by.best, 1) * unit
}

// wisdom is what a profile's held commands were found wise by.
type wisdom struct {
	step  uint64 // at which it was last looked at,
	epoch int    // which counts how often it has changed,
	limit float64
}

const limitDrifts = 1.3 // of the size that a command may have

// renew begins another epoch if the profile's pace, or the size that it may have, has moved too far.
func (p *profile) renew(r *Router) {
	w := &p.wisdom
	if w.step == r.steps {
		return
	}
	was := p.watches.by
	p.drift(r.now)
	limit := r.sizeCap * p.usualWork(r.now)
	if w.step = r.steps; was != p.watches.by || !within(limit, w.limit, limitDrifts) {
		w.epoch, w.limit = w.epoch+1, limit
	}
}

// wise tells that c is not unwise, from what was reckoned of it before where that still holds, else by asking. It may
// say no of one that is.
func (r *Router) wise(c *command) bool {
	p := c.profile
	if len(c.sends) > 0 {
		return true
	}
	p.renew(r)
	if c.overShare && r.now < r.jamUntil {
		return false
	}
	if c.wiseEpoch == p.wisdom.epoch && r.now < c.wiseUntil {
		return true
	}
	if r.unwise(c) {
		return false
	}
	long := p.aloneBy(c.estimate, p.watches.by) * alongDrifts
	if c.wiseEpoch, c.wiseUntil = p.wisdom.epoch, min(r.endBy(c)-long, r.startLeast(c))-0.01; c.estimate > 0 &&
		max(1, c.estimate*p.watches.by.scale*scaleDrifts/p.Threads)*p.Threads > p.wisdom.limit/limitDrifts*(1-rounding) {
		c.wiseUntil = math.Inf(-1) // it is too near the limit to be sure of it
	}
	return true
}
