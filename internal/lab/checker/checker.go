// Package checker judges the seven rules from outside: by what controllers were told and what they ordered, over all
// controllers together. It trusts nothing that a controller says of itself and shares no code with the module but the
// types of its interface. It is for rigs and tests; nothing of the daemon imports it.
package checker

import (
	"fmt"
	"math"

	"mintkeel/router"
)

// Rule is one of the seven; Form is what no rule names but every controller owes: to name only what it was given, and
// to use only what the settings allow.
type Rule int

// The rules that the checker holds controllers to.
const (
	Form Rule = iota
	Answered
	Once
	Drains
	Cold
	Order
	Placement
	Budget
)

var names = [...]string{"form", "answered", "once", "drains", "cold", "order", "placement", "budget"}

func (r Rule) String() string { return names[r] }

// Facts are the settings that the controllers share.
type Facts struct {
	Kinds    []router.MachineKind
	Profiles []router.QueryClass
	Allowed  router.Capabilities
	Guards   router.SafetyLimits
}

// Breach is one rule broken, once.
type Breach struct {
	Rule       Rule
	At         float64
	Controller int
	Why        string
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %v, at %.1f ms by controller %d: %s", b.Rule, b.At, b.Controller, b.Why)
}

// mostBreaches are kept: one bad build breaks thousands, of which the first tell all.
const mostBreaches = 50

// Slack is what a rule's time limit grants for the reckoning with fractions.
const slack = 1e-6

// Checker is for one goroutine. Times are ms on one clock for all controllers.
type Checker struct {
	facts    Facts
	lives    map[int]*life
	work     map[process][]sent
	drained  map[router.EngineID][]float64 // when an engine began to drain or went, in truth
	started  map[router.EngineID][]float64 // when a process under an id began, in truth
	breaches []Breach
	count    map[Rule]int

	Commands, Sends, Further, Sheds, Fails, ColdSends int
}

// process is one life of an engine.
type process struct {
	engine router.EngineID
	since  float64
}

type sent struct{ at, work float64 }

// life is one run of a controller.
type life struct {
	commands       map[router.QueryID]*command
	lines          map[router.OrderingKey][]*command
	rests          map[router.OrderingKey]float64
	engines        map[router.EngineID]router.Endpoint
	taken, resends []float64
	expired        float64
	heard          bool // it is subscribed to the list
	asked          float64
	stop           float64
}

type command struct {
	router.QueryArrived
	profile  *router.QueryClass
	at       float64
	number   int // by arrival
	deadline float64
	work     float64
	sends    []send
	over     bool
	began    bool
	keys     []router.OrderingKey
	rest     float64 // until when nothing follows it, by its own doubtful outcomes
}

type send struct {
	at      float64
	engine  router.Endpoint
	ended   bool
	outcome router.Outcome
}

// out tells whether a command has a send without an outcome.
func (c *command) out() bool {
	for _, s := range c.sends {
		if !s.ended {
			return true
		}
	}
	return false
}

// New makes a checker for controllers under these settings.
func New(f Facts) *Checker {
	return &Checker{facts: f, lives: map[int]*life{}, work: map[process][]sent{}, count: map[Rule]int{},
		drained: map[router.EngineID][]float64{}, started: map[router.EngineID][]float64{}}
}

// Breaches are the first that were found; Count tells how many there were of a rule.
func (r *Checker) Breaches() []Breach { return r.breaches }

// Count is how often a rule was broken.
func (r *Checker) Count(rule Rule) int { return r.count[rule] }

func (r *Checker) breach(rule Rule, now float64, controller int, why string, args ...any) {
	if r.count[rule]++; len(r.breaches) < mostBreaches {
		r.breaches = append(r.breaches, Breach{rule, now, controller, fmt.Sprintf(why, args...)})
	}
}

// Up tells that a controller starts, and knows nothing.
func (r *Checker) Up(controller int, now float64) {
	r.lives[controller] = &life{commands: map[router.QueryID]*command{}, lines: map[router.OrderingKey][]*command{},
		rests: map[router.OrderingKey]float64{}, engines: map[router.EngineID]router.Endpoint{}, asked: now,
		stop: math.Inf(1)}
}

// Killed tells that a controller is gone without a word; it owes nothing more.
func (r *Checker) Killed(controller int) { delete(r.lives, controller) }

// Ended tells that a controller has ended as it was told to: all it took must have its answer.
func (r *Checker) Ended(controller int, now float64) {
	if l := r.lives[controller]; l != nil {
		for _, c := range l.commands {
			if !c.over && !c.began {
				r.breach(Answered, now, controller, "command %d has no answer at the planned end", c.ID)
			}
		}
	}
	r.Killed(controller)
}

// Drained tells that, in truth, an engine drains or goes from now on.
func (r *Checker) Drained(engine router.EngineID, now float64) {
	r.drained[engine] = append(r.drained[engine], now)
}

