// Package spacing tells how long a command may have stood in a line at its own client before it was written. Clients write
// the commands of one key some time apart, so a burst of them waits where no controller sees it, while each goes on
// naming the whole time that its client had at first. Who answers by that time alone answers too late: on a crowded day
// clients left up to 3 s ahead of the 13 s that they had named. The line is of all commands of the key, whichever
// controller they go to: of one that was 1.9 s long, each of 45 controllers saw a command each second or two. So beside
// what this controller sees of a line there is what it may not see. It is free of I/O and clocks; it stands in the loop,
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

// unseen is the share of a client's whole patience that a line which others see may have taken, of a key that came here
// within that patience. Lines were up to a quarter of it, on three days. Harm: a load has 0.7 of its time, if another
// of its key came just before.
const unseen = 0.3

// train is a run of commands of one key, each of which may have waited for the one before it.
type train struct {
	since time.Time // the first of them was read
	next  time.Time // who comes later than this waited for none of them that this controller saw
	until time.Time // and who comes later than this for none at all
}

// Trains are those of all keys of which a command came just now. The zero value is ready for use, by one goroutine.
type Trains struct {
	keys  map[router.OrderingKey]train
	sweep int       // how many of them call for a look at which are over
	full  time.Time // until then keys may have come that are not kept: from before the start, or past the bound
}

const (
	leastSweep = 64
	mostKeys   = 4096
)

// Came takes in that a command of a key was read, and whether it was the first on its connection; patience is how long a
// client waits for such a command from when it wanted it. It returns how long that command may have waited at its client
// at the longest: since the first of its train, which came when the client's line was empty, as lines keep their order;
// and by a share of the patience in a line that this controller does not see, where the key came lately. Its memory is
// bounded by the keys of one patience, and by a number.
func (t *Trains) Came(key router.OrderingKey, at time.Time, first bool, patience time.Duration) time.Duration {
	if t.keys == nil {
		t.keys, t.sweep, t.full = map[router.OrderingKey]train{}, leastSweep, at.Add(patience)
	}
	if len(t.keys) >= t.sweep {
		maps.DeleteFunc(t.keys, func(_ router.OrderingKey, tr train) bool { return at.After(tr.until) })
		t.sweep = 2*len(t.keys) + leastSweep
	}
	tr, known := t.keys[key]
	waited := time.Duration(0)
	if known && !at.After(tr.until) || !known && !at.After(t.full) {
		waited = time.Duration(unseen * float64(patience))
	}
	if !known || at.After(tr.next) {
		tr.since = at
	}
	apart := usual
	if first {
		apart = fresh
	}
	if next := at.Add(apart + slack); next.After(tr.next) { // what was read earlier may be told later
		tr.next = next
	}
	if until := at.Add(max(patience, apart+slack)); until.After(tr.until) {
		tr.until = until
	}
	if known || len(t.keys) < mostKeys {
		t.keys[key] = tr
	} else if at.Add(patience).After(t.full) {
		t.full = at.Add(patience)
	}
	return max(waited, at.Sub(tr.since), 0)
}
