package router

import "math"

// decayedMean is an exponentially decayed mean: a sum and its weight, which both halve in every
// halfLife (ms) without additions. Only additions change it. Reading does not, so a figure is the
// same to the last bit however often, and at whatever times, it was read before.
type decayedMean struct {
	halfLife  float64 // ms
	updatedAt float64 // ms, for which sum and weight hold
	sum       float64 // of what was added, each times its weight
	weight    float64 // of what was added

	// The last result of decayFactor and the time (ms) that it is for, as many reads ask for the same
	// time.
	factorAt float64
	factor   float64
}

// negligibleWeight is the weight below which a mean says nothing. It keeps a division from one by
// 0.
const negligibleWeight = 1e-9

// decayFactor is what is left at a time (ms) of a sum of 1.
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

// advance has sum and weight hold for a time (ms).
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

// add adds an amount with a weight.
func (d *decayedMean) add(now, amount, weight float64) {
	d.advance(now)
	d.sum += amount
	d.weight += weight
}

// capWeight reduces the weight of what was added to a largest one, without a change of the mean.
func (d *decayedMean) capWeight(now, largest float64) {
	d.advance(now)
	if d.weight > largest {
		d.sum = d.sum * largest / d.weight
		d.weight = largest
	}
}

// mean is the mean of what was added and of a prior with a weight of its own.
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

// rate is what was added for each ms, over about the last halfLife.
func (d *decayedMean) rate(now float64) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * d.decayFactor(now) * math.Ln2 / d.halfLife
}
