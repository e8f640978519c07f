//go:build review

package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is a request of the mix as its client saw it.
type sent struct {
	id, class, key string
	at, gone       time.Time
	limit          time.Duration
	got            answer
}

// mixSite returns tacoma-east with a further class that must never run twice.
func mixSite(deaf bool) site {
	s := tacoma()
	s.settings["services"] = append(s.settings["services"].([]object),
		class("post", "single_shot", 4*sec, 20*sec, 0, 8, 0.5, 2.5, nil))
	family := s.settings["family_info"].(object)
	family["width_by_class"] = []int{1, 2, 2, 2}
	family["holds_tables"] = []bool{false, false, true, false}
	family["class_waits"] = []bool{true, false, false, false}
	if deaf {
		b := s.settings["bounds"].(object)
		b["cancel"], b["parallel_tries"], b["probes"] = false, true, true
		family["progress_pace_ns"] = 0
	}
	return s
}

// mixCase sends all classes through executors that fail in the ways that the pages name, with a controller that stands
// still now and then, and checks that nothing is lost, runs twice or gets another's answer. SEED names the day.
func mixCase(w *world) bool {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewSource(seed))
	deaf := os.Getenv("CANCEL") == "0" // as controls-data: a cancel or a time-out stops nothing
	s := mixSite(deaf)
	w.start(s)
	w.warm("lookup", 8)
	var mu sync.Mutex
	chance := func(p float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64() < p
	}
	if w.trouble {
		for _, e := range w.engines {
			e.deaf = deaf
			e.behave = func() fate {
				f := fate{full: chance(0.05), errored: chance(0.03), lost: chance(0.03), reset: chance(0.03), twice: chance(0.05),
					resetBefore: chance(0.02)}
				if chance(0.03) {
					f.late = 700 * time.Millisecond
				}
				return f
			}
		}
		go w.hang(rng, &mu)
		go w.replace()
	}
	var wg sync.WaitGroup
	var all []*sent
	stop := time.Now().Add(40 * time.Second)
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				for _, x := range w.session(i, rng, &mu, stop) {
					mu.Lock()
					all = append(all, x)
					mu.Unlock()
				}
			}
		}()
	}
	for time.Now().Before(stop) && os.Getenv("STALL") != "0" {
		time.Sleep(2500 * time.Millisecond)
		w.stand(time.Duration(300+rng.Intn(1500))*time.Millisecond, 2*time.Second)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return w.judge(all)
}

// hang has one executor after another read nothing for a while.
func (w *world) hang(rng *rand.Rand, mu *sync.Mutex) {
	for i := 0; ; i++ {
		mu.Lock()
		pause := time.Duration(500+rng.Intn(3000)) * time.Millisecond
		mu.Unlock()
		time.Sleep(2 * time.Second)
		e := w.engines[i%len(w.engines)]
		w.note("%s hangs for %v", e.name, pause)
		e.hang.Lock()
		time.Sleep(pause)
		e.hang.Unlock()
		w.note("%s goes on", e.name)
	}
}

// replace has one executor after another end and start again under its id and address.
func (w *world) replace() {
	for i := 1; ; i++ {
		time.Sleep(3700 * time.Millisecond)
		e := w.engines[i%len(w.engines)]
		w.note("%s ends", e.name)
		e.stop()
		time.Sleep(600 * time.Millisecond)
		if err := e.again(); err != nil {
			w.note("%s does not start again: %v", e.name, err)
			return
		}
		w.note("%s has started again", e.name)
		w.bulletin.tellStarted(e, stateReady, uint64(time.Now().UnixMilli()))
	}
}

