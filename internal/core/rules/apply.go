package rules

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"mintkeel/match"
	"mintkeel/router"
)

// Scratch is what one goroutine needs to apply rules without allocating for each.
type Scratch struct {
	match  match.Scratch
	values [fields]match.Value
	labels []match.Label
	tries  []int32
	marks  []uint32
	mark   uint32
	Trace  func(rule int, matched bool) // is told of each rule that is tried; nil: nobody asks
}

// Tried is one rule that was tried on a command, and why it matched or did not.
type Tried struct {
	Rule    int
	Name    string
	Matched bool
	Steps   []match.Step // of its condition; none: it has none
}

// Explain applies the rules as Apply does, and tells of each that was tried.
func (s *Set) Explain(c *Command) (v Verdict, tried []Tried) {
	var scratch Scratch
	scratch.Trace = func(i int, matched bool) {
		t := Tried{Rule: i, Name: s.rules[i].Name, Matched: matched}
		if when := s.rules[i].when; when != nil {
			t.Steps = when.Explain(match.Row{Values: scratch.values[:], Labels: scratch.labels})
		}
		tried = append(tried, t)
	}
	return s.Apply(c, &scratch), tried
}

// Apply tells what the rules do to a command. It never fails: what could was refused when they were compiled.
func (s *Set) Apply(c *Command, scratch *Scratch) Verdict {
	v := Verdict{Profile: c.Profile, Key: c.Key}
	scratch.labels = append(scratch.labels[:0], c.Labels...)
	if len(scratch.labels) > mostLabels {
		scratch.labels = scratch.labels[:mostLabels]
	}
	s.fill(c, scratch)
	for _, i := range s.index.tries(s, scratch) {
		r := &s.rules[i]
		row := match.Row{Values: scratch.values[:], Labels: scratch.labels}
		matched := r.when == nil || r.when.Bool(row, &scratch.match)
		if scratch.Trace != nil {
			scratch.Trace(int(i), matched)
		}
		if !matched {
			continue
		}
		if r.Refuse != "" {
			v.Refuse = r.Refuse
			return v
		}
		s.effects(r, &v, scratch)
		if r.Last {
			break
		}
	}
	v.Labels = scratch.labels
	return v
}

func (s *Set) fill(c *Command, scratch *Scratch) {
	text := func(i int, x string) { scratch.values[i] = match.Value{Text: x, Has: x != ""} }
	number := func(i int, x float64) { scratch.values[i] = match.Value{Number: x, Has: x != 0} }
	scratch.values[fieldProfile] = match.TextOf(s.facts.Names[c.Profile])
	scratch.values[fieldGroup] = match.NumberOf(float64(c.Tables))
	text(fieldTenant, c.Tenant)
	text(fieldSchema, c.Schema)
	text(fieldTable, c.Table)
	text(fieldKey, string(c.Key))
	number(fieldEstimate, c.Estimate)
	number(fieldMemory, c.NeedMB)
	scratch.values[fieldLeft] = match.NumberOf(c.Left)
	text(fieldFront, c.Front)
	text(fieldApplication, c.Application)
	text(fieldListener, c.Listener)
}

func (s *Set) effects(r *rule, v *Verdict, scratch *Scratch) {
	row := match.Row{Values: scratch.values[:], Labels: scratch.labels}
	v.Hot = v.Hot || r.Hot
	if r.key != nil {
		v.Key = router.OrderingKey(clean(r.key.Text(row, &scratch.match)))
	}
	if r.kinds != nil {
		v.Kinds = narrowed(v.Kinds, r.kinds)
	}
	if r.zones != nil {
		v.Zones = narrowed(v.Zones, r.zones)
	}
	if r.Most > 0 && (v.Most == 0 || r.Most < v.Most) {
		v.Most = r.Most
	}
	for _, l := range r.labels {
		set(scratch, l.name, strings.Clone(l.text.Text(row, &scratch.match)))
		row.Labels = scratch.labels
	}
	if r.target >= 0 {
		v.Profile = r.target
		scratch.values[fieldProfile] = match.TextOf(s.facts.Names[r.target])
	}
}

