package maintenance

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

func fleetOf(n int) (fleet []Engine) {
	for i := range n {
		fleet = append(fleet, Engine{ID: EngineID(fmt.Sprintf("s%02d", i)), Zone: Zone("abc"[i%3 : i%3+1]), Kind: [...]Kind{"c16", "c12"}[i%2],
			Cores: [...]float64{16, 12}[i%2], Ready: true, Load: 0.4})
	}
	return fleet
}

func TestCheck(t *testing.T) {
	fleet := fleetOf(8)
	good := Plan{ID: "p", Select: Selection{Kinds: []Kind{"c12"}}, Needs: 60000, AtOnce: 2}
	for name, c := range map[string]struct {
		change func(*Plan)
		others []Plan
		bounds []Bound
		want   string // of the problems; empty: none
	}{
		"good":                  {func(*Plan) {}, nil, nil, ""},
		"no id":                 {func(p *Plan) { p.ID = "" }, nil, nil, "id: "},
		"no time":               {func(p *Plan) { p.Needs = 0 }, nil, nil, "needs: "},
		"none at once":          {func(p *Plan) { p.AtOnce = 0 }, nil, nil, "at_once: "},
		"no part of a day":      {func(p *Plan) { p.Not = []Hours{{0, dayMinutes}} }, nil, nil, "not: "},
		"nothing selected":      {func(p *Plan) { p.Select = Selection{} }, nil, nil, "select: selects nothing; name engines"},
		"nobody fits":           {func(p *Plan) { p.Select = Selection{Zones: []Zone{"z"}} }, nil, nil, "select: no engine"},
		"one not in the list":   {func(p *Plan) { p.Select = Selection{Engines: []EngineID{"s00", "s99"}} }, nil, nil, "select.engines: s99"},
		"all must remain":       {func(p *Plan) { p.Keep = []Keep{{Kind: "c12", Count: 4}} }, nil, nil, "so none can go; at most 3 of 4"},
		"a share must remain":   {func(p *Plan) { p.Keep = []Keep{{Share: 0.9}} }, nil, nil, "keep: 90% of the engines must remain of 8"},
		"another kind's remain": {func(p *Plan) { p.Keep = []Keep{{Kind: "c16", Count: 4}} }, nil, nil, ""},
		"keeps nothing":         {func(p *Plan) { p.Keep = []Keep{{Kind: "c16"}} }, nil, nil, "names neither"},
		"there are none":        {func(p *Plan) { p.Keep = []Keep{{Kind: "c1", Count: 1}} }, nil, nil, "there are no"},
		"a profile needs them":  {func(*Plan) {}, nil, []Bound{{Kinds: []Kind{"c12"}, Needs: 40}}, "select: what only c12 may run needs 40 cores now, and 36"},
		"a profile has room":    {func(*Plan) {}, nil, []Bound{{Kinds: []Kind{"c12"}, Needs: 30}}, ""},
		"not by then":           {func(p *Plan) { p.By = 100000 }, nil, nil, "by: 4 engines, 2 at once"},
		"by then with more":     {func(p *Plan) { p.By = 150000; p.AtOnce = 1 }, nil, nil, "2 at once would do"},
		"another wants it halted": {func(*Plan) {}, []Plan{{ID: "o", Halted: true, Select: Selection{Engines: []EngineID{"s01"}}}}, nil,
			"s01 is in plan o as well"},
	} {
		p := good
		c.change(&p)
		texts := []string{}
		for _, x := range Check(p, c.others, fleet, c.bounds, 0, Times{Drain: 1000, Warm: 10000}) {
			texts = append(texts, x.Error())
		}
		if got := strings.Join(texts, "\n"); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestHours(t *testing.T) {
	for _, c := range []struct {
		h      Hours
		minute int
		within bool
		left   int
	}{{Hours{60, 120}, 59, false, 0}, {Hours{60, 120}, 60, true, 60}, {Hours{60, 120}, 119, true, 1}, {Hours{60, 120}, 120, false, 0},
		{Hours{1380, 60}, 1400, true, 100}, {Hours{1380, 60}, 10, true, 50}, {Hours{1380, 60}, 700, false, 0}} {
		if left, ok := c.h.within(c.minute); ok != c.within || ok && left != c.left {
			t.Errorf("%v at %d: %v, %d", c.h, c.minute, ok, left)
		}
	}
	p := Plan{Not: []Hours{{60, 120}, {120, 180}}}
	if at := opens(p, 61*60000); at != 180*60000 {
		t.Errorf("opens at %g min", at/60000)
	}
}

func TestDecide(t *testing.T) {
	plan := Plan{ID: "p", Select: Selection{Kinds: []Kind{"c12"}}, Needs: 60000, AtOnce: 2}
	base := func() View { return View{Now: 1e9, Engines: fleetOf(8), Plans: []Plan{plan}} }
	for name, c := range map[string]struct {
		change func(*View)
		move   string // engine, to; empty: none
		why    string
	}{
		"the first":             {func(*View) {}, "s01 preparing", "is next"},
		"groups without a home": {func(v *View) { v.Engines[1].Groups = []Held{{Asked: 3}} }, "s03 preparing", "costs least"},
		"the less asked": {func(v *View) {
			for i := range v.Engines {
				v.Engines[i].Groups = []Held{{Asked: float64(9 - i), Homes: 1}}
			}
		}, "s07 preparing", ""},
		"a zone has one away":  {func(v *View) { v.Lost = []Engine{{ID: "x", Zone: "b"}} }, "s03 preparing", ""},
		"too many away":        {func(v *View) { v.Lost = []Engine{{ID: "x"}, {ID: "y"}} }, "", "2 are out or lost, and 2 may be"},
		"a storm":              {func(v *View) { v.Storm = true }, "", "storm"},
		"not sure of the view": {func(v *View) { v.Behind = "the list is 9 s old" }, "", "the list is 9 s old"},
		"busy": {func(v *View) {
			for i := range v.Engines {
				v.Engines[i].Load = 0.7
			}
		}, "", "busy to"},
		"hours":                  {func(v *View) { v.Plans[0].Not = []Hours{{0, 1439}} }, "", "these hours"},
		"halted":                 {func(v *View) { v.Plans[0].Halted = true }, "", "no engine waits"},
		"must remain":            {func(v *View) { v.Plans[0].Keep = []Keep{{Kind: "c12", Count: 3}}; v.Engines[3].Ready = false }, "", "must remain, and 2 would"},
		"cold ones don't remain": {func(v *View) { v.Plans[0].Keep = []Keep{{Kind: "c12", Count: 3}}; v.Engines[3].WarmAt = 2e9 }, "s03 preparing", ""},
		"a bound profile":        {func(v *View) { v.Bounds = []Bound{{Kinds: []Kind{"c12"}, Needs: 31}} }, "", "needs 37.2 cores, and 36.0"},
		"one is being prepared": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Preparing, At: 1e9}}
			v.Engines[1].Groups = []Held{{}}
		}, "", "s01 is being prepared"},
		"prepared": {func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, At: 1e9}} }, "s01 draining", "goes"},
		"prepared for too long": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, At: 0}}
			v.Engines[1].Groups = []Held{{}}
		}, "s01 draining", ""},
		"prepared and halted": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Preparing, At: 1e9}}
			v.Plans[0].Over = true
		}, "", "halted or withdrawn"},
		"one drains":  {func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Draining}} }, "s03 preparing", ""},
		"one is cold": {func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Warming}}; v.Engines[1].WarmAt = 2e9 }, "", "still cold"},
		"one is warm": {func(v *View) { v.Tasks = []Task{{Engine: "s01", Plan: "p", Step: Warming}} }, "s01 done", ""},
		"one is back": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Returning, At: 1e9, Before: 5}}
			v.Engines[1].Since = 6
		}, "s01 warming", ""},
		"the old one is listed": {func(v *View) {
			v.Tasks = []Task{{Engine: "s01", Step: Returning, At: 1e9, Before: 5}}
			v.Engines[1].Since = 5
		}, "s03 preparing", ""},
		"one does not come back": {func(v *View) { v.Tasks = []Task{{Engine: "s01", Step: Returning, At: 0}}; v.Engines = v.Engines[2:] }, "s01 missing", "has not come back"},
		"a missing one counts": {func(v *View) {
			v.Plans[0].AtOnce = 1
			v.Tasks = []Task{{Engine: "s01", Step: Missing}}
			v.Engines = v.Engines[2:]
		}, "", "1 are out or lost"},
		"it comes after all": {func(v *View) { v.Tasks = []Task{{Engine: "s01", Step: Missing}}; v.Engines[1].Since = 7 }, "s01 warming", ""},
	} {
		v := base()
		v.Plans = []Plan{plan}
		c.change(&v)
		move, reasons := Decide(v, Usual())
		got := ""
		if move != nil {
			got = fmt.Sprint(move.Engine, " ", move.To)
		}
		if got != c.move || !strings.Contains(fmt.Sprint(reasons), c.why) {
			t.Errorf("%s: %q, want %q; %v", name, got, c.move, reasons)
		}
	}
}

