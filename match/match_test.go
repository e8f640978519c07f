package match_test

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"mintkeel/internal/lab/exprs"
	"mintkeel/match"
)

var schema = &exprs.Schema

// row is a load query of the tenant acme for the table menu_17.
var row = match.Row{Values: []match.Value{match.TextOf("load"), match.TextOf("acme"), match.TextOf("menu_17"),
	match.NumberOf(17), match.NumberOf(250), match.NumberOf(1500), {}},
	Labels: []match.Label{{Name: "store", Value: "store-12-east"}}}

// Each operator and function evaluates to the expected value, including for absent fields and unusual values.
func TestOperatorsAndFunctionsEvaluate(t *testing.T) {
	for source, want := range map[string]any{
		`true`: true, `!true`: false, `!!true`: true, `urgent`: false, `has(urgent)`: false, `has(profile)`: true,
		`true || urgent && false`: true, `(true || urgent) && false`: false,
		`profile == "load" && table_name startswith 'menu_'`: true,
		`tenant != "acme"`: false, `profile in ["report", "load"]`: true, `table_group in [1, 2, -17]`: false,
		`estimate in [250ms]`: true, `table_name endswith "7"`: true, `table_name contains "nu_"`: true,
		`table_name like "m*_1?"`: true, `table_name like "m*_1"`: false, `table_name matches "^menu_[0-9]+$"`: true,
		`table_name matches "\d"`: true, `table_group >= 17 && table_group <= 17`: true, `"b" > "a"`: true,
		`estimate < 1s`: true, `left - estimate > 1s`: true, `estimate * 2 == 500ms`: true, `1.5s == 1500ms`: true,
		`left / estimate == 6`: true, `table_group / 0 == 0`: true, `table_group % 0 == 0`: true,
		`table_group % 5 == 2`: true, `-7 % 5 == -2`: true, `99999999999999999999 % 0.0000001 == 0`: true, `-table_group < 0`: true, `2 + 3 * 4 == 14`: true, `10 - 3 - 2 == 5`: true,
		`1h == 60m`: true, `max(1, 2) == 2`: true, `min(estimate, left) == 250ms`: true, `length(tenant) == 4`: true,
		`bucket(label("store"), 8) < 8`: true, `bucket("x", 0) == 0`: true, `number("-12.5x") == -12.5`: true,
		`number("x") == 0`: true, `has(label("store"))`: true, `has(label("brand"))`: false,
		`urgent == false`: true, `label("brand") == ""`: true,
		"true # the rest is a remark\n&& true":        true,
		`tenant + "/" + part(label("store"), "-", 1)`: "acme/12", `concat(lower("AbÜ"), upper("xy1"))`: "abÜXY1",
		`part("a-b-c", "-", 0)`: "a", `part("a-b-c", "-", 2)`: "c", `part("a-b-c", "-", 3)`: "", `part("a-b-c", "-", -1)`: "c",
		`part("a-b-c", "-", -3)`: "a", `part("a-b-c", "-", -4)`: "", `part("", "-", 0)`: "", `urgent ? "a" : "b"`: "b",
		`true ? profile : tenant`: "load", `"q\"\\\n'"`: "q\"\\\n'", `concat("a")`: "a", `"" + ""`: "",
		`lower(upper(lower("aB")) + upper("c") + "D")`: "abcd",
		`table_group * 2`: 34.0, `left`: 1500.0, `left / 2`: 750.0, `number(part(table_name, "_", -1))`: 17.0,
	} {
		typ := match.Bool
		switch want.(type) {
		case string:
			typ = match.Text
		case float64:
			typ = match.Number
			if strings.HasPrefix(source, "left") {
				typ = match.Duration
			}
		}
		e, err := match.Compile(source, typ, schema, match.DefaultBounds())
		if err != nil {
			t.Errorf("%s: does not compile: %v", source, err)
			continue
		}
		var s match.Scratch
		var got any
		switch typ {
		case match.Bool:
			got = e.Bool(row, &s)
		case match.Text:
			got = e.Text(row, &s)
		default:
			got = e.Number(row, &s)
		}
		if got != want {
			t.Errorf("%s: value %v, want %v", source, got, want)
		}
		if e.Source() != source || e.Type() != typ || e.Steps() < 1 {
			t.Errorf("unexpected source, type or steps of a compiled expression: %s, %v, %d", e.Source(), e.Type(), e.Steps())
		}
		// An empty row stands for a query without any field.
		switch typ {
		case match.Bool:
			e.Bool(match.Row{}, &s)
		case match.Text:
			e.Text(match.Row{}, &s)
		default:
			e.Number(match.Row{}, &s)
		}
	}
}

