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

// decayedMean is a pair of sums that halve every life milliseconds, brought up to date when something is added. Reading it
// changes nothing, so that who reads more or less of them, or at other times, still reads the same to the last bit.
type decayedMean struct{ halfLife, updatedAt, sum, weight float64 }

// decayFactor is what is left of one by now.
func (d *decayedMean) decayFactor(now float64) float64 {
	if now > d.updatedAt {
		return math.Exp2((d.updatedAt - now) / d.halfLife)
	}
	return 1
}

func (d *decayedMean) advance(now float64) {
	if now > d.updatedAt {
		f := d.decayFactor(now)
		d.sum, d.weight, d.updatedAt = d.sum*f, d.weight*f, now
	}
}

func (d *decayedMean) add(now, x, n float64) { d.advance(now); d.sum += x; d.weight += n }

// capWeight makes what is there weigh as much as n additions at most.
func (d *decayedMean) capWeight(now, n float64) {
	if d.advance(now); d.weight > n {
		d.sum, d.weight = d.sum*n/d.weight, n
	}
}

// mean leans on a prior that counts as much as weight of what was added.
func (d *decayedMean) mean(now, prior, weight float64) float64 {
	if d.weight == 0 && d.sum == 0 {
		return prior
	}
	f := d.decayFactor(now)
	if d.weight*f+weight < 1e-9 {
		return prior
	}
	return (d.sum*f + prior*weight) / (d.weight*f + weight)
}

// rate is what was added for each millisecond, over about the last life.
func (d *decayedMean) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.decayFactor(now) * math.Ln2 / d.halfLife
}

// slidingWindow are amounts at times within a sliding window.
type slidingWindow struct {
	times, amounts []float64
	total          float64
}

func (s *slidingWindow) add(at, amount float64) {
	s.times, s.amounts, s.total = append(s.times, at), append(s.amounts, amount), s.total+amount
}

// sumSince is the sum of what came at from or later; what came before is dropped.
func (s *slidingWindow) sumSince(from float64) float64 {
	for len(s.times) > 0 && s.times[0] < from {
		s.total -= s.amounts[0]
		s.times, s.amounts = s.times[1:], s.amounts[1:]
	}
	if len(s.times) == 0 {
		s.total = 0
	}
	return s.total
}

type finalAnswer int

const (
	unanswered finalAnswer = iota
	rejected
	failedFinally
)

// attempt is one send of a command.
type attempt struct {
	engine                 *engine
	startedAt, lastHeardAt float64 // when it left, and when last heard of
	outstanding, cancelled bool
	abandoned              bool // out, but not waited for
	failed                 bool // by what is known of it, or its engine has gone quiet
	endedInError           bool // it ended as an error, which may be the command's own fault
	memoryMB               float64
}

// query is one that is owed an answer, or has a send without an outcome. The want fields are the wanted
// state: emit alone compares them with the rest.
type query struct {
	id                               QueryID
	class                            *queryClass
	tables                           *tableGroup
	tenant                           *tenant // nil: none
	overQuota                        bool
	queues                           []*orderingQueue // of its order keys, in whose turns it stands
	arrivalOrder                     uint64           // its place among all by arrival
	cooldownUntil                    float64          // until when nothing may follow it under a key, by its doubtful outcomes
	arrivedAt                        float64
	firstTriedAt                     float64 // when its client first did, as far as its client timeout tells
	deadline                         float64
	estimatedWork, estimatedMemoryMB float64
	uncappedEstimate                 float64  // its estimate before an operator's rule cut it: what guards cold engines learns by that
	kinds                            []KindID // that its profile's are narrowed to; nil: they are not
	zones                            []Zone
	attempts                         []attempt
	awaited                          int // sends that are waited for
	outstanding                      int // and all without an outcome
	done, responseStarted            bool
	unresolvedAt                     float64 // when the first send left that may have run
	unresolved                       *engine // where it went; nil: none may have run

	startOn      *engine
	startBy      float64 // with it: by when the send must have gone out; 0: at any time
	answer       finalAnswer
	cancelWanted bool
	changed      bool
}

