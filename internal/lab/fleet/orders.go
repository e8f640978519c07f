package fleet

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/maintenance"
)

// Policy is a way to take engines out.
type Policy int

// The policies that are compared.
const (
	Ours       Policy = iota // core/fleet/maintenance
	ListOrder                // one at a time, the next when the one before is in the list again
	AtRandom                 // the same, drawn
	AllAllowed               // as many as may be out, always
	EachAlone                // each controller by its own timer: none knows of the others' choice
)

var policyNames = [...]string{"in the order that is settled", "by list order, one at a time", "at random, one at a time", "as many as allowed, always",
	"each controller by its own timer"}

func (p Policy) String() string { return policyNames[p] }

// Policies are all.
func Policies() []Policy { return []Policy{Ours, ListOrder, AtRandom, AllAllowed, EachAlone} }

// stage is a fleet of engines in virtual time, in steps of a second: work that is asked of table groups, each warm at some
// engines; an engine that comes back is cold: its capacity grows over some seconds, and its table groups are cold until
// they were used there.
type stage struct {
	rng     *rand.Rand
	engines []maintenance.Engine
	homes   map[maintenance.Group][]int   // engines that serve a group
	warm    map[[2]int]float64            // engine and group: from when it is warm there
	asked   map[maintenance.Group]float64 // cores
	out     map[int]float64               // until when
	cold    map[int]float64               // since when it is back
	tasks   []maintenance.Task
	now     float64
}

const (
	coldFor    = 14.0 // s
	coldShare  = 0.35
	warmAfter  = 10.0 // s in which a table group becomes warm at a new home
	coldTables = 2.0  // times the work of a group that is cold
	workFor    = 30.0 // s on each engine
	drainFor   = 2.0
)

func newStage(seed int64, n int, load float64) *stage {
	s := &stage{rng: rand.New(rand.NewSource(seed)), homes: map[maintenance.Group][]int{}, warm: map[[2]int]float64{},
		asked: map[maintenance.Group]float64{}, out: map[int]float64{}, cold: map[int]float64{}}
	cores := 0.0
	for i := range n {
		c := [...]float64{16, 12}[s.rng.Intn(2)]
		cores += c
		s.engines = append(s.engines, maintenance.Engine{ID: maintenance.EngineID(fmt.Sprintf("s%03d", i)), Kind: "std",
			Zone: maintenance.Zone("abc"[i%3 : i%3+1]), Cores: c, Ready: true})
	}
	groups, sum := n, 0.0
	for g := range groups {
		a := s.rng.ExpFloat64()
		s.asked[maintenance.Group(g)] = a
		sum += a
		for range 1 + s.rng.Intn(3) {
			if i := s.rng.Intn(n); !slices.Contains(s.homes[maintenance.Group(g)], i) {
				s.homes[maintenance.Group(g)] = append(s.homes[maintenance.Group(g)], i)
			}
		}
	}
	for g := range s.asked {
		s.asked[g] *= load * cores / sum
	}
	return s
}

func (s *stage) capacity(i int) float64 {
	if until, out := s.out[i]; out && s.now < until {
		return 0
	}
	c := s.engines[i].Cores
	if since, ok := s.cold[i]; ok && s.now < since+coldFor {
		c *= coldShare + (1-coldShare)*(s.now-since)/coldFor
	}
	return c
}

func (s *stage) there(i int) bool { return s.capacity(i) > 0 }

// second is the benefit lost in one, of the work asked: what finds no room, where cold tables make more of it.
func (s *stage) second() float64 {
	load := make([]float64, len(s.engines))
	for g := range len(s.asked) {
		id := maintenance.Group(g)
		var at []int
		for _, i := range s.homes[id] {
			if s.there(i) {
				at = append(at, i)
			}
		}
		if len(at) == 0 { // it finds another home, where it is cold: the least loaded
			best := -1
			for i := range s.engines {
				if s.there(i) && (best < 0 || load[i]/s.engines[i].Cores < load[best]/s.engines[best].Cores) {
					best = i
				}
			}
			if best < 0 {
				continue
			}
			s.homes[id] = append(s.homes[id], best)
			s.warm[[2]int{best, g}] = s.now + warmAfter
			at = []int{best}
		}
		for _, i := range at {
			work := s.asked[id] / float64(len(at))
			if s.now < s.warm[[2]int{i, g}] {
				work *= coldTables
			}
			load[i] += work
		}
	}
	lost, all := 0.0, 0.0
	spill, room := 0.0, 0.0
	for i := range s.engines {
		all += load[i]
		c := s.capacity(i)
		spill += max(0, load[i]-c)
		room += max(0, c-load[i])
	}
	if spill > 0 { // others take what they have room for, cold
		taken := min(spill, room/coldTables)
		lost = spill - taken
	}
	s.now++
	return lost / max(all, 1e-9)
}

