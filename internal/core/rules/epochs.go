package rules

import "mintkeel/router"

const (
	// maxEpochs bounds the number of sets that are followed at once. Queries end at their client
	// timeouts, so a set is followed for a few seconds only; rules that change faster are rejected
	// for the time being.
	maxEpochs = 4
	// maxRekeySteps bounds the steps for giving all queries in flight their new ordering keys: some
	// 20 ms of the event loop.
	maxRekeySteps = 5000000
)

// Epoch numbers a set of rules, from 0.
type Epoch int

// Epochs follows the sets of rules under which queries are in flight, or were until so recently
// that an abandoned attempt may still run. While rules change, an arriving query is queued under
// its ordering key by the new set and by each older one that is followed, and queries in flight
// also get their key by the new set. So of two queries that share a key under any of these sets,
// the later one waits. One goroutine uses it; times are those of the decision module, in ms.
type Epochs struct {
	OrderingCooldown float64 // ms, of an ordering key after an attempt that may still run
	sets             []epoch // oldest first; the last is in force
	first            int     // epoch number of sets[0]
	scratch          Scratch
}

// epoch is a set that is followed, with the state of its queries.
type epoch struct {
	set       *Set    // nil: no rules
	inFlight  int     // number of queries in flight that arrived under it
	runsUntil float64 // ms: from then on no abandoned attempt of its queries runs
}

// PutInForce puts a set in force while a number of queries are in flight. inForce is false, and
// the previous set stays in force, if too many older sets are followed or too many queries would
// need new keys. addKeys says that the queries in flight must get their keys under the new set.
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
	case !current.set.GivesKeys() && !set.GivesKeys(): // all keys remain those of the clients
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

// dropFinished drops the oldest sets once none of their queries is in flight or may still run.
func (e *Epochs) dropFinished(now float64) {
	for len(e.sets) > 1 && e.sets[0].inFlight == 0 && now >= e.sets[0].runsUntil {
		e.sets = e.sets[1:]
		e.first++
	}
}

// QueryArrived counts an arriving query under the set in force. It returns the epoch number of
// that set, the query's key under it, and the different keys that it has under older sets.
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

// Key returns a query's ordering key under the set in force.
func (e *Epochs) Key(q *Query) router.OrderingKey {
	if len(e.sets) == 0 {
		return q.OrderingKey
	}
	return e.sets[len(e.sets)-1].set.Key(q, &e.scratch)
}

// QueryEnded removes a query from the count of its set, once it has its final answer and all its
// attempts have an outcome. An abandoned attempt may keep running for the cooldown of its key.
func (e *Epochs) QueryEnded(now float64, number Epoch) {
	i := int(number) - e.first
	if i < 0 || i >= len(e.sets) {
		return
	}
	e.sets[i].inFlight--
	e.sets[i].runsUntil = now + e.OrderingCooldown
	e.dropFinished(now)
}

// Count returns the number of sets that are followed.
func (e *Epochs) Count() int { return len(e.sets) }
