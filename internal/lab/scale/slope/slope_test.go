package slope

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name     string
		row      Row
		slope    float64
		value    float64
		measured bool
		ratio    float64
	}{
		{"a line", Row{Points: []Point{{10, 21}, {20, 41}, {40, 81}}, Target: 100, Budget: 402}, 2, 201, false, 0.5},
		{"measured at the target", Row{Points: []Point{{10, 21}, {100, 190}}, Target: 100}, 169.0 / 90, 190, true, 0},
		{"over the logarithm", Row{Points: []Point{{2, 1}, {4, 2}, {16, 4}}, Target: 1024, Log: true}, 1, 10, false, 0},
		{"one size alone", Row{Points: []Point{{5, 7}, {5, 9}}, Target: 50}, 0, 8, false, 0},
		{"nothing", Row{Target: 50}, 0, 0, false, 0},
	} {
		value, measured := c.row.AtTarget()
		if l := c.row.Fit(); math.Abs(l.Slope-c.slope) > 1e-9 || math.Abs(value-c.value) > 1e-9 || measured != c.measured {
			t.Errorf("%s: slope %v, value %v, measured %v; want those of the case", c.name, l.Slope, value, measured)
		}
		if math.Abs(c.row.Ratio()-c.ratio) > 1e-9 {
			t.Errorf("%s: ratio %v, want that of the case", c.name, c.row.Ratio())
		}
	}
	if r := (Row{Points: []Point{{1, 1}, {2, 4}, {3, 1}}}).Fit(); math.Abs(r.Residual-math.Sqrt2) > 1e-9 {
		t.Errorf("residual %v, want the square root of 2", r.Residual)
	}
}
