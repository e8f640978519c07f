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

// facts are three profiles: report may go to c16 alone, load keeps order, lookup is free; once is like report, and runs
// once.
var facts = Facts{
	Names: []string{"lookup", "report", "load", "once"},
	Profiles: []router.QueryClass{{}, {Kinds: []router.KindID{1}}, {Ordered: true, Effect: router.Deduplicated,
		DeduplicationWindow: 1000}, {Kinds: []router.KindID{1}, Effect: router.NonIdempotent, Zones: []router.Zone{"east"}}},
	Kinds: map[string]router.KindID{"std": 0, "c16": 1},
	Zones: []string{"east", "west"},
}

func compile(t *testing.T, given ...Given) *Set {
	t.Helper()
	set, problems := Compile(given, facts, match.Usual())
	if problems != nil {
		t.Fatal(problems)
	}
	return set
}

// What could widen, break order or repeat what may not be is refused, however it comes about.
func TestRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []Given
		field string // of the last rule; empty: it is fine
		why   string
	}{
		{"nothing", nil, "", ""},
		{"hot", []Given{{Name: "a", When: `table_name startswith "menu_"`, Hot: true}}, "", ""},
		{"no name", []Given{{}}, "name", "1 to"},
		{"a name twice", []Given{{Name: "a"}, {Name: "a"}}, "name", "rule 0 too"},
		{"no condition", []Given{{Name: "a", When: "profile = 1"}}, "when", "begins nothing"},
		{"a report elsewhere", []Given{{Name: "a", When: `profile == "report"`, Kinds: []string{"std"}}}, "kinds", "may not go there: it may use c16"},
		{"a report elsewhere, unsaid", []Given{{Name: "a", Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"a report elsewhere, by a condition that may hold", []Given{{Name: "a", When: `tenant == "x" || profile == "lookup"`,
			Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"lookups elsewhere", []Given{{Name: "a", When: `profile == "lookup" && tenant == "x"`, Kinds: []string{"std"}}}, "", ""},
		{"a report where it belongs", []Given{{Name: "a", Kinds: []string{"c16"}}}, "", ""},
		{"a report taken for a lookup", []Given{{Name: "a", When: `profile == "report"`, Profile: "lookup"}}, "profile", "other kinds"},
		{"anything taken for a lookup", []Given{{Name: "a", Profile: "lookup"}}, "profile", "other kinds"},
		{"a lookup taken for a report", []Given{{Name: "a", When: `profile == "lookup"`, Profile: "report"}}, "", ""},
		{"a report in two steps", []Given{{Name: "a", When: `profile == "lookup"`, Profile: "report"},
			{Name: "b", When: `profile == "report"`, Kinds: []string{"std"}}}, "kinds", "may not go there"},
		{"narrowed twice to nothing", []Given{{Name: "a", When: `profile == "lookup"`, Kinds: []string{"std"}},
			{Name: "b", When: `profile == "lookup"`, Kinds: []string{"c16"}}}, "kinds", "may not go there"},
		{"narrowed, then taken for what can't go there", []Given{{Name: "a", When: `profile == "lookup"`, Kinds: []string{"std"}},
			{Name: "b", When: `profile == "lookup"`, Profile: "report"}}, "profile", "nothing is left"},
		{"by a label", []Given{{Name: "a", When: `profile == "report"`, Labels: map[string]string{"go": `"std"`}},
			{Name: "b", When: `label("go") == "std"`, Kinds: []string{"std"}}}, "kinds", "profile report"},
		{"by a condition that is always true", []Given{{Name: "a", When: `true || profile == "lookup"`, Kinds: []string{"std"}}},
			"kinds", "profile report"},
		{"what may run once taken for what may run again", []Given{{Name: "a", When: `profile == "once"`, Profile: "report"}},
			"profile", "run twice"},
		{"what runs again taken for what runs once", []Given{{Name: "a", When: `profile == "report"`, Profile: "once"}}, "", ""},
		{"without a mark taken for what needs one", []Given{{Name: "a", When: `profile == "lookup"`, Profile: "load"}}, "profile", "twice"},
		{"in order taken for what is not", []Given{{Name: "a", When: `profile == "load"`, Profile: "once"}}, "profile", "no order"},
		{"a profile that nobody has any more", []Given{{Name: "a", When: `profile == "none"`}}, "when", "no command"},
		{"no profile", []Given{{Name: "a", When: `profile == "lookup"`, Profile: "none"}}, "profile", "no profile"},
		{"no kind", []Given{{Name: "a", Kinds: []string{"c17"}}}, "kinds", "no kind"},
		{"no kinds at all", []Given{{Name: "a", Kinds: []string{}}}, "kinds", "may not go there"},
		{"no zone", []Given{{Name: "a", Zones: []string{"north"}}}, "zones", "no zone"},
		{"another zone", []Given{{Name: "a", When: `profile == "once"`, Zones: []string{"west"}}}, "zones", "may not go there"},
		{"a key by store", []Given{{Name: "a", When: `profile == "load"`, Key: `"store/" + label("store")`}}, "", ""},
		{"a key that may be empty", []Given{{Name: "a", When: `profile == "load"`, Key: `label("store")`}}, "key", "may be empty"},
		{"a key that may be empty at times", []Given{{Name: "a", Key: `has(tenant) ? "x" : ""`}}, "key", "may be empty"},
		{"a key that a retry changes", []Given{{Name: "a", Key: `"a" + (left > 1s ? "x" : "y")`}}, "key", "need not repeat"},
		{"a key by a label that a retry changes", []Given{{Name: "l", Labels: map[string]string{"x": `left > 1s ? "a" : "b"`}},
			{Name: "a", Key: `"k" + label("x")`}}, "key", "label x"},
		{"a key by a label that is given by what a retry changes", []Given{{Name: "l", When: `estimate > 1s`,
			Labels: map[string]string{"x": `"a"`}}, {Name: "a", Key: `"k" + label("x")`}}, "key", "label x"},
		{"a key by a label of such a label", []Given{{Name: "l", Labels: map[string]string{"x": `front`}},
			{Name: "m", Labels: map[string]string{"y": `label("x")`}}, {Name: "a", When: `has(label("y"))`, Key: `"k"`}}, "key", "label y"},
		{"a key at times", []Given{{Name: "a", When: `estimate > 1s`, Key: `"k"`}}, "key", "depends on estimate"},
		{"a key by a profile that a retry changes", []Given{{Name: "p", When: `profile == "lookup" && left > 1s`, Profile: "report"},
			{Name: "a", When: `profile != "report"`, Key: `"k"`}}, "key", "depends on profile"},
		{"a key that a retry may not come to", []Given{{Name: "l", When: `left > 1s`, Last: true}, {Name: "a", Key: `"k"`}}, "key", "is the last by"},
		{"a key beside such things", []Given{{Name: "l", When: `left > 1s`, Labels: map[string]string{"x": `"a"`}},
			{Name: "a", Key: `"k" + label("y")`}}, "", ""},
		{"a key for what keeps no order", []Given{{Name: "a", When: `profile in ["lookup", "report"]`, Key: `"x"`}}, "key", "no profile keeps order"},
		{"a key that is no text", []Given{{Name: "a", Key: `1`}}, "key", "number"},
		{"a refusal of two lines", []Given{{Name: "a", Refuse: "no\nmore"}}, "refuse", "no line"},
		{"a label that is no text", []Given{{Name: "a", Labels: map[string]string{"team": "1"}}}, "labels.team", "number"},
		{"an estimate below zero", []Given{{Name: "a", Most: -1}}, "most_estimate", "below zero"},
		{"too dear", []Given{{Name: "a", When: strings.Repeat(`table_name like "*a*b*c*d*e*f*g*" || `, 9) + "true"}}, "when", "steps"},
	} {
		set, problems := Compile(c.rules, facts, match.Usual())
		if c.field == "" {
			if problems != nil || set.Len() != len(c.rules) {
				t.Errorf("%s: %v", c.name, problems)
			}
			continue
		}
		last := len(c.rules) - 1
		if set != nil || !slices.ContainsFunc(problems, func(p Problem) bool {
			return p.Rule == last && p.Field == c.field && strings.Contains(p.Why, c.why)
		}) {
			t.Errorf("%s: %v", c.name, problems)
		}
	}
	if _, problems := Compile([]Given{{Name: "a", When: "x"}, {Name: "b", Key: "1", Kinds: []string{"x"}}}, facts, match.Usual()); len(problems) < 3 {
		t.Errorf("not all problems at once: %v", problems)
	}
	many := func(when string) (rules []Given) {
		for i := range 400 {
			rules = append(rules, Given{Name: fmt.Sprint("r", i), When: fmt.Sprintf(when, i)})
		}
		return rules
	}
	if _, problems := Compile(many(`application like "*a*b%d"`), facts, match.Usual()); len(problems) != 1 ||
		!strings.Contains(problems[0].Why, "together") {
		t.Errorf("too dear together: %v", problems)
	}
	if _, problems := Compile(many(`tenant startswith "t" && application like "*a*b%d"`), facts, match.Usual()); problems == nil {
		t.Error("too dear together by one prefix")
	}
	if _, problems := Compile(many(`tenant == "t%[1]d" && application like "*a*b%[1]d"`), facts, match.Usual()); problems != nil {
		t.Errorf("each on its tenant alone: %v", problems)
	}
	long := facts
	long.Names = []string{"lookup", strings.Repeat("r", 70), "load", "once"}
	if _, problems := Compile([]Given{{Name: "a"}}, long, match.Usual()); problems == nil {
		t.Error("a profile whose name can't be told from another's")
	}
	ways := facts
	ways.Zones = nil
	var narrowing []Given
	for i := range 12 { // each may match or not, so that all subsets must be followed
		ways.Zones = append(ways.Zones, fmt.Sprint("z", i))
	}
	ways.Profiles = []router.QueryClass{{}, {}, {}, {}}
	for i := range 12 {
		narrowing = append(narrowing, Given{Name: fmt.Sprint("n", i), When: `tenant == "x"`,
			Zones: slices.Delete(slices.Clone(ways.Zones), i, i+1)})
	}
	if _, problems := Compile(narrowing, ways, match.Usual()); !slices.ContainsFunc(problems, func(p Problem) bool {
		return strings.Contains(p.Why, "in more than")
	}) {
		t.Errorf("more ways than can be followed: %v", problems)
	}
	if _, problems := Compile(make([]Given, mostRules+1), facts, match.Usual()); problems == nil {
		t.Error("too many rules")
	}
}

// What rules come to, in order.
func TestApply(t *testing.T) {
	set := compile(t,
		Given{Name: "team", When: `tenant == "acme"`, Labels: map[string]string{"team": `"partner/" + tenant`}},
		Given{Name: "hot", When: `table_name startswith "menu_" && label("team") startswith "partner"`, Hot: true},
		Given{Name: "stores", When: `profile == "load"`, Key: `"s/" + part(label("store"), "-", 0)`},
		Given{Name: "here", When: `profile == "lookup" && label("team") == ""`, Kinds: []string{"std", "c16"}, Zones: []string{"east"}},
		Given{Name: "less", When: `profile == "lookup"`, Kinds: []string{"c16"}, Most: 500},
		Given{Name: "heavy", When: `profile == "lookup" && estimate > 100ms`, Profile: "report", Last: true},
		Given{Name: "no", When: `profile == "report" && tenant == "evil"`, Refuse: "ask for less"},
	)
	var s Scratch
	for _, c := range []struct {
		name string
		cmd  Command
		want Verdict
	}{
		{"none fits", Command{Profile: 1, Key: "k"}, Verdict{Profile: 1, Key: "k"}},
		{"a label from one rule to the next", Command{Profile: 1, Tenant: "acme", Table: "menu_3"},
			Verdict{Profile: 1, Hot: true, Labels: []match.Label{{Name: "team", Text: "partner/acme"}}}},
		{"a key", Command{Profile: 2, Key: "k", Labels: []match.Label{{Name: "store", Text: "12-east"}}},
			Verdict{Profile: 2, Key: "s/12", Labels: []match.Label{{Name: "store", Text: "12-east"}}}},
		{"a key without its label", Command{Profile: 2, Key: "k"}, Verdict{Profile: 2, Key: "s/"}},
		{"narrowed twice, its estimate cut, and taken for a report", Command{Estimate: 900}, Verdict{Profile: 1, Most: 500,
			Kinds: []router.KindID{1}, Zones: []router.Zone{"east"}}},
		{"the last one ends it", Command{Estimate: 900, Tenant: "evil"}, Verdict{Profile: 1, Most: 500,
			Kinds: []router.KindID{1}, Zones: []router.Zone{"east"}}},
		{"refused", Command{Profile: 1, Tenant: "evil"}, Verdict{Profile: 1, Refuse: "ask for less"}},
	} {
		got := set.Apply(&c.cmd, &s)
		if len(got.Labels) == 0 {
			got.Labels = nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
		}
	}
}

// drawn are random rules over few values, so that many match, and of all kinds that the index tells apart.
func drawn(rng *rand.Rand, n int) []Given {
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
			return fmt.Sprintf("profile == %q", facts.Names[rng.Intn(4)])
		case 7:
			return fmt.Sprintf("(estimate > %dms || tenant == %s)", rng.Intn(4), text())
		}
		return `label("l") == ` + text()
	}
	var rules []Given
	for i := range n {
		g := Given{Name: fmt.Sprint("r", i), When: conjunct()}
		for range rng.Intn(3) {
			g.When += " && " + conjunct()
		}
		switch rng.Intn(8) {
		case 0:
			g.When = ""
			g.Hot = true
		case 1:
			g.Labels = map[string]string{"l": "tenant + " + text()}
		case 2:
			g.Key = `"k" + tenant`
		case 3:
			g.Kinds = []string{"c16"}
		case 4:
			g.When, g.Profile = `profile == "lookup" && `+g.When, "report"
		case 5:
			g.Last = rng.Intn(3) == 0
		case 6:
			g.Most = 2
		}
		rules = append(rules, g)
	}
	return rules
}

// The index gives the same verdicts as trying each rule in order; whatever rules were taken, they only narrow.
func TestIndex(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	compiled, matched := 0, 0
	for range 600 {
		var rules []Given
		for _, g := range drawn(rng, rng.Intn(30)) { // those that are refused are left out
			if _, problems := Compile(append(slices.Clone(rules), g), facts, match.Usual()); problems == nil {
				rules = append(rules, g)
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
			cmd := Command{Profile: router.ClassID(rng.Intn(4)), Tenant: words[rng.Intn(6)], Table: words[rng.Intn(6)],
				Tables: router.TableGroup(rng.Intn(6) - 2), Estimate: float64(rng.Intn(5)), Key: "own"}
			tried := 0
			p.Trace = func(_ int, m bool) {
				if tried++; m {
					matched++
				}
			}
			got, want := set.Apply(&cmd, &s), plain.Apply(&cmd, &p)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%+v\n%+v\n%+v, not %+v", rules, cmd, got, want)
			}
			from, to := facts.Profiles[cmd.Profile], facts.Profiles[got.Profile]
			kinds := both(both(to.Kinds, got.Kinds), nil)
			if from.Kinds != nil && !within(kinds, from.Kinds) || to.Effect < from.Effect || from.Ordered && !to.Ordered ||
				(from.Kinds != nil || got.Kinds != nil) && len(kinds) == 0 || got.Key == "" {
				t.Fatalf("%+v\n%+v is widened: %+v", rules, cmd, got)
			}
		}
	}
	if compiled < 3000 || matched < 10000 {
		t.Errorf("%d rules, %d matches", compiled, matched)
	}
}

// Applying rules allocates nothing where none gives a key or a label.
func TestAllocations(t *testing.T) {
	set := compile(t, Given{Name: "a", When: `tenant == "acme"`, Hot: true}, Given{Name: "b", When: `table_name startswith "m"`,
		Kinds: []string{"c16"}}, Given{Name: "c", When: `estimate > 5ms`, Most: 3})
	var s Scratch
	cmd := Command{Tenant: "acme", Table: "menu_1", Estimate: 10}
	set.Apply(&cmd, &s)
	if n := testing.AllocsPerRun(100, func() { set.Apply(&cmd, &s) }); n > 0 {
		t.Errorf("%g allocations", n)
	}
}

// BenchmarkApply is rules on the same few fields, by the index and each in order.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000, 10000} {
		var rules []Given
		for i := range n {
			when := fmt.Sprintf(`tenant == "t%d" && estimate > 5ms`, i)
			if i%3 == 1 {
				when = fmt.Sprintf(`table_name startswith "mart_%d_"`, i)
			}
			rules = append(rules, Given{Name: fmt.Sprint("r", i), When: when, Hot: true})
		}
		set, problems := Compile(rules, facts, match.Usual())
		if problems != nil {
			b.Fatal(problems)
		}
		cmd := Command{Tenant: fmt.Sprint("t", n/2), Table: "mart_1_x", Estimate: 10}
		b.Run(fmt.Sprint("index/", n), func(b *testing.B) {
			var s Scratch
			b.ReportAllocs()
			for b.Loop() {
				set.Apply(&cmd, &s)
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
				plain.Apply(&cmd, &s)
			}
		})
	}
}
