package rules

import "mintkeel/router"

// Epochs are the sets of rules under which commands are held or out, or have been so lately that a send which was given
// up may still run. While rules change, a command that comes stands in the turn of its key under the new set and under
// each older one that is followed; those that are open are given their key under the new one. So of two commands that
// share a key under any of these sets, the later one waits. It is for one goroutine; times are the module's.
type Epochs struct {
	Rest    float64 // of a key after a doubtful outcome
	sets    []epoch // the last is in force
	first   int     // number of sets[0]
	scratch Scratch
}

type epoch struct {
	set   *Set    // nil: no rules
	open  int     // commands that came under it
	until float64 // by when what was given up of them runs no more
}

const (
	// mostEpochs bounds the sets that are followed at once. Commands end at their client timeouts, so a set is done with
	// within seconds; who changes rules faster than that is told to wait.
	mostEpochs = 4
	// mostRekeyed bounds the steps that keying all open commands anew may take: some 20 ms of the loop.
	mostRekeyed = 5000000
)

// Epoch numbers a set of rules, from 0.
type Epoch int

// Begin puts a set in force while so many commands are open. It reports whether it did: not while too many older ones
// are followed, or too many commands would have to be keyed anew; and whether these must be.
func (e *Epochs) Begin(now float64, set *Set, open int) (ok, rekey bool) {
	e.forget(now)
	last := len(e.sets) - 1
	switch {
	case last < 0:
		e.sets = append(e.sets, epoch{set: set})
		return true, false
	case e.sets[last].set.Same(set):
		return true, false
	case !e.sets[last].set.GivesKeys() && !set.GivesKeys(): // all keys stay their clients'
		e.sets[last].set = set
		return true, false
	case len(e.sets) >= mostEpochs || set.GivesKeys() && open*max(1, set.most) > mostRekeyed:
		return false, false
	}
	e.sets = append(e.sets, epoch{set: set})
	e.forget(now)
	return true, true
}

// forget drops the oldest sets once nothing of them is open or may still run.
func (e *Epochs) forget(now float64) {
	for len(e.sets) > 1 && e.sets[0].open == 0 && now >= e.sets[0].until {
		e.sets, e.first = e.sets[1:], e.first+1
	}
}

// Take counts a command in, and tells its keys: first that of the set in force, then those under older ones.
func (e *Epochs) Take(now float64, c *Command) (number Epoch, key router.OrderingKey, also []router.OrderingKey) {
	if len(e.sets) == 0 {
		e.sets = append(e.sets, epoch{})
	}
	e.forget(now)
	last := len(e.sets) - 1
	e.sets[last].open++
	key = e.sets[last].set.Key(c, &e.scratch)
	for _, old := range e.sets[:last] {
		if k := old.set.Key(c, &e.scratch); k != key && k != "" {
			also = append(also, k)
		}
	}
	return Epoch(e.first + last), key, also
}

// Key is a command's key under the set in force.
func (e *Epochs) Key(c *Command) router.OrderingKey {
	if len(e.sets) == 0 {
		return c.Key
	}
	return e.sets[len(e.sets)-1].set.Key(c, &e.scratch)
}

// Over counts a command out that is over and has no send without an outcome. What it left may run on for the rest of
// its key.
func (e *Epochs) Over(now float64, number Epoch) {
	if at := int(number) - e.first; at >= 0 && at < len(e.sets) {
		e.sets[at].open--
		e.sets[at].until = now + e.Rest
		e.forget(now)
	}
}

// Followed is how many sets are followed.
func (e *Epochs) Followed() int { return len(e.sets) }
