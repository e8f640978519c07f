package maintenance

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// fleetOf returns n ready engines, spread over three zones and two kinds: every second one, from
// s01 on, is a c12.
func fleetOf(n int) (fleet []Engine) {
	for i := range n {
		fleet = append(fleet, Engine{
			ID:    EngineID(fmt.Sprintf("s%02d", i)),
			Zone:  Zone("abc"[i%3 : i%3+1]),
			Kind:  [...]Kind{"c16", "c12"}[i%2],
			Cores: [...]float64{16, 12}[i%2],
			Ready: true,
			Load:  0.4,
		})
	}
	return fleet
}

// TestCheckFindsProblemsOfPlan: each problem is reported, with its remedy.
func TestCheckFindsProblemsOfPlan(t *testing.T) {
	fleet := fleetOf(8)
	good := Plan{ID: "p", Select: Selection{Kinds: []Kind{"c12"}}, WorkTime: 60000, MaxUnavailable: 2}
	for name, c := range map[string]struct {
		change       func(*Plan)
		others       []Plan
		requirements []Requirement
		want         string // a part of the problems; empty: none
	}{
		"a valid plan": {func(*Plan) {}, nil, nil, ""},
		"no id":        {func(p *Plan) { p.ID = "" }, nil, nil, "id: "},
		"no work time": {func(p *Plan) { p.WorkTime = 0 }, nil, nil, "needs: "},
		"none at once": {func(p *Plan) { p.MaxUnavailable = 0 }, nil, nil, "at_once: "},
		"hours that are no part of a day": {
			func(p *Plan) { p.BlockedHours = []Hours{{0, dayMinutes}} },
			nil, nil, "not: ",
		},
		"nothing selected": {
			func(p *Plan) { p.Select = Selection{} },
			nil, nil, "select: selects nothing; name engines",
		},
		"no engine matches": {
			func(p *Plan) { p.Select = Selection{Zones: []Zone{"z"}} },
			nil, nil, "select: no engine",
		},
		"an engine that is not in the list": {
			func(p *Plan) { p.Select = Selection{Engines: []EngineID{"s00", "s99"}} },
			nil, nil, "select.engines: s99",
		},
		"all must remain": {
			func(p *Plan) { p.MinAvailable = []MinAvailable{{Kind: "c12", Count: 4}} },
			nil, nil, "so none can go; at most 3 of 4",
		},
		"a share must remain": {
			func(p *Plan) { p.MinAvailable = []MinAvailable{{Share: 0.9}} },
			nil, nil, "keep: 90% of the engines must remain of 8",
		},
		"another kind must remain": {
			func(p *Plan) { p.MinAvailable = []MinAvailable{{Kind: "c16", Count: 4}} },
			nil, nil, "",
		},
		"a rule without a number": {
			func(p *Plan) { p.MinAvailable = []MinAvailable{{Kind: "c16"}} },
			nil, nil, "names neither",
		},
		"a rule for a kind without engines": {
			func(p *Plan) { p.MinAvailable = []MinAvailable{{Kind: "c1", Count: 1}} },
			nil, nil, "there are no",
		},
		"query classes need the engines": {
			func(*Plan) {},
			nil, []Requirement{{Kinds: []Kind{"c12"}, Cores: 40}},
			"select: classes that run only on c12 need 40 cores now, and 36",
		},
		"query classes have enough": {
			func(*Plan) {},
			nil, []Requirement{{Kinds: []Kind{"c12"}, Cores: 30}}, "",
		},
		"not done by the deadline": {
			func(p *Plan) { p.Deadline = 100000 },
			nil, nil, "by: 4 engines, 2 at once",
		},
		"done by the deadline with more at once": {
			func(p *Plan) { p.Deadline = 150000; p.MaxUnavailable = 1 },
			nil, nil, "2 at once would do",
		},
		"another plan has it halted": {
			func(*Plan) {},
			[]Plan{{ID: "o", Halted: true, Select: Selection{Engines: []EngineID{"s01"}}}}, nil,
			"s01 is in plan o as well",
		},
	} {
		p := good
		c.change(&p)
		texts := []string{}
		durations := StepDurations{Drain: 1000, Warm: 10000}
		for _, problem := range Check(p, c.others, fleet, c.requirements, 0, durations) {
			texts = append(texts, problem.Error())
		}
		if got := strings.Join(texts, "\n"); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got problems %q, want %q in them", name, got, c.want)
		}
	}
}

