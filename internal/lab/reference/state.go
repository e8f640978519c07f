package reference

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"math/rand"
	"slices"
)

// This file holds what a controller remembers and the bookkeeping that keeps it whole. It decides nothing.

// decay is a pair of sums that halve every life milliseconds, brought up to date when something is added. Reading it
// changes nothing, so that who reads more or less of them, or at other times, still reads the same to the last bit.
type decay struct{ life, at, sum, n float64 }

// faded is what is left of one by now.
func (d *decay) faded(now float64) float64 {
	if now > d.at {
		return math.Exp2((d.at - now) / d.life)
	}
	return 1
}

func (d *decay) fade(now float64) {
	if now > d.at {
		f := d.faded(now)
		d.sum, d.n, d.at = d.sum*f, d.n*f, now
	}
}

func (d *decay) add(now, x, n float64) { d.fade(now); d.sum += x; d.n += n }

// cap makes what is there weigh as much as n additions at most.
func (d *decay) cap(now, n float64) {
	if d.fade(now); d.n > n {
		d.sum, d.n = d.sum*n/d.n, n
	}
}

// mean leans on a prior that counts as much as weight of what was added.
func (d *decay) mean(now, prior, weight float64) float64 {
	if d.n == 0 && d.sum == 0 {
		return prior
	}
	f := d.faded(now)
	if d.n*f+weight < 1e-9 {
		return prior
	}
	return (d.sum*f + prior*weight) / (d.n*f + weight)
}

// rate is what was added for each millisecond, over about the last life.
func (d *decay) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.faded(now) * math.Ln2 / d.life
}

// stamps are amounts at times within a sliding window.
type stamps struct {
	at, amount []float64
	total      float64
}

func (s *stamps) add(at, amount float64) {
	s.at, s.amount, s.total = append(s.at, at), append(s.amount, amount), s.total+amount
}

// since is the sum of what came at from or later; what came before is dropped.
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
}

