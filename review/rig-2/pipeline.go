//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pipeline"] = pipeline }

const (
	workLimitMS  = 6000
	workAnswerBy = workLimitMS*time.Millisecond + 550*time.Millisecond
)

// works are the run times in ms of the commands that a client sends at once.
var works = []int{400, 400, 400, 400, 9000}

// workLoad is a load that was sent.
type workLoad struct {
	id string
	at time.Time
}

func (r *rig) sendWork(s *session, work, group int) workLoad {
	id, text := query("load", workLimitMS, ",unique="+newID()+newID(),
		fmt.Sprintf("INSERT INTO sales_%d.orders VALUES (WORK(%d))", group, work))
	at, err := s.send(text)
	if err != nil {
		r.breaks("load %s can't be written: %v", id, err)
	}
	r.note("client: load %s written, limit %d ms", id, workLimitMS)
	return workLoad{id, at}
}

func (r *rig) judgeWork(c workLoad, p reply) {
	took := p.at.Sub(c.at)
	r.note("client: load %s: %s %d ms after its last byte", c.id, p.verdict(), took.Milliseconds())
	if p.err != nil || took > workAnswerBy {
		r.breaks("load %s had no final answer %d ms after its last byte (limit %d ms and 550 ms): %s after %d ms",
			c.id, workAnswerBy.Milliseconds(), workLimitMS, p.verdict(), took.Milliseconds())
	}
}

// pipeline: rule 1. Clients send five commands at once on a session. The first four take a part of
// the time that they have and are served, the last takes longer than that. Each is owed a final answer by half a second
// (and 50 ms) after its time, which counts from its last byte.
func pipeline(r *rig) {
	const (
		clients = 3
		rounds  = 2
	)
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 5 {
		d.traffic(r, stop, &others, n)
	}
	time.Sleep(time.Second)
	for round := range rounds {
		var wait sync.WaitGroup
		for n := range clients {
			group := 2 + round*clients*len(works) + n*len(works)
			if !r.trouble { // the same commands, each on a session of its own
				for number := range works {
					s := d.session(r, "lookup")
					wait.Go(func() {
						c := r.sendWork(s, works[number], group+number)
						r.judgeWork(c, s.await(c.at.Add(workAnswerBy+3*time.Second)))
					})
				}
				continue
			}
			s := d.session(r, "lookup")
			wait.Go(func() {
				var list []workLoad
				for number := range works {
					list = append(list, r.sendWork(s, works[number], group+number))
				}
				for _, c := range list {
					p := s.await(c.at.Add(workAnswerBy + 9*time.Second))
					r.judgeWork(c, p)
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
