// Package spacing tells how long a command may have stood in a line at its own client before it was written. Clients write
// the commands of one key some time apart, so a burst of them waits where no controller sees it, while each goes on
// naming the whole time that its client had at first. Who answers by that time alone answers too late: on a crowded day
// clients left up to 3 s ahead of the 13 s that they had named. It is free of I/O and clocks; it stands in the loop,
// ahead of the module, and decides nothing.
package spacing

import (
	"maps"
	"time"

	"mintkeel/router"
)

// The times that clients keep between two commands of one key, by the platform's protocol: longer after one that came on
// a new connection.
const (
	usual = 60 * time.Millisecond
	fresh = 250 * time.Millisecond
)

// slack is by how much more than that two commands may be read apart and the later still have waited for the earlier:
// either may have waited to be read. One that comes after a longer gap found no line at its client.
const slack = 60 * time.Millisecond

// train is a run of commands of one key, each of which may have waited for the one before it.
type train struct {
	since time.Time // the first of them was read
	next  time.Time // who comes later than this waited for none of them
}

// Trains are those of all keys of which a command came just now. The zero value is ready for use, by one goroutine.
type Trains struct {
	keys  map[router.OrderKey]train
	sweep int // how many of them call for a look at which are over
}

const leastSweep = 64

// Came takes in that a command of a key was read, and whether it was the first on its connection. It returns how long
// that command may have waited at its client at the longest: since the first of its train, which came when the client's
// line was empty, as lines keep their order. Its memory is bounded by what comes within some hundreds of milliseconds.
func (t *Trains) Came(key router.OrderKey, at time.Time, first bool) time.Duration {
	if t.keys == nil {
		t.keys, t.sweep = map[router.OrderKey]train{}, leastSweep
	}
	if len(t.keys) >= t.sweep {
		maps.DeleteFunc(t.keys, func(_ router.OrderKey, tr train) bool { return at.After(tr.next) })
		t.sweep = 2*len(t.keys) + leastSweep
	}
	tr, known := t.keys[key]
	if !known || at.After(tr.next) {
		tr = train{since: at}
	}
	apart := usual
	if first {
		apart = fresh
	}
	if next := at.Add(apart + slack); next.After(tr.next) { // what was read earlier may be told later
		tr.next = next
	}
	t.keys[key] = tr
	return max(0, at.Sub(tr.since))
}
