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
	Planned    Policy = iota // core/fleet/maintenance
	ListOrder                // one at a time, the next when the one before is in the list again
	AtRandom                 // the same, drawn
	AllAllowed               // as many as may be out, always
	EachAlone                // each controller by its own timer: none knows of the others' choice
)

var policyNames = [...]string{"in the order that is settled", "by list order, one at a time", "at random, one at a time", "as many as allowed, always",
	"each controller by its own timer"}

func (p Policy) String() string { return policyNames[p] }

// Policies are all.
func Policies() []Policy { return []Policy{Planned, ListOrder, AtRandom, AllAllowed, EachAlone} }

// drainModel is a fleet of engines in virtual time, in steps of a second: work that is asked of table groups, each warm at some
// engines; an engine that comes back is cold: its capacity grows over some seconds, and its table groups are cold until
// they were used there.
type drainModel struct {
	rng          *rand.Rand
	engines      []maintenance.Engine
	replicas     map[maintenance.Group][]int   // engines that serve a group
	tablesWarmAt map[[2]int]float64            // engine and group: from when it is warm there
	demand       map[maintenance.Group]float64 // cores
	outUntil     map[int]float64               // until when
	returnedAt   map[int]float64               // since when it is back
	tasks        []maintenance.Task
	now          float64
}

const (
	warmUpTime    = 14.0 // s
	coldCapacity  = 0.35
	tableWarmTime = 10.0 // s in which a table group becomes warm at a new home
	coldTableCost = 2.0  // times the work of a group that is cold
	workTime      = 30.0 // s on each engine
	drainTime     = 2.0
)

func newDrainModel(seed int64, n int, load float64) *drainModel {
	s := &drainModel{rng: rand.New(rand.NewSource(seed)), replicas: map[maintenance.Group][]int{}, tablesWarmAt: map[[2]int]float64{},
		demand: map[maintenance.Group]float64{}, outUntil: map[int]float64{}, returnedAt: map[int]float64{}}
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
		s.demand[maintenance.Group(g)] = a
		sum += a
		for range 1 + s.rng.Intn(3) {
			if i := s.rng.Intn(n); !slices.Contains(s.replicas[maintenance.Group(g)], i) {
				s.replicas[maintenance.Group(g)] = append(s.replicas[maintenance.Group(g)], i)
			}
		}
	}
	for g := range s.demand {
		s.demand[g] *= load * cores / sum
	}
	return s
}

func (s *drainModel) capacity(i int) float64 {
	if until, out := s.outUntil[i]; out && s.now < until {
		return 0
	}
	c := s.engines[i].Cores
	if since, ok := s.returnedAt[i]; ok && s.now < since+warmUpTime {
		c *= coldCapacity + (1-coldCapacity)*(s.now-since)/warmUpTime
	}
	return c
}

func (s *drainModel) isUp(i int) bool { return s.capacity(i) > 0 }

