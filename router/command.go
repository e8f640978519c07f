package router

import (
	"cmp"
	"math"
	"slices"
)

// The books of commands, their sends and the lines of their order keys. Nothing is decided here.

type ending int

const (
	open ending = iota
	shed
	failed
)

// sendState is one send of a command.
type sendState struct {
	engine         *engine
	at, word       float64 // when it left, and when last heard of
	out, cancelled bool
	lost           bool // out, but not waited for
	failed         bool // by what is known of it, or its engine has gone quiet
	erred          bool // it ended as an error, which may be the command's own fault
	mem            float64
}

// command is one that is owed an answer, or has a send without an outcome. The want fields are the wanted
// state: emit alone compares them with the rest.
type command struct {
	id             QueryID
	profile        *profile
	tables         *tableGroup
	tenant         *tenant // nil: none
	overShare      bool
	lines          []*line // of its order keys, in whose turns it stands
	turn           uint64  // its place among all by arrival
	rest           float64 // until when nothing may follow it under a key, by its doubtful outcomes
	arrived        float64
	asked          float64 // when its client first did, as far as its client timeout tells
	timeout        float64
	estimate, need float64
	stated         float64  // its estimate before an operator's rule cut it: what guards cold engines learns by that
	kinds          []KindID // that its profile's are narrowed to; nil: they are not
	zones          []Zone
	sends          []sendState
	out            int // sends that are waited for
	pending        int // and all without an outcome
	over, begun    bool
	doubtAt        float64 // when the first send left that may have run
	doubt          *engine // where it went; nil: none may have run

	wantEngine *engine
	wantBegin  float64 // with it: by when the send must have gone out; 0: at any time
	wantEnd    ending
	wantCancel bool
	touched    bool
	held       bool    // it is among the held
	parked     bool    // and not the first in one of its lines
	wiseEpoch  int     // by which it was found wise to hold it on,
	wiseUntil  float64 // and until when it is
	watched    bool    // and looked at for giving up, when its time comes
}

// profile is what is stated of a profile, with what was learned of it.
type profile struct {
	QueryClass
	number    int
	fullLeft  float64 // what a first try leaves until its client gives up: the most seen
	best      float64 // least mean, lately, of the time taken over the unit: how it runs alone
	unit      decay   // time taken over the unit
	run       decay   // logarithm of the time taken over the time alone, lately
	work      decay   // what a command needs on one thread
	workScale decay   // true work over estimate
	needScale decay   // true memory over estimate
	hearsayAt float64 // when best and scales were put in or last borne out, if they are remembered; 0: they are its own
	watches   watches // its held commands, to be given up in time
	wisdom    wisdom
}

// line is the queue of one order key, by arrival; rest is when its next command may start after a doubtful outcome.
type line struct {
	key   OrderingKey
	cmds  []*command
	rest  float64
	mixed bool // commands came to it that were held or out before, so one behind the first may be out
}

// others tells whether a command behind the first is out.
func (l *line) others() bool {
	return l.mixed && slices.ContainsFunc(l.cmds[1:], func(c *command) bool { return c.pending > 0 })
}

// failedAt is how many sends of c failed on e.
func (c *command) failedAt(e *engine) (n float64) {
	for _, s := range c.sends {
		if s.failed && s.engine == e {
			n++
		}
	}
	return n
}

// tenant is one that shares the fleet, with what it asks for here.
type tenant struct {
	Tenant
	took decay // commands taken
}

func byTimeout(a, b *command) int {
	return cmp.Or(cmp.Compare(a.timeout, b.timeout), cmp.Compare(a.id, b.id))
}

func byTurn(a, b *command) int { return cmp.Compare(a.turn, b.turn) }

// touch lets emit look at c.
func (r *Router) touch(c *command) {
	if !c.touched {
		c.touched = true
		r.touched = append(r.touched, c)
	}
}

// enrol files a new command, in the line of its key if it has one.
func (r *Router) enrol(ev QueryArrived) *command {
	g := r.groupOf(ev.Tables)
	g.asked = r.now
	c := &command{id: ev.ID, profile: r.profiles[ev.Class], tables: g, arrived: r.now,
		asked: r.now, timeout: r.now + ev.TimeLeft, estimate: ev.EstimatedWork, stated: ev.EstimatedWork, need: ev.EstimatedMemoryMB, kinds: ev.Kinds, zones: ev.Zones}
	if ev.EstimateCap > 0 {
		c.estimate = min(c.estimate, ev.EstimateCap)
	}
	r.cmds[c.id] = c
	g.open++
	r.rate.add(r.now, 1, 0)
	if ev.Tenant >= 0 {
		c.tenant = r.tenants[ev.Tenant]
		c.tenant.took.add(r.now, 1, 0)
	}
	if r.firstAt == 0 {
		r.firstAt = r.now
	}
	if r.guards.RetryBudgeted {
		r.taken.add(r.now, 1)
	}
	r.turns++
	c.turn = r.turns
	r.stand(c, ev.Key)
	for _, key := range ev.MoreKeys {
		r.stand(c, key)
	}
	return c
}

// stand files a command in the line of a key, if its profile keeps order.
func (r *Router) stand(c *command, key OrderingKey) {
	if !c.profile.Ordered || key == "" {
		return
	}
	l := r.lines[key]
	if l == nil {
		l = &line{key: key}
		r.lines[key] = l
	}
	if !slices.Contains(c.lines, l) {
		l.mixed = l.mixed || len(l.cmds) > 0 && byTurn(c, l.cmds[len(l.cmds)-1]) < 0 || c.pending > 0
		c.lines, l.cmds = append(c.lines, l), insert(l.cmds, c, byTurn)
		l.rest = max(l.rest, c.rest)
	}
}

