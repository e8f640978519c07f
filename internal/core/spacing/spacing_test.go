package spacing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"mintkeel/router"
)

// zero is the start time of the tests.
var zero = time.Unix(1000, 0)

// ms returns the time x ms after zero.
func ms(x int) time.Time { return zero.Add(time.Duration(x) * time.Millisecond) }

// Without a client timeout, only queries that this controller has seen count. A query may have waited for them
// since the first of its burst, and not at all after a gap.
func TestWaitIsSinceTheFirstOfTheBurst(t *testing.T) {
	type came struct {
		at    int
		first bool
		want  int
	}
	for name, list := range map[string][]came{
		"alone":                        {{0, true, 0}},
		"far apart":                    {{0, false, 0}, {500, false, 0}},
		"at the clients' interval":     {{0, false, 0}, {60, false, 60}, {120, false, 120}},
		"after a new connection":       {{0, true, 0}, {250, false, 250}, {310, false, 310}},
		"a gap on a connection in use": {{0, false, 0}, {60, false, 60}, {240, false, 0}},
		"the same gap after a new one": {{0, false, 0}, {60, true, 60}, {300, false, 300}},
		"read late by a controller":    {{0, false, 0}, {110, false, 110}, {120, false, 120}},
		"not in the order of reads":    {{0, false, 0}, {60, true, 60}, {40, false, 40}, {310, false, 310}},
		"read before the first":        {{100, false, 0}, {90, false, 0}},
	} {
		var queues ClientQueues
		for i, c := range list {
			if got := queues.Wait("k", ms(c.at), c.first, 0); got != time.Duration(c.want)*time.Millisecond {
				t.Errorf("%s: query %d: estimated wait %v, want %d ms", name, i, got, c.want)
			}
		}
	}
}

// A client queues queries of one key at random times and sends them at the protocol's intervals. None may have
// waited longer at the client than estimated.
func TestWaitIsUpperBound(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		var queues ClientQueues
		due, free := 0.0, 0.0
		rate := 20 + 400*rng.Float64() // mean ms between queries
		for range 300 {
			due += rng.ExpFloat64() * rate
			sent := max(due, free)
			first := rng.Intn(3) == 0
			if free = sent + 60; first {
				free = sent + 250
			}
			read := sent + 40*rng.Float64()
			got := float64(queues.Wait("k", zero.Add(time.Duration(read*1e6)), first, 0)) / 1e6
			if waited := sent - due; got < waited-41 { // the first query of the burst may itself have been read up to 40 ms late
				t.Fatalf("seed %d: a query waited %.0f ms, estimated are at most %.0f ms", seed, waited, got)
			}
		}
	}
}

// Each controller sees only a part of a client's queue. A query whose key arrived within the client timeout may
// have waited in such a queue; one whose key is new has not, except right after the start.
func TestKeyOfTheLastTimeoutMayBeInAnUnseenQueue(t *testing.T) {
	const clientTimeout = 8 * time.Second
	share := time.Duration(unseenShare * float64(clientTimeout))
	var queues ClientQueues
	for _, c := range []struct {
		name string
		key  router.OrderingKey
		at   int
		want time.Duration
	}{
		{"the first after the start", "a", 0, share},
		{"another right after the start", "b", 7000, share},
		{"the first of a key", "c", 9000, 0},
		{"its second, after a longer interval", "c", 10200, share},
		{"its third, within the client timeout", "c", 18000, share},
		{"its fourth, past it", "c", 26100, 0},
		{"one that follows at the interval", "c", 26160, share},
	} {
		if got := queues.Wait(c.key, ms(c.at), false, clientTimeout); got != c.want {
			t.Errorf("%s: estimated wait %v, want %v", c.name, got, c.want)
		}
	}
}

// Many keys arrive once each. Finished bursts must be dropped, and at most maxKeys kept; beyond that, a key that
// may have arrived counts as one that did.
func TestMemoryIsBounded(t *testing.T) {
	var queues ClientQueues
	for i := range 100000 {
		queues.Wait(router.OrderingKey(fmt.Sprint("key ", i)), ms(i), true, 0)
	}
	if n := len(queues.bursts); n > 1000 {
		t.Errorf("%d keys are kept, want 1000 or fewer: only 310 arrived within the time that counts", n)
	}
	queues = ClientQueues{}
	for i := range 100000 {
		queues.Wait(router.OrderingKey(fmt.Sprint("key ", i)), ms(i/1000), true, time.Minute)
	}
	if n := len(queues.bursts); n > maxKeys {
		t.Errorf("%d keys are kept, want at most maxKeys", n)
	}
	if got := queues.Wait("one that may not have been kept", ms(100), false, time.Minute); got == 0 {
		t.Error("a query of a key that may have arrived before is estimated not to have waited")
	}
}