// queryClass is what is stated of a profile, with what was learned of it.
type queryClass struct {
	QueryClass
	firstTryTimeout  float64     // what a first try leaves until its client gives up: the most seen
	bestUnitTime     float64     // least mean, lately, of the time taken over the unit: how it runs alone
	unitTime         decayedMean // time taken over the unit
	logSlowdown      decayedMean // logarithm of the time taken over the time alone, lately
	work             decayedMean // what a command needs on one thread
	workScale        decayedMean // true work over estimate
	memoryScale      decayedMean // true memory over estimate
	unconfirmedSince float64     // when best and scales were put in or last borne out, if they are remembered; 0: they are its own
}

// orderingQueue is the queue of one order key, by arrival; rest is when its next command may start after a doubtful outcome.
type orderingQueue struct {
	key           OrderingKey
	queries       []*query
	cooldownUntil float64
	joinedLate    bool // commands came to it that were held or out before, so one behind the first may be out
}

// followerOutstanding tells whether a command behind the first is out.
func (queue *orderingQueue) followerOutstanding() bool {
	return queue.joinedLate && slices.ContainsFunc(queue.queries[1:], func(q *query) bool { return q.outstanding > 0 })
}

// engine is one of the list, or one that left it with sends still out.
type engine struct {
	id                EngineID
	idHash            uint64 // of the id
	state             EngineState
	zone              Zone
	kind              KindID
	cell              CellID
	startedAt         float64
	cores             float64
	attempts          int                     // own sends out
	threads           float64                 // of these
	tableLocks        map[*tableGroup]int     // own loads out, by what they hold
	tablesLockedUntil map[*tableGroup]float64 // by a note that a load holds them
	othersInflight    decayedMean             // commands of other controllers, by its reports
	utilization, disk decayedMean
	memoryGranted     float64 // share of its memory, by its last report
	reportedAt        float64
	slowdown          decayedMean // time taken over the time alone
	outcomes          uint64      // the last outcomes, a bit each, 1 for success
	trialAt           float64
	trialWait         float64
	checkingHealth    bool
	healthCheckAt     float64
	threadsPerCore    float64 // threads a core that all controllers together may run here, by what this one sees
	limitDecreasedAt  float64
	classBackoffs     map[*queryClass]*backoff // of profiles that it turned away
	slowStartWork     slidingWindow
	answeredStartAt   float64     // when what it last answered was sent to it
	connectionLostAt  float64     // when a connection to it was last lost, or not to be had
	pool              *enginePool // which it has
}

// backoff is how long something waits between tries: twice as long after each that fails, half as long after
// each that does well. What left before the last change tells nothing of it.
type backoff struct {
	changedAt, until, wait float64
	lastFailed             bool    // the last send failed
	succeededAt            float64 // when one last did well
}

func (t *backoff) increase(now, sent, least, most float64) {
	if sent >= t.changedAt {
		t.changedAt, t.wait = now, min(most, max(least, 2*t.wait))
		t.until = now + t.wait
	}
}

func (t *backoff) decrease(now, sent, least float64) {
	t.succeededAt = now
	if t.wait > 0 && sent >= t.changedAt {
		if t.changedAt, t.wait = sent, t.wait/2; t.wait < least {
			t.wait = 0
		}
		t.until = sent + t.wait
	}
}

// recordStart takes in that one try is made: until the rest is over, or this does well, it is the only one.
func (t *backoff) recordStart(now float64) {
	if t.wait > 0 {
		t.until = now + t.wait
	}
}

// succeededSince tells whether the last send did well, since then.
func (t *backoff) succeededSince(since float64) bool { return !t.lastFailed && t.succeededAt > since }