// narrowed is what is left of a list, of which nil is all; never nil.
func narrowed[T comparable](have, to []T) []T {
	if have == nil {
		return to
	}
	return both(have, to)
}

// clean makes a text fit for a key: a copy of bounded length.
func clean(s string) string { return strings.Clone(s[:min(len(s), mostKey)]) }

// set gives a label; past the number of labels it is dropped.
func set(scratch *Scratch, name, text string) {
	for i := range scratch.labels {
		if scratch.labels[i].Name == name {
			scratch.labels[i].Text = text
			return
		}
	}
	if len(scratch.labels) < mostLabels {
		scratch.labels = append(scratch.labels, match.Label{Name: name, Text: text})
	}
}

// index finds the rules worth trying on a command: those whose condition requires something of a field that the command
// has, and those that require nothing. Only fields that no rule changes are looked at.
type index struct {
	always   []int32
	equal    [fields]map[string][]int32
	numbers  [fields]map[uint64][]int32
	prefixes [fields]*trie
	by       []string // for people: what each rule is filed under
}

// FoundBy tells, for people, on which commands a rule is tried.
func (s *Set) FoundBy(i int) string { return s.index.by[i] }

// most is what the rules tried on one command may take together, and the number of one of the dearest.
func (x *index) most(rules []rule) (steps, at int) {
	dear := 0
	sum := func(list []int32) (n int) {
		for _, i := range list {
			own := rules[i].steps()
			if n += own; own > dear {
				dear, at = own, int(i)
			}
		}
		return n
	}
	steps = sum(x.always)
	for i := range fields {
		longest := 0
		for _, list := range x.equal[i] {
			longest = max(longest, sum(list))
		}
		for _, list := range x.numbers[i] {
			longest = max(longest, sum(list))
		}
		steps += longest + x.prefixes[i].most(sum)
	}
	return steps, at
}

// most is that of the dearest way down.
func (t *trie) most(sum func([]int32) int) int {
	if t == nil {
		return 0
	}
	below := 0
	for _, next := range t.next {
		below = max(below, next.most(sum))
	}
	return sum(t.rules) + below
}

// steps is what a rule may take, its texts included.
func (r *rule) steps() int {
	n := 4
	for _, e := range []*match.Expr{r.when, r.key} {
		if e != nil {
			n += e.Steps()
		}
	}
	for _, l := range r.labels {
		n += l.text.Steps()
	}
	return n
}

// trie finds the prefixes of a text, byte by byte.
type trie struct {
	rules []int32
	next  map[byte]*trie
}

func (t *trie) add(prefix string, rule int32) {
	for i := range len(prefix) {
		if t.next == nil {
			t.next = map[byte]*trie{}
		}
		if t.next[prefix[i]] == nil {
			t.next[prefix[i]] = &trie{}
		}
		t = t.next[prefix[i]]
	}
	t.rules = append(t.rules, rule)
}

// mostValues of a list are filed one by one; a rule with more is tried always.
const mostValues = 64

// newIndex files each rule under the requirement that lets through least, as far as can be told: an equality before a
// list, a list before a prefix.
func newIndex(rules []rule) (x index) {
	changes := slices.ContainsFunc(rules, func(r rule) bool { return r.target >= 0 })
	for i := range rules {
		best, weight := match.Requirement{}, math.MaxInt
		if when := rules[i].when; when != nil {
			for _, q := range when.Requires() {
				w := len(q.Equal)
				if q.Equal == nil {
					w = mostValues + 100/len(q.Prefix)
				}
				if q.Field == "profile" { // there are few
					w += 8
				}
				if usable := (q.Field != "profile" || !changes) && len(q.Equal) <= mostValues; usable && w < weight {
					best, weight = q, w
				}
			}
		}
		x.file(int32(i), best)
		switch {
		case best.Field == "":
			x.by = append(x.by, "always tried")
		case best.Equal == nil:
			x.by = append(x.by, fmt.Sprintf("%s beginning with %q", best.Field, best.Prefix))
		default:
			x.by = append(x.by, fmt.Sprintf("%s, one of %d", best.Field, len(best.Equal)))
		}
	}
	return x
}