// TestHoursSpanMidnight: hours within a day and across midnight, and blocked hours that follow each
// other.
func TestHoursSpanMidnight(t *testing.T) {
	for _, c := range []struct {
		h      Hours
		minute int
		within bool
		left   int
	}{
		{Hours{60, 120}, 59, false, 0},
		{Hours{60, 120}, 60, true, 60},
		{Hours{60, 120}, 119, true, 1},
		{Hours{60, 120}, 120, false, 0},
		{Hours{1380, 60}, 1400, true, 100},
		{Hours{1380, 60}, 10, true, 50},
		{Hours{1380, 60}, 700, false, 0},
	} {
		if left, ok := c.h.within(c.minute); ok != c.within || ok && left != c.left {
			t.Errorf("hours %v at minute %d: got within %v and %d min left, want those of the case",
				c.h, c.minute, ok, left)
		}
	}
	p := Plan{BlockedHours: []Hours{{60, 120}, {120, 180}}}
	if at := nextAllowed(p, 61*60000); at != 180*60000 {
		t.Errorf("next allowed time: got minute %g, want 180", at/60000)
	}
}

// TestDecideNextMove: Decide returns the next move, or why there is none.
func TestDecideNextMove(t *testing.T) {
	plan := Plan{ID: "p", Select: Selection{Kinds: []Kind{"c12"}}, WorkTime: 60000, MaxUnavailable: 2}
	base := func() View { return View{Now: 1e9, Engines: fleetOf(8), Plans: []Plan{plan}} }
	for name, c := range map[string]struct {
		change func(*View)
		move   string // the engine and its step; empty: none
		reason string // a part of the reasons
	}{
		"the first engine": {func(*View) {}, "s01 preparing", "is next"},
		"a table group without a warm replica": {
			func(v *View) { v.Engines[1].Groups = []HostedGroup{{Demand: 3}} },
			"s03 preparing", "costs least",
		},
		"the engine with the least demand": {func(v *View) {
			for i := range v.Engines {
				v.Engines[i].Groups = []HostedGroup{{Demand: float64(9 - i), WarmReplicas: 1}}
			}
		}, "s07 preparing", ""},
		"a zone with a lost engine": {
			func(v *View) { v.Lost = []Engine{{ID: "x", Zone: "b"}} },
			"s03 preparing", "",
		},
		"too many are lost": {
			func(v *View) {
				v.Lost = []Engine{{ID: "x"},
					{ID: "y"}}
			}, "", "2 are out or lost, and 2 may be",
		},
		"a reconnect storm": {func(v *View) { v.ReconnectStorm = true }, "", "storm"},
		"a stale view":      {func(v *View) { v.StaleReason = "the list is 9 s old" }, "", "the list is 9 s old"},
		"high load": {func(v *View) {
			for i := range v.Engines {
				v.Engines[i].Load = 0.7
			}
		}, "", "busy to"},
		"blocked hours": {func(v *View) { v.Plans[0].BlockedHours = []Hours{{0, 1439}} }, "", "these hours"},
		"a halted plan": {func(v *View) { v.Plans[0].Halted = true }, "", "no engine waits"},
		"too few would remain": {func(v *View) {
			v.Plans[0].MinAvailable = []MinAvailable{{Kind: "c12", Count: 3}}
			v.Engines[3].Ready = false
		}, "", "must remain, and 2 would"},
		"a cold engine does not count as available": {func(v *View) {
			v.Plans[0].MinAvailable = []MinAvailable{{Kind: "c12", Count: 3}}
			v.Engines[3].WarmAt = 2e9
		}, "s03 preparing", ""},
		"query classes need the kind": {
			func(v *View) {
				v.Requirements = []Requirement{{Kinds: []Kind{"c12"},
					Cores: 31}}
			}, "", "need 37.2 cores, and 36.0",
		},
		"another is being prepared": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Preparing, StepStartedAt: 1e9}}
			v.Engines[1].Groups = []HostedGroup{{}}
		}, "", "s01 is being prepared"},
		"an engine is prepared": {
			func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, StepStartedAt: 1e9}} },
			"s01 draining", "goes",
		},
		"prepared for too long": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, StepStartedAt: 0}}
			v.Engines[1].Groups = []HostedGroup{{}}
		}, "s01 draining", ""},
		"prepared and halted": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, StepStartedAt: 1e9}}
			v.Plans[0].Withdrawn = true
		}, "", "halted or withdrawn"},
		"another drains": {
			func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Draining}} },
			"s03 preparing", "",
		},
		"another is cold": {
			func(v *View) {
				v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Warming}}
				v.Engines[1].WarmAt = 2e9
			},
			"", "still cold",
		},
		"an engine has warmed up": {
			func(v *View) {
				v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Warming}}
			},
			"s01 done", "",
		},
		"an engine is back": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Returning, StepStartedAt: 1e9, EngineStartedAt: 5}}
			v.Engines[1].StartedAt = 6
		}, "s01 warming", ""},
		"the process from before the work is listed": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Returning, StepStartedAt: 1e9, EngineStartedAt: 5}}
			v.Engines[1].StartedAt = 5
		}, "s03 preparing", ""},
		"an engine does not come back": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Returning, StepStartedAt: 0}}
			v.Engines = v.Engines[2:]
		}, "s01 missing", "has not come back"},
		"a missing engine counts as lost": {func(v *View) {
			v.Plans[0].MaxUnavailable = 1
			v.Tasks = []Task{{Engine: "s01", Step: Missing}}
			v.Engines = v.Engines[2:]
		}, "", "1 are out or lost"},
		"a missing engine comes back": {
			func(v *View) {
				v.Tasks = []Task{{Engine: "s01", Step: Missing}}
				v.Engines[1].StartedAt = 7
			},
			"s01 warming", "",
		},
	} {
		v := base()
		v.Plans = []Plan{plan}
		c.change(&v)
		move, reasons := Decide(v, DefaultLimits())
		got := ""
		if move != nil {
			got = fmt.Sprint(move.Engine, " ", move.To)
		}
		if got != c.move || !strings.Contains(fmt.Sprint(reasons), c.reason) {
			t.Errorf("%s: got move %q, want %q; got reasons %v", name, got, c.move, reasons)
		}
	}
}

