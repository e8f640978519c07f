package maintenance

import (
	"math"
	"slices"
)

// Constants of Forecast.
const (
	// minForecastDone is the number of engines that must be done before a forecast is made.
	minForecastDone = 3
	// forecastDeviations is the half-width of the forecast in standard deviations: nine of ten
	// normally distributed values lie within.
	forecastDeviations = 1.64
	// minForecastSpread is the smallest standard deviation that is assumed, as a share of the mean
	// interval.
	minForecastSpread = 0.05
)

// Forecast returns the two times, in ms since 1970, between which all engines of a plan will be
// back and warm in nine of ten cases. It is extrapolated from the intervals between the ends of the
// tasks that are done, which include waits and losses; false: too few are done.
func Forecast(v View, p Plan) (earliest, latest float64, ok bool) {
	doneTimes, left, first := planProgress(v, p)
	if len(doneTimes) < minForecastDone {
		return 0, 0, false
	}
	last := slices.Max(doneTimes)
	if left == 0 {
		return last, last, true
	}
	slices.Sort(doneTimes)
	mean, deviation := intervals(first, doneTimes)
	n := float64(left)
	spread := max(minForecastSpread*mean, deviation)
	// The variance of n future intervals, plus that of n times the mean, which is estimated from few
	// samples.
	halfWidth := forecastDeviations*spread*math.Sqrt(n+n*n/float64(len(doneTimes))) +
		minForecastSpread*n*mean
	at := v.Now - min(v.Now-last, mean) + n*mean
	return max(v.Now, at-halfWidth), at + halfWidth, true
}

// planProgress returns when the plan's finished tasks were done, how many engines are left, and
// when the first engine was chosen; times in ms since 1970.
func planProgress(v View, p Plan) (doneTimes []float64, left int, first float64) {
	first = math.Inf(1)
	for _, t := range v.Tasks {
		if t.Plan != p.ID {
			continue
		}
		first = min(first, t.ChosenAt)
		if t.Step == Done {
			doneTimes = append(doneTimes, t.StepStartedAt)
		} else {
			left++
		}
	}
	for _, e := range v.Engines {
		hasTask := slices.ContainsFunc(v.Tasks, func(t Task) bool { return t.Engine == e.ID })
		if p.Select.matches(e) && !hasTask {
			left++
		}
	}
	return doneTimes, left, first
}

// intervals returns the mean and the standard deviation of the intervals between sorted times, from
// a first one on.
func intervals(first float64, doneTimes []float64) (mean, deviation float64) {
	mean = (doneTimes[len(doneTimes)-1] - first) / float64(len(doneTimes))
	sum := 0.0
	previous := first
	for _, end := range doneTimes {
		sum += (end - previous - mean) * (end - previous - mean)
		previous = end
	}
	return mean, math.Sqrt(sum / float64(len(doneTimes)-1))
}
