//go:build review2

package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["again"] = again }

// again: rule 2. One of three engines grows slower and then dies, once. Loads that run on it then have
// been out for longer than engines remember their marks. A client whose load is refused ("trying again
// is harmless") tries again once, after the wait that it is told, within its time.
func again(r *rig) {
	const (
		window = 12 * time.Second
		dieAt  = 25 * time.Second // after it began to grow slower
		sendAt = 11500 * time.Millisecond
		limit  = 20 * time.Second // of a load, over all tries
		loads  = 9
		growth = 15.0 // times slower after 30 s, so 9.6 times when it dies
	)
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	d.fleet.remember, d.fleet.keys = window, map[string]time.Time{}
	ageing := d.engines[0]
	began := time.Now()
	if r.trouble {
		ageing.mu.Lock()
		ageing.slow = func(now time.Time) float64 { return math.Pow(growth, now.Sub(began).Seconds()/30) }
		ageing.mu.Unlock()
		r.note("engine %s begins to grow slower", ageing.name)
		die := time.AfterFunc(dieAt, ageing.die)
		defer die.Stop()
	}
	time.Sleep(time.Until(began.Add(sendAt)))
	var wait sync.WaitGroup
	var mu sync.Mutex
	marks := map[string]int{} // number of the load by its mark
	for n := range loads {
		s := d.session(r, "lookup")
		wait.Go(func() {
			mark := newID() + newID()
			mu.Lock()
			marks[mark] = n + 1
			mu.Unlock()
			first := time.Now()
			for try := 1; try <= 2; try++ {
				left := limit - time.Since(first)
				if left < 500*time.Millisecond {
					return
				}
				id, text := query("load", int(left.Milliseconds()), ",cpu=5800,unique="+mark,
					fmt.Sprintf("INSERT INTO sales_%d.orders VALUES (WORK(2900), %d)", n+2, n+1))
				at, err := s.send(text)
				if err != nil {
					r.note("client: load %d can't be written: %v", n+1, err)
					return
				}
				r.note("client: load %d, try %d: %s written", n+1, try, id)
				p := s.await(at.Add(left + time.Second))
				r.note("client: load %d, try %d: %s (%s) after %d ms", n+1, try, p.verdict(), p.text, p.at.Sub(at).Milliseconds())
				if !strings.HasPrefix(p.verdict(), "refused") {
					return
				}
				_, later, _ := strings.Cut(p.text, "later=")
				ms, _ := strconv.Atoi(strings.TrimSpace(later))
				time.Sleep(time.Duration(ms) * time.Millisecond)
				s.close()
				if s, err = dial(d.controller.listen); err != nil {
					return
				}
				r.atEnd(s.close)
			}
		})
	}
	wait.Wait()
	ran := map[string][]arrival{}
	tooLong := 0
	for _, a := range d.fleet.arrivals() {
		if a.replay != "" && a.engine == ageing.name && a.endedAt.Sub(a.at) > window {
			tooLong++
		}
		if a.replay != "" && !a.dropped && a.outcome != "AGAIN" {
			ran[a.replay] = append(ran[a.replay], a)
		}
	}
	if r.trouble && tooLong == 0 {
		panic(problem{fmt.Errorf("no load was out on %s for longer than the window", ageing.name)})
	}
	for mark, list := range ran {
		for _, a := range list[1:] {
			r.breaks("load %d ran on %s (%s after %d ms) and again on %s (%s), sent there %d ms after it was first sent",
				marks[mark], list[0].engine, list[0].outcome, list[0].endedAt.Sub(list[0].at).Milliseconds(), a.engine, a.outcome,
				a.at.Sub(list[0].at).Milliseconds())
		}
	}
}
