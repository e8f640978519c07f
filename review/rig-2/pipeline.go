//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline: rule 1. Clients send five commands at once on a session. The first four take a part of
// the time that they have and are served, the last takes longer than that. Each is owed a final answer by half a second
// (and 50 ms) after its time, which counts from its last byte.
func pipeline(r *rig) {
	const (
		limitMS  = 6000
		answerBy = limitMS*time.Millisecond + 550*time.Millisecond
		clients  = 3
		rounds   = 2
	)
	works := []int{400, 400, 400, 400, 9000}
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 5 {
		d.traffic(r, stop, &others, n)
	}
	time.Sleep(time.Second)
	type command struct {
		id string
		at time.Time
	}
	judge := func(c command, p reply) {
		took := p.at.Sub(c.at)
		r.note("client: load %s: %s %d ms after its last byte", c.id, p.verdict(), took.Milliseconds())
		if p.err != nil || took > answerBy {
			r.breaks("load %s had no final answer %d ms after its last byte (limit %d ms and 550 ms): %s after %d ms",
				c.id, answerBy.Milliseconds(), limitMS, p.verdict(), took.Milliseconds())
		}
	}
	send := func(s *session, number, group int) command {
		id, text := query("load", limitMS, ",unique="+newID()+newID(), fmt.Sprintf("INSERT INTO sales_%d.orders VALUES (WORK(%d))", group, works[number]))
		at, err := s.send(text)
		r.must(err)
		r.note("client: load %s written, limit %d ms", id, limitMS)
		return command{id, at}
	}
	for round := range rounds {
		var wait sync.WaitGroup
		for n := range clients {
			group := 2 + round*clients*len(works) + n*len(works)
			if !r.trouble { // the same commands, each on a session of its own
				for number := range works {
					s := d.session(r, "lookup")
					wait.Go(func() {
						c := send(s, number, group+number)
						judge(c, s.await(c.at.Add(answerBy+3*time.Second)))
					})
				}
				continue
			}
			s := d.session(r, "lookup")
			wait.Go(func() {
				var list []command
				for number := range works {
					list = append(list, send(s, number, group+number))
				}
				for _, c := range list {
					p := s.await(c.at.Add(answerBy + 9*time.Second))
					judge(c, p)
					if p.err != nil {
						return
					}
				}
			})
		}
		wait.Wait()
		time.Sleep(time.Second)
	}
	close(stop)
	others.Wait()
}
