package spread

import (
	"context"
	"testing"
	"time"

	"mintkeel/internal/lab/scale/slope"
)

// In a small fleet under each condition, all changes are agreed on and in force at all controllers within the operators'
// budget.
func TestConditions(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	for _, c := range conditions() {
		times, err := play(context.Background(), c, 3, 24, 3)
		if err != nil || times.Missed > 0 || times.Agreed != times.Changes || times.Changes == 0 {
			t.Errorf("%s: not all changes were agreed on and in force at all controllers: %+v, error %v", c.name, times, err)
			continue
		}
		if most := max(quantile(times.Undisturbed, 1), quantile(append(times.Disturbed, 0), 1)); most > TimeBudget {
			t.Errorf("%s: a version took %.0f ms to the last controller, more than the budget", c.name, most)
		}
	}
}

// Lags are the times until the last controller had a version, counted from the put, or from the start or heal of a controller
// that was away.
func TestLags(t *testing.T) {
	s := &simulation{nodes: 4, reachableSince: []float64{0, 0, 500, 700}, inForce: [][]versionChange{
		{{50, 0}, {150, 1}, {250, 2}},  // at 150
		{{50, 0}, {180, 2}},            // had a later version at 180
		{{50, 0}, {500, 0}, {620, 1}},  // restarted: 120 after its start
		{{50, 0}, {700, 1}, {900, 12}}, // restarted, and had it from the start
	}}
	if l := s.measureLags(change{at: 100, number: 1}); l.undisturbed != 80 || l.disturbed != 120 || l.missed != 0 {
		t.Errorf("lags of version 1: %+v", l)
	}
	if l := s.measureLags(change{at: 100, number: 2}); l.undisturbed != 150 || l.disturbed != 200 || l.missed != 1 {
		t.Errorf("lags of version 2: %+v", l)
	}
}

// A measurement whose context ends returns soon, with an error.
func TestCutShort(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, err := Measure(ctx, Options{Quick: true}); err == nil || time.Since(began) > 20*time.Second {
		t.Errorf("error %v after %v, want one within 20s", err, time.Since(began))
	}
}

func TestQuantileRows(t *testing.T) {
	rows := quantileRows("x", "at rest", map[int]*spreadTimes{10: {Undisturbed: []float64{3, 1, 2}}, 5: {Undisturbed: []float64{7}}, 7: {}},
		func(t *spreadTimes) []float64 { return t.Undisturbed })
	if len(rows) != 3 || rows[2].Points[1] != (slope.Point{Size: 10, Value: 3}) || rows[0].Points[1].Value != 2 || len(rows[0].Points) != 2 {
		t.Errorf("rows of two sizes with values and one without: %+v", rows)
	}
}
