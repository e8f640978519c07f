package await

import (
	"testing"
	"time"
)

// TestResultAfterTimeout guards against a result that is thrown away because the timeout has passed while the process had
// no turn: both are there, and a select would take either.
func TestResultAfterTimeout(t *testing.T) {
	for range 100 {
		results, passed := make(chan int, 1), make(chan time.Time, ticks)
		for range ticks {
			passed <- time.Time{}
		}
		results <- 7
		if got, ok := await(results, passed); got != 7 || !ok {
			t.Fatalf("got %d, %t; want the result", got, ok)
		}
	}
}

// A time without a turn is one tick: the result may come with the last tick, and not later.
func TestResultWithinTicks(t *testing.T) {
	results, passed := make(chan int), make(chan time.Time)
	go func() {
		for range ticks - 1 {
			passed <- time.Time{}
		}
		results <- 7
	}()
	if got, ok := await(results, passed); got != 7 || !ok {
		t.Errorf("got %d, %t; want the result", got, ok)
	}
	if got, ok := Result(results, time.Millisecond); ok {
		t.Errorf("got %d, want none", got)
	}
}
