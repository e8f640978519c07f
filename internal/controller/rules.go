package controller

import (
	"maps"
	"slices"

	"mintkeel/internal/core/rules"
	"mintkeel/router"
)

// SetRules puts rules in force, which compute the ordering keys from then on, and reports whether
// it did. It does not if queries of too many earlier sets of rules may still run, or if too many
// queries in flight would need new keys. It waits for the loop's reply and must not be called
// before Run.
func (l *Loop) SetRules(set *rules.Set) bool {
	reply := make(chan bool, 1)
	l.post(rulesRequest{set, reply})
	return <-reply
}

// setRules puts rules in force, and reports whether it did. Queries in flight are added to the
// queue of their new ordering key as well.
func (l *Loop) setRules(set *rules.Set) bool {
	inForce, addKeys := l.ruleEpochs.PutInForce(l.clock(), set, len(l.queries))
	if !addKeys {
		return inForce
	}
	// In sorted order, so that the same messages lead to the same actions.
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