// take takes an engine out.
func (s *stage) take(i int) {
	back := s.now + drainFor + workFor
	s.out[i], s.cold[i] = back, back
	for g := range len(s.asked) {
		s.warm[[2]int{i, g}] = back + warmAfter
	}
}

// view is the stage as the order sees it.
func (s *stage) view() maintenance.View {
	v := maintenance.View{Now: 1e9 + s.now*1000, Tasks: s.tasks, DrainsListed: true}
	for i, e := range s.engines {
		e.Ready = s.there(i) || !slices.ContainsFunc(s.tasks, func(t maintenance.Task) bool { return t.Engine == e.ID })
		if since, ok := s.cold[i]; ok {
			e.WarmAt = 1e9 + (since+coldFor)*1000
		}
		for g := range len(s.asked) {
			id := maintenance.Group(g)
			if slices.Contains(s.homes[id], i) {
				others := 0
				for _, o := range s.homes[id] {
					if o != i && s.there(o) && s.now >= s.warm[[2]int{o, g}] {
						others++
					}
				}
				e.Groups = append(e.Groups, maintenance.HostedGroup{Group: id, Demand: s.asked[id] / float64(len(s.homes[id])), WarmReplicas: others})
				e.Load += s.asked[id] / float64(len(s.homes[id])) / e.Cores
			}
		}
		e.Load = min(1, e.Load)
		v.Engines = append(v.Engines, e)
	}
	return v
}

// prepare warms another home for the groups of an engine that have none: what the module's own move does when it is asked.
func (s *stage) prepare(i int) {
	for g := range len(s.asked) {
		id := maintenance.Group(g)
		if at := s.homes[id]; slices.Contains(at, i) && !slices.ContainsFunc(at, func(o int) bool { return o != i && s.there(o) }) {
			best := -1
			for o, e := range s.engines {
				if o != i && s.there(o) && (best < 0 || s.cold[o] < s.cold[best] || e.Cores > s.engines[best].Cores && s.cold[o] == s.cold[best]) {
					best = o
				}
			}
			if best >= 0 {
				s.homes[id] = append(s.homes[id], best)
				s.warm[[2]int{best, g}] = s.now + warmAfter
			}
		}
	}
}

// TakeAll has all engines taken out once by a policy, and tells the share of the benefit that was lost over the time of the
// slowest, how long it took (s), and how many were out at once at most.
func TakeAll(seed int64, n int, load float64, p Policy, atOnce int, horizon float64) (lost, took float64, most int) {
	s := newStage(seed, n, load)
	t := s.newTaking(p, atOnce)
	for s.now < horizon {
		out := s.countOut()
		most = max(most, out)
		t.step(out)
		lost += s.second()
		if took == 0 && len(t.taken) == n && s.allWarm() {
			took = s.now
		}
	}
	if took == 0 {
		took = math.Inf(1)
	}
	return lost / horizon, took, most
}

// taking is how far a policy has come with taking engines out.
type taking struct {
	stage  *stage
	policy Policy
	plan   maintenance.Plan
	atOnce int
	order  []int
	next   int       // in order
	timers []float64 // s, of each engine where each is taken out alone
	taken  map[int]bool
	index  map[maintenance.EngineID]int
}

func (s *stage) newTaking(p Policy, atOnce int) *taking {
	n := len(s.engines)
	t := &taking{stage: s, policy: p, atOnce: atOnce, taken: map[int]bool{}, index: map[maintenance.EngineID]int{},
		plan: maintenance.Plan{ID: "all", Select: maintenance.Selection{Kinds: []maintenance.Kind{"std"}}, WorkTime: workFor * 1000, MaxUnavailable: atOnce}}
	t.order = s.rng.Perm(n)
	if p == ListOrder || p == AllAllowed {
		slices.Sort(t.order)
	}
	t.timers = make([]float64, n)
	for i := range t.timers { // some controller's timer for each engine, over the time that one by one would take
		t.timers[i] = s.rng.Float64() * float64(n) * (drainFor + workFor) / float64(atOnce)
	}
	for i, e := range s.engines {
		t.index[e.ID] = i
	}
	return t
}

// step takes out what the policy takes out now, where so many are out.
func (t *taking) step(out int) {
	switch t.policy {
	case ListOrder, AtRandom:
		if out == 0 {
			t.takeNext()
		}
	case AllAllowed:
		for ; t.next < len(t.order) && out < t.atOnce; out++ {
			t.takeNext()
		}
	case EachAlone:
		for i := range t.stage.engines {
			if !t.taken[i] && t.stage.now >= t.timers[i] {
				t.take(i)
			}
		}
	case Ours:
		t.stage.conduct(t.plan, t.index, t.taken)
	}
}