// profile is what is stated of a profile, with what was learned of it.
type profile struct {
	QueryClass
	fullLeft  float64 // what a first try leaves until its client gives up: the most seen
	best      float64 // least mean, lately, of the time taken over the unit: how it runs alone
	unit      decay   // time taken over the unit
	run       decay   // logarithm of the time taken over the time alone, lately
	work      decay   // what a command needs on one thread
	workScale decay   // true work over estimate
	needScale decay   // true memory over estimate
	hearsayAt float64 // when best and scales were put in or last borne out, if they are remembered; 0: they are its own
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

// engine is one of the list, or one that left it with sends still out.
type engine struct {
	id         EngineID
	hash       uint64 // of the id
	state      EngineState
	zone       Zone
	kind       KindID
	cell       CellID
	since      float64
	cores      float64
	out        int                     // own sends out
	threads    float64                 // of these
	loads      map[*tableGroup]int     // own loads out, by what they hold
	heldUntil  map[*tableGroup]float64 // by a note that a load holds them
	others     decay                   // commands of other controllers, by its reports
	util, disk decay
	granted    float64 // share of its memory, by its last report
	reportAt   float64
	slow       decay  // time taken over the time alone
	outcomes   uint64 // the last outcomes, a bit each, 1 for success
	retryAt    float64
	retryWait  float64
	probing    bool
	probeAt    float64
	width      float64 // threads a core that all controllers together may run here, by what this one sees
	cutAt      float64
	rests      map[*profile]*rest // of profiles that it turned away
	coldSent   stamps
	tookAt     float64 // when what it last answered was sent to it
	brokeAt    float64 // when a connection to it was last lost, or not to be had
	owner      *owner  // which it has
}

// rest is how long something waits between tries: twice as long after each that fails, half as long after
// each that does well. What left before the last change tells nothing of it.
type rest struct {
	changed, until, wait float64
	bad                  bool    // the last send failed
	goodAt               float64 // when one last did well
}

func (t *rest) away(now, sent, least, most float64) {
	if sent >= t.changed {
		t.changed, t.wait = now, min(most, max(least, 2*t.wait))
		t.until = now + t.wait
	}
}

func (t *rest) took(now, sent, least float64) {
	t.goodAt = now
	if t.wait > 0 && sent >= t.changed {
		if t.changed, t.wait = sent, t.wait/2; t.wait < least {
			t.wait = 0
		}
		t.until = sent + t.wait
	}
}

// try takes in that one try is made: until the rest is over, or this does well, it is the only one.
func (t *rest) try(now float64) {
	if t.wait > 0 {
		t.until = now + t.wait
	}
}

// good tells whether the last send did well, since then.
func (t *rest) good(since float64) bool { return !t.bad && t.goodAt > since }

// turned is the rest of a profile at an engine.
func (e *engine) turned(p *profile) *rest {
	if e.rests[p] == nil {
		e.rests[p] = &rest{}
	}
	return e.rests[p]
}

// holds is how many loads are known to hold a table group on the engine.
func (e *engine) holds(g *tableGroup, now float64) float64 {
	if now < e.heldUntil[g] {
		return float64(e.loads[g] + 1)
	}
	return float64(e.loads[g])
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

// tableGroup is a group of tables with its learned demand.
type tableGroup struct {
	id     TableGroup
	asked  float64  // when it was last named
	open   int      // commands on it in the books
	hot    bool     // it was said to be
	known  bool     // commands on it have been answered; else any stranger may have named it
	demand decay    // work asked for
	held   decay    // memory times time, of this controller's sends
	homes  []*owner // by kind
}

// owner is a pack, or several packs that share as merged, with the engines of one kind that it owns.
type owner struct {
	packs   [][]*tableGroup
	engines []*engine
	want    int // how many it is to have
}

func (o *owner) groups() []*tableGroup { return slices.Concat(o.packs...) }

// alarm is a time at which a command must be looked at.
type alarm struct {
	at  float64
	cmd *command
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].cmd.id, a[j].cmd.id)) < 0
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
	controllers float64
	number      int
	kinds       []MachineKind
	profiles    []*profile
	tenants     []*tenant
	allowed     Capabilities
	guards      SafetyLimits

	now, born, firstAt float64
	cmds               map[QueryID]*command
	held               []*command // by client timeout
	lines              map[OrderingKey]*line
	turns              uint64        // commands taken
	resting            []OrderingKey // of empty lines that may not be forgotten yet
	resends, taken     stamps
	engines            map[EngineID]*engine
	order              []*engine // by id
	share              decay     // own commands over all, by reports
	out                int       // own sends out, on all engines,
	rate               decay     // commands taken
	threads, pool      float64   // their threads, and the bound on these
	cores              float64   // of the engines that are ready
	tables             map[TableGroup]*tableGroup
	groups             []*tableGroup // by id
	owners             [][]*owner    // by kind
	touched            []*command
	alarms             alarms
	subscribed         bool
	wantList           bool
	asked              []*engine // to be probed
	credit             float64   // probes that may be made
	busy               decay     // commands a core that others hold, by all reports
	askAt, tendAt      float64
	moveAt             float64
	packed             bool // by learned footprints
	wakeAt             float64
	sizeCap            float64 // the largest command taken, in usual work of its profile
	missed             bool    // a latency target, since it was last looked at
	jamUntil           float64 // by the last fresh command given up while held
	stopAt             float64 // when this controller ends
	heardAt            float64 // when there was last news of the list
	expired            float64 // it has expired: drains older than this count as told; 0: it has not
}

// tenant is one that shares the fleet, with what it asks for here.
type tenant struct {
	Tenant
	took decay // commands taken
}

