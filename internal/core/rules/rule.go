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
	maxTextBytes  = 200 // of a rejection's text and of a label's value
	maxLabels     = 16
	maxKeyBytes   = 128   // of an ordering key
	maxSteps      = 10000 // total of all rules tried on one query: some 50 microseconds
	maxFieldBytes = 64    // of most fields
)

// Rule is one rule as written in the operator's file. A field with its zero value has no effect.
type Rule struct {
	Name        string
	When        string            // the condition; empty: always
	Hot         bool              // the query's table group gets more engines from the start
	Key         string            // text expression for the ordering key
	Kinds       []string          // machine kinds to which the query is narrowed
	Zones       []string          // zones to which it is narrowed
	Class       string            // the query class that replaces the query's from here on
	Labels      map[string]string // text expressions by label; later rules see the labels
	EstimateCap float64           // ms: caps the estimate; 0: no cap
	Rejection   string            // the query is rejected with this text; empty: it is not
	Last        bool              // no later rule is tried
}

// Problem is one problem of a rule.
type Problem struct {
	Rule   int    // number of the rule, from 0
	Field  string // as named in the operator's file
	Reason string
	Place  *match.Error // position in the field's expression; nil: not in an expression
}

// Error names the rule, the field and the reason.
func (p Problem) Error() string {
	return fmt.Sprintf("rule %d, field %s: %s", p.Rule, p.Field, p.Reason)
}

// Facts holds the classes, machine kinds and zones of the settings, to which rules refer by name.
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
	class  router.ClassID  // unchanged: none
}

// unchanged is the class of a rule that does not change the query class.
const unchanged router.ClassID = -1

// labelExpr is a label that a rule sets.
type labelExpr struct {
	name string
	text *match.Expr
}

// baseSteps is the cost of a rule in addition to its expressions.
const baseSteps = 4

// steps returns the maximum cost of trying a rule, including its effects.
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