// classBackoff is the rest of a profile at an engine.
func (e *engine) classBackoff(class *queryClass) *backoff {
	if e.classBackoffs[class] == nil {
		e.classBackoffs[class] = &backoff{}
	}
	return e.classBackoffs[class]
}

// tableLocksHeld is how many loads are known to hold a table group on the engine.
func (e *engine) tableLocksHeld(g *tableGroup, now float64) float64 {
	if now < e.tablesLockedUntil[g] {
		return float64(e.tableLocks[g] + 1)
	}
	return float64(e.tableLocks[g])
}

// failedAttemptsOn is how many sends of c failed on e.
func (q *query) failedAttemptsOn(e *engine) (n float64) {
	for _, s := range q.attempts {
		if s.failed && s.engine == e {
			n++
		}
	}
	return n
}

// tableGroup is a group of tables with its learned demand.
type tableGroup struct {
	id          TableGroup
	lastQueryAt float64       // when it was last named
	openQueries int           // commands on it in the books
	hot         bool          // it was said to be
	confirmed   bool          // commands on it have been answered; else any stranger may have named it
	demand      decayedMean   // work asked for
	memoryTime  decayedMean   // memory times time, of this controller's sends
	pools       []*enginePool // by kind
}

// enginePool is a pack, or several packs that share as merged, with the engines of one kind that it owns.
type enginePool struct {
	packs       [][]*tableGroup
	engines     []*engine
	targetCount int // how many it is to have
}

func (pool *enginePool) tableGroups() []*tableGroup { return slices.Concat(pool.packs...) }

// alarm is a time at which a command must be looked at.
type alarm struct {
	at    float64
	query *query
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].query.id, a[j].query.id)) < 0
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
	rng          *rand.Rand
	controllers  float64
	index        int
	kinds        []MachineKind
	classes      []*queryClass
	tenants      []*tenant
	capabilities Capabilities
	limits       SafetyLimits

	now, startedAt, firstQueryAt float64
	queries                      map[QueryID]*query
	queue                        []*query // by client timeout
	orderingQueues               map[OrderingKey]*orderingQueue
	arrivalCount                 uint64        // commands taken
	idleKeys                     []OrderingKey // of empty lines that may not be forgotten yet
	retries, arrivals            slidingWindow
	engines                      map[EngineID]*engine
	engineList                   []*engine   // by id
	share                        decayedMean // own commands over all, by reports
	attempts                     int         // own sends out, on all engines,
	queryRate                    decayedMean // commands taken
	threads, pooledThreadLimit   float64     // their threads, and the bound on these
	readyCores                   float64     // of the engines that are ready
	tableGroups                  map[TableGroup]*tableGroup
	groupList                    []*tableGroup   // by id
	pools                        [][]*enginePool // by kind
	changed                      []*query
	alarms                       alarms
	subscribed                   bool
	subscribeWanted              bool
	healthChecksWanted           []*engine   // to be probed
	healthCheckCredit            float64     // probes that may be made
	othersPerCore                decayedMean // commands a core that others hold, by all reports
	pollAt, periodicAt           float64
	rebalanceAt                  float64
	packed                       bool // by learned footprints
	timerAt                      float64
	sizeLimit                    float64 // the largest command taken, in usual work of its profile
	objectiveMissed              bool    // a latency target, since it was last looked at
	overloadedUntil              float64 // by the last fresh command given up while held
	shutdownAt                   float64 // when this controller ends
	endpointsUpdatedAt           float64 // when there was last news of the list
	expiredFor                   float64 // it has expired: drains older than this count as told; 0: it has not
}

// tenant is one that shares the fleet, with what it asks for here.
type tenant struct {
	Tenant
	queries decayedMean // commands taken
}

