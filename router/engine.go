package router

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// The books of engines: the list, their reports and what left. Nothing is decided here.

// engine is one of the list, or one that left it with sends still out.
type engine struct {
	hash       uint64 // of the id
	bounds     bounds
	out        int     // own sends out
	threads    float64 // of these
	id         EngineID
	state      EngineState
	zone       Zone
	kind       KindID
	cell       CellID
	since      float64
	cores      float64
	loads      map[*tableGroup]int     // own loads out, by what they hold
	heldUntil  map[*tableGroup]float64 // by a note that a load holds them
	others     decay                   // commands of other controllers, by its reports
	util, disk decay
	granted    float64 // share of its memory, by its last report
	reportAt   float64
	slow       decay  // time taken over the time alone
	outcomes   uint64 // the last outcomes, a bit each, 1 for success
	retryAt    float64
	retryWait  float64
	probing    bool
	probeAt    float64
	width      float64 // threads a core that all controllers together may run here, by what this one sees
	cutAt      float64
	rests      []rest  // of profiles that it turned away, by number
	goodAt     float64 // when a send last did well, whatever its profile
	coldSent   stamps
	tookAt     float64 // when what it last answered was sent to it
	brokeAt    float64 // when a connection to it was last lost, or not to be had
	owner      *owner  // which it has
	home       *owner  // among whose engines it was found last, and
	fit        float64 // how well it suits an owner, while engines are handed out
}

// turned is the rest of a profile at an engine.
func (e *engine) turned(p *profile) *rest {
	return &e.rests[p.number]
}

// holds is how many loads are known to hold a table group on the engine.
func (e *engine) holds(g *tableGroup, now float64) float64 {
	if len(g.holders) == 0 {
		return 0
	}
	if now < e.heldUntil[g] {
		return float64(e.loads[g] + 1)
	}
	return float64(e.loads[g])
}

// fresh forgets what was learned of an engine's earlier process.
func (e *engine) fresh() {
	e.outcomes, e.retryWait, e.retryAt = math.MaxUint64, firstTrial, 0
	e.others, e.util, e.disk = decay{life: othersLife}, decay{life: reportLife}, decay{life: reportLife}
	e.slow, e.reportAt, e.width = decay{life: reportLife}, 0, startWidth
	e.goodAt = 0
	clear(e.rests)
}

func byEngine(a, b *engine) int { return cmp.Compare(a.id, b.id) }

// enlist takes in the entries of a list; what a whole list doesn't name has left.
func (r *Router) enlist(ev EndpointsUpdated) {
	r.fleet++
	if r.expired = ev.ExpiredFor; r.expired == 0 {
		r.heardAt = r.now
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
			e = &engine{id: entry.Engine, hash: h.Sum64(), loads: map[*tableGroup]int{},
				heldUntil: map[*tableGroup]float64{}, rests: make([]rest, len(r.profiles))}
			r.engines[e.id], r.order = e, insert(r.order, e, byEngine)
			e.fresh()
		} else if since > e.since {
			e.fresh()
		}
		e.state, e.zone, e.kind, e.cell = entry.State, entry.Zone, entry.Kind, entry.Cell
		e.since = since
		e.cores = spareCores
		if e.kind >= 0 {
			e.cores = r.kinds[e.kind].Cores
		}
		r.weigh(e)
	}
	for _, e := range r.order {
		if ev.Complete && !named[e.id] {
			e.state = Gone
			r.weigh(e)
		}
	}
}

// ready is the engines of a kind that the list calls ready, by id.
func (r *Router) ready(k int) (list []*engine) {
	for _, e := range r.order {
		if e.readyOf(k) {
			list = append(list, e)
		}
	}
	return list
}

func (r *Router) probed(ev HealthCheckEnded) {
	if e := r.engines[ev.Engine]; e != nil {
		e.probing = false
		e.judge(r.now, ev.Outcome == Succeeded)
		r.report(e, ev.Load)
		r.weigh(e)
	}
}

// report files a load report.
func (r *Router) report(e *engine, l *LoadReport) {
	if l == nil || !l.plausible(e) {
		return
	}
	e.reportAt, e.granted = r.now, max(0, l.Memory)
	if l.Utilization >= 0 {
		e.util.add(r.now, l.Utilization, 1)
	}
	if l.Disk >= 0 {
		e.disk.add(r.now, l.Disk, 1)
	}
	if l.Inflight >= 0 {
		e.others.cap(r.now, 1)
		e.others.add(r.now, max(0, l.Inflight-float64(e.out)), 1)
		r.busy.add(r.now, max(0, l.Inflight-float64(e.out)), e.cores)
		if r.cores > 0 {
			r.share.add(r.now, float64(r.out)*e.cores/r.cores, l.Inflight)
		}
	}
	r.weigh(e)
}

// forgetEngines drops engines that left the list and owe no outcome.
func (r *Router) forgetEngines() {
	r.order = slices.DeleteFunc(r.order, func(e *engine) bool {
		done := e.state == Gone && e.out == 0 && !e.probing
		if done {
			r.fleet++
			delete(r.engines, e.id)
		}
		return done
	})
}

// holds tells whether two engines drop each other's repeats.
func (s DeduplicationScope) holds(a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// likes is a fixed leaning from 0 to 1 of a table group to an engine, the same at every controller.
func likes(g *tableGroup, e *engine) float64 {
	x := e.hash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
