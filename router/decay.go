package router

import (
	"math"
)

// decayedMean is a pair of sums that halve every life milliseconds, brought up to date when something is
// added. Reading it changes nothing, so that who reads more or less of them, or at other times, still reads
// the same to the last bit.
type decayedMean struct {
	halfLife, updatedAt, sum, weight float64
	factorAt, factor                 float64 // what faded last said, as many ask at one moment
}

// factorBy is what is left of one by now.
func (d *decayedMean) factorBy(now float64) float64 {
	if now <= d.updatedAt {
		return 1
	}
	if now != d.factorAt {
		d.factorAt, d.factor = now, math.Exp2((d.updatedAt-now)/d.halfLife)
	}
	return d.factor
}

func (d *decayedMean) advance(now float64) {
	if now > d.updatedAt {
		f := d.factorBy(now)
		d.sum, d.weight, d.updatedAt, d.factorAt = d.sum*f, d.weight*f, now, 0
	}
}

func (d *decayedMean) add(now, x, n float64) { d.advance(now); d.sum += x; d.weight += n }

// capWeight makes what is there weigh as much as n additions at most.
func (d *decayedMean) capWeight(now, n float64) {
	if d.advance(now); d.weight > n {
		d.sum, d.weight = d.sum*n/d.weight, n
	}
}

// mean leans on a prior that counts as much as weight of what was added.
func (d *decayedMean) mean(now, prior, weight float64) float64 {
	if d.weight == 0 && d.sum == 0 {
		return prior
	}
	f := d.factorBy(now)
	if d.weight*f+weight < 1e-9 {
		return prior
	}
	return (d.sum*f + prior*weight) / (d.weight*f + weight)
}

// rate is what was added for each millisecond, over about the last life.
func (d *decayedMean) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.factorBy(now) * math.Ln2 / d.halfLife
}