// New makes the module of a controller that has just started.
func New(seed int64, place Identity, kinds []MachineKind, profiles []QueryClass, tenants []Tenant, allowed Capabilities,
	guards SafetyLimits) *Router {
	r := &Router{rng: rand.New(rand.NewSource(seed)), controllers: max(1, float64(place.Controllers)),
		number: place.Index,
		kinds:  kinds, allowed: allowed, guards: guards, born: -1, stopAt: math.Inf(1), sizeCap: mostSize,
		share: decay{life: shareLife}, busy: decay{life: shareLife}, rate: decay{life: shareLife},
		cmds: map[QueryID]*command{}, lines: map[OrderingKey]*line{},
		engines: map[EngineID]*engine{},
		tables:  map[TableGroup]*tableGroup{}, owners: make([][]*owner, len(kinds))}
	for _, p := range profiles {
		scale := decay{life: scaleLife}
		r.profiles = append(r.profiles, &profile{QueryClass: p, unit: decay{life: unitLife},
			run:  decay{life: runLife},
			work: decay{life: workLife}, workScale: scale, needScale: scale})
	}
	for _, t := range tenants {
		r.tenants = append(r.tenants, &tenant{Tenant: t, took: decay{life: tenantLife}})
	}
	if !allowed.RetryAfter {
		r.allowed.MaxRetryAfter = 0
	}
	if allowed.ProgressInterval == 0 {
		r.allowed.ProgressInterval = math.Inf(1)
	}
	return r
}

// touch lets emit look at c.
func (r *Router) touch(c *command) {
	if !c.touched {
		c.touched = true
		r.touched = append(r.touched, c)
	}
}

// insert keeps list ordered by compare, which must tell all its members apart.
func insert[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}

func byEngine(a, b *engine) int    { return cmp.Compare(a.id, b.id) }
func byGroup(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }
func byTimeout(a, b *command) int {
	return cmp.Or(cmp.Compare(a.timeout, b.timeout), cmp.Compare(a.id, b.id))
}

