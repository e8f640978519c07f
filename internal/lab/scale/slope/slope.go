// Package slope represents measurements of how a cost grows with size: points at four or more sizes, a straight line
// fitted to them, and the value at the target size of the fleet.
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

// Row is one measured cost.
type Row struct {
	Role      string  `json:"role"`      // role that bears the cost: "controller", "voter", "lease holder", ...
	Cost      string  `json:"cost"`      // such as "membership: bytes sent"
	Unit      string  `json:"unit"`      // of Value: "bytes/s", "cores", "MB", "ms", ...
	Per       string  `json:"per"`       // of Size: "controllers", "engines", ...
	Condition string  `json:"condition"` // "at rest", "10% loss", "zone restarts", ...
	Method    string  `json:"method"`    // "sockets", "virtual time", "benchmark"
	Points    []Point `json:"points"`
	Target    float64 `json:"target"` // target size of the fleet
	Budget    float64 `json:"budget"` // the operators' upper bound of Value at Target; 0: none
	Log       bool    `json:"log"`    // the line is fitted over the binary logarithm of Size
	Note      string  `json:"note"`
}

// Line is a straight line fitted to points.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"` // root mean square error, in the unit of Value
}

// Fit returns the least-squares line of the row's points.
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

// AtTarget returns the value at Target: that of a point if one was measured there, and that of the line otherwise.
func (r Row) AtTarget() (value float64, measured bool) {
	for _, p := range r.Points {
		if p.Size == r.Target {
			return p.Value, true
		}
	}
	return r.Fit().valueAt(r.abscissa(r.Target)), false
}

// Largest returns the largest measured size.
func (r Row) Largest() float64 {
	if len(r.Points) == 0 {
		return 0
	}
	return slices.MaxFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) }).Size
}

// Ratio returns the value at Target divided by the budget, or 0 without a budget.
func (r Row) Ratio() float64 {
	if r.Budget == 0 {
		return 0
	}
	value, _ := r.AtTarget()
	return value / r.Budget
}

// Origin describes where the value at Target comes from.
func (r Row) Origin() string {
	if _, measured := r.AtTarget(); measured {
		return "measured"
	}
	return fmt.Sprintf("extrapolated from %g", r.Largest())
}