// Random fleets, plans and losses are played to the end: never more out than may be, what must remain remains, bound profiles
// have their cores, nobody is taken twice or forgotten; and a second conductor that knows an old state changes nothing.
func TestPlayed(t *testing.T) {
	for seed := range int64(80) {
		rng := rand.New(rand.NewSource(seed))
		n := 4 + rng.Intn(30)
		engines := fleetOf(n)
		plan := Plan{ID: "all", Select: Selection{Kinds: []Kind{"c16", "c12"}}, Needs: 60000, AtOnce: 1 + rng.Intn(3), Version: 1,
			Keep: []Keep{{Kind: "c16", Count: max(1, n/2-2)}}}
		bounds := []Bound{{Kinds: []Kind{"c16"}, Needs: 16 * float64(n/2-2) / 1.2}}
		v := View{Now: 1e9, Engines: engines, Plans: []Plan{plan}, Bounds: bounds}
		lost := map[EngineID]float64{}
		taken := map[EngineID]int{}
		var old []Task
		for range 20000 {
			v.Now += 1000
			if rng.Intn(400) == 0 && len(lost) == 0 { // one dies, and is back after a while
				lost[engines[rng.Intn(n)].ID] = v.Now + 30000
			}
			v.Lost = nil
			v.Engines = nil
			for i := range engines {
				e := &engines[i]
				if back, ok := lost[e.ID]; ok && v.Now >= back {
					delete(lost, e.ID)
					e.Since, e.WarmAt = v.Now, v.Now+14000
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
			for i := range v.Tasks { // what others tell
				task := &v.Tasks[i]
				step := func(to Step) { task.Step, task.At = to, v.Now }
				switch {
				case task.Step == Draining && v.Now > task.At+2000:
					step(Free)
				case task.Step == Free:
					step(Working)
				case task.Step == Working && v.Now > task.At+plan.Needs:
					step(Returning)
					for j := range engines {
						if engines[j].ID == task.Engine {
							engines[j].Since, engines[j].WarmAt = v.Now, v.Now+14000
						}
					}
				}
			}
			move, _ := Decide(v, Usual())
			if move == nil {
				if len(taken) == n && len(lost) == 0 {
					break
				}
				continue
			}
			e, _ := find(v.Engines, move.Engine)
			if rng.Intn(10) == 0 {
				old = append([]Task{}, v.Tasks...)
			}
			if _, ok := Apply(v.Tasks, Move{Engine: move.Engine, From: move.From + 1, To: move.To}, e, v.Now); ok {
				t.Fatalf("seed %d: a move that does not fit is made", seed)
			}
			tasks, ok := Apply(v.Tasks, *move, e, v.Now)
			if !ok {
				t.Fatalf("seed %d: its own move is refused: %+v", seed, move)
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
				if out > plan.AtOnce {
					t.Fatalf("seed %d: %d are out, %d may be", seed, out, plan.AtOnce)
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
				if e.Kind == "c16" && (remain < plan.Keep[0].Count || cores < bounds[0].Needs) {
					t.Fatalf("seed %d: %d remain with %g cores", seed, remain, cores)
				}
				if taken[move.Engine]++; taken[move.Engine] > 1 {
					t.Fatalf("seed %d: %s is taken twice", seed, move.Engine)
				}
			}
		}
		_ = old
		if len(taken) != n {
			_, why := Decide(v, Usual())
			t.Fatalf("seed %d: %d of %d were taken: %v", seed, len(taken), n, why)
		}
	}
}