// New makes the module of a controller that has just started.
func New(seed int64, identity Identity, kinds []MachineKind, classes []QueryClass, tenants []Tenant, capabilities Capabilities,
	limits SafetyLimits) *Router {
	r := &Router{rng: rand.New(rand.NewSource(seed)), controllers: max(1, float64(identity.Controllers)),
		index: identity.Index,
		kinds: kinds, capabilities: capabilities, limits: limits, startedAt: -1, shutdownAt: math.Inf(1), sizeLimit: maxSizeLimit,
		share: decayedMean{halfLife: shareHalfLife}, othersPerCore: decayedMean{halfLife: shareHalfLife}, queryRate: decayedMean{halfLife: shareHalfLife},
		queries: map[QueryID]*query{}, orderingQueues: map[OrderingKey]*orderingQueue{},
		engines:     map[EngineID]*engine{},
		tableGroups: map[TableGroup]*tableGroup{}, pools: make([][]*enginePool, len(kinds))}
	for _, p := range classes {
		scale := decayedMean{halfLife: scaleHalfLife}
		r.classes = append(r.classes, &queryClass{QueryClass: p, unitTime: decayedMean{halfLife: unitTimeHalfLife},
			logSlowdown: decayedMean{halfLife: logSlowdownHalfLife},
			work:        decayedMean{halfLife: workHalfLife}, workScale: scale, memoryScale: scale})
	}
	for _, t := range tenants {
		r.tenants = append(r.tenants, &tenant{Tenant: t, queries: decayedMean{halfLife: tenantHalfLife}})
	}
	if !capabilities.RetryAfter {
		r.capabilities.MaxRetryAfter = 0
	}
	if capabilities.ProgressInterval == 0 {
		r.capabilities.ProgressInterval = math.Inf(1)
	}
	return r
}

// markChanged lets emit look at c.
func (r *Router) markChanged(q *query) {
	if !q.changed {
		q.changed = true
		r.changed = append(r.changed, q)
	}
}

// insertSorted keeps list ordered by compare, which must tell all its members apart.
func insertSorted[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}

func byEngineID(a, b *engine) int    { return cmp.Compare(a.id, b.id) }
func byGroupID(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }
func byDeadline(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// tableGroupOf is the table group of an id; a new one finds its owners.
func (r *Router) tableGroupOf(id TableGroup) *tableGroup {
	g := r.tableGroups[id]
	if g == nil {
		g = &tableGroup{id: id, demand: decayedMean{halfLife: demandHalfLife}, memoryTime: decayedMean{halfLife: demandHalfLife},
			pools: make([]*enginePool, len(r.kinds))}
		r.tableGroups[id], r.groupList = g, insertSorted(r.groupList, g, byGroupID)
		for k := range r.pools {
			r.addToPool(k, g)
		}
	}
	return g
}

// addQuery files a new command, in the line of its key if it has one.
func (r *Router) addQuery(ev QueryArrived) *query {
	g := r.tableGroupOf(ev.Tables)
	g.lastQueryAt = r.now
	q := &query{id: ev.ID, class: r.classes[ev.Class], tables: g, arrivedAt: r.now,
		firstTriedAt: r.now, deadline: r.now + ev.TimeLeft, estimatedWork: ev.EstimatedWork, uncappedEstimate: ev.EstimatedWork, estimatedMemoryMB: ev.EstimatedMemoryMB, kinds: ev.Kinds, zones: ev.Zones}
	if ev.EstimateCap > 0 {
		q.estimatedWork = min(q.estimatedWork, ev.EstimateCap)
	}
	r.queries[q.id] = q
	g.openQueries++
	r.queryRate.add(r.now, 1, 0)
	if ev.Tenant >= 0 {
		q.tenant = r.tenants[ev.Tenant]
		q.tenant.queries.add(r.now, 1, 0)
	}
	if r.firstQueryAt == 0 {
		r.firstQueryAt = r.now
	}
	if r.limits.RetryBudgeted {
		r.arrivals.add(r.now, 1)
	}
	r.arrivalCount++
	q.arrivalOrder = r.arrivalCount
	r.joinOrderingQueue(q, ev.Key)
	for _, key := range ev.MoreKeys {
		r.joinOrderingQueue(q, key)
	}
	return q
}

func byArrival(a, b *query) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) }

