package rules

import (
	"reflect"
	"slices"

	"mintkeel/router"
)

// Set is a compiled set of rules. It is immutable, and may be used by several goroutines
// concurrently.
type Set struct {
	facts    Facts
	rules    []compiledRule
	index    index
	maxSteps int // maximum total for one query
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Name returns the name of a rule.
func (s *Set) Name(i int) string { return s.rules[i].Name }

// Steps returns the maximum cost of a rule's condition.
func (s *Set) Steps(i int) int {
	if s.rules[i].when == nil {
		return 0
	}
	return s.rules[i].when.Steps()
}

// IndexedBy describes, for operators, the requirement that a query must meet for a rule to be
// tried.
func (s *Set) IndexedBy(i int) string { return s.index.descriptions[i] }

// Key returns the ordering key of a query by the rules, or the client's if they give none.
func (s *Set) Key(q *Query, scratch *Scratch) router.OrderingKey {
	if !s.GivesKeys() {
		return q.OrderingKey
	}
	return s.Apply(q, scratch).OrderingKey
}

// GivesKeys reports whether any rule gives an ordering key. A nil set has no rules.
func (s *Set) GivesKeys() bool {
	return s != nil && slices.ContainsFunc(s.rules, func(r compiledRule) bool { return r.key != nil })
}

// Same reports whether two sets, either of which may be nil, have the same rules, and so the same
// effect on every query.
func (s *Set) Same(other *Set) bool {
	if s == nil || other == nil {
		return s == other
	}
	same := func(a, b compiledRule) bool { return reflect.DeepEqual(a.Rule, b.Rule) }
	return slices.EqualFunc(s.rules, other.rules, same)
}
