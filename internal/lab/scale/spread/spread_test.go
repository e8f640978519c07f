package spread

import (
	"context"
	"testing"
	"time"

	"mintkeel/internal/lab/scale/slope"
)

// A small fleet under each condition: all changes are agreed on and in force at all within the operators' bound.
func TestConditions(t *testing.T) {
	if testing.Short() {
		t.Skip("some seconds")
	}
	for _, c := range conditions() {
		times, err := play(context.Background(), c, 3, 24, 3)
		if err != nil || times.Missed > 0 || times.Agreed != times.Changes || times.Changes == 0 {
			t.Errorf("%s: %+v, %v", c.name, times, err)
			continue
		}
		if most := max(quantile(times.Undisturbed, 1), quantile(append(times.Disturbed, 0), 1)); most > TimeBudget {
			t.Errorf("%s: %.0f ms until the last had a version", c.name, most)
		}
	}
}

// What is looked at is when the last had it, counted from the put, or from the start or heal of one that was away.
func TestLags(t *testing.T) {
	s := &simulation{nodes: 4, reachableSince: []float64{0, 0, 500, 700}, inForce: [][]versionChange{
		{{50, 0}, {150, 1}, {250, 2}},  // at 150
		{{50, 0}, {180, 2}},            // has a later one at 180
		{{50, 0}, {500, 0}, {620, 1}},  // restarted: 120 after its start
		{{50, 0}, {700, 1}, {900, 12}}, // restarted, and had it from the start
	}}
	if l := s.measureLags(change{at: 100, number: 1}); l.undisturbed != 80 || l.disturbed != 120 || l.missed != 0 {
		t.Errorf("%+v", l)
	}
	if l := s.measureLags(change{at: 100, number: 2}); l.undisturbed != 150 || l.disturbed != 200 || l.missed != 1 {
		t.Errorf("%+v", l)
	}
}

// A measurement that is cut short ends soon and says so.
func TestCutShort(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, err := Measure(ctx, Options{Quick: true}); err == nil || time.Since(began) > 20*time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

func TestQuantileRows(t *testing.T) {
	rows := quantileRows("x", "at rest", map[int]*spreadTimes{10: {Undisturbed: []float64{3, 1, 2}}, 5: {Undisturbed: []float64{7}}, 7: {}},
		func(t *spreadTimes) []float64 { return t.Undisturbed })
	if len(rows) != 3 || rows[2].Points[1] != (slope.Point{Size: 10, Value: 3}) || rows[0].Points[1].Value != 2 || len(rows[0].Points) != 2 {
		t.Errorf("%+v", rows)
	}
}
