// Package slope holds measurements of how a cost grows with size: points at four sizes or more, a straight line through
// them, and the value at the size that the fleet is built for.
package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Row is one cost as it was measured.
type Row struct {
	Role      string  `json:"role"`      // of the controller that pays: "controller", "voter", "lease holder", ...
	Cost      string  `json:"cost"`      // what is paid, as "membership: bytes sent"
	Unit      string  `json:"unit"`      // of Value: "bytes/s", "cores", "MB", "ms", ...
	Per       string  `json:"per"`       // of Size: "controllers", "engines", ...
	Condition string  `json:"condition"` // "at rest", "10% loss", "zone restarts", ...
	Method    string  `json:"method"`    // "sockets", "virtual time", "benchmark"
	Points    []Point `json:"points"`
	Target    float64 `json:"target"` // the size that the fleet is built for
	Budget    float64 `json:"budget"` // the operators' bound of Value at Target; 0: none is stated
	Log       bool    `json:"log"`    // the line is drawn over the logarithm of Size
	Note      string  `json:"note"`
}

// Line is a straight line through points.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"` // root of the mean squared difference, in units of Value
}

// Fit is the line of least squares through the row's points.
func (r Row) Fit() Line {
	n := float64(len(r.Points))
	if n == 0 {
		return Line{}
	}
	var meanX, meanY, covariance, variance float64
	for _, p := range r.Points {
		meanX += r.abscissa(p.Size) / n
		meanY += p.Value / n
	}
	for _, p := range r.Points {
		covariance += (r.abscissa(p.Size) - meanX) * (p.Value - meanY)
		variance += (r.abscissa(p.Size) - meanX) * (r.abscissa(p.Size) - meanX)
	}
	line := Line{Intercept: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanY - line.Slope*meanX
	}
	squares := 0.0
	for _, p := range r.Points {
		difference := p.Value - line.valueAt(r.abscissa(p.Size))
		squares += difference * difference
	}
	line.Residual = math.Sqrt(squares / n)
	return line
}

func (r Row) abscissa(size float64) float64 {
	if r.Log {
		return math.Log2(max(1, size))
	}
	return size
}

func (l Line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// AtTarget is the value at Target: the measured one where a point stands there, else the line's.
func (r Row) AtTarget() (value float64, measured bool) {
	for _, p := range r.Points {
		if p.Size == r.Target {
			return p.Value, true
		}
	}
	return r.Fit().valueAt(r.abscissa(r.Target)), false
}

// Largest is the largest size that was measured.
func (r Row) Largest() float64 {
	if len(r.Points) == 0 {
		return 0
	}
	return slices.MaxFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) }).Size
}

// Ratio is the value at Target over the budget; 0 where no budget is stated.
func (r Row) Ratio() float64 {
	if r.Budget == 0 {
		return 0
	}
	value, _ := r.AtTarget()
	return value / r.Budget
}

// Origin says in words where the value at Target comes from.
func (r Row) Origin() string {
	if _, measured := r.AtTarget(); measured {
		return "measured"
	}
	return fmt.Sprintf("extrapolated from %g", r.Largest())
}
