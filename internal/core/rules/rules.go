// Package rules decides what an operator's rules do to a command before the loop takes it: named rules, in order, each
// with a condition and effects. It is free of I/O and clocks. A rule may only narrow what the settings allow, and that
// is shown when the rules are compiled, for every command that there can be and whatever rules come before.
package rules

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// Given is one rule as it was written; empty effects are none.
type Given struct {
	Name    string
	When    string            // a condition; empty: always
	Hot     bool              // its table group is owned by more engines from the start
	Key     string            // a text: the order key
	Kinds   []string          // kinds of engine to which the command is narrowed
	Zones   []string          // zones, the same
	Profile string            // the profile that it is taken for from here on
	Labels  map[string]string // texts by label, seen by later rules
	Most    float64           // ms: an estimate past it counts as this; 0: none
	Refuse  string            // the client is told this, and the command goes no further
	Last    bool              // no later rule is tried
}

// Problem is what is wrong with a rule. Place is where in the expression of the field, if it is one.
type Problem struct {
	Rule  int // its number, from 0
	Field string
	Why   string
	Place *match.Error // nil: not within an expression
}

func (p Problem) Error() string { return fmt.Sprintf("rule %d, field %s: %s", p.Rule, p.Field, p.Why) }

// Facts are what the settings say.
type Facts struct {
	Names    []string // of profiles, by id
	Profiles []router.QueryClass
	Kinds    map[string]router.KindID
	Zones    []string
}

// Bounds are those of a set.
const (
	mostRules  = 10000
	mostName   = 64
	mostText   = 200 // bytes of a refusal's text and of a label's value
	mostLabels = 16
	mostKey    = 128   // bytes of a key
	mostSteps  = 10000 // that all rules tried on one command may take together: some 50 microseconds
)

// Schema is the fields that rules may read. Those that a client's retry repeats may make a key.
var Schema = match.Schema{Fields: []match.Field{
	fieldProfile:     {Name: "profile", Type: match.Text, Most: 64},
	fieldTenant:      {Name: "tenant", Type: match.Text, Most: 64},
	fieldGroup:       {Name: "table_group", Type: match.Number},
	fieldSchema:      {Name: "schema", Type: match.Text, Most: 64},
	fieldTable:       {Name: "table_name", Type: match.Text, Most: 64},
	fieldKey:         {Name: "client_key", Type: match.Text, Most: 128},
	fieldEstimate:    {Name: "estimate", Type: match.Duration},
	fieldMemory:      {Name: "memory_mb", Type: match.Number},
	fieldLeft:        {Name: "left", Type: match.Duration},
	fieldFront:       {Name: "front", Type: match.Text, Most: 16},
	fieldApplication: {Name: "application", Type: match.Text, Most: 64},
	fieldListener:    {Name: "listener", Type: match.Text, Most: 64},
}, Labels: mostLabels, Label: mostText}

// The places of the fields in a row.
const (
	fieldProfile = iota
	fieldTenant
	fieldGroup
	fieldSchema
	fieldTable
	fieldKey
	fieldEstimate
	fieldMemory
	fieldLeft
	fieldFront
	fieldApplication
	fieldListener
	fields
)

// changing are the fields that a client's retry need not repeat.
var changing = []string{"estimate", "memory_mb", "left", "front", "application", "listener"}

// Command is what rules know of a command.
type Command struct {
	Profile                      router.ClassID
	Tenant, Schema, Table        string
	Tables                       router.TableGroup
	Key                          router.OrderingKey
	Estimate, NeedMB, Left       float64
	Front, Application, Listener string
	Labels                       []match.Label
}

// Verdict is what the rules come to.
type Verdict struct {
	Refuse  string // not empty: the command is turned away with this
	Profile router.ClassID
	Key     router.OrderingKey
	Hot     bool
	Kinds   []router.KindID // nil: not narrowed
	Zones   []router.Zone   // nil: not narrowed
	Most    float64         // past which the estimate counts as this; 0: it does not
	Labels  []match.Label   // good until the scratch is used again
}

