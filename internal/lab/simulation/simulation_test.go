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

// The library draws anew each time unless it is told a seed; a verdict must be the same each time.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	if worldsPlayed < 100 {
		flag.Set("rapid.checks", "10")
	}
	os.Exit(m.Run())
}

// The seven rules hold in any world, with any memory; what breaks one is shrunk.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Drawn().Draw(t, "world")
		for _, b := range Play(s, s.Module).Breaches() {
			t.Errorf("%v", b)
		}
	})
}

// The same over many worlds, several at a time. Together they must do what rules are about, or they show nothing.
func TestManyWorlds(t *testing.T) {
	const worlds, parts = worldsPlayed, 8
	var results [worlds]*Result
	t.Run("worlds", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < worlds; seed += parts {
					s := FromSeed(seed)
					results[seed] = Play(s, s.Module)
					for _, b := range results[seed].Breaches() {
						t.Errorf("world %d: %v", seed, b)
					}
				}
			})
		}
	})
	var further, cold, sheds, fails, restarts int
	for _, r := range results {
		further, cold, sheds = further+r.Retries, cold+r.SlowStartAttempts, sheds+r.Rejections
		fails, restarts = fails+r.Failures, restarts+r.Restarts
	}
	if worlds < 100 { // a few may be quiet ones
		return
	}
	if further < 300 || cold < 300 || sheds < 10000 || fails < 100 || restarts < 40 {
		t.Errorf("too little happens: %d further sends, %d to cold engines, %d shed, %d failed, %d restarts", further,
			cold, sheds, fails, restarts)
	}
}

// One spec is one history, and whether anyone takes out what was learned changes nothing.
func TestSameActions(t *testing.T) {
	for _, seed := range []int{2, 3, 7, 19} {
		s := FromSeed(seed)
		s.Memory = Nothing
		var logs [2][]string
		for i := range logs {
			Play(s, func(seed int64, place router.Identity) Controller {
				return &scribe{Controller: s.Module(seed, place), log: &logs[i], takes: i == 1}
			})
		}
		if len(logs[0]) < 100 || !slices.Equal(logs[0], logs[1]) {
			t.Errorf("world %d: %d and %d steps, or other actions", seed, len(logs[0]), len(logs[1]))
		}
	}
}

// scribe writes down what a controller does.
type scribe struct {
	Controller
	log   *[]string
	takes bool
}

func (s *scribe) Step(now float64, events []router.Event) []router.Action {
	actions := s.Controller.Step(now, events)
	*s.log = append(*s.log, fmt.Sprint(now, actions))
	if s.takes {
		s.Statistics(router.Cursor{}, 1000)
	}
	return actions
}

// broken is a controller that breaks rules, to see whether the checker notices in simulations.
type broken struct {
	Controller
	change func(b *broken, now float64, events []router.Event, actions []router.Action) []router.Action
	sent   map[router.QueryID]router.EngineID
	listed router.EngineID
	n      int
}

func (b *broken) Step(now float64, events []router.Event) []router.Action {
	b.n++
	return b.change(b, now, events, b.Controller.Step(now, events))
}

// drop leaves out the actions that fit.
func drop(actions []router.Action, fits func(router.Action) bool) []router.Action {
	return slices.DeleteFunc(slices.Clone(actions), fits)
}

// Each rule is missed when a controller is made to break it.
func TestBrokenControllers(t *testing.T) {
	if worldsPlayed < 100 || testing.Short() {
		t.Skip("one goroutine, and too slow under the race detector; tells of the worlds, not of the module")
	}
	isShed := func(a router.Action) bool { _, ok := a.(router.Reject); return ok }
	for _, c := range []struct {
		name   string
		rule   checker.Rule
		change func(b *broken, now float64, events []router.Event, actions []router.Action) []router.Action
	}{
		{"sheds nothing", checker.FinalAnswer, func(_ *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
			return drop(a, isShed)
		}},
		{"sheds twice", checker.FinalAnswer, func(_ *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
			for _, action := range a {
				if isShed(action) {
					return append(a, action)
				}
			}
			return a
		}},
		{"sheds what is out", checker.SingleEffect, func(b *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
			for _, action := range a {
				if s, ok := action.(router.StartAttempt); ok && b.n%5 == 0 {
					return append(a, router.Reject{ID: s.ID})
				}
			}
			return a
		}},
		{"sends all that it sends anew at once", checker.SingleEffect,
			func(_ *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok {
						return append(a, s)
					}
				}
				return a
			}},
		{"sends to engines that left", checker.Draining,
			func(b *broken, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if l, ok := ev.(router.EndpointsUpdated); ok {
						for _, e := range l.Endpoints {
							if e.State != router.Ready {
								b.listed = e.Engine
							}
						}
					}
				}
				return b.aim(a, b.listed)
			}},
		{"sends all to one engine", checker.Placement,
			func(b *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
				return b.aim(a, "e00")
			}},
		{"knows nothing of cold engines", checker.SlowStart,
			func(b *broken, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if l, ok := ev.(router.EndpointsUpdated); ok {
						for _, e := range l.Endpoints {
							if e.State == router.Ready && e.StartedAt > start {
								b.listed = e.Engine
							}
						}
					}
				}
				return b.aim(a, b.listed)
			}},
		{"sends what is ahead of its turn", checker.Ordering,
			func(b *broken, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if arrived, ok := ev.(router.QueryArrived); ok && b.listed != "" {
						return append(a, router.StartAttempt{ID: arrived.ID, Engine: b.listed, Deadline: arrived.TimeLeft})
					}
				}
				for _, action := range a {
					if s, ok := action.(router.StartAttempt); ok {
						b.listed = s.Engine
					}
				}
				return a
			}},
		{"sends as often as it likes", checker.RetryBudget,
			func(b *broken, _ float64, events []router.Event, a []router.Action) []router.Action {
				for _, ev := range events {
					if e, ok := ev.(router.AttemptEnded); ok && e.Outcome.NeverRan() && b.sent[e.ID] != "" && !e.QueryDone {
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
		{"names what it has not", checker.Contract, func(b *broken, _ float64, _ []router.Event, a []router.Action) []router.Action {
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
				return &broken{Controller: s.Module(seed, place), change: c.change,
					sent: map[router.QueryID]router.EngineID{}}
			})
			if r.Count(c.rule) > 0 {
				if found++; found == 3 {
					break
				}
			}
		}
		if found < 3 {
			t.Errorf("%s: %d worlds find rule %v broken", c.name, found, c.rule)
		}
	}
}

// aim sends all to one engine, whatever the module chose.
func (b *broken) aim(actions []router.Action, to router.EngineID) []router.Action {
	out := slices.Clone(actions)
	for i, action := range out {
		if s, ok := action.(router.StartAttempt); ok && to != "" {
			s.Engine = to
			out[i] = s
		}
	}
	return out
}

// A world is drawn the same by the same seed.
func TestFromSeed(t *testing.T) {
	if a, b := FromSeed(5), FromSeed(5); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
