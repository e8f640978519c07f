//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["batch"] = batch }

// batch: rule 1. Clients send many commands at once on a session. Each is owed a final answer by half a
// second (and 50 ms) after its time.
func batch(r *rig) {
	const (
		limitMS  = 6000
		answerBy = limitMS*time.Millisecond + 550*time.Millisecond
		commands = 40
		clients  = 3
		row      = "(17, 'margherita, extra basil', 2, 9.50, 'table by the window'), "
	)
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 500*time.Millisecond, "")
	time.Sleep(500 * time.Millisecond)
	type command struct {
		id string
		at time.Time
	}
	var wait sync.WaitGroup
	for n := range clients {
		s := d.session(r, "lookup")
		wait.Go(func() {
			judge := func(number int, c command, p reply) {
				took := p.at.Sub(c.at)
				r.note("client %d: command %d %s: %s %s %d ms after its last byte", n+1, number+1, c.id, p.verdict(), p.text,
					took.Milliseconds())
				answered := p.err == nil || p.code != "" // an error that ends the session is an answer too
				if !answered || took > answerBy {
					r.breaks("command %d of %d of client %d had no final answer: %s", number+1, commands, n+1, p.verdict())
				}
			}
			send := func(number int) command {
				statement := fmt.Sprintf("SELECT WORK(30) FROM sales_%d.orders WHERE line IN (%s)", 2+n, strings.TrimSuffix(strings.Repeat(row, 15), ", "))
				id, text := query("lookup", limitMS, "", statement)
				at, err := s.send(text)
				if err != nil {
					r.note("client %d: command %d %s can't be written: %v", n+1, number+1, id, err)
					return command{id: id}
				}
				r.note("client %d: command %d %s written, %d bytes", n+1, number+1, id, len(text))
				return command{id, at}
			}
			var list []command
			for number := range commands {
				c := send(number)
				if c.at.IsZero() {
					break // it was not taken
				}
				list = append(list, c)
				if !r.trouble {
					judge(number, c, s.await(c.at.Add(answerBy+time.Second)))
				}
			}
			for number, c := range list {
				if r.trouble {
					judge(number, c, s.await(c.at.Add(answerBy+time.Second)))
				}
			}
		})
	}
	wait.Wait()
}
