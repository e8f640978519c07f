package rules

import (
	"slices"

	"mintkeel/match"
)

// retryStability follows what may differ between a query and its client's retry of it, ahead of a
// rule: labels, the class, and whether the rule is tried at all. An ordering key must rest on none
// of it, or a retry would stand in another queue than the query that may still run.
type retryStability struct {
	unstableLabels map[string]bool
	unstableClass  bool
	unstableFlow   bool // an earlier rule may end the rules for the query and not for its retry
}

// unstablePart names what of an expression may differ between a query and its retry; empty: nothing
// does.
func (s *retryStability) unstablePart(e *match.Expr) string {
	if e == nil {
		return ""
	}
	for _, name := range e.Fields() {
		if slices.Contains(changingFields, name) || name == classField && s.unstableClass {
			return name
		}
	}
	for _, name := range e.Labels() {
		if s.unstableLabels[name] {
			return "label " + name
		}
	}
	return ""
}

// record adds what a rule may change for a query and not for its retry.
func (s *retryStability) record(r *compiledRule) {
	unstable := s.unstableFlow || s.unstablePart(r.when) != ""
	for _, l := range r.labels {
		if unstable || s.unstablePart(l.text) != "" {
			s.unstableLabels[l.name] = true
		}
	}
	if unstable && r.class != unchanged {
		s.unstableClass = true
	}
	if unstable && r.Last {
		s.unstableFlow = true
	}
}
