package rules

import "mintkeel/router"

const (
	// maxEpochs bounds the sets that are followed at once. Queries end at their client timeouts, so no
	// set is followed for more than seconds; rules that change faster than that have to wait.
	maxEpochs = 4
	// maxRekeySteps bounds the steps that giving new ordering keys to all queries in flight may take:
	// some 20 ms of the loop.
	maxRekeySteps = 5000000
)

// Epoch numbers a set of rules, from 0.
type Epoch int

// Epochs are the sets of rules under which queries are in flight, or were so lately that an attempt
// which was given up may still run. While rules change, a query that arrives stands in the queue of
// its ordering key under the new set and under each older one that is followed, and those in flight
// also get their key under the new one. So of two queries that share a key under any of these sets,
// the later one waits. One goroutine uses them; times are the module's, in ms.
type Epochs struct {
	OrderingCooldown float64 // ms, of an ordering key after an attempt that may still run
	sets             []epoch // the last is in force
	first            int     // number of sets[0]
	scratch          Scratch
}

// epoch is a set that is followed, with its queries.
type epoch struct {
	set       *Set    // nil: no rules
	inFlight  int     // queries in flight that arrived under it
	runsUntil float64 // ms: by then no attempt of theirs that was given up still runs
}

// PutInForce puts a set in force while a number of queries are in flight. inForce is false if too
// many older sets are followed, or too many queries would have to get new keys; the set before then
// stays in force. addKeys says that the queries in flight must get their keys under the new set.
func (e *Epochs) PutInForce(now float64, set *Set, inFlight int) (inForce, addKeys bool) {
	e.dropFinished(now)
	if len(e.sets) == 0 {
		e.sets = append(e.sets, epoch{set: set})
		return true, false
	}
	current := &e.sets[len(e.sets)-1]
	switch {
	case current.set.Same(set):
		return true, false
	case !current.set.GivesKeys() && !set.GivesKeys(): // all keys stay their clients'
		current.set = set
		return true, false
	case len(e.sets) >= maxEpochs:
		return false, false
	case set.GivesKeys() && inFlight*max(1, set.maxSteps) > maxRekeySteps:
		return false, false
	}
	e.sets = append(e.sets, epoch{set: set})
	e.dropFinished(now)
	return true, true
}

// dropFinished drops the oldest sets once nothing of them is in flight or may still run.
func (e *Epochs) dropFinished(now float64) {
	for len(e.sets) > 1 && e.sets[0].inFlight == 0 && now >= e.sets[0].runsUntil {
		e.sets = e.sets[1:]
		e.first++
	}
}

// QueryArrived counts an arriving query under the set in force. It returns the number of that set,
// the query's key under it, and its further keys under older sets.
func (e *Epochs) QueryArrived(now float64, q *Query) (
	number Epoch, key router.OrderingKey, moreKeys []router.OrderingKey,
) {
	if len(e.sets) == 0 {
		e.sets = append(e.sets, epoch{})
	}
	e.dropFinished(now)
	last := len(e.sets) - 1
	e.sets[last].inFlight++
	key = e.sets[last].set.Key(q, &e.scratch)
	for _, older := range e.sets[:last] {
		if k := older.set.Key(q, &e.scratch); k != key && k != "" {
			moreKeys = append(moreKeys, k)
		}
	}
	return Epoch(e.first + last), key, moreKeys
}

// Key is a query's ordering key under the set in force.
func (e *Epochs) Key(q *Query) router.OrderingKey {
	if len(e.sets) == 0 {
		return q.OrderingKey
	}
	return e.sets[len(e.sets)-1].set.Key(q, &e.scratch)
}

// QueryEnded takes a query off the count of its set, once it has its final answer and no attempt
// without an outcome. An attempt that was given up may run on for the cooldown of its key.
func (e *Epochs) QueryEnded(now float64, number Epoch) {
	i := int(number) - e.first
	if i < 0 || i >= len(e.sets) {
		return
	}
	e.sets[i].inFlight--
	e.sets[i].runsUntil = now + e.OrderingCooldown
	e.dropFinished(now)
}

// Count is how many sets are followed.
func (e *Epochs) Count() int { return len(e.sets) }
