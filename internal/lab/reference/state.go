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

// This file holds the state of a controller and its bookkeeping. It makes no decisions.

// decayedMean is an exponentially decayed mean: a sum and its weight, which halve every halfLife milliseconds and are
// brought up to date by additions. Reads change nothing, so a result is the same to the last bit however often, and at
// whatever times, the mean was read before.
type decayedMean struct{ halfLife, updatedAt, sum, weight float64 }

// decayFactor is the factor by which sum and weight have decayed since updatedAt.
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

// cap limits the weight to n, without changing the mean.
func (d *decayedMean) cap(now, n float64) {
	if d.advance(now); d.weight > n {
		d.sum, d.weight = d.sum*n/d.weight, n
	}
}

// mean is the mean of the added amounts and of a prior with its own weight.
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

// rate is the sum of the amounts added per millisecond, over about the last halfLife.
func (d *decayedMean) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.decayFactor(now) * math.Ln2 / d.halfLife
}

// slidingWindow holds amounts by the times at which they were added.
type slidingWindow struct {
	times, amounts []float64
	total          float64
}

func (s *slidingWindow) add(at, amount float64) {
	s.times, s.amounts, s.total = append(s.times, at), append(s.amounts, amount), s.total+amount
}

// sumSince is the sum of the amounts from a time on. It drops the earlier ones.
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

// attempt is an attempt of a query on an engine.
type attempt struct {
	engine                 *engine
	startedAt, lastHeardAt float64 // ms; lastHeardAt: of the last progress message, startedAt before the first
	outstanding, cancelled bool
	abandoned              bool // its outcome is no longer awaited
	failed                 bool // by its outcome, or because it went silent
	endedInError           bool // it ended in an error that may be the query's own fault
	memoryMB               float64
}

// query is a query without a final answer or with an outstanding attempt. The last fields hold decisions of this step,
// which only collectActions turns into actions.
type query struct {
	id           QueryID
	class        *queryClass
	tables       *tableGroup
	tenant       *tenant // nil: none
	overQuota    bool
	queues       []*orderingQueue // of its ordering keys
	arrivalOrder uint64           // number by arrival, from 1
	// ms, until which its ordering keys are in cooldown: an attempt of it may still be running
	cooldownUntil                    float64
	arrivedAt                        float64
	firstTriedAt                     float64 // ms, of its client's first try, as inferred from the time left
	deadline                         float64
	estimatedWork, estimatedMemoryMB float64
	// the estimate before an operator's rule capped it; slow start and its learned scale use this one
	uncappedEstimate      float64
	kinds                 []KindID // further limit on the kinds of its class; nil: none
	zones                 []Zone
	attempts              []attempt
	awaited               int // outstanding attempts that are not abandoned
	outstanding           int // attempts without an outcome, including abandoned ones
	done, responseStarted bool
	unresolvedAt          float64 // ms, start of the first attempt that may have run without an answer
	unresolved            *engine // engine of that attempt; nil: there is none

	startOn      *engine
	startBy      float64 // ms, latest time to send that attempt; 0: no limit
	answer       finalAnswer
	cancelWanted bool
	changed      bool
}

// queryClass is a configured QueryClass with the statistics of its queries.
type queryClass struct {
	QueryClass
	firstTryTimeout float64 // ms that clients allow for a first try: a slowly decaying maximum
	// ms per unit of work on an idle engine: the lowest recent mean of unitTime; 0: not known
	bestUnitTime float64
	unitTime     decayedMean // ms per unit of work
	logSlowdown  decayedMean // logarithm of the run time over the time on an idle engine
	work         decayedMean // ms on one thread
	workScale    decayedMean // true work over estimated work
	memoryScale  decayedMean // true memory over estimated memory
	// ms, when bestUnitTime and the scales were restored or, if later, the last answer came; 0: they are not
	// restored
	unconfirmedSince float64
}

// orderingQueue is the queue of one ordering key, by arrival. No first attempt starts before cooldownUntil, because an
// earlier attempt may still be running.
type orderingQueue struct {
	key           OrderingKey
	queries       []*query
	cooldownUntil float64
	// a query joined that arrived earlier than the last one or had an outstanding attempt, so one behind the head
	// may have an outstanding attempt
	joinedLate bool
}