// Began tells that, in truth, a process begins under an engine's id.
func (r *Checker) Began(engine router.EngineID, now float64) {
	r.started[engine] = append(r.started[engine], now)
}

// Told takes in what a controller is told in one step; work is what a command needs on one thread, in truth.
func (r *Checker) Told(controller int, now float64, events []router.Event, work func(router.QueryID) float64) {
	l := r.lives[controller]
	for _, event := range events {
		switch ev := event.(type) {
		case router.EndpointsUpdated:
			l.listed(now, ev)
		case router.QueryArrived:
			c := &command{QueryArrived: ev, profile: &r.facts.Profiles[ev.Class], at: now, number: r.Commands,
				deadline: now + ev.TimeLeft - ev.ClientQueueTime, work: work(ev.ID)}
			r.Commands++
			l.commands[ev.ID] = c
			l.taken = append(l.taken, now)
			for _, key := range append([]router.OrderingKey{ev.Key}, ev.MoreKeys...) {
				l.stand(c, key)
			}
		case router.OrderingKeyAdded:
			if c := l.commands[ev.ID]; c != nil {
				l.stand(c, ev.Key)
			}
		case router.ResponseStarted:
			if c := l.commands[ev.ID]; c != nil {
				c.began = true
			}
		case router.AttemptEnded:
			r.ended(controller, now, l, ev)
		case router.ClientDisconnected:
			if c := l.commands[ev.ID]; c != nil {
				c.over = true
				l.settle(c)
			}
		case router.ShutdownStarted:
			l.stop = now + ev.Within
		}
	}
	r.overdue(controller, now, l)
}

func (l *life) listed(now float64, ev router.EndpointsUpdated) {
	if ev.Failed {
		if l.heard { // until now it was told without asking
			l.asked = now
		}
		l.heard = false
		return
	}
	l.expired = ev.ExpiredFor
	l.heard = l.heard || !ev.Cached
	named := map[router.EngineID]bool{}
	for _, e := range ev.Endpoints {
		l.engines[e.Engine], named[e.Engine] = e, true
	}
	for id, e := range l.engines {
		if ev.Complete && !named[id] {
			e.State = router.Gone
			l.engines[id] = e
		}
	}
}

func (r *Checker) ended(controller int, now float64, l *life, ev router.AttemptEnded) {
	c := l.commands[ev.ID]
	if c == nil || int(ev.Attempt) >= len(c.sends) {
		return
	}
	s := &c.sends[ev.Attempt]
	s.ended, s.outcome = true, ev.Outcome
	if ev.QueryDone && !c.over {
		if now > c.deadline+r.facts.Guards.EventInterval+slack && !c.began {
			r.breach(Answered, now, controller, "command %d answered %.1f ms after its timeout", ev.ID, now-c.deadline)
		}
		c.over = true
	}
	if ev.Outcome.MayRunOn() {
		c.rest = max(c.rest, now+r.facts.Guards.OrderingCooldown)
	}
	for _, key := range c.keys {
		l.rests[key] = max(l.rests[key], c.rest)
	}
	l.settle(c)
}

// settle forgets a command that no rule needs: over, and without a send out.
func (l *life) settle(c *command) {
	for _, s := range c.sends {
		if !s.ended {
			return
		}
	}
	if !c.over {
		return
	}
	delete(l.commands, c.ID)
	for _, key := range c.keys {
		line := l.lines[key]
		for i, o := range line {
			if o == c {
				l.lines[key] = append(line[:i:i], line[i+1:]...)
			}
		}
		if len(l.lines[key]) == 0 {
			delete(l.lines, key)
		}
	}
}

// stand files a command under one more key, by when it came.
func (l *life) stand(c *command, key router.OrderingKey) {
	if !c.profile.Ordered || key == "" || contains(c.keys, key) {
		return
	}
	c.keys = append(c.keys, key)
	l.rests[key] = max(l.rests[key], c.rest) // what it left may still run
	line := append(l.lines[key], c)
	for i := len(line) - 1; i > 0 && line[i-1].number > c.number; i-- {
		line[i-1], line[i] = line[i], line[i-1]
	}
	l.lines[key] = line
}

// by is when a command's answer is due; one that comes after a planned end is due at once.
func (c *command) by(l *life) float64 { return max(c.at, min(c.deadline, l.stop)) }

// overdue looks for commands that should have had their answer by now. It is told of a step before what the
// controller does in it, so a round is granted.
func (r *Checker) overdue(controller int, now float64, l *life) {
	for _, c := range l.commands {
		if by := c.by(l); !c.over && !c.began && now > by+r.facts.Guards.EventInterval+slack {
			r.breach(Answered, now, controller, "command %d has no answer %.1f ms after its timeout", c.ID, now-by)
			c.over = true
			l.settle(c)
		}
	}
	if r.facts.Allowed.PollEndpoints && !l.heard && now-l.asked > r.facts.Guards.PollWithin {
		r.breach(Drains, now, controller, "has not asked for the list for %.1f ms", now-l.asked)
		l.asked = now
	}
}

