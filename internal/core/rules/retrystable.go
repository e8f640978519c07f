package rules

import (
	"slices"

	"mintkeel/match"
)

// retryStability tracks what may differ between a query and its client's retry before a rule:
// labels, the class, and whether the rule is tried at all. An ordering key must depend on none of
// it; otherwise a retry could be queued under another key than the query, which may still run.
type retryStability struct {
	unstableLabels map[string]bool
	unstableClass  bool
	unstableFlow   bool // an earlier rule may end the rules for a query but not for its retry
}

// unstablePart returns the name of a field or label that an expression reads and that may differ
// between a query and its retry. It is empty if there is none.
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

// record adds what a rule may change differently for a query and its retry.
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
