//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// one sends a request and waits for its answer.
func (c *client) one(name, text string, within time.Duration) answer {
	c.w.note("%s writes %s", name, text)
	if _, err := c.conn.Write(query(text)); err != nil {
		return answer{kind: "closed", text: err.Error(), at: time.Now()}
	}
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
		if a := c.one("warm-up", statement(class, newID(), 3000, 40, "", 3), 4*time.Second); a.kind != "served" {
			panic(fatal{fmt.Errorf("warm-up: %v", a)})
		}
	}
}

// answered reports whether an answer is a whole final one.
func (a answer) answered() bool {
	return a.kind == "served" || a.kind == "refused" || a.kind == "failed"
}

// idleCase: requests that come while the controller stands still, on sessions that have rested for less than 4 s.
func idleCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 4
	const rest, before, stall = 3450 * time.Millisecond, 200 * time.Millisecond, 1800 * time.Millisecond
	var sessions []*client
	for range n {
		sessions = append(sessions, open(w))
	}
	var rested [n]time.Time
	for i, c := range sessions {
		a := c.one(fmt.Sprintf("client %d", i+1), statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		if a.kind != "served" {
			panic(fatal{fmt.Errorf("first request: %v", a)})
		}
		rested[i] = time.Now()
	}
	time.Sleep(time.Until(rested[0].Add(rest)))
	answers := make(chan answer, n)
	for i, c := range sessions {
		go func() {
			time.Sleep(before)
			name := fmt.Sprintf("client %d", i+1)
			text := statement("consulta", newID(), 3000, 20, ",team=litoral", 5)
			w.note("%s has rested for %v", name, time.Since(rested[i]).Round(time.Millisecond))
			wrote := time.Now()
			a := c.one(name, text, 6*time.Second)
			w.note("%s: that was %v after its request", name, a.at.Sub(wrote).Round(time.Millisecond))
			answers <- a
		}()
	}
	w.stand(stall)
	lost := 0
	for range n {
		if a := <-answers; !a.answered() {
			lost++
		}
	}
	w.note("%d of %d requests got no answer", lost, n)
	return lost == 0
}

// orderCase: loads of one key come while the controller stands still, each on a session of its own.
func orderCase(w *world) bool {
	w.start(tacoma())
	w.warm("lookup", 8)
	const n = 3
	const apart, stall = 200 * time.Millisecond, 900 * time.Millisecond
	key := newID()
	ids := make([]string, n)
	var wg sync.WaitGroup
	var sessions []*client
	for range n {
		c := open(w)
		c.one("client", statement("lookup", newID(), 6000, 20, ",team=brand-one", 3), 4*time.Second)
		sessions = append(sessions, c)
	}
	for i, c := range sessions {
		ids[i] = newID()
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i+1) * apart)
			text := statement("load", ids[i], 20000, 500, ",team=brand-one,unique="+ids[i]+ids[i]+",item="+key, 7)
			c.one(fmt.Sprintf("client %d", i+1), text, 21*time.Second)
		}()
	}
	w.stand(stall)
	wg.Wait()
	came := w.firsts()
	held := true
	last := 0 // the batch that ran last, over what the others had written
	for i := range n {
		if came[ids[i]].at.After(came[ids[last]].at) {
			last = i
		}
	}
	w.note("the last load written was load %d, the last one that ran was load %d", n, last+1)
	for i := range n {
		for j := i + 1; j < n; j++ {
			first, later := came[ids[i]], came[ids[j]]
			if first.id != "" && later.id != "" && later.at.Before(first.at) {
				w.note("load %d (%s) came to an executor before load %d (%s), which was written %v earlier",
					j+1, ids[j], i+1, ids[i], time.Duration(j-i)*apart)
				held = false
			}
		}
	}
	return held
}

// termCase: a planned restart, and the controller stands still just then. TROUBLE=restart leaves out the stall alone.
func termCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 4
	const toStall, stall = 100 * time.Millisecond, 1800 * time.Millisecond
	var sessions []*client
	for range n {
		c := open(w)
		a := c.one("client", statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		if a.kind != "served" {
			panic(fatal{fmt.Errorf("first request: %v", a)})
		}
		sessions = append(sessions, c)
	}
	if w.trouble || w.restart {
		w.signal(syscall.SIGTERM, "is told to end")
	}
	told := time.Now()
	answers := make(chan answer, n)
	for i, c := range sessions {
		go func() {
			time.Sleep(time.Until(told.Add(200*time.Millisecond + time.Duration(i)*50*time.Millisecond)))
			wrote := time.Now()
			a := c.one(fmt.Sprintf("client %d", i+1), statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 6*time.Second)
			w.note("client %d: written %v after SIGTERM, that was %v later", i+1, wrote.Sub(told).Round(time.Millisecond),
				a.at.Sub(wrote).Round(time.Millisecond))
			answers <- a
		}()
	}
	time.Sleep(toStall)
	w.stand(stall)
	lost := 0
	for range n {
		if a := <-answers; !a.answered() {
			lost++
		}
	}
	w.note("%d of %d requests got no answer", lost, n)
	return lost == 0
}
