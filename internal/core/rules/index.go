package rules

import (
	"fmt"
	"math"
	"slices"

	"mintkeel/match"
)

const (
	// maxIndexedValues is the longest list of values that is indexed; a rule with a longer one is
	// always tried.
	maxIndexedValues = 64
	// prefixWeight, over the length of a prefix, is added to the weight of the longest list: so
	// prefixes come after lists, and short prefixes after longer ones.
	prefixWeight = 100
	// classWeight is added for the class, as it has few values and each lets many queries through.
	classWeight = 8
)

// index finds the rules worth trying on a query: those that require a value of a field which the
// query has, and those that require none. It looks only at fields that no rule changes. Rules are
// numbered in their order.
type index struct {
	always       []int32
	equal        [fieldCount]map[string][]int32 // by texts
	numbers      [fieldCount]map[uint64][]int32 // by numberKey
	prefixes     [fieldCount]*trie
	descriptions []string // by rule: see Set.IndexedBy
}

// newIndex puts each rule under the requirement that probably lets through the fewest queries: an
// equality before a list, a list before a prefix.
func newIndex(rules []compiledRule) (x index) {
	classChanges := slices.ContainsFunc(rules, func(r compiledRule) bool {
		return r.class != unchanged
	})
	for i := range rules {
		best := bestRequirement(rules[i].when, classChanges)
		x.add(int32(i), best)
		x.descriptions = append(x.descriptions, describe(best))
	}
	return x
}

// bestRequirement is the requirement of a condition that newIndex takes; the zero value: there is
// none.
func bestRequirement(when *match.Expr, classChanges bool) match.Requirement {
	var best match.Requirement
	if when == nil {
		return best
	}
	least := math.MaxInt
	for _, q := range when.Requires() {
		if q.Field == classField && classChanges || len(q.Equal) > maxIndexedValues {
			continue
		}
		weight := len(q.Equal)
		if q.Equal == nil {
			weight = maxIndexedValues + prefixWeight/len(q.Prefix)
		}
		if q.Field == classField {
			weight += classWeight
		}
		if weight < least {
			best = q
			least = weight
		}
	}
	return best
}

// describe says what a rule is found by.
func describe(q match.Requirement) string {
	switch {
	case q.Field == "":
		return "always tried"
	case q.Equal == nil:
		return fmt.Sprintf("%s beginning with %q", q.Field, q.Prefix)
	}
	return fmt.Sprintf("%s, one of %d", q.Field, len(q.Equal))
}

// add puts a rule under a requirement.
func (x *index) add(rule int32, q match.Requirement) {
	field := slices.IndexFunc(Schema.Fields, func(f match.Field) bool { return f.Name == q.Field })
	if field < 0 {
		x.always = append(x.always, rule)
		return
	}
	if q.Equal == nil {
		if x.prefixes[field] == nil {
			x.prefixes[field] = &trie{}
		}
		x.prefixes[field].add(q.Prefix, rule)
		return
	}
	for _, v := range q.Equal {
		if Schema.Fields[field].Type == match.Text {
			addTo(&x.equal[field], v.Text, rule)
		} else {
			addTo(&x.numbers[field], numberKey(v.Number), rule)
		}
	}
}

func addTo[K comparable](lists *map[K][]int32, key K, rule int32) {
	if *lists == nil {
		*lists = map[K][]int32{}
	}
	(*lists)[key] = append((*lists)[key], rule)
}

// numberKey is a number as a key; both zeros are one.
func numberKey(x float64) uint64 { return math.Float64bits(x + 0) }

// finite is a number as the language compares it.
func finite(x float64) float64 {
	if x != x {
		return 0
	}
	return max(-math.MaxFloat64, min(math.MaxFloat64, x))
}

// candidates are the rules to be tried, in order, each once.
func (x *index) candidates(ruleCount int, scratch *Scratch) []int32 {
	scratch.beginSearch(ruleCount)
	scratch.candidates = append(scratch.candidates[:0], x.always...)
	for i := range fieldCount {
		v := &scratch.values[i]
		text := v.Text[:min(len(v.Text), max(0, Schema.Fields[i].MaxBytes))]
		if x.equal[i] != nil {
			scratch.addCandidates(x.equal[i][text])
		}
		if x.numbers[i] != nil {
			scratch.addCandidates(x.numbers[i][numberKey(finite(v.Number))])
		}
		for t, at := x.prefixes[i], 0; t != nil; at++ {
			scratch.addCandidates(t.rules)
			if at == len(text) {
				break
			}
			t = t.next[text[at]]
		}
	}
	slices.Sort(scratch.candidates)
	return scratch.candidates
}

// beginSearch has addCandidates add each rule once.
func (s *Scratch) beginSearch(ruleCount int) {
	if len(s.seenIn) < ruleCount {
		s.seenIn = make([]uint32, ruleCount)
		s.search = 0
	}
	s.search++
	if s.search == 0 { // it has wrapped around
		clear(s.seenIn)
		s.search = 1
	}
}

func (s *Scratch) addCandidates(rules []int32) {
	for _, r := range rules {
		if s.seenIn[r] != s.search {
			s.seenIn[r] = s.search
			s.candidates = append(s.candidates, r)
		}
	}
}

// maxSteps is what the rules tried on one query may cost together at most, and the number of a rule
// that costs most alone.
func (x *index) maxSteps(rules []compiledRule) (steps, costliest int) {
	most := 0
	sum := func(list []int32) (n int) {
		for _, i := range list {
			own := rules[i].steps()
			n += own
			if own > most {
				most = own
				costliest = int(i)
			}
		}
		return n
	}
	steps = sum(x.always)
	for i := range fieldCount {
		longest := 0
		for _, list := range x.equal[i] {
			longest = max(longest, sum(list))
		}
		for _, list := range x.numbers[i] {
			longest = max(longest, sum(list))
		}
		steps += longest + x.prefixes[i].maxSteps(sum)
	}
	return steps, costliest
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

// maxSteps is the most that the rules on one path from here down cost.
func (t *trie) maxSteps(sum func([]int32) int) int {
	if t == nil {
		return 0
	}
	below := 0
	for _, next := range t.next {
		below = max(below, next.maxSteps(sum))
	}
	return sum(t.rules) + below
}
