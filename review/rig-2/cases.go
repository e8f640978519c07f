//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*rig){
	"lost": lost,
}

// deployment is a started deployment.
type deployment struct {
	fleet      *fleet
	engines    []*engine
	discovery  *discovery
	controller *controller // the first one
}

// deploy starts engines of the kinds, discovery, and controllers with the settings.
func (r *rig) deploy(controllers int, settings object, engineKinds []int, notes time.Duration, operator string) *deployment {
	d := &deployment{fleet: &fleet{r: r, notes: notes, report: true}}
	var list []listed
	for i, kind := range engineKinds {
		e := d.fleet.start(uint32(i+1), kind)
		d.engines = append(d.engines, e)
		list = append(list, listed{e: e})
	}
	d.discovery = r.startDiscovery(settings["failure_domains"].([]string), settings["kinds"].([]string), list)
	for index := range controllers {
		if c := r.startController(index, controllers, settings, d.discovery, operator); index == 0 {
			d.controller = c
		}
	}
	return d
}

// session opens a session and has one small query answered on it.
func (d *deployment) session(r *rig, verb string) *session {
	s, err := dial(d.controller.listen)
	r.must(err)
	r.atEnd(s.close)
	id, text := query(verb, 3000, "", "SELECT WORK(20) FROM sales_1.orders")
	p := s.ask(text, 4*time.Second)
	r.note("client: %s %s first on its session: %s", verb, id, p.verdict())
	return s
}

// lost: rule 1. One of two controllers stands still once. Informes come meanwhile, one of which gets a bad
// plan, so that it takes longer than its client waits. Each is owed a final answer by half a second (and
// 50 ms) after its time.
func lost(r *rig) {
	const (
		stall   = 1500 * time.Millisecond // of 880 to 1,900 ms
		longest = 1900 * time.Millisecond
		queries = 13 // one bad plan among them: 7.7%, of 3.1 to 8.1%
	)
	d := r.deploy(2, rosario(), []int{0, 1, 0}, 500*time.Millisecond, "")
	d.fleet.times = r.oneBadPlan()
	var sessions []*session
	for range queries {
		sessions = append(sessions, d.session(r, "consulta"))
	}
	var wait sync.WaitGroup
	ask := func() {
		for i, s := range sessions {
			id, text := query("informe", informeLimitMS, ",cpu=12000,est_mb=64",
				fmt.Sprintf("SELECT WORK(1250) FROM avisos_%d.ventas", i+2))
			at, err := s.send(text)
			r.must(err)
			r.note("client: informe %s written, limit %d ms", id, informeLimitMS)
			wait.Go(func() { r.judgeInforme(id, at, s.await(at.Add(informeAnswerBy+3*time.Second))) })
			time.Sleep(30 * time.Millisecond)
		}
	}
	if r.trouble {
		d.controller.standStill(stall, longest, ask)
	} else {
		ask()
	}
	wait.Wait()
	if !d.controller.running() {
		r.breaks("the controller ended: %s", d.controller.log())
	}
}

const (
	informeLimitMS  = 20000 // 80% of the client timeout
	informeAnswerBy = informeLimitMS*time.Millisecond + 550*time.Millisecond
	badPlan         = 18 // times as long, of 9.1 to 24
)

// oneBadPlan says how many times as long a send takes: the first of an informe gets a bad plan.
func (r *rig) oneBadPlan() func(a *arrival) float64 {
	var mu sync.Mutex
	drawn := false
	return func(a *arrival) float64 {
		mu.Lock()
		defer mu.Unlock()
		if a.profile != "informe" || drawn {
			return 1
		}
		drawn = true
		r.note("engine %s has a bad plan for %s", a.engine, a.id)
		return badPlan
	}
}

func (r *rig) judgeInforme(id string, at time.Time, p reply) {
	took := p.at.Sub(at)
	r.note("client: informe %s: %s %.1f ms after its last byte", id, p.verdict(), float64(took.Microseconds())/1e3)
	if p.err != nil || took > informeAnswerBy {
		r.breaks("informe %s had no final answer %d ms after its last byte (limit %d ms and 550 ms): %s after %d ms",
			id, informeAnswerBy.Milliseconds(), informeLimitMS, p.verdict(), took.Milliseconds())
	}
}
