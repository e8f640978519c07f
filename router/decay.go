package router

import "math"

// decayedMean is an exponentially decayed mean: a sum and its weight, which both halve in every
// halfLife (ms) without additions. Only add and capWeight change these. Reads do not, so a result
// is the same to the last bit however often, and at whatever times, the mean was read before.
type decayedMean struct {
	halfLife  float64 // ms
	updatedAt float64 // ms, for which sum and weight hold
	sum       float64 // of the amounts added, decayed
	weight    float64 // of the amounts added, decayed

	// The last result of decayFactor and the time (ms) that it holds for. It is cached because many
	// reads ask for the same time.
	factorAt float64
	factor   float64
}

// negligibleWeight is the weight below which a mean carries no information. It prevents a division
// by 0.
const negligibleWeight = 1e-9

// decayFactor is the factor by which sum and weight decay from updatedAt to a time (ms).
func (d *decayedMean) decayFactor(now float64) float64 {
	if now <= d.updatedAt {
		return 1
	}
	if now != d.factorAt {
		d.factorAt = now
		d.factor = math.Exp2((d.updatedAt - now) / d.halfLife)
	}
	return d.factor
}

// advance decays sum and weight to a time (ms).
func (d *decayedMean) advance(now float64) {
	if now <= d.updatedAt {
		return
	}
	factor := d.decayFactor(now)
	d.sum *= factor
	d.weight *= factor
	d.updatedAt = now
	d.factorAt = 0 // the factor was computed from the earlier updatedAt
}

// add adds to the sum and to the weight. Where a mean is read, the amount is a value times its
// weight.
func (d *decayedMean) add(now, amount, weight float64) {
	d.advance(now)
	d.sum += amount
	d.weight += weight
}

// capWeight limits the weight to a maximum, without changing the mean.
func (d *decayedMean) capWeight(now, largest float64) {
	d.advance(now)
	if d.weight > largest {
		d.sum = d.sum * largest / d.weight
		d.weight = largest
	}
}

// mean is the mean of the added amounts and of a prior with its own weight.
func (d *decayedMean) mean(now, prior, priorWeight float64) float64 {
	if d.weight == 0 && d.sum == 0 {
		return prior
	}
	factor := d.decayFactor(now)
	if d.weight*factor+priorWeight < negligibleWeight {
		return prior
	}
	return (d.sum*factor + prior*priorWeight) / (d.weight*factor + priorWeight)
}

// rate is the sum of the amounts added per ms, over about the last halfLife.
func (d *decayedMean) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.decayFactor(now) * math.Ln2 / d.halfLife
}
