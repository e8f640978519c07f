package spacing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"mintkeel/router"
)

var zero = time.Unix(1000, 0)

func ms(x int) time.Time { return zero.Add(time.Duration(x) * time.Millisecond) }

func TestCame(t *testing.T) {
	type came struct {
		at    int
		first bool
		want  int
	}
	for name, list := range map[string][]came{
		"alone":                          {{0, true, 0}},
		"far apart":                      {{0, false, 0}, {500, false, 0}},
		"on the clients' pace":           {{0, false, 0}, {60, false, 60}, {120, false, 120}},
		"after a new connection":         {{0, true, 0}, {250, false, 250}, {310, false, 310}},
		"a gap on a connection in use":   {{0, false, 0}, {60, false, 60}, {240, false, 0}},
		"the same gap after a new one":   {{0, false, 0}, {60, true, 60}, {300, false, 300}},
		"read late by a controller":      {{0, false, 0}, {110, false, 110}, {120, false, 120}},
		"told out of the order of reads": {{0, false, 0}, {60, true, 60}, {40, false, 40}, {310, false, 310}},
		"told before the first":          {{100, false, 0}, {90, false, 0}},
	} {
		var trains Trains
		for i, c := range list {
			if got := trains.Came("k", ms(c.at), c.first); got != time.Duration(c.want)*time.Millisecond {
				t.Errorf("%s: command %d waited %v at most, want %d ms", name, i, got, c.want)
			}
		}
	}
}

// A client's line is played: whoever waited in it is never told to have waited less than it did.
func TestNeverLess(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		var trains Trains
		due, free := 0.0, 0.0
		rate := 20 + 400*rng.Float64() // ms between commands
		for range 300 {
			due += rng.ExpFloat64() * rate
			sent := max(due, free)
			first := rng.Intn(3) == 0
			if free = sent + 60; first {
				free = sent + 250
			}
			read := sent + 40*rng.Float64()
			got := float64(trains.Came("k", zero.Add(time.Duration(read*1e6)), first)) / 1e6
			if waited := sent - due; got < waited-41 { // the first of the train may have been read late itself
				t.Fatalf("seed %d: it waited %.0f ms, and was told to have waited %.0f at most", seed, waited, got)
			}
		}
	}
}

func TestBounded(t *testing.T) {
	var trains Trains
	for i := range 100000 {
		trains.Came(router.OrderKey(fmt.Sprint("key ", i)), ms(i), true)
	}
	if n := len(trains.keys); n > 1000 {
		t.Errorf("%d keys are kept of which none came within the last second but 310", n)
	}
}
