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
		dieAt  = 25 * time.Second // after it began to grow slower
		sendAt = 11500 * time.Millisecond
		loads  = 9
		growth = 15.0 // times slower after 30 s, so 9.6 times when it dies
	)
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	d.fleet.remember, d.fleet.keys = markWindow, map[string]time.Time{}
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
	marks := map[string]int{} // number of the load by its mark
	for n := range loads {
		mark := newID() + newID()
		marks[mark] = n + 1
		s := d.session(r, "lookup")
		wait.Go(func() { r.tryLoad(d, s, n+1, mark) })
	}
	wait.Wait()
	judgeAgain(r, d, ageing, marks)
}

const (
	markWindow = 12 * time.Second // for which engines drop repeats of a mark
	loadTime   = 20 * time.Second // that a client waits for a load, over all tries
)

// tryLoad has a client send a load, and send it once more if it is refused.
func (r *rig) tryLoad(d *deployment, s *session, number int, mark string) {
	first := time.Now()
	for try := 1; try <= 2; try++ {
		left := loadTime - time.Since(first)
		if left < 500*time.Millisecond {
			return
		}
		id, text := query("load", int(left.Milliseconds()), ",cpu=5800,unique="+mark,
			fmt.Sprintf("INSERT INTO sales_%d.orders VALUES (WORK(2900), %d)", number+1, number))
		at, err := s.send(text)
		if err != nil {
			r.note("client: load %d can't be written: %v", number, err)
			return
		}
		r.note("client: load %d, try %d: %s written", number, try, id)
		p := s.await(at.Add(left + time.Second))
		r.note("client: load %d, try %d: %s (%s) after %d ms", number, try, p.verdict(), p.text, p.at.Sub(at).Milliseconds())
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
}

// judgeAgain checks that no load ran twice: one that was dropped as a repeat or turned away did not run.
func judgeAgain(r *rig, d *deployment, ageing *engine, marks map[string]int) {
	ran := map[string][]arrival{}
	tooLong := 0
	for _, a := range d.fleet.arrivals() {
		if a.replay != "" && a.engine == ageing.name && a.endedAt.Sub(a.at) > markWindow {
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