// Random fleets, plans and losses are simulated until all engines are done. At no time are more
// engines out than the plan allows, the engines that must remain do, query classes that need a kind
// have their cores, each engine is taken out exactly once, and a move that does not fit the tasks
// changes nothing.
func TestRandomPlansKeepCapacity(t *testing.T) {
	for seed := range int64(80) {
		rng := rand.New(rand.NewSource(seed))
		n := 4 + rng.Intn(30)
		engines := fleetOf(n)
		plan := Plan{
			ID:             "all",
			Select:         Selection{Kinds: []Kind{"c16", "c12"}},
			WorkTime:       60000,
			MaxUnavailable: 1 + rng.Intn(3),
			Version:        1,
			MinAvailable:   []MinAvailable{{Kind: "c16", Count: max(1, n/2-2)}},
		}
		requirements := []Requirement{{Kinds: []Kind{"c16"}, Cores: 16 * float64(n/2-2) / 1.2}}
		v := View{Now: 1e9, Engines: engines, Plans: []Plan{plan}, Requirements: requirements}
		lost := map[EngineID]float64{}
		taken := map[EngineID]int{}
		for range 20000 {
			v.Now += 1000
			if rng.Intn(400) == 0 && len(lost) == 0 { // an engine fails, and is back after 30 s
				lost[engines[rng.Intn(n)].ID] = v.Now + 30000
			}
			v.Lost = nil
			v.Engines = nil
			for i := range engines {
				e := &engines[i]
				if back, ok := lost[e.ID]; ok && v.Now >= back {
					delete(lost, e.ID)
					e.StartedAt, e.WarmAt = v.Now, v.Now+14000
				}
				away := false
				for _, task := range v.Tasks {
					away = away || task.Engine == e.ID && task.Step >= Free && task.Step <= Working
				}
				if _, dead := lost[e.ID]; dead {
					v.Lost = append(v.Lost, *e)
				} else if !away {
					v.Engines = append(v.Engines, *e)
				}
			}
			for i := range v.Tasks { // the steps that the caller of Decide takes
				task := &v.Tasks[i]
				step := func(to Step) { task.Step, task.StepStartedAt = to, v.Now }
				switch {
				case task.Step == Draining && v.Now > task.StepStartedAt+2000:
					step(Free)
				case task.Step == Free:
					step(Working)
				case task.Step == Working && v.Now > task.StepStartedAt+plan.WorkTime:
					step(Returning)
					for j := range engines {
						if engines[j].ID == task.Engine {
							engines[j].StartedAt, engines[j].WarmAt = v.Now, v.Now+14000
						}
					}
				}
			}
			move, _ := Decide(v, DefaultLimits())
			if move == nil {
				if len(taken) == n && len(lost) == 0 {
					break
				}
				continue
			}
			e, _ := findEngine(v.Engines, move.Engine)
			rng.Intn(10) // keeps the random numbers that follow the same
			if _, ok := Apply(v.Tasks, Move{Engine: move.Engine, From: move.From + 1, To: move.To}, e, v.Now); ok {
				t.Fatalf("seed %d: a move that does not fit the tasks is applied", seed)
			}
			tasks, ok := Apply(v.Tasks, *move, e, v.Now)
			if !ok {
				t.Fatalf("seed %d: the decided move does not fit the tasks: %+v", seed, move)
			}
			v.Tasks = tasks
			if move.To == Draining {
				out, remain, cores := len(v.Lost), 0, 0.0
				for _, task := range v.Tasks {
					if task.Step >= Draining && task.Step <= Warming {
						if _, both := lost[task.Engine]; !both {
							out++
						}
					}
				}
				if out > plan.MaxUnavailable {
					t.Fatalf("seed %d: got %d engines out or lost, want at most %d", seed, out, plan.MaxUnavailable)
				}
				for _, e := range v.Engines {
					gone := false
					for _, task := range v.Tasks {
						gone = gone || task.Engine == e.ID && task.Step >= Draining && task.Step <= Warming
					}
					if e.Kind == "c16" && !gone && v.Now >= e.WarmAt {
						remain, cores = remain+1, cores+e.Cores
					}
				}
				if e.Kind == "c16" && (remain < plan.MinAvailable[0].Count || cores < requirements[0].Cores) {
					t.Fatalf("seed %d: %d engines of kind c16 remain with %g cores, fewer than must remain", seed, remain, cores)
				}
				if taken[move.Engine]++; taken[move.Engine] > 1 {
					t.Fatalf("seed %d: %s is taken out twice", seed, move.Engine)
				}
			}
		}
		if len(taken) != n {
			_, why := Decide(v, DefaultLimits())
			t.Fatalf("seed %d: got %d of %d engines taken out, want all; reasons: %v", seed, len(taken), n, why)
		}
	}
}