// All errors in an expression are reported when it is compiled, with their position.
func TestCompileErrorsNameThePlace(t *testing.T) {
	deep := func(opening, closing string, n int) string {
		return strings.Repeat(opening, n) + "true" + strings.Repeat(closing, n)
	}
	for _, c := range []struct {
		source, place, why string
	}{
		{"", "1:1", "empty"},
		{" # remark", "1:1", "empty"},
		{"prfile == 1", "1:1", "not a field"},
		{"profile == 1", "1:9", "can't be applied to"},
		{"true &&\n  profile", "1:6", "can't be applied to"},
		{"true &&", "1:8", "incomplete"},
		{"true true", "1:6", "unexpected text after"},
		{"estimate < 5", "1:10", "duration and a number"},
		{"estimate + 1", "1:10", "duration and a number"},
		{"estimate * left", "1:10", "duration and a duration"},
		{"1 < 2 < 3", "1:7", "can't be chained"},
		{"urgent < true", "1:8", "can't be applied to"},
		{"profile in []", "1:13", "only contain literals"},
		{"profile in [tenant]", "1:13", "only contain literals"},
		{"profile in [1]", "1:13", "is a number"},
		{"profile in [\"a\"", "1:16", "missing"},
		{"urgent in [true]", "1:12", "truth value"},
		{"profile like tenant", "1:14", "text in quotes"},
		{"profile matches \"(\"", "1:17", "regular expression"},
		{"profile matches \"(a{1,99}){1,9}\"", "1:17", "steps per byte"},
		{"table_group like \"x\"", "1:1", "needs a text"},
		{"lower(1) == \"\"", "1:7", "takes a text"},
		{"lower() == \"\"", "1:7", "takes 1"},
		{"lower(\"a\", \"b\") == \"\"", "1:12", "no more than"},
		{"min(1, 2s) == 1", "1:8", "is a duration"},
		{"min(2s, 1) == 1s", "1:9", "takes a duration"},
		{"part(profile, tenant, 1) == \"\"", "1:15", "literal"},
		{"part(profile, \"\", 1) == \"\"", "1:15", "literal"},
		{"rate(profile) > 1", "1:1", "not a function"},
		{"label(profile) == \"\"", "1:7", "in quotes"},
		{"has(1)", "1:5", "takes a field"},
		{"\"abc", "1:1", "not terminated"},
		{"\"abc\\", "1:1", "not terminated"},
		{"\"a\nb\" == profile", "1:1", "not terminated"},
		{"5 parsecs", "1:3", "unexpected text after"},
		{"estimate < 5parsecs", "1:12", "not a unit"},
		{strings.Repeat("9", 400) + " > 1", "1:1", "not a number"},
		{"a == b", "1:1", "not a field"},
		{"true & true", "1:6", "unexpected character"},
		{"profile == \"a\" \x00", "1:16", "unexpected character"},
		{"\xff", "1:1", "unexpected character"},
		{"-profile == 1", "1:1", "can't be applied to"},
		{"!1", "1:1", "can't be applied to"},
		{"1 ? true : false", "1:1", "not a truth value"},
		{"true ? 1 : profile", "1:12", "the other branch"},
		{"true ? 1", "1:9", "missing"},
		{"profile", "1:1", "is a text, not a truth value"},
		{"true\n &&\n  x", "3:3", "not a field"},
		{deep("(", ")", 100000), "1:", "longer than"},
		{deep("(", ")", 7000), "1:", "nested"},
		{deep("!", "", 7000), "1:", "nested"},
		{"true" + strings.Repeat(" && true", 1500), "1:", "nested"},
		{deep("true ? ", " : false", 900), "1:", "nested"},
		{strings.Repeat("x", 10<<20), "1:", "longer than"},
		{"profile in [" + strings.Repeat("\"a\",", 2500) + "\"a\"]", "1:", "over 2000"},
		{"concat(" + strings.Repeat("tenant,", 30) + "tenant) == \"\"", "1:", "no more than"},
		{strings.Repeat("table_name like \"*a*b*c*d*e*f*g*h\" || ", 9) + "true", "1:", "steps, of 2500 allowed"},
		{strings.Repeat("table_name matches \"(a|b)*c\" && ", 9) + "true", "1:", "the largest part is "},
	} {
		_, err := match.Compile(c.source, match.Bool, schema, match.DefaultBounds())
		var e *match.Error
		if !errors.As(err, &e) || !strings.HasPrefix(err.Error(), c.place) || !strings.Contains(e.Reason, c.why) {
			t.Errorf("%.60q: error %v, want another one or another position", c.source, err)
			continue
		}
		caret := e.Caret()
		line, column := e.Place()
		if shown, mark, ok := strings.Cut(caret, "\n"); !ok || !strings.HasSuffix(mark, "^") || line < 1 || column < 1 ||
			len(shown) > 300 {
			t.Errorf("%.60q: malformed or too long caret %q", c.source, caret)
		}
	}
}

