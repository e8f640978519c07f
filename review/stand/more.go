//go:build review

package main

import (
	"fmt"
	"sync"
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
		c.one("client", w.statement("consulta", newID(), 3000, 20, "", 5), 4*time.Second)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(600+50*i) * time.Millisecond)
			c.one(fmt.Sprintf("client %d", i+1), w.statement("consulta", newID(), 3000, 100, "", 5), 4*time.Second)
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
	w.stand(1800*time.Millisecond, longestStall)
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
		all = append(all, query(w.statement("consulta", id, limit, work, "", 5))...)
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
			a = c.one("client", w.statement("consulta", id, limit, work, "", 5), 6*time.Second)
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
