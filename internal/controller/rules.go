package controller

import (
	"maps"
	"slices"

	"mintkeel/internal/core/rules"
	"mintkeel/router"
)

// SetRules has these rules give the ordering keys from now on, and reports whether they do: not if
// queries of too many earlier sets of rules may still run, or too many queries in flight would have
// to get new keys. It waits for the loop's reply and must not be called before Run.
func (l *Loop) SetRules(set *rules.Set) bool {
	reply := make(chan bool, 1)
	l.post(rulesRequest{set, reply})
	return <-reply
}

// setRules puts rules in force. Queries in flight are put into the queue of their new ordering key
// as well.
func (l *Loop) setRules(set *rules.Set) bool {
	inForce, addKeys := l.ruleEpochs.PutInForce(l.clock(), set, len(l.queries))
	if !addKeys {
		return inForce
	}
	// Sorted, so that the same messages give the same actions.
	for _, id := range slices.Sorted(maps.Keys(l.queries)) {
		q := l.queries[id]
		if q.RuleInput == nil {
			continue
		}
		if key := l.ruleEpochs.Key(q.RuleInput); key != "" {
			l.events = append(l.events, router.OrderingKeyAdded{ID: id, Key: key})
		}
	}
	return true
}