// joinOrderingQueue files a command in the line of a key, if its profile keeps order.
func (r *Router) joinOrderingQueue(q *query, key OrderingKey) {
	if !q.class.Ordered || key == "" {
		return
	}
	queue := r.orderingQueues[key]
	if queue == nil {
		queue = &orderingQueue{key: key}
		r.orderingQueues[key] = queue
	}
	if !slices.Contains(q.queues, queue) {
		queue.joinedLate = queue.joinedLate || len(queue.queries) > 0 && byArrival(q, queue.queries[len(queue.queries)-1]) < 0 || q.outstanding > 0
		q.queues, queue.queries = append(q.queues, queue), insertSorted(queue.queries, q, byArrival)
		queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	}
}

// recordAttemptStart counts a send of c on e as out, so that the next choice of the same step sees it.
func (r *Router) recordAttemptStart(q *query, e *engine, mem, work, begin float64) {
	if len(q.attempts) > 0 && r.limits.RetryBudgeted {
		r.retries.add(r.now, 1)
	}
	q.attempts = append(q.attempts, attempt{engine: e, startedAt: r.now, lastHeardAt: r.now, outstanding: true, memoryMB: mem})
	q.outstanding++
	q.awaited, e.attempts, r.attempts = q.awaited+1, e.attempts+1, r.attempts+1
	e.threads, r.threads = e.threads+q.class.Threads, r.threads+q.class.Threads
	if r.now < e.startedAt+r.limits.SlowStartTime+r.limits.SlowStartWindow {
		e.slowStartWork.add(r.now, work)
	}
	if q.class.LocksTables {
		e.tableLocks[q.tables]++
	}
	q.startOn, q.startBy = e, begin
	r.markChanged(q)
}

// recordAttemptEnd takes in that a send has its outcome: what may have run by it, and whether its key must rest.
func (r *Router) recordAttemptEnd(q *query, a *attempt, ev AttemptEnded) {
	if !a.abandoned {
		r.releaseCapacity(q, a)
	}
	q.outstanding--
	q.tables.memoryTime.add(r.now, a.memoryMB*ev.Elapsed, 1)
	a.outstanding, q.done = false, q.done || ev.QueryDone
	switch ev.Outcome {
	case Errored, ConnectionReset, TimedOut, ConnectFailed:
		a.failed = true
	}
	switch ev.Outcome {
	case Succeeded:
		a.engine.answeredStartAt, a.engine.connectionLostAt = max(a.engine.answeredStartAt, a.startedAt), math.Inf(-1) // the process is the same
		q.tables.confirmed = true
	case ConnectFailed, ConnectionReset, NotSent:
		a.engine.connectionLostAt = r.now
	}
	if !ev.Outcome.NeverRan() && q.unresolved == nil {
		q.unresolvedAt, q.unresolved = a.startedAt, a.engine
	}
	if ev.Outcome.MayStillRun() {
		q.cooldownUntil = r.now + r.limits.OrderingCooldown + r.limits.EventInterval
	}
	for _, queue := range q.queues {
		queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	}
	r.markChanged(q)
}

// recordMeasuredCost files what an answer tells of a command's true work and memory, and reports whether it told the work.
func (class *queryClass) recordMeasuredCost(now float64, c *query, ev AttemptEnded) bool {
	if ev.MemoryMB > 0 && c.estimatedMemoryMB > 0 {
		class.memoryScale.add(now, ev.MemoryMB/c.estimatedMemoryMB, 1)
	}
	if ev.Work > 0 && c.uncappedEstimate > 0 {
		class.workScale.add(now, ev.Work/c.uncappedEstimate, 1)
	}
	return ev.Work > 0 && c.uncappedEstimate > 0
}

