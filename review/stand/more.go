//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The cases of this file are named in the report and have no folder of their own.

// stallDrainCase: an executor begins to drain while the controller stands still.
func stallDrainCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 30)
	var wg sync.WaitGroup
	for i := range 12 {
		c := open(w)
		c.one("client", statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(600+50*i) * time.Millisecond)
			c.one(fmt.Sprintf("client %d", i+1), statement("consulta", newID(), 3000, 100, ",team=litoral", 5), 4*time.Second)
		}()
	}
	var told time.Time
	time.AfterFunc(300*time.Millisecond, func() {
		for _, e := range w.engines[:2] {
			w.bulletin.tell(e, stateDraining)
		}
		told = time.Now()
		w.note("bulletin: the first two executors drain")
	})
	w.stand(1800 * time.Millisecond)
	wg.Wait()
	held := true
	for _, e := range w.engines[:2] {
		for _, a := range e.came {
			if after := a.at.Sub(told); after > 550*time.Millisecond {
				w.note("%s got %s %v after the controller was told that it drains", e.name, a.id, after)
				held = false
			}
		}
	}
	return held
}

// pipelineCase: a client sends many commands at once on a session.
func pipelineCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	c := open(w)
	const n, limit, work = 20, 3000, 400
	const owed = (limit + 500 + 50) * time.Millisecond // with the half second after its time, and the slack of sockets
	var ids []string
	var all []byte
	for range n {
		id := newID()
		ids = append(ids, id)
		all = append(all, query(statement("consulta", id, limit, work, ",team=litoral", 5))...)
	}
	began := time.Now()
	if w.trouble {
		w.note("client writes %d requests at once, each with limit=%d", n, limit)
		c.conn.Write(all)
	}
	lost := 0
	for i, id := range ids {
		var a answer
		if !w.trouble {
			began = time.Now()
			a = c.one("client", statement("consulta", id, limit, work, ",team=litoral", 5), 6*time.Second)
		} else {
			a = c.receive(10 * time.Second)
		}
		after := a.at.Sub(began)
		word := "in time"
		if !a.answered() || after > owed {
			word = "LOST"
			lost++
		}
		w.note("request %d (%s): %s, %v after it was written: %s", i+1, id, word, after.Round(time.Millisecond), a)
	}
	w.note("%d of %d requests had no answer half a second after their time", lost, n)
	return lost == 0
}

// cancelCase: clients send a request while the controller stands still, and give it up.
func cancelCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 6
	var sessions []*client
	for range n {
		c := open(w)
		c.one("client", statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		sessions = append(sessions, c)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	gone := map[string]time.Time{}
	from := time.Now().Add(50 * time.Millisecond)
	time.AfterFunc(70*time.Millisecond, func() { // some other client
		if c, err := dial(w); err == nil {
			c.close()
		}
	})
	for i, c := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(from.Add(time.Duration(100+30*i) * time.Millisecond)))
			id := newID()
			text := statement("consulta", id, 1200, 100, ",team=litoral", 5)
			w.note("client %d writes %s", i+1, text)
			c.conn.Write(query(text))
			if a := c.receive(1200 * time.Millisecond); a.kind != "none" {
				w.note("client %d got %s", i+1, a)
				return
			}
			c.cancel()
			mu.Lock()
			gone[id] = time.Now()
			mu.Unlock()
			w.note("client %d gives up %s", i+1, id)
			w.note("client %d then got %s", i+1, c.receive(500*time.Millisecond))
			c.close()
		}()
	}
	time.Sleep(time.Until(from))
	w.stand(1700 * time.Millisecond)
	wg.Wait()
	w.process.Process.Signal(syscall.SIGUSR1)
	time.Sleep(time.Second)
	held := true
	for id, a := range w.firsts() {
		if at, found := gone[id]; found && a.at.Sub(at) > 150*time.Millisecond {
			w.note("%s began %v after its client had gone", id, a.at.Sub(at).Round(time.Millisecond))
			held = false
		}
	}
	return held
}