// groupOf is the table group of an id; a new one finds its owners.
func (r *Router) groupOf(id TableGroup) *tableGroup {
	g := r.tables[id]
	if g == nil {
		g = &tableGroup{id: id, demand: decay{life: demandLife}, held: decay{life: demandLife},
			homes: make([]*owner, len(r.kinds))}
		r.tables[id], r.groups = g, insert(r.groups, g, byGroup)
		for k := range r.owners {
			r.join(k, g)
		}
	}
	return g
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

func byTurn(a, b *command) int { return cmp.Compare(a.turn, b.turn) }

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
	c.sends = append(c.sends, sendState{engine: e, at: r.now, word: r.now, out: true, mem: mem})
	c.pending++
	c.out, e.out, r.out = c.out+1, e.out+1, r.out+1
	e.threads, r.threads = e.threads+c.profile.Threads, r.threads+c.profile.Threads
	if r.now < e.since+r.guards.SlowStartTime+r.guards.SlowStartWindow {
		e.coldSent.add(r.now, work)
	}
	if c.profile.LocksTables {
		e.loads[c.tables]++
	}
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
	if ev.Outcome.MayStillRun() {
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
}

// forget drops a command that no rule needs any more; a line that still rests is kept until it has.
func (r *Router) forget(c *command) {
	delete(r.cmds, c.id)
	c.tables.open--
	for _, l := range c.lines {
		l.cmds = slices.DeleteFunc(l.cmds, func(o *command) bool { return o == c })
		if len(l.cmds) == 0 {
			l.mixed = false
			r.resting = append(r.resting, l.key)
		}
	}
}

// forgetOld drops what no rule needs any more.
func (r *Router) forgetOld() {
	r.forgetLines()
	r.forgetEngines()
}

// forgetTables drops table groups that nobody has named since then, or since the later time if no command on
// them was ever answered, and that have no command open, with all that is kept by them.
func (r *Router) forgetTables(since, strange float64) {
	for _, e := range r.order {
		maps.DeleteFunc(e.heldUntil, func(_ *tableGroup, until float64) bool { return r.now >= until })
	}
	gone := func(g *tableGroup) bool {
		return g.open == 0 && (g.asked < since || !g.known && g.asked < strange)
	}
	r.groups = slices.DeleteFunc(r.groups, gone)
	for _, o := range slices.Concat(r.owners...) {
		for i := range o.packs {
			o.packs[i] = slices.DeleteFunc(o.packs[i], gone)
		}
	}
	maps.DeleteFunc(r.tables, func(_ TableGroup, g *tableGroup) bool { return gone(g) })
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

// forgetEngines drops engines that left the list and owe no outcome.
func (r *Router) forgetEngines() {
	r.order = slices.DeleteFunc(r.order, func(e *engine) bool {
		done := e.state == Gone && e.out == 0 && !e.probing
		if done {
			delete(r.engines, e.id)
		}
		return done
	})
}

// setAlarm has c looked at when its time has come.
func (r *Router) setAlarm(at float64, c *command) {
	if !math.IsInf(at, 1) {
		heap.Push(&r.alarms, alarm{at, c})
	}
}

// due is the next command whose time has come, or nil.
func (r *Router) due() *command {
	if len(r.alarms) == 0 || r.alarms[0].at > r.now {
		return nil
	}
	return heap.Pop(&r.alarms).(alarm).cmd
}

// ready is the engines of a kind that the list calls ready, by id.
func (r *Router) ready(k int) (list []*engine) {
	for _, e := range r.order {
		if e.state == Ready && int(e.kind) == k {
			list = append(list, e)
		}
	}
	return list
}

// demand is the work asked of an owner's groups, for each millisecond.
func (r *Router) demand(o *owner) float64 {
	sum := 1e-9
	for _, g := range o.groups() {
		if sum += g.demand.rate(r.now); g.hot {
			sum += (hotWeight - 1) * g.demand.rate(r.now)
		}
	}
	return sum
}

// allows tells whether a list, of which nil is all, holds something.
func allows[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// fresh forgets what was learned of an engine's earlier process.
func (e *engine) fresh() {
	e.outcomes, e.retryWait, e.retryAt = math.MaxUint64, firstTrial, 0
	e.others, e.util, e.disk = decay{life: othersLife}, decay{life: reportLife}, decay{life: reportLife}
	e.slow, e.reportAt, e.width = decay{life: reportLife}, 0, startWidth
	clear(e.rests)
}

// enlist takes in the entries of a list; what a whole list doesn't name has left.
func (r *Router) enlist(ev EndpointsUpdated) {
	if r.expired = ev.ExpiredFor; r.expired == 0 {
		r.heardAt = r.now
	}
	named := map[EngineID]bool{}
	for _, entry := range ev.Endpoints {
		named[entry.Engine] = true
		e, since := r.engines[entry.Engine], entry.StartedAt
		if since == 0 {
			since = math.Inf(-1)
		}
		if e == nil {
			h := fnv.New64a()
			h.Write([]byte(entry.Engine))
			e = &engine{id: entry.Engine, hash: h.Sum64(), loads: map[*tableGroup]int{},
				heldUntil: map[*tableGroup]float64{}, rests: map[*profile]*rest{}}
			r.engines[e.id], r.order = e, insert(r.order, e, byEngine)
			e.fresh()
		} else if since > e.since {
			e.fresh()
		}
		e.state, e.zone, e.kind, e.cell = entry.State, entry.Zone, entry.Kind, entry.Cell
		e.since = since
		e.cores = spareCores
		if e.kind >= 0 {
			e.cores = r.kinds[e.kind].Cores
		}
	}
	for _, e := range r.order {
		if ev.Complete && !named[e.id] {
			e.state = Gone
		}
	}
}

// take hands an event to who decides by it, or files it.
func (r *Router) take(event Event) {
	switch ev := event.(type) {
	case EndpointsUpdated:
		r.listed(ev)
	case QueryArrived:
		r.arrived(ev)
	case AttemptEnded:
		r.ended(ev)
	case AttemptProgress:
		r.noted(ev)
	case ResponseStarted:
		r.begun(ev.ID)
	case ClientDisconnected:
		r.left(ev.ID)
	case HealthCheckEnded:
		r.probed(ev)
	case OrderingKeyAdded:
		if c := r.cmds[ev.ID]; c != nil {
			r.stand(c, ev.Key)
		}
	case StatisticsRestored:
		r.recalled(ev.Statistics)
	case ShutdownStarted:
		r.stopping(ev.Within)
	}
}

// stopping has every command looked at by the time that this controller ends.
func (r *Router) stopping(within float64) {
	r.stopAt = r.now + within
	for _, c := range r.cmds { // alarms have an order of their own
		r.setAlarm(r.endBy(c), c)
	}
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

func (r *Router) probed(ev HealthCheckEnded) {
	if e := r.engines[ev.Engine]; e != nil {
		e.probing = false
		e.judge(r.now, ev.Outcome == Succeeded)
		r.report(e, ev.Load)
	}
}

// likes is a fixed leaning from 0 to 1 of a table group to an engine, the same at every controller.
func likes(g *tableGroup, e *engine) float64 {
	x := e.hash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

// report files a load report.
func (r *Router) report(e *engine, l *LoadReport) {
	if l == nil || !plausible(l, e) {
		return
	}
	e.reportAt, e.granted = r.now, max(0, l.Memory)
	if l.Utilization >= 0 {
		e.util.add(r.now, l.Utilization, 1)
	}
	if l.Disk >= 0 {
		e.disk.add(r.now, l.Disk, 1)
	}
	if l.Inflight >= 0 {
		e.others.cap(r.now, 1)
		e.others.add(r.now, max(0, l.Inflight-float64(e.out)), 1)
		r.busy.add(r.now, max(0, l.Inflight-float64(e.out)), e.cores)
		if r.cores > 0 {
			r.share.add(r.now, float64(r.out)*e.cores/r.cores, l.Inflight)
		}
	}
}

// holds tells whether two engines drop each other's repeats.
func scopeHolds(s DeduplicationScope, a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// mean is an owner's load: that of its engines, on average.
func (r *Router) mean(o *owner) (sum float64) {
	for _, e := range o.engines {
		sum += r.load(e) / float64(len(o.engines))
	}
	return sum
}

// sendOf finds a send that is out; nil if there is none such.
func (r *Router) sendOf(id QueryID, send AttemptID) (*command, *sendState) {
	c := r.cmds[id]
	if c == nil || send < 0 || int(send) >= len(c.sends) || !c.sends[send].out {
		return nil, nil
	}
	return c, &c.sends[send]
}

func (r *Router) setClock(now float64) {
	if r.now = now; r.born < 0 {
		r.born = now
	}
}

func (r *Router) nextAlarm() float64 {
	if len(r.alarms) == 0 {
		return math.Inf(1)
	}
	return r.alarms[0].at
}

// emit is the one place where the wanted state meets the present.
func (r *Router) emit() (actions []Action) {
	for _, c := range r.touched {
		c.touched = false
		if c.wantEngine != nil {
			actions = append(actions, StartAttempt{ID: c.id, Engine: c.wantEngine.id, Deadline: c.timeout, StartBy: c.wantBegin})
			c.wantEngine = nil
		}
		if c.wantEnd == shed && !c.over {
			actions = append(actions, Reject{ID: c.id, RetryAfter: r.comeBack()})
		} else if c.wantEnd == failed && !c.over {
			actions = append(actions, Fail{ID: c.id})
		}
		c.over = c.over || c.wantEnd != open
		for i := range c.sends {
			if s := &c.sends[i]; c.wantCancel && r.allowed.Cancel && s.out && !s.cancelled {
				s.cancelled = true
				actions = append(actions, CancelAttempt{ID: c.id, Attempt: AttemptID(i)})
			}
		}
		if c.wantCancel = false; c.over && c.pending == 0 {
			r.forget(c)
		}
	}
	for _, e := range r.asked {
		actions = append(actions, CheckHealth{Engine: e.id})
	}
	if r.wantList {
		r.wantList = false
		actions = append(actions, Subscribe{})
	}
	r.asked, r.touched = r.asked[:0], r.touched[:0]
	wake := min(r.tendAt, r.nextAlarm())
	if r.wakeAt <= r.now || wake < r.wakeAt {
		r.wakeAt = wake
		actions = append(actions, SetTimer{After: max(0.001, wake-r.now)})
	}
	return actions
}