// abandonAttempt takes in that a send's answer is not waited for any more; it may have run.
func (r *Router) abandonAttempt(q *query, a *attempt) {
	a.abandoned = true
	r.releaseCapacity(q, a)
	if q.unresolved == nil {
		q.unresolvedAt, q.unresolved = a.startedAt, a.engine
	}
}

// releaseCapacity gives back what a send that is waited for holds.
func (r *Router) releaseCapacity(q *query, a *attempt) {
	e := a.engine
	q.awaited, e.attempts, r.attempts = q.awaited-1, e.attempts-1, r.attempts-1
	e.threads, r.threads = e.threads-q.class.Threads, r.threads-q.class.Threads
	if q.class.LocksTables {
		if e.tableLocks[q.tables]--; e.tableLocks[q.tables] == 0 {
			delete(e.tableLocks, q.tables)
		}
	}
}

// removeQuery drops a command that no rule needs any more; a line that still rests is kept until it has.
func (r *Router) removeQuery(q *query) {
	delete(r.queries, q.id)
	q.tables.openQueries--
	for _, queue := range q.queues {
		queue.queries = slices.DeleteFunc(queue.queries, func(o *query) bool { return o == q })
		if len(queue.queries) == 0 {
			queue.joinedLate = false
			r.idleKeys = append(r.idleKeys, queue.key)
		}
	}
}

// removeIdle drops what no rule needs any more.
func (r *Router) removeIdle() {
	r.removeIdleOrderingQueues()
	r.removeGoneEngines()
}

// removeIdleTableGroups drops table groups that nobody has named since then, or since the later time if no command on
// them was ever answered, and that have no command open, with all that is kept by them.
func (r *Router) removeIdleTableGroups(since, strange float64) {
	for _, e := range r.engineList {
		maps.DeleteFunc(e.tablesLockedUntil, func(_ *tableGroup, until float64) bool { return r.now >= until })
	}
	unused := func(g *tableGroup) bool {
		return g.openQueries == 0 && (g.lastQueryAt < since || !g.confirmed && g.lastQueryAt < strange)
	}
	r.groupList = slices.DeleteFunc(r.groupList, unused)
	for _, pool := range slices.Concat(r.pools...) {
		for i := range pool.packs {
			pool.packs[i] = slices.DeleteFunc(pool.packs[i], unused)
		}
	}
	maps.DeleteFunc(r.tableGroups, func(_ TableGroup, g *tableGroup) bool { return unused(g) })
}

// removeIdleOrderingQueues drops empty lines that have rested.
func (r *Router) removeIdleOrderingQueues() {
	r.idleKeys = slices.DeleteFunc(r.idleKeys, func(key OrderingKey) bool {
		queue := r.orderingQueues[key]
		if queue != nil && len(queue.queries) == 0 && r.now >= queue.cooldownUntil {
			delete(r.orderingQueues, key)
		}
		return queue == nil || len(queue.queries) > 0 || r.now >= queue.cooldownUntil
	})
}

// removeGoneEngines drops engines that left the list and owe no outcome.
func (r *Router) removeGoneEngines() {
	r.engineList = slices.DeleteFunc(r.engineList, func(e *engine) bool {
		done := e.state == Gone && e.attempts == 0 && !e.checkingHealth
		if done {
			delete(r.engines, e.id)
		}
		return done
	})
}

// setAlarm has c looked at when its time has come.
func (r *Router) setAlarm(at float64, c *query) {
	if !math.IsInf(at, 1) {
		heap.Push(&r.alarms, alarm{at, c})
	}
}

// popDueQuery is the next command whose time has come, or nil.
func (r *Router) popDueQuery() *query {
	if len(r.alarms) == 0 || r.alarms[0].at > r.now {
		return nil
	}
	return heap.Pop(&r.alarms).(alarm).query
}

