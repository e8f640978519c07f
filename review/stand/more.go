//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The cases of this file are named in the report and have no folder of their own.

// pipelineOrderCase: a load stands behind another request on its session, and a later one of its key comes on another.
func pipelineOrderCase(w *world) bool {
	w.start(tacoma())
	w.warm("lookup", 8)
	a, b := open(w), open(w)
	first, second := newID(), newID()
	key := newID()
	load := func(id string) string {
		return statement("load", id, 20000, 800, ",team=brand-one,unique="+id+id+",item="+key, 7)
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		w.note("A writes a lookup and load 1 (%s) at once", first)
		text := query(statement("lookup", newID(), 6000, 1500, ",team=brand-one", 3))
		if !w.trouble {
			text = nil
		}
		a.conn.Write(append(text, query(load(first))...))
		if w.trouble {
			w.note("A got: %s", a.receive(8*time.Second))
		}
		w.note("A got: %s", a.receive(8*time.Second))
	}()
	go func() {
		defer wg.Done()
		time.Sleep(300 * time.Millisecond)
		w.note("B writes load 2 (%s)", second)
		b.conn.Write(query(load(second)))
		w.note("B got: %s", b.receive(8*time.Second))
	}()
	wg.Wait()
	came := w.firsts()
	return !came[first].at.After(came[second].at)
}

// stallCancelCase: clients send a request while the controller stands still, and give it up.
func stallCancelCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	const n = 6
	var wg sync.WaitGroup
	var mu sync.Mutex
	gone := map[string]time.Time{}
	for i := range n {
		c := open(w)
		c.one("client", statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(100+30*i) * time.Millisecond)
			id := newID()
			text := statement("consulta", id, 1200, 100, ",team=litoral", 5)
			w.note("client %d writes %s", i+1, text)
			c.conn.Write(query(text))
			a := c.receive(1200 * time.Millisecond)
			if a.kind != "none" {
				return
			}
			c.cancel()
			mu.Lock()
			gone[id] = time.Now()
			mu.Unlock()
			w.note("client %d gives up %s", i+1, id)
			time.Sleep(500 * time.Millisecond)
			c.close()
		}()
	}
	w.stand(1700 * time.Millisecond)
	wg.Wait()
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

// stallTermCase: the controller is told to end, and stands still.
func stallTermCase(w *world) bool {
	w.start(rosario())
	w.warm("consulta", 8)
	var wg sync.WaitGroup
	var mu sync.Mutex
	held := true
	for i := range 5 {
		c := open(w)
		c.one("client", statement("consulta", newID(), 3000, 20, ",team=litoral", 5), 4*time.Second)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(200+50*i) * time.Millisecond)
			a := c.one(fmt.Sprintf("client %d", i+1), statement("consulta", newID(), 3000, 100, ",team=litoral", 5), 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			held = held && a.kind != "closed" && a.kind != "none"
		}()
	}
	w.signal(syscall.SIGTERM, "is told to end")
	time.Sleep(100 * time.Millisecond)
	w.stand(1800 * time.Millisecond)
	wg.Wait()
	return held
}