// book counts a send of c on e as out, so that the next choice of the same step sees it.
func (r *Router) book(c *command, e *engine, mem, work, begin float64) {
	if len(c.sends) > 0 && r.guards.RetryBudgeted {
		r.resends.add(r.now, 1)
	}
	r.unhold(c)
	c.sends = append(c.sends, sendState{engine: e, at: r.now, word: r.now, out: true, mem: mem})
	c.pending++
	c.out, e.out, r.out = c.out+1, e.out+1, r.out+1
	e.threads, r.threads = e.threads+c.profile.Threads, r.threads+c.profile.Threads
	if r.now < e.since+r.guards.SlowStartTime+r.guards.SlowStartWindow {
		e.coldSent.add(r.now, work)
	}
	if c.profile.LocksTables {
		e.loads[c.tables]++
		c.tables.heldOn(e)
	}
	r.weigh(e)
	c.wantEngine, c.wantBegin = e, begin
	r.touch(c)
}

// unbook takes in that a send has its outcome: what may have run by it, and whether its key must rest.
func (r *Router) unbook(c *command, s *sendState, ev AttemptEnded) {
	if !s.lost {
		r.free(c, s)
	}
	c.pending--
	c.tables.held.add(r.now, s.mem*ev.Elapsed, 1)
	s.out, c.over = false, c.over || ev.QueryDone
	switch ev.Outcome {
	case Errored, ConnectionReset, TimedOut, ConnectFailed:
		s.failed = true
	}
	switch ev.Outcome {
	case Succeeded:
		s.engine.tookAt, s.engine.brokeAt = max(s.engine.tookAt, s.at), math.Inf(-1) // the process is the same
		c.tables.known = true
	case ConnectFailed, ConnectionReset, NotSent:
		s.engine.brokeAt = r.now
	}
	if !ev.Outcome.NeverRan() && c.doubt == nil {
		c.doubtAt, c.doubt = s.at, s.engine
	}
	if ev.Outcome.MayRunOn() {
		c.rest = r.now + r.guards.OrderingCooldown + r.guards.EventInterval
	}
	for _, l := range c.lines {
		l.rest = max(l.rest, c.rest)
	}
	r.touch(c)
}

// told files what an answer tells of a command's true work and memory, and reports whether it told the work.
func (p *profile) told(now float64, c *command, ev AttemptEnded) bool {
	if ev.MemoryMB > 0 && c.need > 0 {
		p.needScale.add(now, ev.MemoryMB/c.need, 1)
	}
	if ev.Work > 0 && c.stated > 0 {
		p.workScale.add(now, ev.Work/c.stated, 1)
	}
	return ev.Work > 0 && c.stated > 0
}

// lose takes in that a send's answer is not waited for any more; it may have run.
func (r *Router) lose(c *command, s *sendState) {
	s.lost = true
	r.free(c, s)
	if c.doubt == nil {
		c.doubtAt, c.doubt = s.at, s.engine
	}
}

// free gives back what a send that is waited for holds.
func (r *Router) free(c *command, s *sendState) {
	e := s.engine
	c.out, e.out, r.out = c.out-1, e.out-1, r.out-1
	e.threads, r.threads = e.threads-c.profile.Threads, r.threads-c.profile.Threads
	if c.profile.LocksTables {
		if e.loads[c.tables]--; e.loads[c.tables] == 0 {
			delete(e.loads, c.tables)
		}
	}
	r.weigh(e)
}

func (r *Router) begun(id QueryID) {
	if c := r.cmds[id]; c != nil {
		c.begun = true
	}
}

// left takes in that c's client has gone: nothing is owed, and what is out is not wanted.
func (r *Router) left(id QueryID) {
	if c := r.cmds[id]; c != nil {
		c.over, c.wantCancel = true, true
		r.touch(c)
	}
}

// sendOf finds a send that is out; nil if there is none such.
func (r *Router) sendOf(id QueryID, send AttemptID) (*command, *sendState) {
	c := r.cmds[id]
	if c == nil || send < 0 || int(send) >= len(c.sends) || !c.sends[send].out {
		return nil, nil
	}
	return c, &c.sends[send]
}

// forget drops a command that no rule needs any more; a line that still rests is kept until it has.
func (r *Router) forget(c *command) {
	delete(r.cmds, c.id)
	c.tables.open--
	for _, l := range c.lines {
		if l.cmds[0] == c { // the usual one; the rest need not be moved
			l.cmds[0], l.cmds = nil, l.cmds[1:]
		} else if at, found := slices.BinarySearchFunc(l.cmds, c, byTurn); found {
			l.cmds = slices.Delete(l.cmds, at, at+1)
		}
		if len(l.cmds) == 0 {
			l.mixed, l.cmds = false, nil
			r.resting = append(r.resting, l.key)
		} else if next := l.cmds[0]; next.held && next.parked {
			r.park(next)
		}
	}
}

// forgetLines drops empty lines that have rested.
func (r *Router) forgetLines() {
	r.resting = slices.DeleteFunc(r.resting, func(key OrderingKey) bool {
		l := r.lines[key]
		if l != nil && len(l.cmds) == 0 && r.now >= l.rest {
			delete(r.lines, key)
		}
		return l == nil || len(l.cmds) > 0 || r.now >= l.rest
	})
}
