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
			if got := trains.Came("k", ms(c.at), c.first, 0); got != time.Duration(c.want)*time.Millisecond {
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
			got := float64(trains.Came("k", zero.Add(time.Duration(read*1e6)), first, 0)) / 1e6
			if waited := sent - due; got < waited-41 { // the first of the train may have been read late itself
				t.Fatalf("seed %d: it waited %.0f ms, and was told to have waited %.0f at most", seed, waited, got)
			}
		}
	}
}

// Of a line that all controllers together see, each sees a part. A key that came within a client's patience may stand in
// one; another that came for the first time does not, but for right after the start.
func TestUnseen(t *testing.T) {
	const patience = 8 * time.Second
	share := time.Duration(unseen * float64(patience))
	var trains Trains
	for _, c := range []struct {
		name string
		key  router.OrderingKey
		at   int
		want time.Duration
	}{
		{"the first after the start", "a", 0, share},
		{"another right after the start", "b", 7000, share},
		{"the first of a key", "c", 9000, 0},
		{"its second, later than the pace of a line", "c", 10200, share},
		{"its third, within its patience", "c", 18000, share},
		{"its fourth, past it", "c", 26100, 0},
		{"one that follows at the pace", "c", 26160, share},
	} {
		if got := trains.Came(c.key, ms(c.at), false, patience); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBounded(t *testing.T) {
	var trains Trains
	for i := range 100000 {
		trains.Came(router.OrderingKey(fmt.Sprint("key ", i)), ms(i), true, 0)
	}
	if n := len(trains.keys); n > 1000 {
		t.Errorf("%d keys are kept of which none came within the last second but 310", n)
	}
	trains = Trains{}
	for i := range 100000 {
		trains.Came(router.OrderingKey(fmt.Sprint("key ", i)), ms(i/1000), true, time.Minute)
	}
	if n := len(trains.keys); n > mostKeys {
		t.Errorf("%d keys are kept", n)
	}
	if got := trains.Came("one that may not have been kept", ms(100), false, time.Minute); got == 0 {
		t.Error("a key that may have come before is told to have waited for nothing")
	}
}
