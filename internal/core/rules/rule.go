package rules

import (
	"fmt"

	"mintkeel/match"
	"mintkeel/router"
)

// Bounds of a set of rules.
const (
	maxRules      = 10000
	maxNameBytes  = 64
	maxTextBytes  = 200 // of a rejection and of a label's value
	maxLabels     = 16
	maxKeyBytes   = 128   // of an ordering key
	maxSteps      = 10000 // that all rules tried on one query may take together: some 50 microseconds
	maxFieldBytes = 64    // of most fields
)

// Rule is one rule as it was written. A field with its zero value has no effect.
type Rule struct {
	Name        string
	When        string            // the condition; empty: always
	Hot         bool              // the query's table group is served by more engines from the start
	Key         string            // an expression of text: the ordering key
	Kinds       []string          // machine kinds to which the query is narrowed
	Zones       []string          // zones to which it is narrowed
	Class       string            // the query class that it counts as from here on
	Labels      map[string]string // expressions of text by label, which later rules see
	EstimateCap float64           // ms: a larger estimate counts as this; 0: no cap
	Rejection   string            // the query is rejected with this text; empty: it is not
	Last        bool              // no later rule is tried
}

// Problem is what is wrong with a rule.
type Problem struct {
	Rule   int    // its number, from 0
	Field  string // as the operator's file names it
	Reason string
	Place  *match.Error // where in the expression of the field; nil: not within an expression
}

// Error names the rule, the field and the reason.
func (p Problem) Error() string {
	return fmt.Sprintf("rule %d, field %s: %s", p.Rule, p.Field, p.Reason)
}

// Facts are what the settings say of the names in rules.
type Facts struct {
	ClassNames []string            // by ClassID
	Classes    []router.QueryClass // by ClassID
	Kinds      map[string]router.KindID
	Zones      []string
}

// compiledRule is a rule with its expressions and names compiled.
type compiledRule struct {
	Rule
	when   *match.Expr // nil: always
	key    *match.Expr // nil: none
	labels []labelExpr
	kinds  []router.KindID // nil: not narrowed
	zones  []router.Zone   // nil: not narrowed
	class  router.ClassID  // unchanged: it stays
}

// unchanged stands for the class of a rule that does not change it.
const unchanged router.ClassID = -1

// labelExpr is a label that a rule gives.
type labelExpr struct {
	name string
	text *match.Expr
}

// baseSteps is what a rule costs beside its expressions.
const baseSteps = 4

// steps is what trying a rule may cost, its effects included.
func (r *compiledRule) steps() int {
	n := baseSteps
	if r.when != nil {
		n += r.when.Steps()
	}
	if r.key != nil {
		n += r.key.Steps()
	}
	for _, l := range r.labels {
		n += l.text.Steps()
	}
	return n
}
