package simulation

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintkeel/internal/lab/checker"
	"mintkeel/router"
)

// Without a fixed seed rapid draws other simulations at each run; the result must be repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	if simulationsPlayed < 100 {
		flag.Set("rapid.checks", "10")
	}
	os.Exit(m.Run())
}

// The seven rules hold in any simulation, with any restored statistics. A failing simulation is
// shrunk.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Generator().Draw(t, "world")
		for _, b := range Play(s, s.Module).Breaches() {
			t.Errorf("%v", b)
		}
	})
}

// The rules hold in many simulations, which run in parallel. Together these must have enough
// retries, slow starts, rejections, failures and restarts to exercise the rules.
func TestManySimulations(t *testing.T) {
	const simulations, parts = simulationsPlayed, 8
	var results [simulations]*Result
	t.Run("simulations", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < simulations; seed += parts {
					s := FromSeed(seed)
					results[seed] = Play(s, s.Module)
					for _, b := range results[seed].Breaches() {
						t.Errorf("simulation %d: %v", seed, b)
					}
				}
			})
		}
	})
	var retries, slowStart, rejected, failed, restarts int
	for _, r := range results {
		retries += r.Retries
		slowStart += r.SlowStartAttempts
		rejected += r.Rejections
		failed += r.Failures
		restarts += r.Restarts
	}
	if simulations < 100 { // too few to reach these counts
		return
	}
	if retries < 300 || slowStart < 300 || rejected < 10000 || failed < 100 || restarts < 40 {
		t.Errorf("%d retries, %d attempts on warming engines, %d rejected, %d failed, %d restarts; "+
			"want at least 300, 300, 10000, 100 and 40",
			retries, slowStart, rejected, failed, restarts)
	}
}

// Two runs of one spec take the same actions, also if statistics are exported during one of them.
func TestSameActions(t *testing.T) {
	for _, seed := range []int{2, 3, 7, 19} {
		s := FromSeed(seed)
		s.Memory = Nothing
		var logs [2][]string
		for i := range logs {
			Play(s, func(seed int64, place router.Identity) Controller {
				return &actionRecorder{Controller: s.Module(seed, place), log: &logs[i], exports: i == 1}
			})
		}
		if len(logs[0]) < 100 || !slices.Equal(logs[0], logs[1]) {
			t.Errorf("simulation %d: %d and %d steps; want the same actions, in at least 100 steps", seed,
				len(logs[0]), len(logs[1]))
		}
	}
}

// actionRecorder logs the actions of a controller.
type actionRecorder struct {
	Controller
	log     *[]string
	exports bool
}

func (s *actionRecorder) Step(now float64, events []router.Event) []router.Action {
	actions := s.Controller.Step(now, events)
	*s.log = append(*s.log, fmt.Sprint(now, actions))
	if s.exports {
		s.Statistics(router.Cursor{}, 1000)
	}
	return actions
}

// faultyController is a controller that breaks a rule, to test that the checker finds it.
type faultyController struct {
	Controller
	change func(b *faultyController, now float64, events []router.Event, actions []router.Action) []router.Action
	sent   map[router.QueryID]router.EngineID
	listed router.EngineID
	n      int
}

func (b *faultyController) Step(now float64, events []router.Event) []router.Action {
	b.n++
	return b.change(b, now, events, b.Controller.Step(now, events))
}

// drop returns the actions without those that fit.
func drop(actions []router.Action, fits func(router.Action) bool) []router.Action {
	return slices.DeleteFunc(slices.Clone(actions), fits)
}

// The checker finds a breach of each rule when a controller is made to break it.
func TestBrokenControllers(t *testing.T) {
	if simulationsPlayed < 100 || testing.Short() {
		t.Skip("tests the checker and not the module, in one goroutine; " +
			"too slow under the race detector")
	}
	isRejection := func(a router.Action) bool { _, ok := a.(router.Reject); return ok }
	for _, c := range []struct {
		name   string
		rule   checker.Rule
		change func(b *faultyController, now float64, events []router.Event,
			actions []router.Action) []router.Action
	}{
		{"rejects nothing", checker.FinalAnswer,
			func(_ *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				return drop(a, isRejection)
			}},
		{"rejects twice", checker.FinalAnswer,
			func(_ *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				for _, action := range a {
					if isRejection(action) {
						return append(a, action)
					}
				}
				return a
			}},
		{"rejects a query with an attempt", checker.SingleEffect,
			func(b *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok && b.n%5 == 0 {
						return append(a, router.Reject{ID: s.ID})
					}
				}
				return a
			}},
		{"starts each attempt twice at once", checker.SingleEffect,
			func(_ *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok {
						return append(a, s)
					}
				}
				return a
			}},
		{"uses engines that drain or are gone", checker.Draining,
			func(b *faultyController, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if l, ok := ev.(router.EndpointsUpdated); ok {
						for _, e := range l.Endpoints {
							if e.State != router.Ready {
								b.listed = e.Engine
							}
						}
					}
				}
				return b.redirect(a, b.listed)
			}},
		{"uses one engine for all", checker.Placement,
			func(b *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				return b.redirect(a, "e00")
			}},
		{"ignores slow start", checker.SlowStart,
			func(b *faultyController, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if l, ok := ev.(router.EndpointsUpdated); ok {
						for _, e := range l.Endpoints {
							if e.State == router.Ready && e.StartedAt > start {
								b.listed = e.Engine
							}
						}
					}
				}
				return b.redirect(a, b.listed)
			}},
		{"starts a query before its turn", checker.Ordering,
			func(b *faultyController, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if arrived, ok := ev.(router.QueryArrived); ok && b.listed != "" {
						return append(a, router.StartAttempt{ID: arrived.ID, Engine: b.listed,
							Deadline: arrived.TimeLeft})
					}
				}
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok {
						b.listed = s.Engine
					}
				}
				return a
			}},
		{"ignores the retry budget", checker.RetryBudget,
			func(b *faultyController, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if e, ok := ev.(router.AttemptEnded); ok && e.Outcome.NeverRan() && b.sent[e.ID] != "" &&
						!e.QueryDone {
						a = append(a, router.StartAttempt{ID: e.ID, Engine: b.sent[e.ID]})
					}
				}
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok {
						b.sent[s.ID] = s.Engine
					}
				}
				return a
			}},
		{"names an unknown query", checker.Contract,
			func(b *faultyController, _ float64, _ []router.Event, a []router.Action) []router.Action {
				if b.n == 100 {
					return append(a, router.Fail{ID: 1 << 30})
				}
				return a
			}},
	} {
		found := 0
		for seed := range 120 {
			s := FromSeed(seed)
			if s.Controllers > 5 {
				continue
			}
			r := Play(s, func(seed int64, place router.Identity) Controller {
				return &faultyController{Controller: s.Module(seed, place), change: c.change,
					sent: map[router.QueryID]router.EngineID{}}
			})
			if r.Count(c.rule) > 0 {
				if found++; found == 3 {
					break
				}
			}
		}
		if found < 3 {
			t.Errorf("%s: %d simulations have a breach of rule %v, want 3", c.name, found, c.rule)
		}
	}
}

// redirect changes the engine of all attempts.
func (b *faultyController) redirect(actions []router.Action, to router.EngineID) []router.Action {
	out := slices.Clone(actions)
	for i, action := range out {
		if s, ok := action.(router.StartAttempt); ok && to != "" {
			s.Engine = to
			out[i] = s
		}
	}
	return out
}

// The same seed draws the same simulation.
func TestFromSeed(t *testing.T) {
	if a, b := FromSeed(5), FromSeed(5); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