// readyEngines is the engines of a kind that the list calls ready, by id.
func (r *Router) readyEngines(k int) (list []*engine) {
	for _, e := range r.engineList {
		if e.state == Ready && int(e.kind) == k {
			list = append(list, e)
		}
	}
	return list
}

// poolDemand is the work asked of an owner's groups, for each millisecond.
func (r *Router) poolDemand(pool *enginePool) float64 {
	sum := 1e-9
	for _, g := range pool.tableGroups() {
		if sum += g.demand.rate(r.now); g.hot {
			sum += (hotDemandFactor - 1) * g.demand.rate(r.now)
		}
	}
	return sum
}

// permits tells whether a list, of which nil is all, holds something.
func permits[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// resetStatistics forgets what was learned of an engine's earlier process.
func (e *engine) resetStatistics() {
	e.outcomes, e.trialWait, e.trialAt = math.MaxUint64, minTrialWait, 0
	e.othersInflight, e.utilization, e.disk = decayedMean{halfLife: othersHalfLife}, decayedMean{halfLife: reportHalfLife}, decayedMean{halfLife: reportHalfLife}
	e.slowdown, e.reportedAt, e.threadsPerCore = decayedMean{halfLife: reportHalfLife}, 0, initialThreadsPerCore
	clear(e.classBackoffs)
}

// updateEngines takes in the entries of a list; what a whole list doesn't name has left.
func (r *Router) updateEngines(ev EndpointsUpdated) {
	if r.expiredFor = ev.ExpiredFor; r.expiredFor == 0 {
		r.endpointsUpdatedAt = r.now
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
			e = &engine{id: entry.Engine, idHash: h.Sum64(), tableLocks: map[*tableGroup]int{},
				tablesLockedUntil: map[*tableGroup]float64{}, classBackoffs: map[*queryClass]*backoff{}}
			r.engines[e.id], r.engineList = e, insertSorted(r.engineList, e, byEngineID)
			e.resetStatistics()
		} else if since > e.startedAt {
			e.resetStatistics()
		}
		e.state, e.zone, e.kind, e.cell = entry.State, entry.Zone, entry.Kind, entry.Cell
		e.startedAt = since
		e.cores = defaultCores
		if e.kind >= 0 {
			e.cores = r.kinds[e.kind].Cores
		}
	}
	for _, e := range r.engineList {
		if ev.Complete && !named[e.id] {
			e.state = Gone
		}
	}
}

// handle hands an event to who decides by it, or files it.
func (r *Router) handle(event Event) {
	switch ev := event.(type) {
	case EndpointsUpdated:
		r.endpointsUpdated(ev)
	case QueryArrived:
		r.queryArrived(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case AttemptProgress:
		r.attemptProgress(ev)
	case ResponseStarted:
		r.responseStarted(ev.ID)
	case ClientDisconnected:
		r.clientDisconnected(ev.ID)
	case HealthCheckEnded:
		r.healthCheckEnded(ev)
	case OrderingKeyAdded:
		if q := r.queries[ev.ID]; q != nil {
			r.joinOrderingQueue(q, ev.Key)
		}
	case StatisticsRestored:
		r.statisticsRestored(ev.Statistics)
	case ShutdownStarted:
		r.startShutdown(ev.Within)
	}
}

// startShutdown has every command looked at by the time that this controller ends.
func (r *Router) startShutdown(within float64) {
	r.shutdownAt = r.now + within
	for _, q := range r.queries { // alarms have an order of their own
		r.setAlarm(r.answerBy(q), q)
	}
}

func (r *Router) responseStarted(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.responseStarted = true
	}
}

// clientDisconnected takes in that c's client has gone: nothing is owed, and what is out is not wanted.
func (r *Router) clientDisconnected(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.done, q.cancelWanted = true, true
		r.markChanged(q)
	}
}

func (r *Router) healthCheckEnded(ev HealthCheckEnded) {
	if e := r.engines[ev.Engine]; e != nil {
		e.checkingHealth = false
		e.recordOutcome(r.now, ev.Outcome == Succeeded)
		r.recordReport(e, ev.Load)
	}
}

