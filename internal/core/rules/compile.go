package rules

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// Names of a rule's fields in the operator's file, for problems. fieldNameRule stands for the rule
// as a whole.
const (
	fieldNameRule        = "rule"
	fieldNameName        = "name"
	fieldNameWhen        = "when"
	fieldNameKey         = "key"
	fieldNameKinds       = "kinds"
	fieldNameZones       = "zones"
	fieldNameClass       = "profile"
	fieldNameLabels      = "labels"
	fieldNameEstimateCap = "most_estimate"
	fieldNameRejection   = "refuse"
)

// compiler collects the problems of a set of rules, and what is known about queries before the
// rule that is being compiled.
type compiler struct {
	facts     Facts
	bounds    match.Bounds // of each expression
	problems  []Problem
	rule      int // number of the rule that is being compiled
	stability retryStability
	reachable *reachable
}

// Compile compiles rules, or returns all problems that it finds in them.
func Compile(rules []Rule, facts Facts, b match.Bounds) (*Set, []Problem) {
	c := &compiler{
		facts:     facts,
		bounds:    b,
		stability: retryStability{unstableLabels: map[string]bool{}},
		reachable: newReachable(facts),
	}
	if len(rules) > maxRules {
		c.addProblem(fieldNameRule, "there are over %d rules", maxRules)
		return nil, c.problems
	}
	for _, name := range facts.ClassNames { // a longer name is truncated, and could equal another
		if len(name) > Schema.Fields[fieldClass].MaxBytes {
			c.addProblem(fieldNameRule, "the name of profile %.80q is too long for rules", name)
		}
	}
	set := &Set{facts: facts}
	seen := map[string]int{}
	for i, r := range rules {
		c.rule = i
		c.checkName(r.Name, seen)
		seen[r.Name] = i
		set.rules = append(set.rules, c.compile(r))
	}
	if c.problems != nil {
		return nil, c.problems
	}
	set.index = newIndex(set.rules)
	var costliest int
	set.maxSteps, costliest = set.index.maxSteps(set.rules)
	if set.maxSteps > maxSteps {
		c.rule = costliest
		c.addProblem(fieldNameWhen,
			"rules tried on one command may take %d steps together, of %d allowed; "+
				"this one is among the most expensive. Rules that require a field to equal or "+
				"begin with a text are tried only where it does",
			set.maxSteps, maxSteps)
		return nil, c.problems
	}
	return set, nil
}

func (c *compiler) addProblem(field, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, Problem{Rule: c.rule, Field: field, Reason: reason})
}

// checkName checks a rule's name; seen holds the names of the earlier rules with their numbers.
func (c *compiler) checkName(name string, seen map[string]int) {
	if first, twice := seen[name]; twice {
		c.addProblem(fieldNameName, "%q is the name of rule %d too", name, first)
	}
	if name == "" || len(name) > maxNameBytes {
		c.addProblem(fieldNameName, "must have 1 to %d bytes", maxNameBytes)
	}
}

// compile compiles a rule, and records what it may change for later rules.
func (c *compiler) compile(rule Rule) compiledRule {
	r := compiledRule{Rule: rule, class: unchanged}
	if rule.When != "" {
		r.when = c.expression(fieldNameWhen, rule.When, match.Bool)
	}
	states := c.reachable.matching(r.when)
	if len(states) == 0 {
		c.addProblem(fieldNameWhen, "no query can have this profile here")
	}
	isControl := func(x rune) bool { return x < ' ' }
	if len(rule.Rejection) > maxTextBytes || strings.ContainsFunc(rule.Rejection, isControl) {
		c.addProblem(fieldNameRejection, "is not a single line of at most %d bytes", maxTextBytes)
	}
	if rule.EstimateCap < 0 || math.IsNaN(rule.EstimateCap) {
		c.addProblem(fieldNameEstimateCap, "is negative or not a number")
	}
	c.compileLabels(&r)
	c.compileKey(&r, states)
	c.compileKinds(&r, states)
	c.compileZones(&r, states)
	c.compileClass(&r, states)
	if !c.reachable.apply(&r, states) {
		c.addProblem(fieldNameRule, "the rules before it narrow queries in more than %d ways", maxStates)
	}
	c.stability.record(&r)
	return r
}

// expression compiles an expression. If that fails it records the problem and returns nil.
func (c *compiler) expression(field, source string, t match.Type) *match.Expr {
	e, err := match.Compile(source, t, &Schema, c.bounds)
	if err != nil {
		reason := err.Error()
		var place *match.Error
		if errors.As(err, &place) {
			reason = place.Reason
		}
		c.problems = append(c.problems, Problem{Rule: c.rule, Field: field, Reason: reason, Place: place})
		return nil
	}
	return e
}

