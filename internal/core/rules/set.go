package rules

import (
	"reflect"
	"slices"

	"mintkeel/router"
)

// Set is rules that were compiled together. It never changes, and may be used by several goroutines
// at once.
type Set struct {
	facts    Facts
	rules    []compiledRule
	index    index
	maxSteps int // that one query may take
}

// Len is the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Name is a rule's name.
func (s *Set) Name(i int) string { return s.rules[i].Name }

// Steps is what a rule's condition may cost.
func (s *Set) Steps(i int) int {
	if s.rules[i].when == nil {
		return 0
	}
	return s.rules[i].when.Steps()
}

// IndexedBy describes, for operators, on which queries a rule is tried.
func (s *Set) IndexedBy(i int) string { return s.index.descriptions[i] }

// Key returns the ordering key that the rules give a query, or the client's if they give none.
func (s *Set) Key(q *Query, scratch *Scratch) router.OrderingKey {
	if !s.GivesKeys() {
		return q.OrderingKey
	}
	return s.Apply(q, scratch).OrderingKey
}

// GivesKeys reports whether some rule gives an ordering key; a nil set has none.
func (s *Set) GivesKeys() bool {
	return s != nil && slices.ContainsFunc(s.rules, func(r compiledRule) bool { return r.key != nil })
}

// Same reports whether two sets, of which either may be nil, do the same to each query: they were
// written the same.
func (s *Set) Same(other *Set) bool {
	if s == nil || other == nil {
		return s == other
	}
	same := func(a, b compiledRule) bool { return reflect.DeepEqual(a.Rule, b.Rule) }
	return slices.EqualFunc(s.rules, other.rules, same)
}