// draw draws the next request of client i, its text, how long the client rests after it, and whether it leaves instead.
func (w *world) draw(i int, rng *rand.Rand) (x *sent, text string, rest time.Duration, leave bool) {
	kind := rng.Float64()
	work := 20 + 400*rng.Float64()
	rest = time.Duration(rng.Intn(400)) * time.Millisecond
	leave = rng.Float64() < 0.05
	x = &sent{id: newID(), class: "lookup", limit: 2500 * time.Millisecond}
	more := ""
	switch {
	case kind < 0.3:
		x.class = "post"
	case kind < 0.4:
		x.class, x.key = "load", fmt.Sprintf("%016x", rng.Intn(3))
		if i >= 3 {
			x.key = fmt.Sprintf("%016x", 100+i)
		}
		more += ",unique=" + x.id + x.id + ",item=" + x.key
	}
	return x, w.statement(x.class, x.id, float64(x.limit.Milliseconds()), work, more, 3+i%5), rest, leave
}

// session has one session send some requests, and maybe give the last one up.
func (w *world) session(i int, rng *rand.Rand, mu *sync.Mutex, stop time.Time) (all []*sent) {
	c, err := dial(w)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	defer c.close()
	for time.Now().Before(stop) {
		mu.Lock()
		x, text, rest, leave := w.draw(i, rng)
		mu.Unlock()
		x.at = time.Now()
		w.note("client %d writes %s %s key %s", i, x.class, x.id, x.key)
		if i%8 == 5 { // another request right behind it
			y := &sent{id: newID(), class: "post", limit: x.limit}
			both := append(query(text), query(w.statement("post", y.id, 2500, 100, "", 3))...)
			if _, err := c.conn.Write(both); err != nil {
				return all
			}
			x.got = c.receive(8 * time.Second)
			y.got = c.receive(8 * time.Second)
			all = append(all, x, y)
			continue
		}
		if _, err := c.conn.Write(query(text)); err != nil {
			return all
		}
		all = append(all, x)
		within := 8 * time.Second
		if leave {
			within = rest
		}
		x.got = c.receive(within)
		w.note("client %d got %s %s", i, x.id, x.got)
		if leave && x.got.kind == "none" {
			c.cancel()
			x.gone = time.Now()
			w.note("client %d gives up %s", i, x.id)
			time.Sleep(500 * time.Millisecond)
			return all
		}
		if x.got.kind == "closed" || x.got.kind == "none" {
			return all
		}
		time.Sleep(rest)
	}
	return all
}

// judge checks the record of a mix.
func (w *world) judge(all []*sent) (held bool) {
	held = true
	broken := func(format string, args ...any) {
		held = false
		w.note("BROKEN: "+format, args...)
	}
	ran := map[string][]arrival{}
	for _, e := range w.engines {
		e.mu.Lock()
		for _, a := range e.came {
			ran[a.id] = append(ran[a.id], a)
		}
		e.mu.Unlock()
	}
	counts := map[string]int{}
	for _, x := range all {
		counts[x.class+" "+x.got.kind]++
		runs := ran[x.id]
		if x.gone.IsZero() && (x.got.kind == "closed" || x.got.kind == "none") {
			broken("%s %s has no answer: %s", x.class, x.id, x.got)
		}
		whole := ""
		for _, page := range resultPages(x.id) {
			whole += page
		}
		if !w.trouble {
			whole = resultPages(x.id)[0]
		}
		if x.got.kind == "served" && (strings.Join(strings.Fields(x.got.text), "") != strings.Join(strings.Fields(whole), "") || len(runs) == 0) {
			broken("%s %s got another's answer: %s", x.class, x.id, x.got)
		}
		if x.class == "post" && len(runs) > 1 {
			broken("%s %s ran %d times", x.class, x.id, len(runs))
		}
		if x.class == "post" && x.got.kind == "refused" && len(runs) > 0 {
			broken("%s %s was refused and has run", x.class, x.id)
		}
		if len(runs) > 3 {
			broken("%s %s was sent %d times", x.class, x.id, len(runs))
		}
		for _, a := range runs {
			if !x.gone.IsZero() && a.at.Sub(x.gone) > 150*time.Millisecond && !a.hung {
				broken("%s %s began %v after its client had gone", x.class, x.id, a.at.Sub(x.gone))
			}
			if x.class == "load" && a.at.Sub(runs[0].at) > 12*time.Second {
				broken("%s %s was repeated too late", x.class, x.id)
			}
		}
	}
	w.note("requests: %v", counts)
	fmt.Println(counts)
	return held
}
