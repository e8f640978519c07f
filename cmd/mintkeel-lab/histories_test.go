package main

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

var errBroken = errors.New("two holders at once")

// Without --go-on, the failure of a history is the error of the command, and histories that have
// not started by then do not run.
func TestHistoriesEndAtTheFirstFailure(t *testing.T) {
	options := historyOptions{count: 10, parallel: 1, firstSeed: 5}
	failures := failureLog{}
	var last atomic.Int64
	err := options.play(context.Background(), func(seed int64) error {
		last.Store(seed)
		if seed == 7 {
			return failures.add(errBroken)
		}
		return nil
	})
	if err := failures.result(err, options.count); !errors.Is(err, errBroken) {
		t.Errorf("error %v, want that of the failed history", err)
	}
	if last.Load() != 7 {
		t.Errorf("the last history that ran has seed %d, want 7", last.Load())
	}
}

// With --go-on and two failing histories, all histories run, both failures are printed, and the
// command fails at the end.
func TestHistoriesGoOnAfterFailures(t *testing.T) {
	options := historyOptions{count: 10, parallel: 1, firstSeed: 5}
	var out bytes.Buffer
	failures := failureLog{keepGoing: true, out: &out}
	played := 0
	err := options.play(context.Background(), func(seed int64) error {
		played++
		if seed%5 == 2 {
			return failures.add(errBroken)
		}
		return nil
	})
	err = failures.result(err, options.count)
	if err == nil || err.Error() != "2 of 10 histories failed" {
		t.Errorf("error %v, want \"2 of 10 histories failed\"", err)
	}
	if played != 10 {
		t.Errorf("%d histories ran, want 10", played)
	}
	if want := "two holders at once\ntwo holders at once\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}

// When the context is cancelled, the histories end and the cancellation is the error.
func TestHistoriesEndWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	options := historyOptions{count: 10, parallel: 2, firstSeed: 1}
	var played atomic.Int64
	err := options.play(ctx, func(int64) error {
		played.Add(1)
		cancel()
		return nil
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if played.Load() > 2 {
		t.Errorf("%d histories ran with a cancelled context, want at most 2", played.Load())
	}
}

func TestControllersOfADrawnFleet(t *testing.T) {
	var drawn historyOptions
	for seed, want := range map[int64]int{0: 3, 6: 9, 7: 3, 8: 4} {
		if got := drawn.controllersOf(seed, fleetSizes); got != want {
			t.Errorf("seed %d: %d controllers, want %d", seed, got, want)
		}
	}
	given := historyOptions{controllers: 5}
	if got := given.controllersOf(8, fleetSizes); got != 5 {
		t.Errorf("%d controllers, want the given size 5", got)
	}
}

func TestDistribution(t *testing.T) {
	if got := distribution(nil); got != "none" {
		t.Errorf("distribution of no values: %q, want \"none\"", got)
	}
	var values []float64
	for i := range 100 {
		values = append(values, float64(99-i))
	}
	if got, want := distribution(values), "median 50, 90th 90, 99th 99, most 99 of 100"; got != want {
		t.Errorf("distribution %q, want %q", got, want)
	}
	if got := milliseconds(1500 * time.Microsecond); got != 1.5 {
		t.Errorf("1500 µs converted to %g ms, want 1.5", got)
	}
}