// Ordered takes in what a controller orders in one step, in its order.
func (r *Checker) Ordered(controller int, now float64, actions []router.Action) {
	l := r.lives[controller]
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			r.send(controller, now, l, a)
		case router.Reject:
			r.Sheds++
			r.final(controller, now, l, a.ID, "shed")
			if c := l.commands[a.ID]; c != nil {
				r.mayShed(controller, now, c)
			}
			if a.RetryAfter < 0 || a.RetryAfter > r.facts.Allowed.MaxRetryAfter+slack || math.IsNaN(a.RetryAfter) {
				r.breach(Form, now, controller, "command %d shed for %v ms", a.ID, a.RetryAfter)
			}
		case router.Fail:
			r.Fails++
			r.final(controller, now, l, a.ID, "failed")
		case router.CancelAttempt:
			c := l.commands[a.ID]
			if !r.facts.Allowed.Cancel || c != nil && int(a.Attempt) >= len(c.sends) {
				r.breach(Form, now, controller, "send %d of command %d cancelled", a.Attempt, a.ID)
			}
		case router.CheckHealth:
			if _, known := l.engines[a.Engine]; !known || !r.facts.Allowed.HealthChecks {
				r.breach(Form, now, controller, "engine %s probed", a.Engine)
			}
		case router.Subscribe:
			l.asked = now
		case router.SetTimer:
			if !(a.After > 0) {
				r.breach(Form, now, controller, "wakes after %v ms", a.After)
			}
		}
	}
	for _, action := range actions { // what was over and had no send out is needed no more
		switch a := action.(type) {
		case router.Reject:
			r.close(l, a.ID)
		case router.Fail:
			r.close(l, a.ID)
		}
	}
}

func (r *Checker) close(l *life, id router.QueryID) {
	if c := l.commands[id]; c != nil {
		l.settle(c)
	}
}

// final judges a final answer: there is one for each command, in time.
func (r *Checker) final(controller int, now float64, l *life, id router.QueryID, how string) {
	c := l.commands[id]
	switch {
	case c == nil:
		r.breach(Form, now, controller, "command %d, which it has not, %s", id, how)
	case c.over:
		r.breach(Answered, now, controller, "command %d %s after its end", id, how)
	case c.began:
		r.breach(Answered, now, controller, "command %d %s though its answer has begun", id, how)
	case now > c.by(l)+r.facts.Guards.EventInterval+slack:
		r.breach(Answered, now, controller, "command %d %s %.1f ms after its timeout", id, how, now-c.by(l))
	}
	if c != nil {
		c.over = true
	}
}

// doubt is the first send that may have run or is still out; nil if none may have run.
func (c *command) doubt() *send {
	for i := range c.sends {
		if s := &c.sends[i]; !s.ended || !s.outcome.NeverRan() {
			return s
		}
	}
	return nil
}

func (r *Checker) mayShed(controller int, now float64, c *command) {
	p := c.profile
	if p.Effect == router.NonIdempotent && c.doubt() != nil ||
		p.Effect == router.Deduplicated && p.Scope != router.ScopeAll && c.doubt() != nil {
		r.breach(Once, now, controller, "command %d shed though it may have run", c.ID)
	}
}