// rule is one compiled.
type rule struct {
	Given
	when   *match.Expr // nil: always
	key    *match.Expr
	labels []labelled
	kinds  []router.KindID
	zones  []router.Zone
	target router.ClassID // -1: it stays
}

type labelled struct {
	name string
	text *match.Expr
}

// Set is rules that were compiled together. It never changes, and may be used by several goroutines at once.
type Set struct {
	facts Facts
	rules []rule
	index index
	most  int // steps that one command may take
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

// compiler gathers all problems of a set.
type compiler struct {
	facts    Facts
	bounds   match.Bounds
	problems []Problem
	at       int
	fickle   fickle
}

// fickle is what may differ between two tries of one command, ahead of a rule: labels, the profile, whether the rule is
// come to at all. A key must rest on none of it.
type fickle struct {
	labels        map[string]bool
	profile, flow bool
}

// reads tells, in words, what of an expression may differ between two tries; empty if nothing does.
func (f *fickle) reads(e *match.Expr) string {
	if e == nil {
		return ""
	}
	for _, name := range e.Names() {
		if slices.Contains(changing, name) || name == "profile" && f.profile {
			return name
		}
	}
	for _, name := range e.Labels() {
		if f.labels[name] {
			return "label " + name
		}
	}
	return ""
}

// after takes in what a rule may change from one try to the next.
func (f *fickle) after(r *rule) {
	by := f.flow || f.reads(r.when) != ""
	for _, l := range r.labels {
		if by || f.reads(l.text) != "" {
			f.labels[l.name] = true
		}
	}
	f.profile = f.profile || by && r.target >= 0
	f.flow = f.flow || by && r.Last
}

func (c *compiler) note(field, why string, args ...any) {
	c.problems = append(c.problems, Problem{Rule: c.at, Field: field, Why: fmt.Sprintf(why, args...)})
}

func (c *compiler) expr(field, source string, typ match.Type) *match.Expr {
	e, err := match.Compile(source, typ, &Schema, c.bounds)
	if err != nil {
		why := err.Error()
		var place *match.Error
		if errors.As(err, &place) {
			why = place.Why
		}
		c.problems = append(c.problems, Problem{Rule: c.at, Field: field, Why: why, Place: place})
		return nil
	}
	return e
}

// Compile compiles rules, or tells all that is wrong with them.
func Compile(given []Given, facts Facts, b match.Bounds) (*Set, []Problem) {
	c := &compiler{facts: facts, bounds: b, fickle: fickle{labels: map[string]bool{}}}
	if len(given) > mostRules {
		c.note("rule", "there are over %d rules", mostRules)
		return nil, c.problems
	}
	for _, name := range facts.Names { // as long as that, one could pass for another
		if len(name) > Schema.Fields[fieldProfile].Most {
			c.note("rule", "profile %.80q has too long a name for rules", name)
		}
	}
	set, seen := &Set{facts: facts}, map[string]int{}
	may := newReach(facts)
	for i, g := range given {
		c.at = i
		if first, twice := seen[g.Name]; twice {
			c.note("name", "%q is the name of rule %d too", g.Name, first)
		}
		if seen[g.Name] = i; g.Name == "" || len(g.Name) > mostName {
			c.note("name", "has not 1 to %d bytes", mostName)
		}
		set.rules = append(set.rules, c.rule(g, may))
	}
	if c.problems != nil {
		return nil, c.problems
	}
	set.index = newIndex(set.rules)
	var at int
	if set.most, at = set.index.most(set.rules); set.most > mostSteps {
		c.at = at
		c.note("when", "rules tried on one command may take %d steps together, of %d allowed; this one is among the dearest. "+
			"Rules that require a field to equal or begin with a text are tried only where it does", set.most, mostSteps)
		return nil, c.problems
	}
	return set, nil
}

func (c *compiler) rule(g Given, may *reach) rule {
	r := rule{Given: g, target: -1}
	if g.When != "" {
		r.when = c.expr("when", g.When, match.Bool)
	}
	sources := may.sources(r.when)
	if len(sources) == 0 {
		c.note("when", "no command can have this profile here")
	}
	if g.Refuse != "" && (len(g.Refuse) > mostText || strings.ContainsFunc(g.Refuse, func(x rune) bool { return x < ' ' })) {
		c.note("refuse", "is no line of %d bytes at the most", mostText)
	}
	if g.Most < 0 || math.IsNaN(g.Most) {
		c.note("most_estimate", "is below zero")
	}
	c.labels(&r)
	c.key(&r, sources)
	c.narrow(&r, sources)
	c.profile(&r, sources)
	if !may.narrow(&r, sources) {
		c.note("rule", "rules before it narrow in more than %d ways", mostStates)
	}
	c.fickle.after(&r)
	return r
}

func (c *compiler) labels(r *rule) {
	var names []string
	for name := range r.Labels {
		names = append(names, name)
	}
	slices.Sort(names) // the same problems in the same order
	if len(names) > mostLabels {
		c.note("labels", "there are over %d", mostLabels)
	}
	for _, name := range names {
		if name == "" || len(name) > mostName {
			c.note("labels", "a name has not 1 to %d bytes", mostName)
		}
		if e := c.expr("labels."+name, r.Labels[name], match.Text); e != nil {
			r.labels = append(r.labels, labelled{name, e})
		}
	}
}

// key checks that a key is the same for all tries of a command, and never empty.
func (c *compiler) key(r *rule, sources []state) {
	if r.Key == "" {
		return
	}
	if r.key = c.expr("key", r.Key, match.Text); r.key == nil {
		return
	}
	if what := c.fickle.reads(r.key); what != "" {
		c.note("key", "reads %s, which a client's retry need not repeat", what)
	} else if what := c.fickle.reads(r.when); what != "" {
		c.note("key", "depends on %s, which a client's retry need not repeat", what)
	} else if c.fickle.flow {
		c.note("key", "an earlier rule is the last by something that a client's retry need not repeat")
	}
	if !r.key.NeverEmpty("profile") {
		c.note("key", "may be empty: put a text beside what may be missing, as in \"store/\" + label(\"store\")")
	}
	if !slices.ContainsFunc(sources, func(s state) bool { return c.facts.Profiles[s.now].Ordered }) {
		c.note("key", "no profile keeps order here")
	}
}

// narrow checks that kinds and zones leave something of what each profile may use.
func (c *compiler) narrow(r *rule, sources []state) {
	if r.Kinds != nil {
		r.kinds = []router.KindID{}
		for _, name := range r.Kinds {
			kind, known := c.facts.Kinds[name]
			if !known {
				c.note("kinds", "%q is no kind of engine", name)
				continue
			}
			r.kinds = append(r.kinds, kind)
		}
		for _, s := range sources {
			if len(both(s.kinds, r.kinds)) == 0 {
				c.note("kinds", "profile %s may not go there: it may use %s", c.facts.Names[s.first], c.kindNames(s.kinds))
				break
			}
		}
	}
	if r.Zones != nil {
		r.zones = []router.Zone{}
		for _, name := range r.Zones {
			if !slices.Contains(c.facts.Zones, name) {
				c.note("zones", "%q is no zone", name)
			}
			r.zones = append(r.zones, router.Zone(name))
		}
		for _, s := range sources {
			if len(both(s.zones, r.zones)) == 0 {
				c.note("zones", "profile %s may not go there", c.facts.Names[s.first])
				break
			}
		}
	}
}

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

// profile checks that a command may be taken for another profile: that one must allow nothing more.
func (c *compiler) profile(r *rule, sources []state) {
	if r.Profile == "" {
		return
	}
	at := slices.Index(c.facts.Names, r.Profile)
	if at < 0 {
		c.note("profile", "%q is no profile", r.Profile)
		return
	}
	r.target = router.ClassID(at)
	for _, s := range sources {
		if why := wider(c.facts.Profiles[s.first], s, c.facts.Profiles[at]); why != "" {
			c.note("profile", "a command of profile %s can't be taken for %s: %s", c.facts.Names[s.first], r.Profile, why)
			return
		}
	}
}

// wider tells in what a profile allows more than another does, or promises less; empty if in nothing.
func wider(from router.QueryClass, s state, to router.QueryClass) string {
	switch {
	case to.Effect < from.Effect || to.Effect == router.Deduplicated && from.Effect != router.Deduplicated:
		return "it could run twice"
	case to.Effect == router.Deduplicated && (to.Scope != from.Scope || to.DeduplicationWindow > from.DeduplicationWindow):
		return "its repeats are dropped by other engines, or for longer"
	case from.Ordered && !to.Ordered:
		return "it keeps no order"
	case from.Kinds != nil && !within(to.Kinds, from.Kinds):
		return "it may go to other kinds of engine"
	case from.Zones != nil && !within(to.Zones, from.Zones):
		return "it may go to other zones"
	case s.kinds != nil && len(both(s.kinds, to.Kinds)) == 0 || s.zones != nil && len(both(s.zones, to.Zones)) == 0:
		return "nothing is left of where it may go"
	}
	return ""
}

// within tells whether a list, of which nil is all, lies within another.
func within[T comparable](list, of []T) bool {
	return list != nil && !slices.ContainsFunc(list, func(x T) bool { return !slices.Contains(of, x) })
}

// both is what two lists share, of which nil is all.
func both[T comparable](a, b []T) []T {
	if a == nil {
		return b
	}
	shared := []T{}
	for _, x := range a {
		if b == nil || slices.Contains(b, x) {
			shared = append(shared, x)
		}
	}
	return shared
}

// shared is both, where nil may be left for all.
func shared[T comparable](a, b []T) []T {
	if b == nil {
		return a
	}
	return both(a, b)
}

// state is what a command may be ahead of a rule: the profile its client gave, the one it is taken for, and what is
// left of kinds and zones at the least.
type state struct {
	first, now router.ClassID
	kinds      []router.KindID
	zones      []router.Zone
}

// reach is all states that commands may be in, whatever the conditions so far came to.
type reach struct {
	facts  Facts
	states []state
	known  map[string]bool
}

func newReach(f Facts) *reach {
	r := &reach{facts: f, known: map[string]bool{}}
	for i, p := range f.Profiles {
		r.add(state{router.ClassID(i), router.ClassID(i), p.Kinds, p.Zones})
	}
	return r
}

// add has a state followed, once.
func (r *reach) add(s state) {
	if key := fmt.Sprintf("%#v", s); !r.known[key] {
		r.known[key] = true
		r.states = append(r.states, s)
	}
}

// sources are the states in which a condition may hold: what it requires of the profile is all that is used of it.
func (r *reach) sources(when *match.Expr) []state {
	sources := slices.Clone(r.states)
	if when == nil {
		return sources
	}
	for _, q := range when.Requires() {
		if q.Field != "profile" {
			continue
		}
		sources = slices.DeleteFunc(sources, func(s state) bool {
			name := r.facts.Names[s.now]
			return q.Equal == nil && !strings.HasPrefix(name, q.Prefix) ||
				q.Equal != nil && !slices.ContainsFunc(q.Equal, func(v match.Value) bool { return v.Text == name })
		})
	}
	return sources
}

// mostStates bounds the states that are followed: past it nothing could be shown, so the rules are refused.
const mostStates = 1000

// narrow adds the states that a rule leads to, and reports whether all can be followed. Those it came from stay, as the
// condition may not hold.
func (r *reach) narrow(by *rule, sources []state) bool {
	if by.kinds == nil && by.zones == nil && by.target < 0 {
		return true
	}
	for _, s := range sources {
		s.kinds, s.zones = shared(s.kinds, by.kinds), shared(s.zones, by.zones)
		if by.target >= 0 {
			s.now = by.target
			to := r.facts.Profiles[by.target]
			s.kinds, s.zones = shared(s.kinds, to.Kinds), shared(s.zones, to.Zones)
		}
		r.add(s)
	}
	return len(r.states) <= mostStates
}