// rendezvousAffinity is a fixed leaning from 0 to 1 of a table group to an engine, the same at every controller.
func rendezvousAffinity(g *tableGroup, e *engine) float64 {
	x := e.idHash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

// recordReport files a load report.
func (r *Router) recordReport(e *engine, l *LoadReport) {
	if l == nil || !plausible(l, e) {
		return
	}
	e.reportedAt, e.memoryGranted = r.now, max(0, l.Memory)
	if l.Utilization >= 0 {
		e.utilization.add(r.now, l.Utilization, 1)
	}
	if l.Disk >= 0 {
		e.disk.add(r.now, l.Disk, 1)
	}
	if l.Inflight >= 0 {
		e.othersInflight.capWeight(r.now, 1)
		e.othersInflight.add(r.now, max(0, l.Inflight-float64(e.attempts)), 1)
		r.othersPerCore.add(r.now, max(0, l.Inflight-float64(e.attempts)), e.cores)
		if r.readyCores > 0 {
			r.share.add(r.now, float64(r.attempts)*e.cores/r.readyCores, l.Inflight)
		}
	}
}

// holds tells whether two engines drop each other's repeats.
func scopeCovers(s DeduplicationScope, a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// poolLoad is an owner's load: that of its engines, on average.
func (r *Router) poolLoad(pool *enginePool) (sum float64) {
	for _, e := range pool.engines {
		sum += r.engineLoad(e) / float64(len(pool.engines))
	}
	return sum
}

// outstandingAttempt finds a send that is out; nil if there is none such.
func (r *Router) outstandingAttempt(id QueryID, send AttemptID) (*query, *attempt) {
	q := r.queries[id]
	if q == nil || send < 0 || int(send) >= len(q.attempts) || !q.attempts[send].outstanding {
		return nil, nil
	}
	return q, &q.attempts[send]
}

func (r *Router) setClock(now float64) {
	if r.now = now; r.startedAt < 0 {
		r.startedAt = now
	}
}

func (r *Router) nextAlarmAt() float64 {
	if len(r.alarms) == 0 {
		return math.Inf(1)
	}
	return r.alarms[0].at
}

// collectActions is the one place where the wanted state meets the present.
func (r *Router) collectActions() (actions []Action) {
	for _, q := range r.changed {
		q.changed = false
		if q.startOn != nil {
			actions = append(actions, StartAttempt{ID: q.id, Engine: q.startOn.id, Deadline: q.deadline, StartBy: q.startBy})
			q.startOn = nil
		}
		if q.answer == rejected && !q.done {
			actions = append(actions, Reject{ID: q.id, RetryAfter: r.retryAfterDelay()})
		} else if q.answer == failedFinally && !q.done {
			actions = append(actions, Fail{ID: q.id})
		}
		q.done = q.done || q.answer != unanswered
		for i := range q.attempts {
			if s := &q.attempts[i]; q.cancelWanted && r.capabilities.Cancel && s.outstanding && !s.cancelled {
				s.cancelled = true
				actions = append(actions, CancelAttempt{ID: q.id, Attempt: AttemptID(i)})
			}
		}
		if q.cancelWanted = false; q.done && q.outstanding == 0 {
			r.removeQuery(q)
		}
	}
	for _, e := range r.healthChecksWanted {
		actions = append(actions, CheckHealth{Engine: e.id})
	}
	if r.subscribeWanted {
		r.subscribeWanted = false
		actions = append(actions, Subscribe{})
	}
	r.healthChecksWanted, r.changed = r.healthChecksWanted[:0], r.changed[:0]
	wake := min(r.periodicAt, r.nextAlarmAt())
	if r.timerAt <= r.now || wake < r.timerAt {
		r.timerAt = wake
		actions = append(actions, SetTimer{After: max(0.001, wake-r.now)})
	}
	return actions
}