// The caret is at the position of the error, also after tabs.
func TestCaretStandsUnderThePlaceBehindTabs(t *testing.T) {
	_, err := match.Compile("true &&\n\tprfile", match.Bool, schema, match.DefaultBounds())
	var e *match.Error
	if errors.As(err, &e); e.Caret() != "\tprfile\n\t^" {
		t.Errorf("unexpected caret %q", e.Caret())
	}
}

// Random expressions evaluate as the same expressions do without compilation. Broken ones never make Compile
// panic, and well-typed ones fail only for their cost or length.
func TestRandomExpressionsEvaluateAsDrawn(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	n := 20000
	if testing.Short() {
		n = 2000
	}
	refused, compiled, broken := 0, 0, 0
	var s match.Scratch
	for i := range n {
		typ := match.Type(rng.Intn(4))
		drawn := exprs.Generate(rng, typ, rng.Intn(6))
		if i%4 == 0 {
			if _, err := match.Compile(exprs.Corrupt(rng, drawn.Source), typ, schema, match.DefaultBounds()); err != nil {
				broken++
			}
			continue
		}
		e, err := match.Compile(drawn.Source, typ, schema, match.DefaultBounds())
		if err != nil {
			var why *match.Error
			if refused++; !errors.As(err, &why) || !strings.Contains(why.Reason, "steps, of") && !strings.Contains(why.Reason, "longer") {
				t.Fatalf("%s: error %v, want one on cost or length alone", drawn.Source, err)
			}
			continue
		}
		compiled++
		for range 4 {
			r := exprs.RandomRow(rng)
			var got, want any
			switch typ {
			case match.Bool:
				got, want = e.Bool(r, &s), drawn.Bool(r)
			case match.Text:
				got, want = strings.Clone(e.Text(r, &s)), drawn.Text(r)
			default:
				got, want = e.Number(r, &s), drawn.Number(r)
			}
			if got != want {
				t.Fatalf("%s on %+v: value %v, want %v", drawn.Source, r, got, want)
			}
		}
	}
	if compiled < n/2 || refused > n/4 || broken < n/8 {
		t.Errorf("too few expressions of a kind: %d compiled, %d rejected for their cost, %d broken ones rejected", compiled, refused, broken)
	}
}

