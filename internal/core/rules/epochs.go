package rules

import "mintkeel/router"

// Epochs are the sets of rules under which commands are held or out. While rules change, a command that comes stands in
// the turn of its key under the new set and under each older one that still has a command open; those that are open are
// given their key under the new one. So of two commands that share a key under any of these sets, the later one waits.
// It is for one goroutine.
type Epochs struct {
	sets    []epoch // the last is in force
	first   int     // number of sets[0]
	scratch Scratch
}

type epoch struct {
	set  *Set // nil: no rules
	open int  // commands that came under it
}

// mostEpochs bounds the sets that are followed at once. Commands end at their client timeouts, so a set is done with
// within seconds; who changes rules faster than that is told to wait.
const mostEpochs = 8

// Epoch numbers a set of rules, from 0.
type Epoch int

// Begin puts a set in force and reports whether it did: not while too many older ones have commands open.
func (e *Epochs) Begin(set *Set) bool {
	e.forget()
	if len(e.sets) > 0 && e.sets[len(e.sets)-1].set.Same(set) {
		return true
	}
	if len(e.sets) >= mostEpochs {
		return false
	}
	e.sets = append(e.sets, epoch{set: set})
	e.forget()
	return true
}

// forget drops older sets that have no command open. One between two that have may go too, as those who came under it
// are over.
func (e *Epochs) forget() {
	for len(e.sets) > 1 && e.sets[0].open == 0 {
		e.sets, e.first = e.sets[1:], e.first+1
	}
}

// Take counts a command in, and tells its keys: first that of the set in force, then those under older ones.
func (e *Epochs) Take(c *Command) (number Epoch, key router.OrderKey, also []router.OrderKey) {
	if len(e.sets) == 0 {
		e.sets = append(e.sets, epoch{})
	}
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
func (e *Epochs) Key(c *Command) router.OrderKey {
	if len(e.sets) == 0 {
		return c.Key
	}
	return e.sets[len(e.sets)-1].set.Key(c, &e.scratch)
}

// Over counts a command out that is over and has no send without an outcome.
func (e *Epochs) Over(number Epoch) {
	if at := int(number) - e.first; at >= 0 && at < len(e.sets) {
		e.sets[at].open--
		e.forget()
	}
}

// Followed is how many sets are followed.
func (e *Epochs) Followed() int { return len(e.sets) }