func sameGroup(scope router.DeduplicationScope, a, b router.Endpoint) bool {
	switch scope {
	case router.ScopeAll:
		return true
	case router.ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Cell == b.Cell
}

// send judges one send by all rules that it can break.
func (r *Checker) send(controller int, now float64, l *life, a router.StartAttempt) {
	c, e := l.commands[a.ID], l.engines[a.Engine]
	if c == nil || c.over {
		r.breach(Answered, now, controller, "command %d sent after its end", a.ID)
		return
	}
	if r.Sends++; c.began {
		r.breach(Answered, now, controller, "command %d sent though its answer has begun", a.ID)
	}
	if e.Engine == "" {
		r.breach(Form, now, controller, "command %d sent to %s, which is in none of its lists", a.ID, a.Engine)
		return
	}
	r.drains(controller, now, l, c, e)
	p := c.profile
	if p.Kinds != nil && !contains(p.Kinds, e.Kind) || p.Zones != nil && !contains(p.Zones, e.Zone) ||
		c.Kinds != nil && !contains(c.Kinds, e.Kind) || c.Zones != nil && !contains(c.Zones, e.Zone) {
		r.breach(Placement, now, controller, "command %d sent to kind %d, zone %q", c.ID, e.Kind, e.Zone)
	}
	r.repeats(controller, now, c, e)
	r.order(controller, now, l, c)
	r.budget(controller, now, l, c)
	r.cold(controller, now, c, e)
	c.sends = append(c.sends, send{at: now, engine: e})
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (r *Checker) drains(controller int, now float64, l *life, c *command, e router.Endpoint) {
	if e.State != router.Ready {
		r.breach(Drains, now, controller, "command %d sent to %s, told to be state %d", c.ID, e.Engine, e.State)
	}
	if l.expired == 0 {
		return
	}
	for _, at := range r.drained[e.Engine] {
		if at >= e.StartedAt && now-at > l.expired && !r.restarted(e.Engine, at) {
			r.breach(Drains, now, controller, "command %d sent to %s, which counts as told to drain for %.1f ms", c.ID,
				e.Engine, now-at)
		}
	}
}

// restarted tells whether a process began under an engine's id since a time.
func (r *Checker) restarted(engine router.EngineID, since float64) bool {
	for _, at := range r.started[engine] {
		if at >= since {
			return true
		}
	}
	return false
}

func (r *Checker) repeats(controller int, now float64, c *command, e router.Endpoint) {
	if len(c.sends) == 0 {
		return
	}
	r.Further++
	p, doubt := c.profile, c.doubt()
	if len(c.sends) >= r.facts.Allowed.MaxAttempts {
		r.breach(Form, now, controller, "command %d sent %d times", c.ID, len(c.sends)+1)
	}
	for _, s := range c.sends {
		if !s.ended && !r.facts.Allowed.Hedging {
			r.breach(Once, now, controller, "command %d sent while it is out", c.ID)
			break
		}
	}
	switch {
	case doubt == nil || p.Effect == router.Idempotent:
	case p.Effect == router.NonIdempotent:
		r.breach(Once, now, controller, "command %d sent again though it may have run", c.ID)
	case !sameGroup(p.Scope, doubt.engine, e):
		r.breach(Once, now, controller, "command %d sent out of the group that drops its repeats", c.ID)
	case now > doubt.at+p.DeduplicationWindow+slack:
		r.breach(Once, now, controller, "command %d sent %.1f ms after its window", c.ID,
			now-doubt.at-p.DeduplicationWindow)
	}
}

func (r *Checker) order(controller int, now float64, l *life, c *command) {
	for _, key := range c.keys {
		ahead := true
		for _, o := range l.lines[key] {
			if o == c {
				ahead = false
			} else if ahead || o.out() {
				r.breach(Order, now, controller, "command %d sent while %d of key %q is ahead or out", c.ID, o.ID, key)
			}
		}
		if len(c.sends) == 0 && now < l.rests[key]-slack {
			r.breach(Order, now, controller, "command %d sent while key %q rests for %.1f ms", c.ID, key, l.rests[key]-now)
		}
	}
}

func (r *Checker) budget(controller int, now float64, l *life, c *command) {
	g := r.facts.Guards
	if !g.RetryBudgeted || len(c.sends) == 0 {
		return
	}
	l.resends = append(l.resends, now)
	n, most := within(l.resends, now-g.RetryBudgetWindow, now), g.RetryBudgetMin+g.RetryBudgetRatio*
		float64(within(l.taken, now-g.RetryBudgetWindow, now))
	if float64(n) > most+slack {
		r.breach(Budget, now, controller, "%d further sends in the window, %.2f allowed", n, most)
	}
}

// within counts the times after from, up to to; times are in order.
func within(times []float64, from, to float64) (n int) {
	for i := len(times) - 1; i >= 0 && times[i] > from; i-- {
		if times[i] <= to {
			n++
		}
	}
	return n
}

// cold judges what all controllers that were told of an engine's start have sent it within the window, as if it had
// no more than its least capacity.
func (r *Checker) cold(controller int, now float64, c *command, e router.Endpoint) {
	g := r.facts.Guards
	if g.SlowStartOverload <= 0 || e.StartedAt == 0 || now > e.StartedAt+g.SlowStartTime {
		return
	}
	cores := 8.0 // of a kind that the settings don't list
	if e.Kind >= 0 {
		cores = r.facts.Kinds[e.Kind].Cores
	}
	r.ColdSends++
	at := process{e.Engine, e.StartedAt}
	r.work[at] = append(r.work[at], sent{now, c.work})
	sum, whole := 0.0, g.SlowStartOverload*g.SlowStartCapacity*cores*g.SlowStartWindow
	for i := len(r.work[at]) - 1; i >= 0 && r.work[at][i].at > now-g.SlowStartWindow; i-- {
		sum += r.work[at][i].work
	}
	if sum > whole {
		r.breach(Cold, now, controller, "%s was sent %.0f ms of work in the window, of %.0f", e.Engine, sum, whole)
	}
}