// compileLabels compiles the expressions of a rule's labels, sorted by label.
func (c *compiler) compileLabels(r *compiledRule) {
	if len(r.Labels) > maxLabels {
		c.addProblem(fieldNameLabels, "there are over %d", maxLabels)
	}
	// Sorted, so that problems are always reported in the same order.
	for _, name := range slices.Sorted(maps.Keys(r.Labels)) {
		if name == "" || len(name) > maxNameBytes {
			c.addProblem(fieldNameLabels, "a label's name must have 1 to %d bytes", maxNameBytes)
		}
		if e := c.expression(fieldNameLabels+"."+name, r.Labels[name], match.Text); e != nil {
			r.labels = append(r.labels, labelExpr{name, e})
		}
	}
}

// compileKey compiles an ordering key. It checks that the key is the same for all retries of a
// query and never empty, and that a query which keeps order can get it.
func (c *compiler) compileKey(r *compiledRule, states []state) {
	if r.Key == "" {
		return
	}
	r.key = c.expression(fieldNameKey, r.Key, match.Text)
	if r.key == nil {
		return
	}
	if part := c.stability.unstablePart(r.key); part != "" {
		c.addProblem(fieldNameKey, "reads %s, which may differ in a client's retry", part)
	} else if part := c.stability.unstablePart(r.when); part != "" {
		c.addProblem(fieldNameKey, "depends on %s, which may differ in a client's retry", part)
	} else if c.stability.unstableFlow {
		c.addProblem(fieldNameKey,
			"an earlier rule ends the rules by something that may differ in a client's retry")
	}
	if !r.key.NeverEmpty(classField) {
		c.addProblem(fieldNameKey,
			"may be empty: add a literal text to what may be missing, as in \"store/\" + label(\"store\")")
	}
	isOrdered := func(s state) bool { return c.facts.Classes[s.class].Ordered }
	if !slices.ContainsFunc(states, isOrdered) {
		c.addProblem(fieldNameKey, "no profile keeps order here")
	}
}

// compileKinds checks that the machine kinds exist, and that each query class keeps one of those
// that it may use.
func (c *compiler) compileKinds(r *compiledRule, states []state) {
	if r.Kinds == nil {
		return
	}
	r.kinds = []router.KindID{}
	for _, name := range r.Kinds {
		kind, known := c.facts.Kinds[name]
		if !known {
			c.addProblem(fieldNameKinds, "%q is not a machine kind", name)
			continue
		}
		r.kinds = append(r.kinds, kind)
	}
	for _, s := range states {
		if len(intersect(s.kinds, r.kinds)) == 0 {
			c.addProblem(fieldNameKinds, "profile %s may not go there: it may use %s",
				c.facts.ClassNames[s.original], c.kindNames(s.kinds))
			break
		}
	}
}

// compileZones checks that the zones exist, and that each query class keeps one of those that it
// may use.
func (c *compiler) compileZones(r *compiledRule, states []state) {
	if r.Zones == nil {
		return
	}
	r.zones = []router.Zone{}
	for _, name := range r.Zones {
		if !slices.Contains(c.facts.Zones, name) {
			c.addProblem(fieldNameZones, "%q is not a zone", name)
		}
		r.zones = append(r.zones, router.Zone(name))
	}
	for _, s := range states {
		if len(intersect(s.zones, r.zones)) == 0 {
			c.addProblem(fieldNameZones, "profile %s may not go there", c.facts.ClassNames[s.original])
			break
		}
	}
}

// kindNames returns the names of machine kinds, sorted; nil stands for all kinds.
func (c *compiler) kindNames(kinds []router.KindID) string {
	var names []string
	for name, kind := range c.facts.Kinds {
		if kinds == nil || slices.Contains(kinds, kind) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// compileClass checks that queries may change to another class, which must not allow more than
// their own.
func (c *compiler) compileClass(r *compiledRule, states []state) {
	if r.Class == "" {
		return
	}
	id := slices.Index(c.facts.ClassNames, r.Class)
	if id < 0 {
		c.addProblem(fieldNameClass, "%q is not a profile", r.Class)
		return
	}
	r.class = router.ClassID(id)
	for _, s := range states {
		if why := whyWider(c.facts.Classes[s.original], s, c.facts.Classes[id]); why != "" {
			c.addProblem(fieldNameClass, "a query of profile %s can't count as %s: %s",
				c.facts.ClassNames[s.original], r.Class, why)
			return
		}
	}
}
