package router

import (
	"math"
)

// What is learned over time: sums that fade, and sums over a sliding window. Nothing is decided here.

// decay is a pair of sums that halve every life milliseconds, brought up to date when something is added. Reading it
// changes nothing, so that who reads more or less of them, or at other times, still reads the same to the last bit.
type decay struct {
	life, at, sum, n float64
	readAt, left     float64 // what faded last said, as many ask at one moment
}

// faded is what is left of one by now.
func (d *decay) faded(now float64) float64 {
	if now <= d.at {
		return 1
	}
	if now != d.readAt {
		d.readAt, d.left = now, math.Exp2((d.at-now)/d.life)
	}
	return d.left
}

func (d *decay) fade(now float64) {
	if now > d.at {
		f := d.faded(now)
		d.sum, d.n, d.at, d.readAt = d.sum*f, d.n*f, now, 0
	}
}

func (d *decay) add(now, x, n float64) { d.fade(now); d.sum += x; d.n += n }

// cap makes what is there weigh as much as n additions at most.
func (d *decay) cap(now, n float64) {
	if d.fade(now); d.n > n {
		d.sum, d.n = d.sum*n/d.n, n
	}
}

// mean leans on a prior that counts as much as weight of what was added.
func (d *decay) mean(now, prior, weight float64) float64 {
	if d.n == 0 && d.sum == 0 {
		return prior
	}
	f := d.faded(now)
	if d.n*f+weight < 1e-9 {
		return prior
	}
	return (d.sum*f + prior*weight) / (d.n*f + weight)
}

// rate is what was added for each millisecond, over about the last life.
func (d *decay) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.faded(now) * math.Ln2 / d.life
}

// stamps are amounts at times within a sliding window.
type stamps struct {
	at, amount []float64
	total      float64
}

func (s *stamps) add(at, amount float64) {
	s.at, s.amount, s.total = append(s.at, at), append(s.amount, amount), s.total+amount
}

// since is the sum of what came at from or later; what came before is dropped.
func (s *stamps) since(from float64) float64 {
	for len(s.at) > 0 && s.at[0] < from {
		s.total -= s.amount[0]
		s.at, s.amount = s.at[1:], s.amount[1:]
	}
	if len(s.at) == 0 {
		s.total = 0
	}
	return s.total
}
