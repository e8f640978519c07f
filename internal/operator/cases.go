package operator

import (
	"fmt"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Case is a test case for the rules: a query and the expected result.
type Case struct {
	Name         string
	Query        rules.Query
	expectations []expectation
}

// expectation is the expected value of one field of a case. Fields that are not set in the file are
// not checked.
type expectation struct {
	field string
	want  any
	got   func(v rules.Verdict, matched []string) any
}

// check returns the difference between the expected and the actual value; empty if there is none.
func (e expectation) check(v rules.Verdict, matched []string) string {
	got := fmt.Sprintf("%q", e.got(v, matched))
	want := fmt.Sprintf("%q", e.want)
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s is %s, not %s", e.field, got, want)
}

// caseSchema has the blocks of a file of cases.
var caseSchema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: "case", LabelNames: []string{"name"}},
}}

// ReadCases reads a file of cases:
//
//	case "menu marts are hot" {
//	  query   = "/* verb=load,txn=9b1f03aa5c7e2d41,limit=1500,team=acme */ INSERT INTO menu_17.items VALUES (1)"
//	  matches = ["menu marts are hot"]
//	  hot     = true
//	}
func ReadCases(path string, facts *settings.Facts) ([]Case, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var cases []Case
	err = parse(path, text, func(parsed *hcl.File, diagnostics *block.Diagnostics) {
		content, found := parsed.Body.Content(caseSchema)
		diagnostics.AddHCL(found, "")
		if content == nil {
			return
		}
		for _, b := range content.Blocks {
			cases = append(cases, readCase(b, facts, diagnostics))
		}
	})
	if err != nil {
		return nil, err
	}
	return cases, nil
}

func readCase(b *hcl.Block, facts *settings.Facts, diagnostics *block.Diagnostics) Case {
	open := block.Open(b, diagnostics,
		"query", "application", "listener", "matches", "hot", "key", "kinds", "zones", "profile",
		"refuse")
	text := open.String("query", "", true, maxTextBytes)
	application := open.String("application", "", false, maxNameBytes)
	listener := open.String("listener", "", false, maxNameBytes)
	query, err := clients.RuleInput([]byte(text), &facts.Names, application, listener)
	if err != nil {
		open.AddProblem("query", err.Error())
	}
	return Case{Name: b.Labels[0], Query: query, expectations: readExpectations(open, facts)}
}

// readExpectations reads the fields of a case that have expected values.
func readExpectations(open *block.Block, facts *settings.Facts) []expectation {
	classNames := RuleFacts(facts).ClassNames
	expectations := []expectation{
		{"matches", open.Strings("matches", maxNameBytes),
			func(_ rules.Verdict, matched []string) any { return matched }},
		{"hot", fmt.Sprint(open.Bool("hot", false)),
			func(v rules.Verdict, _ []string) any { return fmt.Sprint(v.Hot) }},
		{"key", open.String("key", "", false, maxKeyBytes),
			func(v rules.Verdict, _ []string) any { return string(v.OrderingKey) }},
		{"refuse", open.String("refuse", "", false, maxTextBytes),
			func(v rules.Verdict, _ []string) any { return v.Rejection }},
		{"profile", open.String("profile", "", false, maxNameBytes),
			func(v rules.Verdict, _ []string) any { return classNames[v.Class] }},
		{"kinds", sortInPlace(open.Strings("kinds", maxNameBytes)),
			func(v rules.Verdict, _ []string) any { return kindNames(v.Kinds, facts) }},
		{"zones", sortInPlace(open.Strings("zones", maxNameBytes)),
			func(v rules.Verdict, _ []string) any { return zoneNames(v.Zones) }},
	}
	return slices.DeleteFunc(expectations, func(e expectation) bool { return !open.Has(e.field) })
}

func sortInPlace(texts []string) []string {
	slices.Sort(texts)
	return texts
}

func kindNames(kinds []router.KindID, facts *settings.Facts) (names []string) {
	for _, k := range kinds {
		names = append(names, facts.Names.MachineKindAt[k])
	}
	return sortInPlace(names)
}

func zoneNames(zones []router.Zone) (names []string) {
	for _, z := range zones {
		names = append(names, string(z))
	}
	return sortInPlace(names)
}

// Run applies the rules to the query and returns the differences from the expected result; none if
// the case passes.
func (c *Case) Run(set *rules.Set) []string {
	verdict, tried := set.Explain(&c.Query)
	matched := []string{}
	for _, rule := range tried {
		if rule.Matched {
			matched = append(matched, rule.Name)
		}
	}
	var failures []string
	for _, e := range c.expectations {
		if why := e.check(verdict, matched); why != "" {
			failures = append(failures, why)
		}
	}
	return failures
}
