package controller

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/match"
	"mintkeel/router"
)

// orderingCooldown is the time in ms for which a query may run on after a lost connection.
const orderingCooldown = 20

// rulesSimulation plays random rules, queries and outcomes against a loop, and checks each attempt that is
// started.
type rulesSimulation struct {
	t              *testing.T
	seed           int64
	rng            *rand.Rand
	now            float64 // ms
	loop           *Loop
	recorder       *engineRecorder
	sets           []*rules.Set               // all that were in force, in their order
	setIndex       map[*request.Query]int     // index into sets of those in force when the query arrived
	open           []*request.Query           // without an answer, as they arrived
	running        []*request.Query           // of these, with an outstanding attempt
	mayStillRun    []*request.Query           // answered, with an attempt that may still run
	mayRunUntil    map[*request.Query]float64 // ms, until when it may
	scratch        rules.Scratch
	attempts       int
	sharedKeyPairs int // pairs of queries with a common key that were checked
	rejectedSets   int // rules that were not put in force
}

func newRulesSimulation(t *testing.T, seed int64) *rulesSimulation {
	h := &rulesSimulation{
		t:           t,
		seed:        seed,
		rng:         rand.New(rand.NewSource(seed)),
		now:         1e6,
		recorder:    newEngineRecorder(1000),
		sets:        []*rules.Set{nil},
		setIndex:    map[*request.Query]int{},
		mayRunUntil: map[*request.Query]float64{},
	}
	class := router.QueryClass{Ordered: true, LatencyObjective: 1e6, ClientTimeout: 1e7, Threads: 1,
		LateBenefit: 1}
	module := router.New(seed, router.Identity{Controllers: 1}, nil, []router.QueryClass{class}, nil,
		router.Capabilities{MaxAttempts: 1}, router.SafetyLimits{OrderingCooldown: orderingCooldown})
	h.loop = New(module, func() float64 { return h.now }, 0, orderingCooldown)
	h.loop.SetEngines(h.recorder)
	engine := discovery.Endpoint{Endpoint: router.Endpoint{Engine: "e", Kind: -1}}
	h.loop.UpdateEndpoints(discovery.Update{Complete: true, Endpoints: []discovery.Endpoint{engine}}, true)
	return h
}

// key is the query's ordering key under a set of rules.
func (h *rulesSimulation) key(set *rules.Set, query *request.Query) router.OrderingKey {
	return set.Key(query.RuleInput, &h.scratch)
}

// checkStart fails the test if a query is started that shares a key with one that must be over first.
func (h *rulesSimulation) checkStart(query *request.Query) {
	h.attempts++
	h.mayStillRun = slices.DeleteFunc(h.mayStillRun, func(q *request.Query) bool { return h.now >= h.mayRunUntil[q] })
	oldest := len(h.sets) - 1 // index of the oldest set that a query is still under
	for _, other := range slices.Concat(h.open, h.mayStillRun) {
		oldest = min(oldest, h.setIndex[other])
	}
	for _, other := range h.mayStillRun {
		for _, set := range h.sets[h.setIndex[other]:] {
			if key := h.key(set, query); key == h.key(set, other) && key != "" {
				h.t.Fatalf("seed %d: %s is started while %s may still run under key %q", h.seed, query.ID, other.ID, key)
			}
		}
	}
	arrivedBefore := true
	for _, other := range h.open {
		if other == query {
			arrivedBefore = false
			continue
		}
		for _, set := range h.sets[oldest:] {
			key := h.key(set, query)
			if key != h.key(set, other) || key == "" {
				continue
			}
			h.sharedKeyPairs++
			if arrivedBefore || slices.Contains(h.running, other) {
				h.t.Fatalf("seed %d: %s is started, and %s shares key %q", h.seed, query.ID, other.ID, key)
			}
		}
	}
	h.running = append(h.running, query)
}

// step lets some time pass, has the loop do a step, and checks what it started.
func (h *rulesSimulation) step() {
	h.now += float64(h.rng.Intn(30))
	h.loop.step()
	for len(h.recorder.started) > 0 {
		h.checkStart(<-h.recorder.started)
	}
}

