package fleet

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/maintenance"
)

// Policy is an order in which engines are taken out of service for maintenance.
type Policy int

// The policies that are compared.
const (
	Planned    Policy = iota // the order that core/fleet/maintenance decides
	ListOrder                // one at a time in the list's order, the next as soon as the last one is back
	AtRandom                 // one at a time in random order, the next as soon as the last one is back
	AllAllowed               // always as many as may be out at once
	EachAlone                // each engine by a timer of its own controller, independent of the others
)

var policyNames = [...]string{"in the planned order", "by list order, one at a time", "at random, one at a time", "as many as allowed, always",
	"each controller by its own timer"}

func (p Policy) String() string { return policyNames[p] }

// Policies returns all policies.
func Policies() []Policy { return []Policy{Planned, ListOrder, AtRandom, AllAllowed, EachAlone} }

// drainModel models a fleet of engines in virtual time, in steps of one second. Each table group demands work and is warm at
// its replicas. The capacity of an engine that comes back grows over warmUpTime, and its table groups are cold there for
// tableWarmTime.
type drainModel struct {
	rng          *rand.Rand
	engines      []maintenance.Engine
	replicas     map[maintenance.Group][]int   // engines that serve a group
	tablesWarmAt map[[2]int]float64            // by engine and group: s, when the group is warm there
	demand       map[maintenance.Group]float64 // cores
	outUntil     map[int]float64               // by engine: s, when it comes back
	returnedAt   map[int]float64               // by engine: s, when it came back last, or will
	tasks        []maintenance.Task
	now          float64
}

const (
	warmUpTime    = 14.0 // s until an engine that is back has its full capacity
	coldCapacity  = 0.35 // share of the capacity that it has at once
	tableWarmTime = 10.0 // s until a table group is warm at a new replica
	coldTableCost = 2.0  // factor of the work for a group that is cold
	workTime      = 30.0 // s on each engine
	drainTime     = 2.0  // s
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

// runSecond simulates one second and returns the lost benefit as a share of the work: work that exceeds all capacity. Cold
// tables increase the work.
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
		if len(at) == 0 { // the group moves to the least loaded engine, where it is cold
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
	if spill > 0 { // other engines take over what they have room for, with cold tables
		taken := min(spill, room/coldTableCost)
		lost = spill - taken
	}
	s.now++
	return lost / max(all, 1e-9)
}

// takeOut takes an engine out of service for its drain and work.
func (s *drainModel) takeOut(i int) {
	back := s.now + drainTime + workTime
	s.outUntil[i], s.returnedAt[i] = back, back
	for g := range len(s.demand) {
		s.tablesWarmAt[[2]int{i, g}] = back + tableWarmTime
	}
}

// view returns the fleet as the input of maintenance.Decide.
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

// prepare warms another replica for the groups that are up at no other engine, as the daemon does before a drain.
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

// TakeAll takes every engine out once by a policy. It returns the share of the benefit that is lost over the horizon, how
// long it took until all were warm again, in s (+Inf: longer than the horizon), and how many were out at once at most.
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

// rollout is the progress of a policy in taking all engines out.
type rollout struct {
	model  *drainModel
	policy Policy
	plan   maintenance.Plan
	maxOut int
	order  []int
	next   int       // in order
	timers []float64 // s, when EachAlone takes out each engine
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
	for i := range t.timers { // spread over the time that taking out maxOut at a time needs
		t.timers[i] = s.rng.Float64() * float64(n) * (drainTime + workTime) / float64(maxOut)
	}
	for i, e := range s.engines {
		t.index[e.ID] = i
	}
	return t
}

// step takes out the engines that the policy chooses now; out is the number of engines that are out already.
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

// allWarm reports whether all engines are up and warm.
func (s *drainModel) allWarm() bool {
	for i := range s.engines {
		if !s.isUp(i) || s.now < s.returnedAt[i]+warmUpTime {
			return false
		}
	}
	return true
}

func (s *drainModel) runMaintenance(plan maintenance.Plan, index map[maintenance.EngineID]int, taken map[int]bool) {
	for i := range s.tasks { // completes the steps that the hooks confirm
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

// BestOrder returns the least loss of all orders that take out one engine at a time, the next when all are warm, and the loss
// of the policy Planned on the same fleet. It tries all permutations, so it suits small fleets only.
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

// Forecasts takes all engines out by the policy Planned, with a forecast of the end each time that an engine is done. It
// returns how many of the forecasts contain the real end, and their number.
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
		if s.rng.Intn(600) == 0 { // a random delay
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
