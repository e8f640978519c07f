//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["turn"] = turn }

// turn: rule 5. A client sends a lookup and a load at once on a session. 100 ms later another client
// sends a load of the same key. The first load was taken first and has to run first.
func turn(r *rig) {
	const rounds = 12
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 6 {
		d.traffic(r, stop, &others, n)
	}
	time.Sleep(time.Second)
	first, second := map[string]string{}, map[string]string{} // ids of the loads by key
	for round := range rounds {
		key := newID()
		a, b := d.session(r, "lookup"), d.session(r, "lookup")
		load := func(s *session, n int, ids map[string]string) {
			id, text := query("load", 16000, ",item="+key+",unique="+newID()+newID(),
				fmt.Sprintf("INSERT INTO sales_%d.orders VALUES (WORK(100), %d)", round+20, n))
			ids[key] = id
			at, err := s.send(text)
			r.must(err)
			r.note("client: load %d of key %s written at %.1f: %s", n, key, r.ms(at), id)
		}
		await := func(s *session, what string) {
			p := s.await(time.Now().Add(7 * time.Second))
			r.note("client: %s of key %s: %s", what, key, p.verdict())
		}
		_, text := query("lookup", 6000, "", "SELECT WORK(300) FROM sales_2.orders")
		var wait sync.WaitGroup
		if r.trouble {
			_, err := a.send(text)
			r.must(err)
			load(a, 1, first)
			wait.Go(func() { await(a, "lookup ahead"); await(a, "load 1") })
		} else { // the lookup goes on a session of its own
			c := d.session(r, "lookup")
			_, err := c.send(text)
			r.must(err)
			load(a, 1, first)
			wait.Go(func() { await(c, "lookup ahead") })
			wait.Go(func() { await(a, "load 1") })
		}
		time.Sleep(100 * time.Millisecond)
		load(b, 2, second)
		wait.Go(func() { await(b, "load 2") })
		wait.Wait()
		a.close()
		b.close()
	}
	close(stop)
	others.Wait()
	judgeTurn(r, d, first, second)
}

// judgeTurn checks that of two loads of a key that both ran the first was sent first.
func judgeTurn(r *rig, d *deployment, first, second map[string]string) {
	came := map[string]arrival{}
	for _, a := range d.fleet.arrivals() {
		if _, known := came[a.id]; !known {
			came[a.id] = a
		}
	}
	for key, id := range first {
		one, ran := came[id]
		two, alsoRan := came[second[key]]
		if ran && alsoRan && two.at.Before(one.at) {
			r.breaks("load 2 of key %s was sent to %s %.1f ms before load 1, which was written 100 ms earlier", key, two.engine,
				float64(one.at.Sub(two.at).Microseconds())/1e3)
		}
	}
}
