package rules

import (
	"fmt"
	"slices"
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// maxStates bounds the states that are followed. Beyond it Compile reports a problem, as it can no
// longer prove what the rules allow.
const maxStates = 1000

// state is a combination of properties that a query may have before a rule.
type state struct {
	original router.ClassID  // given by the client
	class    router.ClassID  // after earlier rules
	kinds    []router.KindID // that remain at least; nil: all
	zones    []router.Zone   // that remain at least; nil: all
}

// reachable is the set of states in which queries may be before a rule, for all combinations of
// matching earlier rules.
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

// add adds a state unless it is already present.
func (r *reachable) add(s state) {
	key := fmt.Sprintf("%#v", s)
	if !r.known[key] {
		r.known[key] = true
		r.states = append(r.states, s)
	}
}

// matching returns the states in which a condition may hold. Only its requirements on the class
// exclude states.
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

// allows reports whether a text meets a requirement.
func allows(q match.Requirement, text string) bool {
	if q.Equal == nil {
		return strings.HasPrefix(text, q.Prefix)
	}
	return slices.ContainsFunc(q.Equal, func(v match.Value) bool { return v.Text == text })
}

// apply adds the states into which a rule may bring queries from the given ones, and reports
// whether there are still at most maxStates. The given states stay, as the condition may not hold.
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

// whyWider returns why a query of the class from, in the state s, may not change to the class to,
// which allows more or guarantees less. It is empty if the change is allowed.
func whyWider(from router.QueryClass, s state, to router.QueryClass) string {
	deduplicated := to.Effect == router.Deduplicated
	switch {
	case to.Effect < from.Effect || deduplicated && from.Effect != router.Deduplicated:
		return "it could run twice"
	case deduplicated && (to.Scope != from.Scope || to.DeduplicationWindow > from.DeduplicationWindow):
		return "its duplicates are dropped by other engines, or for longer"
	case from.Ordered && !to.Ordered:
		return "it would not keep its order"
	case from.Kinds != nil && !isSubset(to.Kinds, from.Kinds):
		return "it may go to other machine kinds"
	case from.Zones != nil && !isSubset(to.Zones, from.Zones):
		return "it may go to other zones"
	case s.kinds != nil && len(intersect(s.kinds, to.Kinds)) == 0,
		s.zones != nil && len(intersect(s.zones, to.Zones)) == 0:
		return "no machine kind or zone is left to it"
	}
	return ""
}
