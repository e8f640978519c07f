package rules

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"

	"mintkeel/match"
	"mintkeel/router"
)

// facts has four classes: report may only use machine kind c16, load keeps order, lookup is unrestricted, and once
// is like report, but must not run twice and only in zone east.
var facts = Facts{
	ClassNames: []string{"lookup", "report", "load", "once"},
	Classes: []router.QueryClass{{}, {Kinds: []router.KindID{1}}, {Ordered: true, Effect: router.Deduplicated,
		DeduplicationWindow: 1000},
		{Kinds: []router.KindID{1}, Effect: router.NonIdempotent, Zones: []router.Zone{"east"}}},
	Kinds: map[string]router.KindID{"std": 0, "c16": 1},
	Zones: []string{"east", "west"},
}

func compile(t *testing.T, given ...Rule) *Set {
	t.Helper()
	set, problems := Compile(given, facts, match.DefaultBounds())
	if problems != nil {
		t.Fatal(problems)
	}
	return set
}

// Compile must reject rules that could widen what the settings allow, break the order of queries, or let a query
// run twice that must not, in whatever way the rules bring that about.
func TestCompileProblems(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []Rule
		field string // of the last rule; empty: no problem
		why   string
	}{
		{"nothing", nil, "", ""},
		{"hot", []Rule{{Name: "a", When: `table_name startswith "menu_"`, Hot: true}}, "", ""},
		{"no name", []Rule{{}}, "name", "1 to"},
		{"a name twice", []Rule{{Name: "a"}, {Name: "a"}}, "name", "rule 0 too"},
		{"no condition", []Rule{{Name: "a", When: "profile = 1"}}, "when", "unexpected character"},
		{"a report elsewhere",
			[]Rule{{Name: "a", When: `profile == "report"`, Kinds: []string{"std"}}}, "kinds", "may not go there: it may use c16"},
		{"a report elsewhere, unsaid", []Rule{{Name: "a", Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"a report elsewhere, by a condition that may hold",
			[]Rule{{Name: "a", When: `tenant == "x" || profile == "lookup"`,
				Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"lookups elsewhere",
			[]Rule{{Name: "a", When: `profile == "lookup" && tenant == "x"`, Kinds: []string{"std"}}}, "", ""},
		{"a report where it belongs", []Rule{{Name: "a", Kinds: []string{"c16"}}}, "", ""},
		{"a report taken for a lookup",
			[]Rule{{Name: "a", When: `profile == "report"`, Class: "lookup"}}, "profile", "other machine kinds"},
		{"anything taken for a lookup", []Rule{{Name: "a", Class: "lookup"}}, "profile", "other machine kinds"},
		{"a lookup taken for a report", []Rule{{Name: "a", When: `profile == "lookup"`, Class: "report"}}, "", ""},
		{"a report in two steps", []Rule{{Name: "a", When: `profile == "lookup"`, Class: "report"},
			{Name: "b", When: `profile == "report"`, Kinds: []string{"std"}}}, "kinds", "may not go there"},
		{"narrowed twice to nothing", []Rule{{Name: "a", When: `profile == "lookup"`, Kinds: []string{"std"}},
			{Name: "b", When: `profile == "lookup"`, Kinds: []string{"c16"}}}, "kinds", "may not go there"},
		{"narrowed, then taken for what can't go there",
			[]Rule{{Name: "a", When: `profile == "lookup"`, Kinds: []string{"std"}},
				{Name: "b", When: `profile == "lookup"`, Class: "report"}}, "profile", "kind or zone is left"},
		{"by a label", []Rule{{Name: "a", When: `profile == "report"`, Labels: map[string]string{"go": `"std"`}},
			{Name: "b", When: `label("go") == "std"`, Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"by a condition that is always true",
			[]Rule{{Name: "a", When: `true || profile == "lookup"`, Kinds: []string{"std"}}},
			"kinds", "profile report"},
		{"what may run once taken for what may run again",
			[]Rule{{Name: "a", When: `profile == "once"`, Class: "report"}},
			"profile", "run twice"},
		{"what runs again taken for what runs once",
			[]Rule{{Name: "a", When: `profile == "report"`, Class: "once"}}, "", ""},
		{"without a mark taken for what needs one",
			[]Rule{{Name: "a", When: `profile == "lookup"`, Class: "load"}}, "profile", "twice"},
		{"in order taken for what is not",
			[]Rule{{Name: "a", When: `profile == "load"`, Class: "once"}}, "profile", "not keep its order"},
		{"a profile that nobody has any more",
			[]Rule{{Name: "a", When: `profile == "none"`}}, "when", "no query"},
		{"no profile", []Rule{{Name: "a", When: `profile == "lookup"`, Class: "none"}}, "profile", "not a profile"},
		{"no kind", []Rule{{Name: "a", Kinds: []string{"c17"}}}, "kinds", "not a machine kind"},
		{"no kinds at all", []Rule{{Name: "a", Kinds: []string{}}}, "kinds", "may not go there"},
		{"no zone", []Rule{{Name: "a", Zones: []string{"north"}}}, "zones", "not a zone"},
		{"another zone",
			[]Rule{{Name: "a", When: `profile == "once"`, Zones: []string{"west"}}}, "zones", "may not go there"},
		{"a key by store",
			[]Rule{{Name: "a", When: `profile == "load"`, Key: `"store/" + label("store")`}}, "", ""},
		{"a key that may be empty",
			[]Rule{{Name: "a", When: `profile == "load"`, Key: `label("store")`}}, "key", "may be empty"},
		{"a key that may be empty at times",
			[]Rule{{Name: "a", Key: `has(tenant) ? "x" : ""`}}, "key", "may be empty"},
		{"a key that a retry changes",
			[]Rule{{Name: "a", Key: `"a" + (left > 1s ? "x" : "y")`}}, "key", "may differ in a client's retry"},
		{"a key by a label that a retry changes",
			[]Rule{{Name: "l", Labels: map[string]string{"x": `left > 1s ? "a" : "b"`}},
				{Name: "a", Key: `"k" + label("x")`}}, "key", "label x"},
		{"a key by a label that is given by what a retry changes", []Rule{{Name: "l", When: `estimate > 1s`,
			Labels: map[string]string{"x": `"a"`}}, {Name: "a", Key: `"k" + label("x")`}}, "key", "label x"},
		{"a key by a label of such a label", []Rule{{Name: "l", Labels: map[string]string{"x": `front`}},
			{Name: "m", Labels: map[string]string{"y": `label("x")`}}, {Name: "a", When: `has(label("y"))`, Key: `"k"`}}, "key", "label y"},
		{"a key at times", []Rule{{Name: "a", When: `estimate > 1s`, Key: `"k"`}}, "key", "depends on estimate"},
		{"a key by a profile that a retry changes",
			[]Rule{{Name: "p", When: `profile == "lookup" && left > 1s`, Class: "report"},
				{Name: "a", When: `profile != "report"`, Key: `"k"`}}, "key", "depends on profile"},
		{"a key that a retry may not come to",
			[]Rule{{Name: "l", When: `left > 1s`, Last: true}, {Name: "a", Key: `"k"`}}, "key", "an earlier rule ends the rules by"},
		{"a key beside such things", []Rule{{Name: "l", When: `left > 1s`, Labels: map[string]string{"x": `"a"`}},
			{Name: "a", Key: `"k" + label("y")`}}, "", ""},
		{"a key for what keeps no order",
			[]Rule{{Name: "a", When: `profile in ["lookup", "report"]`, Key: `"x"`}}, "key", "no profile keeps order"},
		{"a key that is no text", []Rule{{Name: "a", Key: `1`}}, "key", "number"},
		{"a rejection of two lines", []Rule{{Name: "a", Rejection: "no\nmore"}}, "refuse", "not a single line"},
		{"a label that is no text",
			[]Rule{{Name: "a", Labels: map[string]string{"team": "1"}}}, "labels.team", "number"},
		{"an estimate below zero", []Rule{{Name: "a", EstimateCap: -1}}, "most_estimate", "is negative"},
		{"too dear",
			[]Rule{{Name: "a", When: strings.Repeat(`table_name like "*a*b*c*d*e*f*g*" || `, 9) + "true"}}, "when", "steps"},
	} {
		set, problems := Compile(c.rules, facts, match.DefaultBounds())
		if c.field == "" {
			if problems != nil || set.Len() != len(c.rules) {
				t.Errorf("%s: problems %v, want none", c.name, problems)
			}
			continue
		}
		last := len(c.rules) - 1
		if set != nil || !slices.ContainsFunc(problems, func(p Problem) bool {
			return p.Rule == last && p.Field == c.field && strings.Contains(p.Reason, c.why)
		}) {
			t.Errorf("%s: problems %v, want one of the last rule", c.name, problems)
		}
	}
	several := []Rule{{Name: "a", When: "x"}, {Name: "b", Key: "1", Kinds: []string{"x"}}}
	if _, problems := Compile(several, facts, match.DefaultBounds()); len(problems) < 3 {
		t.Errorf("problems %v, want those of both rules", problems)
	}
	many := func(when string) (rules []Rule) {
		for i := range 400 {
			rules = append(rules, Rule{Name: fmt.Sprint("r", i), When: fmt.Sprintf(when, i)})
		}
		return rules
	}
	if _, problems := Compile(many(`application like "*a*b%d"`), facts, match.DefaultBounds()); len(problems) != 1 ||
		!strings.Contains(problems[0].Reason, "together") {
		t.Errorf("rules that are too expensive together: problems %v, want one", problems)
	}
	prefixed := many(`tenant startswith "t" && application like "*a*b%d"`)
	if _, problems := Compile(prefixed, facts, match.DefaultBounds()); problems == nil {
		t.Error("rules with the same prefix that are too expensive together are accepted")
	}
	equal := many(`tenant == "t%[1]d" && application like "*a*b%[1]d"`)
	if _, problems := Compile(equal, facts, match.DefaultBounds()); problems != nil {
		t.Errorf("rules for different tenants, which are never tried together: problems %v, want none", problems)
	}
	long := facts
	long.ClassNames = []string{"lookup", strings.Repeat("r", 70), "load", "once"}
	if _, problems := Compile([]Rule{{Name: "a"}}, long, match.DefaultBounds()); problems == nil {
		t.Error("a profile whose name would be truncated is accepted")
	}
	manyZones := facts
	manyZones.Zones = nil
	var narrowing []Rule
	for i := range 12 { // each rule may match or not, so Compile must follow all subsets
		manyZones.Zones = append(manyZones.Zones, fmt.Sprint("z", i))
	}
	manyZones.Classes = []router.QueryClass{{}, {}, {}, {}}
	for i := range 12 {
		narrowing = append(narrowing, Rule{Name: fmt.Sprint("n", i), When: `tenant == "x"`,
			Zones: slices.Delete(slices.Clone(manyZones.Zones), i, i+1)})
	}
	if _, problems := Compile(narrowing, manyZones, match.DefaultBounds()); !slices.ContainsFunc(problems, func(p Problem) bool {
		return strings.Contains(p.Reason, "in more than")
	}) {
		t.Errorf("more than maxStates states: problems %v, want one that says so", problems)
	}
	if _, problems := Compile(make([]Rule, maxRules+1), facts, match.DefaultBounds()); problems == nil {
		t.Error("more than maxRules rules are accepted")
	}
}

// Rules take effect in their order, and later ones see the effects of earlier ones.
func TestRulesApplyInOrder(t *testing.T) {
	set := compile(t,
		Rule{Name: "team", When: `tenant == "acme"`, Labels: map[string]string{"team": `"partner/" + tenant`}},
		Rule{Name: "hot", When: `table_name startswith "menu_" && label("team") startswith "partner"`, Hot: true},
		Rule{Name: "stores", When: `profile == "load"`, Key: `"s/" + part(label("store"), "-", 0)`},
		Rule{Name: "here", When: `profile == "lookup" && label("team") == ""`, Kinds: []string{"std", "c16"},
			Zones: []string{"east"}},
		Rule{Name: "less", When: `profile == "lookup"`, Kinds: []string{"c16"}, EstimateCap: 500},
		Rule{Name: "heavy", When: `profile == "lookup" && estimate > 100ms`, Class: "report", Last: true},
		Rule{Name: "no", When: `profile == "report" && tenant == "evil"`, Rejection: "ask for less"},
	)
	var s Scratch
	for _, c := range []struct {
		name  string
		query Query
		want  Verdict
	}{
		{"none fits", Query{Class: 1, OrderingKey: "k"}, Verdict{Class: 1, OrderingKey: "k"}},
		{"a label from one rule to the next", Query{Class: 1, Tenant: "acme", Table: "menu_3"},
			Verdict{Class: 1, Hot: true, Labels: []match.Label{{Name: "team", Value: "partner/acme"}}}},
		{"a key", Query{Class: 2, OrderingKey: "k", Labels: []match.Label{{Name: "store", Value: "12-east"}}},
			Verdict{Class: 2, OrderingKey: "s/12", Labels: []match.Label{{Name: "store", Value: "12-east"}}}},
		{"a key without its label", Query{Class: 2, OrderingKey: "k"}, Verdict{Class: 2, OrderingKey: "s/"}},
		{"narrowed twice, its estimate cut, and taken for a report",
			Query{EstimatedWork: 900}, Verdict{Class: 1, EstimateCap: 500,
				Kinds: []router.KindID{1}, Zones: []router.Zone{"east"}}},
		{"the last one ends it", Query{EstimatedWork: 900, Tenant: "evil"}, Verdict{Class: 1, EstimateCap: 500,
			Kinds: []router.KindID{1}, Zones: []router.Zone{"east"}}},
		{"rejected", Query{Class: 1, Tenant: "evil"}, Verdict{Class: 1, Rejection: "ask for less"}},
	} {
		got := set.Apply(&c.query, &s)
		if len(got.Labels) == 0 {
			got.Labels = nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: verdict %+v, want %+v", c.name, got, c.want)
		}
	}
}

// randomRules returns rules over few values, so that many of them match, with all kinds of requirements that the
// index distinguishes.
func randomRules(rng *rand.Rand, n int) []Rule {
	text := func() string { return fmt.Sprintf("%q", []string{"a", "b", "ab", "abc", "", "menu_1"}[rng.Intn(6)]) }
	conjunct := func() string {
		switch rng.Intn(9) {
		case 0:
			return "tenant == " + text()
		case 1:
			return text() + " == table_name"
		case 2:
			return "tenant in [" + text() + ", " + text() + "]"
		case 3:
			return `table_name startswith "` + []string{"a", "ab", "menu_"}[rng.Intn(3)] + `"`
		case 4:
			return fmt.Sprintf("table_group == %d", rng.Intn(4))
		case 5:
			return fmt.Sprintf("table_group in [0, -%d]", rng.Intn(4))
		case 6:
			return fmt.Sprintf("profile == %q", facts.ClassNames[rng.Intn(4)])
		case 7:
			return fmt.Sprintf("(estimate > %dms || tenant == %s)", rng.Intn(4), text())
		}
		return `label("l") == ` + text()
	}
	var rules []Rule
	for i := range n {
		rule := Rule{Name: fmt.Sprint("r", i), When: conjunct()}
		for range rng.Intn(3) {
			rule.When += " && " + conjunct()
		}
		switch rng.Intn(8) {
		case 0:
			rule.When = ""
			rule.Hot = true
		case 1:
			rule.Labels = map[string]string{"l": "tenant + " + text()}
		case 2:
			rule.Key = `"k" + tenant`
		case 3:
			rule.Kinds = []string{"c16"}
		case 4:
			rule.When, rule.Class = `profile == "lookup" && `+rule.When, "report"
		case 5:
			rule.Last = rng.Intn(3) == 0
		case 6:
			rule.EstimateCap = 2
		}
		rules = append(rules, rule)
	}
	return rules
}

// With the index the verdicts must be the same as when each rule is tried in order. And no set of rules that
// Compile accepts may widen what the settings allow.
func TestIndexFindsAllRules(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	compiled, matched := 0, 0
	for range 600 {
		var rules []Rule
		for _, rule := range randomRules(rng, rng.Intn(30)) { // those that Compile rejects are left out
			if _, problems := Compile(append(slices.Clone(rules), rule), facts, match.DefaultBounds()); problems == nil {
				rules = append(rules, rule)
			}
		}
		set := compile(t, rules...)
		plain := compile(t, rules...)
		plain.index = index{}
		for i := range rules {
			plain.index.always = append(plain.index.always, int32(i))
		}
		compiled += len(rules)
		var s, p Scratch
		for range 20 {
			words := []string{"a", "b", "ab", "abc", "", "menu_1"}
			query := Query{Class: router.ClassID(rng.Intn(4)), Tenant: words[rng.Intn(6)], Table: words[rng.Intn(6)],
				Tables: router.TableGroup(rng.Intn(6) - 2), EstimatedWork: float64(rng.Intn(5)), OrderingKey: "own"}
			tried := 0
			p.Trace = func(_ int, m bool) {
				if tried++; m {
					matched++
				}
			}
			got, want := set.Apply(&query, &s), plain.Apply(&query, &p)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("rules %+v\nquery %+v\nverdict with the index %+v, without %+v", rules, query, got, want)
			}
			from, to := facts.Classes[query.Class], facts.Classes[got.Class]
			kinds := intersect(intersect(to.Kinds, got.Kinds), nil)
			if from.Kinds != nil && !isSubset(kinds, from.Kinds) || to.Effect < from.Effect || from.Ordered && !to.Ordered ||
				(from.Kinds != nil || got.Kinds != nil) && len(kinds) == 0 || got.OrderingKey == "" {
				t.Fatalf("rules %+v\nquery %+v\nverdict widens what the class allows: %+v", rules, query, got)
			}
		}
	}
	if compiled < 3000 || matched < 10000 {
		t.Errorf("%d rules compiled, %d matches; want 3000 and 10000 or more", compiled, matched)
	}
}

// Applying rules that give neither keys nor labels allocates nothing.
func TestApplyAllocatesNothing(t *testing.T) {
	set := compile(t, Rule{Name: "a", When: `tenant == "acme"`, Hot: true}, Rule{Name: "b", When: `table_name startswith "m"`,
		Kinds: []string{"c16"}}, Rule{Name: "c", When: `estimate > 5ms`, EstimateCap: 3})
	var s Scratch
	query := Query{Tenant: "acme", Table: "menu_1", EstimatedWork: 10}
	set.Apply(&query, &s)
	if n := testing.AllocsPerRun(100, func() { set.Apply(&query, &s) }); n > 0 {
		t.Errorf("%g allocations, want none", n)
	}
}

// BenchmarkApply measures rules on the same few fields, with the index and without it.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 10000} {
		var rules []Rule
		for i := range n {
			when := fmt.Sprintf(`tenant == "t%d" && estimate > 5ms`, i)
			if i%3 == 1 {
				when = fmt.Sprintf(`table_name startswith "mart_%d_"`, i)
			}
			rules = append(rules, Rule{Name: fmt.Sprint("r", i), When: when, Hot: true})
		}
		set, problems := Compile(rules, facts, match.DefaultBounds())
		if problems != nil {
			b.Fatal(problems)
		}
		query := Query{Tenant: fmt.Sprint("t", n/2), Table: "mart_1_x", EstimatedWork: 10}
		b.Run(fmt.Sprint("index/", n), func(b *testing.B) {
			var s Scratch
			b.ReportAllocs()
			for b.Loop() {
				set.Apply(&query, &s)
			}
		})
		plain := *set
		plain.index = index{}
		for i := range n {
			plain.index.always = append(plain.index.always, int32(i))
		}
		b.Run(fmt.Sprint("each/", n), func(b *testing.B) {
			var s Scratch
			for b.Loop() {
				plain.Apply(&query, &s)
			}
		})
	}
}