func (x *index) file(rule int32, q match.Requirement) {
	at := slices.IndexFunc(Schema.Fields, func(f match.Field) bool { return f.Name == q.Field })
	switch {
	case at < 0:
		x.always = append(x.always, rule)
	case q.Equal == nil:
		if x.prefixes[at] == nil {
			x.prefixes[at] = &trie{}
		}
		x.prefixes[at].add(q.Prefix, rule)
	default:
		for _, v := range q.Equal {
			if Schema.Fields[at].Type == match.Text {
				if x.equal[at] == nil {
					x.equal[at] = map[string][]int32{}
				}
				x.equal[at][v.Text] = append(x.equal[at][v.Text], rule)
			} else {
				if x.numbers[at] == nil {
					x.numbers[at] = map[uint64][]int32{}
				}
				x.numbers[at][bits(v.Number)] = append(x.numbers[at][bits(v.Number)], rule)
			}
		}
	}
}

// bits is a number as a key; both zeros are one.
func bits(x float64) uint64 { return math.Float64bits(x + 0) }

// tries are the rules to be tried, in order, each once.
func (x *index) tries(s *Set, scratch *Scratch) []int32 {
	if len(scratch.marks) < len(s.rules) {
		scratch.marks, scratch.mark = make([]uint32, len(s.rules)), 0
	}
	if scratch.mark++; scratch.mark == 0 { // once round
		clear(scratch.marks)
		scratch.mark = 1
	}
	scratch.tries = append(scratch.tries[:0], x.always...)
	add := func(rules []int32) {
		for _, r := range rules {
			if scratch.marks[r] != scratch.mark {
				scratch.marks[r] = scratch.mark
				scratch.tries = append(scratch.tries, r)
			}
		}
	}
	for i := range fields {
		v := &scratch.values[i]
		text := v.Text[:min(len(v.Text), max(0, Schema.Fields[i].Most))]
		if x.equal[i] != nil {
			add(x.equal[i][text])
		}
		if x.numbers[i] != nil {
			add(x.numbers[i][bits(finite(v.Number))])
		}
		if t := x.prefixes[i]; t != nil {
			add(t.rules)
			for j := 0; j < len(text) && t.next != nil; j++ {
				if t = t.next[text[j]]; t == nil {
					break
				}
				add(t.rules)
			}
		}
	}
	slices.Sort(scratch.tries)
	return scratch.tries
}

// finite is a number as the language compares it.
func finite(x float64) float64 {
	if x != x {
		return 0
	}
	return max(-math.MaxFloat64, min(math.MaxFloat64, x))
}

// Key is the key that the rules give a command; the client's where there are none, or they give none.
func (s *Set) Key(c *Command, scratch *Scratch) router.OrderingKey {
	if !s.GivesKeys() {
		return c.Key
	}
	return s.Apply(c, scratch).Key
}

// GivesKeys tells whether some rule gives a key; a nil set has none.
func (s *Set) GivesKeys() bool {
	return s != nil && slices.ContainsFunc(s.rules, func(r rule) bool { return r.key != nil })
}

// Same tells whether two sets, of which either may be nil, do the same to each command: they were written the same.
func (s *Set) Same(o *Set) bool {
	if s == nil || o == nil {
		return s == o
	}
	return slices.EqualFunc(s.rules, o.rules, func(a, b rule) bool { return reflect.DeepEqual(a.Given, b.Given) })
}