// followerOutstanding reports whether a query behind the head has an outstanding attempt.
func (queue *orderingQueue) followerOutstanding() bool {
	return queue.joinedLate && slices.ContainsFunc(queue.queries[1:], func(q *query) bool { return q.outstanding > 0 })
}

// engine is an engine of the endpoint list, or one that has left the list while it has awaited attempts.
type engine struct {
	id                EngineID
	idHash            uint64 // of the id
	state             EngineState
	zone              Zone
	kind              KindID
	cell              CellID
	startedAt         float64
	cores             float64
	attempts          int                     // awaited attempts of this controller
	threads           float64                 // used by these attempts
	tableLocks        map[*tableGroup]int     // attempts of this controller that lock the group
	tablesLockedUntil map[*tableGroup]float64 // ms, until which a reported lock counts as held
	othersInflight    decayedMean             // queries of other controllers in flight, by its load reports
	utilization, disk decayedMean
	memoryGranted     float64 // granted share of its memory in the last report
	reportedAt        float64
	slowdown          decayedMean // run time over the time on an idle engine
	outcomes          uint64      // one bit per outcome, the latest lowest; 1: success
	trialAt           float64
	trialWait         float64
	checkingHealth    bool
	healthCheckAt     float64
	threadsPerCore    float64 // concurrency limit of all controllers together, as estimated here
	limitDecreasedAt  float64
	classBackoffs     map[*queryClass]*backoff // by class
	slowStartWork     slidingWindow
	answeredStartAt   float64     // ms, latest start among the attempts that succeeded on it
	connectionLostAt  float64     // ms, of the last connection failure
	pool              *enginePool // the pool it belongs to
}

// backoff is an exponential backoff: the wait between tries doubles with each failure and halves with each success. A try
// that started before the last change of the wait does not change it again.
type backoff struct {
	changedAt, until, wait float64
	lastFailed             bool    // the last try failed
	succeededAt            float64 // ms, of the last success
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

// recordStart records that a try starts, and blocks further ones until the wait is over or this one succeeds.
func (t *backoff) recordStart(now float64) {
	if t.wait > 0 {
		t.until = now + t.wait
	}
}

// succeededSince reports whether the last try succeeded, and did so after the given time.
func (t *backoff) succeededSince(since float64) bool { return !t.lastFailed && t.succeededAt > since }

// classBackoff is the backoff of a class on an engine.
func (e *engine) classBackoff(class *queryClass) *backoff {
	if e.classBackoffs[class] == nil {
		e.classBackoffs[class] = &backoff{}
	}
	return e.classBackoffs[class]
}

// tableLocksHeld is the number of attempts known to lock a table group on the engine.
func (e *engine) tableLocksHeld(g *tableGroup, now float64) float64 {
	if now < e.tablesLockedUntil[g] {
		return float64(e.tableLocks[g] + 1)
	}
	return float64(e.tableLocks[g])
}

// failedAttemptsOn is the number of attempts of q that failed on e.
func (q *query) failedAttemptsOn(e *engine) (n float64) {
	for _, s := range q.attempts {
		if s.failed && s.engine == e {
			n++
		}
	}
	return n
}

// tableGroup is a group of tables with the learned demand for it and the pools that serve it.
type tableGroup struct {
	id          TableGroup
	lastQueryAt float64       // ms, of the last query on it
	openQueries int           // queries on it that are not removed yet
	hot         bool          // an operator's rule marked it as hot
	confirmed   bool          // a query on it succeeded; until then it may not exist
	demand      decayedMean   // its rate is ms of work on one thread per ms
	memoryTime  decayedMean   // its rate is the megabytes that this controller's attempts use
	pools       []*enginePool // by kind
}

// enginePool is the engines of one kind that serve a pack of table groups, or several packs whose pools were merged.
type enginePool struct {
	packs       [][]*tableGroup
	engines     []*engine
	targetCount int // number of engines that it is to have
}

func (pool *enginePool) tableGroups() []*tableGroup { return slices.Concat(pool.packs...) }

// alarm is a time at which a query must be examined.
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
	arrivalCount                 uint64        // queries so far; source of query.arrivalOrder
	idleKeys                     []OrderingKey // of empty queues that are in cooldown
	retries, arrivals            slidingWindow
	engines                      map[EngineID]*engine
	engineList                   []*engine   // by id
	share                        decayedMean // share of this controller in the queries in flight, by load reports
	attempts                     int         // awaited attempts of this controller, on all engines
	queryRate                    decayedMean // its rate is arrivals per ms
	threads, pooledThreadLimit   float64     // of these attempts, and the limit pooled over all engines
	readyCores                   float64     // of the engines that are ready
	tableGroups                  map[TableGroup]*tableGroup
	groupList                    []*tableGroup   // by id
	pools                        [][]*enginePool // by kind
	changed                      []*query
	alarms                       alarms
	subscribed                   bool
	subscribeWanted              bool
	healthChecksWanted           []*engine   // for collectActions
	healthCheckCredit            float64     // number of health checks that may be started
	othersPerCore                decayedMean // queries of other controllers per core, by load reports
	pollAt, periodicAt           float64
	rebalanceAt                  float64
	packed                       bool // the pools are packed by learned footprints
	timerAt                      float64
	sizeLimit                    float64 // largest work of a query, as a multiple of its class's meanWork
	objectiveMissed              bool    // a latency objective was missed since sizeLimit was last adjusted
	overloadedUntil              float64 // ms; set when a queued query on its client's first try is shed
	shutdownAt                   float64 // ms, of the planned shutdown
	endpointsUpdatedAt           float64 // ms, of the last update of the endpoint list
	// ms; the endpoint list has expired, and drains older than this count as notified; 0: it has not
	expiredFor float64
}