// Evaluations allocate nothing once the scratch has grown.
func TestEvaluationAllocatesNothing(t *testing.T) {
	for _, source := range []string{
		`profile == "load" && table_name startswith "menu_" && tenant in ["acme", "b", "c"]`,
		`table_name like "m*_1?" || lower(tenant) + upper(profile) == "x"`,
		`concat(tenant, "/", part(label("store"), "-", 1)) == "acme/12"`,
		`bucket(tenant, 16) < 8 && left - estimate > 1s`,
		`table_name matches "^menu_[0-9]+$"`,
	} {
		e, err := match.Compile(source, match.Bool, schema, match.DefaultBounds())
		if err != nil {
			t.Fatal(err)
		}
		var s match.Scratch
		e.Bool(row, &s)
		if n := testing.AllocsPerRun(100, func() { e.Bool(row, &s) }); n > 0 {
			t.Errorf("%s: %g allocations, want none", source, n)
		}
	}
}

// Several goroutines evaluate the same expression, each with its own scratch.
func TestConcurrentEvaluation(t *testing.T) {
	e, err := match.Compile(`lower(upper(tenant) + "-" + label("store"))`, match.Text, schema, match.DefaultBounds())
	if err != nil {
		t.Fatal(err)
	}
	for g := range 8 {
		t.Run(fmt.Sprint(g), func(t *testing.T) {
			t.Parallel()
			var s match.Scratch
			for range 200 {
				if got := e.Text(row, &s); got != "acme-store-12-east" {
					t.Fatal(got)
				}
			}
		})
	}
}

// Fields returns the fields that an expression reads, each once.
func TestFieldsListsEachFieldOnce(t *testing.T) {
	e, err := match.Compile(`has(urgent) || profile == tenant || profile == "x"`, match.Bool, schema, match.DefaultBounds())
	if err != nil || fmt.Sprint(e.Fields()) != "[profile tenant urgent]" {
		t.Errorf("fields %v, error %v; want profile, tenant and urgent", e.Fields(), err)
	}
}

// For any source, Compile returns an expression or an *Error, and no evaluation panics.
func FuzzCompile(f *testing.F) {
	rng := rand.New(rand.NewSource(2))
	for range 20 {
		f.Add(exprs.Generate(rng, match.Bool, 4).Source)
	}
	f.Add(`profile matches "(a+)+$" && label("x") like "**?"`)
	f.Fuzz(func(t *testing.T, source string) {
		e, err := match.Compile(source, match.Bool, schema, match.DefaultBounds())
		if err != nil {
			var why *match.Error
			if !errors.As(err, &why) {
				t.Fatal(err)
			}
			why.Caret()
			return
		}
		if e.Steps() > match.DefaultBounds().Steps {
			t.Fatalf("a compiled expression of %d steps, which is over the bound", e.Steps())
		}
		var s match.Scratch
		e.Bool(row, &s)
		e.Bool(match.Row{}, &s)
	})
}

// BenchmarkTypical measures conditions as operators write them, and two of the most expensive ones.
func BenchmarkTypical(b *testing.B) {
	for name, source := range map[string]string{
		"equal":  `profile == "load"`,
		"rule":   `profile == "load" && table_name startswith "menu_" && tenant in ["acme", "b", "c"]`,
		"regex":  `table_name matches "^menu_[0-9]+$"`,
		"glob":   `table_name like "m*_1?"`,
		"worst":  strings.Repeat(`table_name like "*a*a*a*b" || `, 3) + `false`,
		"worst2": `table_name matches "(a|aa)+(a|b)*c$" || false`,
	} {
		e, err := match.Compile(source, match.Bool, schema, match.DefaultBounds())
		if err != nil {
			b.Fatal(name, err)
		}
		r := row
		r.Values = append([]match.Value(nil), row.Values...)
		if strings.HasPrefix(name, "worst") {
			r.Values[2] = match.TextOf(strings.Repeat("a", 100))
		}
		b.Run(name, func(b *testing.B) {
			var s match.Scratch
			b.ReportAllocs()
			for b.Loop() {
				e.Bool(r, &s)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(e.Steps()), "ns/step")
		})
	}
}
