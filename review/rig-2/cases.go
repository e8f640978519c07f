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

// lost: rule 1. One of two controllers stands still, again and again. Queries come meanwhile whose work takes longer than
// their clients wait. Each is owed a final answer by half a second (and 50 ms) after its time.
func lost(r *rig) {
	const (
		stall     = 1500 * time.Millisecond
		limitMS   = 2500
		answerBy  = limitMS*time.Millisecond + 550*time.Millisecond
		perRound  = 4
		rounds    = 3
		statement = "SELECT WORK(3500) FROM avisos_%d.ventas"
	)
	d := r.deploy(2, rosario(), []int{0, 1, 0}, 500*time.Millisecond, "")
	for round := range rounds {
		var sessions []*session
		for range perRound {
			sessions = append(sessions, d.session(r, "consulta"))
		}
		var wait sync.WaitGroup
		ask := func() {
			for i, s := range sessions {
				id, text := query("informe", limitMS, ",cpu=2500,est_mb=64", fmt.Sprintf(statement, i+2))
				at, err := s.send(text)
				r.must(err)
				r.note("client: informe %s written, limit %d ms", id, limitMS)
				wait.Go(func() {
					p := s.await(at.Add(answerBy + 3*time.Second))
					took := p.at.Sub(at)
					r.note("client: informe %s of round %d: %s %.1f ms after its last byte", id, round+1, p.verdict(),
						float64(took.Microseconds())/1e3)
					if p.err != nil || took > answerBy {
						r.breaks("informe %s had no final answer %d ms after its last byte (limit %d ms and 550 ms): %s after %d ms",
							id, answerBy.Milliseconds(), limitMS, p.verdict(), took.Milliseconds())
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		}
		if r.trouble {
			d.controller.standStill(stall, ask)
		} else {
			ask()
		}
		wait.Wait()
		time.Sleep(2500 * time.Millisecond)
	}
	if !d.controller.running() {
		r.breaks("the controller ended: %s", d.controller.log())
	}
}
