package rules

import (
	"fmt"
	"slices"
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// maxStates bounds the states that are followed. Past it Compile could not show what rules allow,
// so it reports a problem.
const maxStates = 1000

// state is what a query may have become ahead of a rule.
type state struct {
	original router.ClassID  // of its client
	class    router.ClassID  // that it counts as
	kinds    []router.KindID // that are left at least; nil: all
	zones    []router.Zone   // that are left at least; nil: all
}

// reachable is the set of states that queries may be in ahead of a rule, whichever of the rules
// before it matched.
type reachable struct {
	facts  Facts
	states []state
	known  map[string]bool
}

func newReachable(f Facts) *reachable {
	r := &reachable{facts: f, known: map[string]bool{}}
	for i, class := range f.Classes {
		id := router.ClassID(i)
		r.add(state{original: id, class: id, kinds: class.Kinds, zones: class.Zones})
	}
	return r
}

// add adds a state, unless it is there already.
func (r *reachable) add(s state) {
	key := fmt.Sprintf("%#v", s)
	if !r.known[key] {
		r.known[key] = true
		r.states = append(r.states, s)
	}
}

// matching returns the states in which a condition may hold, as far as it requires something of the
// class.
func (r *reachable) matching(when *match.Expr) []state {
	states := slices.Clone(r.states)
	if when == nil {
		return states
	}
	for _, required := range when.Requires() {
		if required.Field != classField {
			continue
		}
		states = slices.DeleteFunc(states, func(s state) bool {
			return !allows(required, r.facts.ClassNames[s.class])
		})
	}
	return states
}

// allows reports whether a requirement lets a text through.
func allows(q match.Requirement, text string) bool {
	if q.Equal == nil {
		return strings.HasPrefix(text, q.Prefix)
	}
	return slices.ContainsFunc(q.Equal, func(v match.Value) bool { return v.Text == text })
}

// apply adds the states that a rule leads to from others, and reports whether they are few enough
// to be followed. The states that it leads from stay, as its condition may not hold.
func (r *reachable) apply(by *compiledRule, from []state) bool {
	if by.kinds == nil && by.zones == nil && by.class == unchanged {
		return true
	}
	for _, s := range from {
		s.kinds = intersect(s.kinds, by.kinds)
		s.zones = intersect(s.zones, by.zones)
		if by.class != unchanged {
			s.class = by.class
			to := r.facts.Classes[by.class]
			s.kinds = intersect(s.kinds, to.Kinds)
			s.zones = intersect(s.zones, to.Zones)
		}
		r.add(s)
	}
	return len(r.states) <= maxStates
}

// whyWider says in what the class to allows more than the class from does, or promises less; empty:
// in nothing. s is the state of a query of the class from.
func whyWider(from router.QueryClass, s state, to router.QueryClass) string {
	deduplicated := to.Effect == router.Deduplicated
	switch {
	case to.Effect < from.Effect || deduplicated && from.Effect != router.Deduplicated:
		return "it could run twice"
	case deduplicated && (to.Scope != from.Scope || to.DeduplicationWindow > from.DeduplicationWindow):
		return "its repeats are dropped by other engines, or for longer"
	case from.Ordered && !to.Ordered:
		return "it keeps no order"
	case from.Kinds != nil && !isSubset(to.Kinds, from.Kinds):
		return "it may go to other kinds of engine"
	case from.Zones != nil && !isSubset(to.Zones, from.Zones):
		return "it may go to other zones"
	case s.kinds != nil && len(intersect(s.kinds, to.Kinds)) == 0,
		s.zones != nil && len(intersect(s.zones, to.Zones)) == 0:
		return "nothing is left of where it may go"
	}
	return ""
}