// runSecond is the benefit lost in one, of the work asked: what finds no room, where cold tables make more of it.
func (s *drainModel) runSecond() float64 {
	load := make([]float64, len(s.engines))
	for g := range len(s.demand) {
		id := maintenance.Group(g)
		var at []int
		for _, i := range s.replicas[id] {
			if s.isUp(i) {
				at = append(at, i)
			}
		}
		if len(at) == 0 { // it finds another home, where it is cold: the least loaded
			best := -1
			for i := range s.engines {
				if s.isUp(i) && (best < 0 || load[i]/s.engines[i].Cores < load[best]/s.engines[best].Cores) {
					best = i
				}
			}
			if best < 0 {
				continue
			}
			s.replicas[id] = append(s.replicas[id], best)
			s.tablesWarmAt[[2]int{best, g}] = s.now + tableWarmTime
			at = []int{best}
		}
		for _, i := range at {
			work := s.demand[id] / float64(len(at))
			if s.now < s.tablesWarmAt[[2]int{i, g}] {
				work *= coldTableCost
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
		taken := min(spill, room/coldTableCost)
		lost = spill - taken
	}
	s.now++
	return lost / max(all, 1e-9)
}

// takeOut takes an engine out.
func (s *drainModel) takeOut(i int) {
	back := s.now + drainTime + workTime
	s.outUntil[i], s.returnedAt[i] = back, back
	for g := range len(s.demand) {
		s.tablesWarmAt[[2]int{i, g}] = back + tableWarmTime
	}
}

// view is the stage as the order sees it.
func (s *drainModel) view() maintenance.View {
	v := maintenance.View{Now: 1e9 + s.now*1000, Tasks: s.tasks, DrainsListed: true}
	for i, e := range s.engines {
		e.Ready = s.isUp(i) || !slices.ContainsFunc(s.tasks, func(t maintenance.Task) bool { return t.Engine == e.ID })
		if since, ok := s.returnedAt[i]; ok {
			e.WarmAt = 1e9 + (since+warmUpTime)*1000
		}
		for g := range len(s.demand) {
			id := maintenance.Group(g)
			if slices.Contains(s.replicas[id], i) {
				others := 0
				for _, o := range s.replicas[id] {
					if o != i && s.isUp(o) && s.now >= s.tablesWarmAt[[2]int{o, g}] {
						others++
					}
				}
				e.Groups = append(e.Groups, maintenance.HostedGroup{Group: id, Demand: s.demand[id] / float64(len(s.replicas[id])), WarmReplicas: others})
				e.Load += s.demand[id] / float64(len(s.replicas[id])) / e.Cores
			}
		}
		e.Load = min(1, e.Load)
		v.Engines = append(v.Engines, e)
	}
	return v
}

// prepare warms another home for the groups of an engine that have none: what the module's own move does when it is asked.
func (s *drainModel) prepare(i int) {
	for g := range len(s.demand) {
		id := maintenance.Group(g)
		if at := s.replicas[id]; slices.Contains(at, i) && !slices.ContainsFunc(at, func(o int) bool { return o != i && s.isUp(o) }) {
			best := -1
			for o, e := range s.engines {
				if o != i && s.isUp(o) && (best < 0 || s.returnedAt[o] < s.returnedAt[best] || e.Cores > s.engines[best].Cores && s.returnedAt[o] == s.returnedAt[best]) {
					best = o
				}
			}
			if best >= 0 {
				s.replicas[id] = append(s.replicas[id], best)
				s.tablesWarmAt[[2]int{best, g}] = s.now + tableWarmTime
			}
		}
	}
}

// TakeAll has all engines taken out once by a policy, and tells the share of the benefit that was lost over the time of the
// slowest, how long it took (s), and how many were out at once at most.
func TakeAll(seed int64, n int, load float64, p Policy, maxOut int, horizon float64) (lost, took float64, mostOut int) {
	s := newDrainModel(seed, n, load)
	t := s.newRollout(p, maxOut)
	for s.now < horizon {
		out := s.countOut()
		mostOut = max(mostOut, out)
		t.step(out)
		lost += s.runSecond()
		if took == 0 && len(t.taken) == n && s.allWarm() {
			took = s.now
		}
	}
	if took == 0 {
		took = math.Inf(1)
	}
	return lost / horizon, took, mostOut
}

// rollout is how far a policy has come with taking engines out.
type rollout struct {
	model  *drainModel
	policy Policy
	plan   maintenance.Plan
	maxOut int
	order  []int
	next   int       // in order
	timers []float64 // s, of each engine where each is taken out alone
	taken  map[int]bool
	index  map[maintenance.EngineID]int
}

func (s *drainModel) newRollout(p Policy, maxOut int) *rollout {
	n := len(s.engines)
	t := &rollout{model: s, policy: p, maxOut: maxOut, taken: map[int]bool{}, index: map[maintenance.EngineID]int{},
		plan: maintenance.Plan{ID: "all", Select: maintenance.Selection{Kinds: []maintenance.Kind{"std"}}, WorkTime: workTime * 1000, MaxUnavailable: maxOut}}
	t.order = s.rng.Perm(n)
	if p == ListOrder || p == AllAllowed {
		slices.Sort(t.order)
	}
	t.timers = make([]float64, n)
	for i := range t.timers { // some controller's timer for each engine, over the time that one by one would take
		t.timers[i] = s.rng.Float64() * float64(n) * (drainTime + workTime) / float64(maxOut)
	}
	for i, e := range s.engines {
		t.index[e.ID] = i
	}
	return t
}

// step takes out what the policy takes out now, where so many are out.
func (t *rollout) step(out int) {
	switch t.policy {
	case ListOrder, AtRandom:
		if out == 0 {
			t.takeNext()
		}
	case AllAllowed:
		for ; t.next < len(t.order) && out < t.maxOut; out++ {
			t.takeNext()
		}
	case EachAlone:
		for i := range t.model.engines {
			if !t.taken[i] && t.model.now >= t.timers[i] {
				t.take(i)
			}
		}
	case Planned:
		t.model.runMaintenance(t.plan, t.index, t.taken)
	}
}

func (t *rollout) takeNext() {
	if t.next < len(t.order) {
		t.take(t.order[t.next])
		t.next++
	}
}

func (t *rollout) take(i int) {
	t.model.takeOut(i)
	t.taken[i] = true
}

// countOut counts the engines that are out.
func (s *drainModel) countOut() (out int) {
	for i := range s.engines {
		if !s.isUp(i) {
			out++
		}
	}
	return out
}

// allWarm tells whether all engines are there and warm.
func (s *drainModel) allWarm() bool {
	for i := range s.engines {
		if !s.isUp(i) || s.now < s.returnedAt[i]+warmUpTime {
			return false
		}
	}
	return true
}

func (s *drainModel) runMaintenance(plan maintenance.Plan, index map[maintenance.EngineID]int, taken map[int]bool) {
	for i := range s.tasks { // what hands and confirmations tell
		t := &s.tasks[i]
		switch e := index[t.Engine]; {
		case t.Step == maintenance.Draining && s.now >= s.outUntil[e]-workTime:
			t.Step = maintenance.Free
		case t.Step == maintenance.Free:
			t.Step = maintenance.Working
		case t.Step == maintenance.Working && s.isUp(e):
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
			s.takeOut(index[m.Engine])
			taken[index[m.Engine]] = true
		}
	}
}

// BestOrder is the least that can be lost by any order, one at a time, the next when the one before is warm; for fleets so
// small that all orders can be tried. It tells what the settled order loses on the same stage.
func BestOrder(seed int64, n int, load float64) (best, ours float64) {
	horizon := float64(n) * (drainTime + workTime + warmUpTime + 40)
	best = math.Inf(1)
	perm := make([]int, n)
	for i := range perm {
		perm[i] = i
	}
	var try func(k int)
	try = func(k int) {
		if k == n {
			s, lost, next := newDrainModel(seed, n, load), 0.0, 0
			prepared := -1.0
			for s.now < horizon {
				allWarm := true
				for i := range s.engines {
					allWarm = allWarm && s.isUp(i) && s.now >= s.returnedAt[i]+warmUpTime
				}
				if next < n && (allWarm || next == 0) {
					if prepared < 0 {
						s.prepare(perm[next])
						prepared = s.now
					}
					if s.now >= prepared+tableWarmTime {
						s.takeOut(perm[next])
						next, prepared = next+1, -1
					}
				}
				lost += s.runSecond()
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
	ours, _, _ = TakeAll(seed, n, load, Planned, 1, horizon)
	return best, ours
}

// Forecasts plays the settled order and tells how many of the forecasts on the way held the real end, of how many: one each
// time that another engine has come back.
func Forecasts(seed int64, n int, load float64) (held, of int) {
	s := newDrainModel(seed, n, load)
	plan := maintenance.Plan{ID: "all", Select: maintenance.Selection{Kinds: []maintenance.Kind{"std"}}, WorkTime: workTime * 1000, MaxUnavailable: max(1, n/10)}
	index, taken := map[maintenance.EngineID]int{}, map[int]bool{}
	for i, e := range s.engines {
		index[e.ID] = i
	}
	type forecast struct{ low, high float64 }
	var all []forecast
	back := 0
	for s.now < float64(n)*200 {
		if s.rng.Intn(600) == 0 { // something holds it up
			s.now += float64(s.rng.Intn(30))
		}
		s.runMaintenance(plan, index, taken)
		done := 0
		for _, t := range s.tasks {
			if t.Step == maintenance.Done {
				done++
			}
		}
		if v := s.view(); done > back {
			if low, high, ok := maintenance.Forecast(v, plan); ok && done < n {
				all = append(all, forecast{low, high})
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
		s.runSecond()
	}
	return 0, len(all)
}