// tenant is a configured Tenant with the rate of queries that it sends to this controller.
type tenant struct {
	Tenant
	queries decayedMean // its rate is queries per ms
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

// markChanged marks q for collectActions.
func (r *Router) markChanged(q *query) {
	if !q.changed {
		q.changed = true
		r.changed = append(r.changed, q)
	}
}

// insertSorted inserts x into a list ordered by compare, by which no two elements may be equal.
func insertSorted[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}

func byEngineID(a, b *engine) int    { return cmp.Compare(a.id, b.id) }
func byGroupID(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }
func byDeadline(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// tableGroupOf returns the table group with an id. A new one is added to a pool of each machine kind.
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

// addQuery adds a new query, also to the queues of its ordering keys.
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

// joinOrderingQueue inserts q into the queue of an ordering key, if its class is ordered.
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

// recordAttemptStart counts an attempt of q on e as started, so that later decisions of the same step take it into account.
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

// recordAttemptEnd records the outcome of an attempt: whether it may have run, and whether its ordering keys need a
// cooldown.
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
		// the answer proves that the process is the same
		a.engine.answeredStartAt, a.engine.connectionLostAt = max(a.engine.answeredStartAt, a.startedAt), math.Inf(-1)
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

// recordMeasuredCost records the true work and memory of a query, as far as an answer contains them, against its
// estimates. It reports whether there were both a measured and an estimated work.
func (class *queryClass) recordMeasuredCost(now float64, c *query, ev AttemptEnded) bool {
	if ev.MemoryMB > 0 && c.estimatedMemoryMB > 0 {
		class.memoryScale.add(now, ev.MemoryMB/c.estimatedMemoryMB, 1)
	}
	if ev.Work > 0 && c.uncappedEstimate > 0 {
		class.workScale.add(now, ev.Work/c.uncappedEstimate, 1)
	}
	return ev.Work > 0 && c.uncappedEstimate > 0
}

// abandonAttempt records that the outcome of an attempt is no longer awaited; the attempt may have run.
func (r *Router) abandonAttempt(q *query, a *attempt) {
	a.abandoned = true
	r.releaseCapacity(q, a)
	if q.unresolved == nil {
		q.unresolvedAt, q.unresolved = a.startedAt, a.engine
	}
}

// releaseCapacity releases the capacity that an awaited attempt holds.
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

// removeQuery removes a query that no rule needs any more. An empty ordering queue is kept until its cooldown is over.
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

// removeIdle removes the state that no rule needs any more.
func (r *Router) removeIdle() {
	r.removeIdleOrderingQueues()
	r.removeGoneEngines()
}

// removeIdleTableGroups removes the table groups that have no open query and have had none arrive since a time or, if no
// query on them ever succeeded, since the later time strange: clients can name groups that do not exist.
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

// removeIdleOrderingQueues removes the empty queues whose cooldown is over.
func (r *Router) removeIdleOrderingQueues() {
	r.idleKeys = slices.DeleteFunc(r.idleKeys, func(key OrderingKey) bool {
		queue := r.orderingQueues[key]
		if queue != nil && len(queue.queries) == 0 && r.now >= queue.cooldownUntil {
			delete(r.orderingQueues, key)
		}
		return queue == nil || len(queue.queries) > 0 || r.now >= queue.cooldownUntil
	})
}

// removeGoneEngines removes the engines that have left the endpoint list and have no awaited attempt or health check.
func (r *Router) removeGoneEngines() {
	r.engineList = slices.DeleteFunc(r.engineList, func(e *engine) bool {
		done := e.state == Gone && e.attempts == 0 && !e.checkingHealth
		if done {
			delete(r.engines, e.id)
		}
		return done
	})
}

// setAlarm schedules a checkQuery of q for a time; +Inf: never.
func (r *Router) setAlarm(at float64, c *query) {
	if !math.IsInf(at, 1) {
		heap.Push(&r.alarms, alarm{at, c})
	}
}

// popDueQuery removes the earliest alarm if it is due, and returns its query; nil: no alarm is due.
func (r *Router) popDueQuery() *query {
	if len(r.alarms) == 0 || r.alarms[0].at > r.now {
		return nil
	}
	return heap.Pop(&r.alarms).(alarm).query
}

// readyEngines lists the ready engines of a machine kind, ordered by id.
func (r *Router) readyEngines(k int) (list []*engine) {
	for _, e := range r.engineList {
		if e.state == Ready && int(e.kind) == k {
			list = append(list, e)
		}
	}
	return list
}

// poolDemand is the demand for the table groups of a pool, in ms of work per millisecond.
func (r *Router) poolDemand(pool *enginePool) float64 {
	sum := 1e-9
	for _, g := range pool.tableGroups() {
		if sum += g.demand.rate(r.now); g.hot {
			sum += (hotDemandFactor - 1) * g.demand.rate(r.now)
		}
	}
	return sum
}

// permits reports whether a list of allowed values contains x; a nil list allows all values.
func permits[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// resetStatistics drops what was learned of an earlier process of the engine.
func (e *engine) resetStatistics() {
	e.outcomes, e.trialWait, e.trialAt = math.MaxUint64, minTrialWait, 0
	e.othersInflight, e.utilization, e.disk = decayedMean{halfLife: othersHalfLife}, decayedMean{halfLife: reportHalfLife}, decayedMean{halfLife: reportHalfLife}
	e.slowdown, e.reportedAt, e.threadsPerCore = decayedMean{halfLife: reportHalfLife}, 0, initialThreadsPerCore
	clear(e.classBackoffs)
}

// updateEngines applies the entries of an endpoint list. Engines that a complete list does not contain are gone.
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

// handle dispatches an event to the function for its type.
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

// startShutdown schedules a check of every query before the shutdown of this controller.
func (r *Router) startShutdown(within float64) {
	r.shutdownAt = r.now + within
	for _, q := range r.queries { // the order of the map does not matter, as alarms are ordered by time and query id
		r.setAlarm(r.answerBy(q), q)
	}
}

func (r *Router) responseStarted(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.responseStarted = true
	}
}

// clientDisconnected handles the loss of a query's client: no answer is needed any more, and its attempts are cancelled.
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

// rendezvousAffinity is the affinity, from 0 to 1, of a table group to an engine by rendezvous hashing, the same at every
// controller.
func rendezvousAffinity(g *tableGroup, e *engine) float64 {
	x := e.idHash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

// recordReport records a load report of an engine; nil or implausible reports are ignored.
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
		e.othersInflight.cap(r.now, 1)
		e.othersInflight.add(r.now, max(0, l.Inflight-float64(e.attempts)), 1)
		r.othersPerCore.add(r.now, max(0, l.Inflight-float64(e.attempts)), e.cores)
		if r.readyCores > 0 {
			r.share.add(r.now, float64(r.attempts)*e.cores/r.readyCores, l.Inflight)
		}
	}
}

// scopeCovers reports whether two engines recognize each other's repeats.
func scopeCovers(s DeduplicationScope, a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// poolLoad is the mean load of the engines of a pool.
func (r *Router) poolLoad(pool *enginePool) (sum float64) {
	for _, e := range pool.engines {
		sum += r.engineLoad(e) / float64(len(pool.engines))
	}
	return sum
}

// outstandingAttempt returns an outstanding attempt and its query; nil: there is no such attempt.
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

// collectActions turns the decisions of this step into actions. It is the only place that creates actions.
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
