package rules

import (
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// Verdict is the combined effect of the rules on a query.
type Verdict struct {
	Rejection   string // not empty: the query is rejected with this text, the rest is unused
	Class       router.ClassID
	OrderingKey router.OrderingKey
	Hot         bool
	Kinds       []router.KindID // nil: not narrowed
	Zones       []router.Zone   // nil: not narrowed
	EstimateCap float64         // ms; 0: none
	Labels      []match.Label   // valid until the scratch is used again
}

// Scratch holds the buffers with which one goroutine applies rules without allocating. The zero
// value is ready for use.
type Scratch struct {
	// Trace is called for each rule that is tried; nil: no trace.
	Trace func(rule int, matched bool)

	match      match.Scratch
	values     [fieldCount]match.Value
	labels     []match.Label
	candidates []int32
	seenIn     []uint32 // by rule: the last search that found it
	search     uint32   // number of the current search, from 1
}

// row returns the row on which expressions are evaluated: the query with the changes of the rules
// applied so far.
func (s *Scratch) row() match.Row { return match.Row{Values: s.values[:], Labels: s.labels} }

// setLabel sets a label. A new one past maxLabels is dropped.
func (s *Scratch) setLabel(name, text string) {
	for i := range s.labels {
		if s.labels[i].Name == name {
			s.labels[i].Value = text
			return
		}
	}
	if len(s.labels) < maxLabels {
		s.labels = append(s.labels, match.Label{Name: name, Value: text})
	}
}

// TriedRule is a rule that was tried on a query, with the steps by which its condition was
// evaluated.
type TriedRule struct {
	Rule    int
	Name    string
	Matched bool
	Steps   []match.Step // empty: it has no condition
}

// Explain applies the rules as Apply does, and also returns each rule that was tried.
func (s *Set) Explain(q *Query) (v Verdict, tried []TriedRule) {
	var scratch Scratch
	scratch.Trace = func(i int, matched bool) {
		t := TriedRule{Rule: i, Name: s.rules[i].Name, Matched: matched}
		if when := s.rules[i].when; when != nil {
			t.Steps = when.Explain(scratch.row())
		}
		tried = append(tried, t)
	}
	return s.Apply(q, &scratch), tried
}

// Apply applies the rules to a query in their order. It never fails.
func (s *Set) Apply(q *Query, scratch *Scratch) Verdict {
	v := Verdict{Class: q.Class, OrderingKey: q.OrderingKey}
	s.fill(q, scratch)
	for _, i := range s.index.candidates(len(s.rules), scratch) {
		r := &s.rules[i]
		matched := r.when == nil || r.when.Bool(scratch.row(), &scratch.match)
		if scratch.Trace != nil {
			scratch.Trace(int(i), matched)
		}
		if !matched {
			continue
		}
		if r.Rejection != "" {
			v.Rejection = r.Rejection
			return v
		}
		s.applyEffects(r, &v, scratch)
		if r.Last {
			break
		}
	}
	v.Labels = scratch.labels
	return v
}

// applyEffects applies the effects of a rule to the verdict, and to the row that later rules see.
func (s *Set) applyEffects(r *compiledRule, v *Verdict, scratch *Scratch) {
	v.Hot = v.Hot || r.Hot
	if r.key != nil {
		v.OrderingKey = copyKey(r.key.Text(scratch.row(), &scratch.match))
	}
	if r.kinds != nil {
		v.Kinds = narrow(v.Kinds, r.kinds)
	}
	if r.zones != nil {
		v.Zones = narrow(v.Zones, r.zones)
	}
	if r.EstimateCap > 0 && (v.EstimateCap == 0 || r.EstimateCap < v.EstimateCap) {
		v.EstimateCap = r.EstimateCap
	}
	for _, l := range r.labels { // in order, as each may read the ones before
		scratch.setLabel(l.name, strings.Clone(l.text.Text(scratch.row(), &scratch.match)))
	}
	if r.class != unchanged {
		v.Class = r.class
		scratch.values[fieldClass] = match.TextOf(s.facts.ClassNames[r.class])
	}
}

// copyKey copies a text out of the scratch as an ordering key, truncated to maxKeyBytes.
func copyKey(s string) router.OrderingKey {
	return router.OrderingKey(strings.Clone(s[:min(len(s), maxKeyBytes)]))
}

// narrow returns the members of have that are also in to; a nil have stands for all. The result is
// never nil.
func narrow[T comparable](have, to []T) []T {
	if have == nil {
		return to
	}
	return intersect(have, to)
}
