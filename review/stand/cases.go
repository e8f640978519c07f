//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// send writes a request and returns when it was written.
func (c *client) send(name, text string) time.Time {
	c.w.note("%s writes %s", name, text)
	c.conn.Write(query(text)) // an error shows as the end of the session
	return time.Now()
}

// one sends a request and waits for its answer.
func (c *client) one(name, text string, within time.Duration) answer {
	c.send(name, text)
	a := c.receive(within)
	c.w.note("%s got: %s", name, a)
	return a
}

func open(w *world) *client {
	c, err := dial(w)
	must(err)
	return c
}

// warm sends some requests, so that the controller knows its executors.
func (w *world) warm(class string, n int) {
	c := open(w)
	defer c.close()
	for range n {
		if a := c.one("warm-up", w.statement(class, newID(), 3000, 120, "", 3), 4*time.Second); a.kind != "served" {
			panic(fatal{fmt.Errorf("warm-up: %v", a)})
		}
	}
}

// used opens sessions and has each carry a request, all at the same time. It returns when each had its answer.
func (w *world) used(class string, n int) (sessions []*client, rested []time.Time) {
	rested = make([]time.Time, n)
	good := make([]bool, n)
	for range n {
		sessions = append(sessions, open(w))
	}
	var wg sync.WaitGroup
	for i, c := range sessions {
		wg.Go(func() {
			a := c.one(fmt.Sprintf("client %d", i+1), w.statement(class, newID(), 3000, 120, "", 5), 4*time.Second)
			rested[i], good[i] = a.at, a.kind == "served"
		})
	}
	wg.Wait()
	for _, g := range good {
		if !g {
			panic(fatal{fmt.Errorf("a first request was not served")})
		}
	}
	return sessions, rested
}

// answered reports whether an answer is a whole final one.
func (a answer) answered() bool {
	return a.kind == "served" || a.kind == "refused" || a.kind == "failed"
}

// lost reports whether a request is lost: it has no whole answer half a second after its time (and 50 ms more, as all
// limits on sockets have). One whose connection was closed within 50 ms of it is excused: its client sends it again.
func (w *world) lost(name string, wrote time.Time, limit time.Duration, a answer) bool {
	after := a.at.Sub(wrote)
	verdict, lost := "has its answer", false
	switch {
	case a.kind == "closed" && after <= 50*time.Millisecond:
		verdict = "crossed the close of its connection, which is excused"
	case !a.answered() || after > limit+550*time.Millisecond:
		verdict, lost = "is LOST", true
	}
	w.note("%s %s: %s, %v after it was written", name, verdict, a, after.Round(time.Millisecond))
	return lost
}

// The length of a stall in rosario-datos.
const longestStall = 1900 * time.Millisecond

// idleCase: requests that come while the controller stands still, on sessions that have rested for less than 4 s.
func idleCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 4
	const rest, before, stall, limit = 3450 * time.Millisecond, 200 * time.Millisecond, 1800 * time.Millisecond, 3 * time.Second
	sessions, rested := w.used("consulta", n)
	time.Sleep(time.Until(rested[0].Add(rest)))
	lost := make(chan bool, n)
	for i, c := range sessions {
		go func() {
			time.Sleep(before)
			name := fmt.Sprintf("client %d", i+1)
			wrote := c.send(name, w.statement("consulta", newID(), 3000, 120, "", 5))
			at := wrote.Sub(rested[i])
			w.note("%s had rested for %v", name, at.Round(time.Millisecond))
			if at > 4*time.Second {
				w.unfit("clients close sessions after 4 s")
			}
			lost <- w.lost(name, wrote, limit, c.receive(6*time.Second))
		}()
	}
	w.stand(stall, longestStall)
	return w.count(lost, n)
}

// count counts the lost requests of n.
func (w *world) count(lost chan bool, n int) (none bool) {
	sum := 0
	for range n {
		if <-lost {
			sum++
		}
	}
	w.note("%d of %d requests are lost", sum, n)
	return sum == 0
}

// orderCase: loads of one key come while the controller stands still, each on a session of its own.
func orderCase(w *world) bool {
	w.start(tacoma())
	w.warm("lookup", 8)
	const n = 3
	const apart, stall = 200 * time.Millisecond, 900 * time.Millisecond
	key := newID()
	ids := make([]string, n)
	wrote := make([]time.Time, n)
	sessions, _ := w.used("lookup", n)
	began := time.Now()
	var wg sync.WaitGroup
	for i, c := range sessions {
		ids[i] = newID()
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * apart)))
			name := fmt.Sprintf("client %d", i+1)
			wrote[i] = c.send(name, w.statement("load", ids[i], 20000, 1500, ",unique="+ids[i]+ids[i]+",item="+key, 7))
			w.note("%s got: %s", name, c.receive(21*time.Second))
		})
	}
	w.stand(stall, longestStall)
	wg.Wait()
	for i := range n - 1 {
		if wrote[i+1].Sub(wrote[i]) < 60*time.Millisecond {
			w.unfit("loads of one key are written at least 60 ms apart")
		}
	}
	return w.inOrder(ids, wrote)
}

// inOrder reports whether loads came to executors in the order in which they were written. One that was answered without
// having come there is left out: a shed reply or a failure may come out of turn.
func (w *world) inOrder(ids []string, wrote []time.Time) (held bool) {
	came := w.firsts()
	held = true
	last := -1 // the batch that ran last, over what the others had written
	for i := range ids {
		if came[ids[i]].id != "" && (last < 0 || came[ids[i]].at.After(came[ids[last]].at)) {
			last = i
		}
		for j := range i {
			first, later := came[ids[j]], came[ids[i]]
			if first.id != "" && later.id != "" && later.at.Before(first.at) {
				w.note("load %d (%s) came to an executor %v before load %d (%s), which was written %v earlier", i+1, ids[i],
					first.at.Sub(later.at).Round(time.Millisecond), j+1, ids[j], wrote[i].Sub(wrote[j]).Round(time.Millisecond))
				held = false
			}
		}
	}
	w.note("the last load written was load %d, the last one that ran was load %d", len(ids), last+1)
	return held
}

// termCase: a planned restart, and the controller stands still just then. TROUBLE=restart leaves out the stall alone.
func termCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 4
	const toStall, stall, limit = 100 * time.Millisecond, 1800 * time.Millisecond, 3 * time.Second
	sessions, _ := w.used("consulta", n)
	if w.trouble || w.restart {
		w.signal(syscall.SIGTERM, "is told to end")
	}
	told := time.Now()
	lost := make(chan bool, n)
	for i, c := range sessions {
		go func() {
			time.Sleep(time.Until(told.Add(200*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			name := fmt.Sprintf("client %d", i+1)
			wrote := c.send(name, w.statement("consulta", newID(), 3000, 120, "", 5))
			at := wrote.Sub(told)
			w.note("%s wrote %v after the time of SIGTERM", name, at.Round(time.Millisecond))
			if at > 400*time.Millisecond {
				w.unfit("requests on open sessions come for 0.4 to 0.6 s after SIGTERM")
			}
			lost <- w.lost(name, wrote, limit, c.receive(6*time.Second))
		}()
	}
	time.Sleep(toStall)
	w.stand(stall, longestStall)
	return w.count(lost, n)
}
