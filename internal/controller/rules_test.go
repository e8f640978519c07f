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

// rulesSimulation feeds random rules, queries and outcomes to a loop, and checks each attempt that the loop
// starts.
type rulesSimulation struct {
	t              *testing.T
	seed           int64
	rng            *rand.Rand
	now            float64 // ms
	loop           *Loop
	recorder       *engineRecorder
	sets           []*rules.Set               // all that have been in force, in order
	setIndex       map[*request.Query]int     // index into sets of the rules in force when the query arrived
	open           []*request.Query           // without an answer, in order of arrival
	running        []*request.Query           // those of open with an outstanding attempt
	mayStillRun    []*request.Query           // answered, with an attempt that may still run
	mayRunUntil    map[*request.Query]float64 // ms, until when queries in mayStillRun may run
	scratch        rules.Scratch
	attempts       int
	sharedKeyPairs int // checked pairs of queries with a common key
	rejectedSets   int // sets that were not put in force
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

// key returns the query's ordering key under a set of rules.
func (h *rulesSimulation) key(set *rules.Set, query *request.Query) router.OrderingKey {
	return set.Key(query.RuleInput, &h.scratch)
}

// checkStart fails the test if the started query shares a key with a query that must end first.
func (h *rulesSimulation) checkStart(query *request.Query) {
	h.attempts++
	h.mayStillRun = slices.DeleteFunc(h.mayStillRun, func(q *request.Query) bool { return h.now >= h.mayRunUntil[q] })
	oldest := len(h.sets) - 1 // index of the oldest set of an unfinished query
	for _, other := range slices.Concat(h.open, h.mayStillRun) {
		oldest = min(oldest, h.setIndex[other])
	}
	for _, other := range h.mayStillRun {
		for _, set := range h.sets[h.setIndex[other]:] {
			if key := h.key(set, query); key == h.key(set, other) && key != "" {
				h.t.Fatalf("seed %d: %s is started while %s may still run with the same key %q", h.seed, query.ID, other.ID, key)
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
				h.t.Fatalf("seed %d: %s is started before %s has ended, which shares key %q", h.seed, query.ID, other.ID, key)
			}
		}
	}
	h.running = append(h.running, query)
}

// step advances the time, runs a step of the loop and checks the attempts that it starts.
func (h *rulesSimulation) step() {
	h.now += float64(h.rng.Intn(30))
	h.loop.step()
	for len(h.recorder.started) > 0 {
		h.checkStart(<-h.recorder.started)
	}
}

// addQuery makes a random query arrive.
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

// endAttempt ends the only attempt of a running query with a random outcome.
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
	if query.Answer().Verdict == request.Unanswered { // the next step answers it
		h.now++
	}
}

// changeRules passes the loop a set of one rule with this source, or no rules if it is empty.
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

// run feeds 300 random events to the loop, then ends all queries that are left and checks that the loop has
// removed them.
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
		h.t.Fatalf("seed %d: %d queries without an answer and %d rule epochs are left, want 0 and 1", h.seed, len(h.open),
			h.loop.ruleEpochs.Count())
	}
}

// The operator's rules change while queries are in flight, and with them the ordering keys. Two queries that
// share a key, under any rules that still have a query in flight, must not run at once, or they would write in
// the wrong order. With random rules, reloads, queries and outcomes, no query is started while an earlier one
// with a common key is open or while one may still run, and in the end all are answered.
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
		t.Errorf("%d attempts, %d pairs with a shared key, %d sets rejected, want at least 2000 attempts and 50 pairs",
			attempts, sharedKeyPairs, rejectedSets)
	}
}