// addQuery has a random query arrive.
func (h *rulesSimulation) addQuery(number int) {
	store := fmt.Sprintf("%d-%d", h.rng.Intn(2), h.rng.Intn(3))
	brand := fmt.Sprint(h.rng.Intn(3))
	key := router.OrderingKey([]string{"", "k", "s/0-0"}[h.rng.Intn(3)])
	query := &request.Query{ID: fmt.Sprint("c", number), Tenant: -1, ReadAt: time.Now(), TimeLeft: time.Hour,
		OrderingKey: key,
		RuleInput: &rules.Query{
			Labels:      []match.Label{{Name: "store", Value: store}, {Name: "brand", Value: brand}},
			OrderingKey: key,
		}}
	h.open = append(h.open, query)
	h.setIndex[query] = len(h.sets) - 1
	h.loop.handle(clientMessage{clients.QueryArrived{Query: query}})
}

// endAttempt ends a running query's only attempt, with a random outcome.
func (h *rulesSimulation) endAttempt(index int) {
	query := h.running[index]
	h.running = slices.Delete(h.running, index, index+1)
	outcomes := []router.Outcome{router.Succeeded, router.Succeeded, router.ConnectionReset, router.EngineFull}
	outcome := outcomes[h.rng.Intn(len(outcomes))]
	h.loop.handle(engineMessage{engines.AttemptEnded{Query: query, Outcome: outcome, Pages: [][]byte{nil}}})
	if outcome == router.ConnectionReset {
		h.mayStillRun = append(h.mayStillRun, query)
		h.mayRunUntil[query] = h.now + orderingCooldown
	}
	h.open = slices.DeleteFunc(h.open, func(q *request.Query) bool { return q == query })
	if query.Answer().Verdict == request.Unanswered { // its answer comes with the next step
		h.now++
	}
}

// changeRules offers the loop one of the rules, by its source; empty: none.
func (h *rulesSimulation) changeRules(source string) {
	facts := rules.Facts{ClassNames: []string{"load"}, Classes: []router.QueryClass{{Ordered: true}}}
	var set *rules.Set
	if source != "" {
		var problems []rules.Problem
		set, problems = rules.Compile([]rules.Rule{{Name: "r", Key: source}}, facts, match.DefaultBounds())
		if problems != nil {
			h.t.Fatal(problems)
		}
	}
	if h.loop.setRules(set) {
		h.sets = append(h.sets, set)
	} else {
		h.rejectedSets++
	}
}

// run runs the history, then ends all that is left and checks that the loop has forgotten it.
func (h *rulesSimulation) run() {
	sources := []string{"", `"s/" + label("store")`, `"b/" + label("brand")`, `"one" + profile`,
		`"x/" + part(label("store"), "-", 0)`}
	for i := range 300 {
		switch choice := h.rng.Intn(10); {
		case choice < 5:
			h.addQuery(i)
		case choice < 9 && len(h.running) > 0:
			h.endAttempt(h.rng.Intn(len(h.running)))
		case choice == 9:
			h.changeRules(sources[h.rng.Intn(len(sources))])
		}
		h.step()
	}
	for n := 0; len(h.open) > 0 && n < 20000; n++ {
		if len(h.running) > 0 {
			h.endAttempt(0)
		}
		h.step()
	}
	h.now += 100
	h.loop.setRules(nil)
	if len(h.open) > 0 || len(h.loop.queries) > 0 || h.loop.ruleEpochs.Count() != 1 {
		h.t.Fatalf("seed %d: %d queries are left, %d sets are followed", h.seed, len(h.open),
			h.loop.ruleEpochs.Count())
	}
}

// The operator's rules change while queries are in flight, and with them the ordering keys. Two queries that
// share a key under rules of which either still has something in flight must not run at once, or they would
// write in the wrong order. Random rules, reloads, queries and outcomes: no query is started before one that
// arrived earlier, or while one may run, with which it shares a key; and all are started in the end.
func TestRulesChangeInFlight(t *testing.T) {
	attempts, sharedKeyPairs, rejectedSets := 0, 0, 0
	for seed := range int64(24) {
		simulation := newRulesSimulation(t, seed)
		simulation.run()
		attempts += simulation.attempts
		sharedKeyPairs += simulation.sharedKeyPairs
		rejectedSets += simulation.rejectedSets
	}
	if attempts < 2000 || sharedKeyPairs < 50 {
		t.Errorf("%d attempts, %d shared keys, %d reloads refused", attempts, sharedKeyPairs, rejectedSets)
	}
}
