package rules

import (
	"fmt"
	"math"
	"slices"

	"mintkeel/match"
)

const (
	// maxIndexedValues is the maximum length of a list of values that is indexed. A rule that requires
	// nothing but longer lists is always tried.
	maxIndexedValues = 64
	// prefixWeight, divided by the length of a prefix, is added to the weight of the longest list, so
	// that prefixes rank after lists, and short prefixes after longer ones.
	prefixWeight = 100
	// classWeight is added for the class, as it has few values, each of which many queries have.
	classWeight = 8
)

// index finds the rules that must be tried on a query: those whose indexed requirement the query
// meets, and those without one. Only fields that no rule changes are indexed. Rules are numbered
// in their order.
type index struct {
	always       []int32
	equal        [fieldCount]map[string][]int32 // by texts
	numbers      [fieldCount]map[uint64][]int32 // by numberKey
	prefixes     [fieldCount]*trie
	descriptions []string // by rule, for Set.IndexedBy
}

// newIndex indexes each rule by the requirement that probably the fewest queries meet: an equality
// rather than a list, a list rather than a prefix.
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

// bestRequirement returns the requirement of a condition by which newIndex indexes its rule, or
// the zero value if there is none.
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

// describe describes a requirement for operators.
func describe(q match.Requirement) string {
	switch {
	case q.Field == "":
		return "always tried"
	case q.Equal == nil:
		return fmt.Sprintf("%s beginning with %q", q.Field, q.Prefix)
	}
	return fmt.Sprintf("%s, one of %d", q.Field, len(q.Equal))
}

// add indexes a rule by a requirement.
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

// numberKey returns the map key of a number. Both zeros have the same key.
func numberKey(x float64) uint64 { return math.Float64bits(x + 0) }

// finite returns a number as package match compares it: NaN becomes 0, and an infinity the largest
// finite number.
func finite(x float64) float64 {
	if x != x {
		return 0
	}
	return max(-math.MaxFloat64, min(math.MaxFloat64, x))
}

// candidates returns the rules to be tried on the query in the scratch, in order, each once.
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

// beginSearch starts a search, within which addCandidates adds each rule only once.
func (s *Scratch) beginSearch(ruleCount int) {
	if len(s.seenIn) < ruleCount {
		s.seenIn = make([]uint32, ruleCount)
		s.search = 0
	}
	s.search++
	if s.search == 0 { // the counter has wrapped around
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

// maxSteps returns the maximum total cost of the rules tried on one query, and the number of the
// most expensive rule.
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

// trie finds the rules whose prefixes a text starts with, byte by byte.
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

// maxSteps returns the maximum cost of the rules on one path down from this node.
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