func (t *taking) takeNext() {
	if t.next < len(t.order) {
		t.take(t.order[t.next])
		t.next++
	}
}

func (t *taking) take(i int) {
	t.stage.take(i)
	t.taken[i] = true
}

// countOut counts the engines that are out.
func (s *stage) countOut() (out int) {
	for i := range s.engines {
		if !s.there(i) {
			out++
		}
	}
	return out
}

// allWarm tells whether all engines are there and warm.
func (s *stage) allWarm() bool {
	for i := range s.engines {
		if !s.there(i) || s.now < s.cold[i]+coldFor {
			return false
		}
	}
	return true
}

func (s *stage) conduct(plan maintenance.Plan, index map[maintenance.EngineID]int, taken map[int]bool) {
	for i := range s.tasks { // what hands and confirmations tell
		t := &s.tasks[i]
		switch e := index[t.Engine]; {
		case t.Step == maintenance.Draining && s.now >= s.out[e]-workFor:
			t.Step = maintenance.Free
		case t.Step == maintenance.Free:
			t.Step = maintenance.Working
		case t.Step == maintenance.Working && s.there(e):
			t.Step, t.StepStartedAt = maintenance.Returning, 1e9+s.now*1000
		}
	}
	for range 4 {
		v := s.view()
		v.Plans = []maintenance.Plan{plan}
		m, _ := maintenance.Decide(v, maintenance.DefaultLimits())
		if m == nil {
			return
		}
		e := s.engines[index[m.Engine]]
		tasks, ok := maintenance.Apply(s.tasks, *m, e, v.Now)
		if !ok {
			return
		}
		s.tasks = tasks
		switch m.To {
		case maintenance.Preparing:
			s.prepare(index[m.Engine])
		case maintenance.Draining:
			s.take(index[m.Engine])
			taken[index[m.Engine]] = true
		}
	}
}

// BestOrder is the least that can be lost by any order, one at a time, the next when the one before is warm; for fleets so
// small that all orders can be tried. It tells what the settled order loses on the same stage.
func BestOrder(seed int64, n int, load float64) (best, ours float64) {
	horizon := float64(n) * (drainFor + workFor + coldFor + 40)
	best = math.Inf(1)
	perm := make([]int, n)
	for i := range perm {
		perm[i] = i
	}
	var try func(k int)
	try = func(k int) {
		if k == n {
			s, lost, next := newStage(seed, n, load), 0.0, 0
			prepared := -1.0
			for s.now < horizon {
				quiet := true
				for i := range s.engines {
					quiet = quiet && s.there(i) && s.now >= s.cold[i]+coldFor
				}
				if next < n && (quiet || next == 0) {
					if prepared < 0 {
						s.prepare(perm[next])
						prepared = s.now
					}
					if s.now >= prepared+warmAfter {
						s.take(perm[next])
						next, prepared = next+1, -1
					}
				}
				lost += s.second()
			}
			best = min(best, lost/horizon)
			return
		}
		for i := k; i < n; i++ {
			perm[k], perm[i] = perm[i], perm[k]
			try(k + 1)
			perm[k], perm[i] = perm[i], perm[k]
		}
	}
	try(0)
	ours, _, _ = TakeAll(seed, n, load, Ours, 1, horizon)
	return best, ours
}

// Forecasts plays the settled order and tells how many of the forecasts on the way held the real end, of how many: one each
// time that another engine has come back.
func Forecasts(seed int64, n int, load float64) (held, of int) {
	s := newStage(seed, n, load)
	plan := maintenance.Plan{ID: "all", Select: maintenance.Selection{Kinds: []maintenance.Kind{"std"}}, WorkTime: workFor * 1000, MaxUnavailable: max(1, n/10)}
	index, taken := map[maintenance.EngineID]int{}, map[int]bool{}
	for i, e := range s.engines {
		index[e.ID] = i
	}
	type told struct{ low, high float64 }
	var all []told
	back := 0
	for s.now < float64(n)*200 {
		if s.rng.Intn(600) == 0 { // something holds it up
			s.now += float64(s.rng.Intn(30))
		}
		s.conduct(plan, index, taken)
		done := 0
		for _, t := range s.tasks {
			if t.Step == maintenance.Done {
				done++
			}
		}
		if v := s.view(); done > back {
			if low, high, ok := maintenance.Forecast(v, plan); ok && done < n {
				all = append(all, told{low, high})
			}
			if back = done; done == n {
				for _, f := range all {
					if v.Now >= f.low && v.Now <= f.high {
						held++
					}
				}
				return held, len(all)
			}
		}
		s.second()
	}
	return 0, len(all)
}
