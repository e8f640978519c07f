package operator

import (
	"fmt"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Case is a query with what rules are expected to do to it. What is not expected is not looked at.
type Case struct {
	Name    string
	Command rules.Command
	expect  func(v rules.Verdict, matched []string) []string
}

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
	if p := shape(path, text); p != nil {
		return nil, block.Problems{*p}
	}
	sheet := block.NewSheet(text)
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	sheet.NoteAll(found, "")
	var cases []Case
	if parsed != nil && !found.HasErrors() {
		content, found := parsed.Body.Content(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "case",
			LabelNames: []string{"name"}}}})
		sheet.NoteAll(found, "")
		if content != nil {
			for _, b := range content.Blocks {
				cases = append(cases, readCase(b, facts, sheet))
			}
		}
	}
	if problems := sheet.Problems(); problems != nil {
		return nil, problems
	}
	return cases, nil
}

func readCase(b *hcl.Block, facts *settings.Facts, sheet *block.Sheet) Case {
	open := block.Open(b, sheet, "query", "application", "listener", "matches", "hot", "key", "kinds", "zones", "profile",
		"refuse")
	c := Case{Name: b.Labels[0]}
	command, err := clients.RuleInput([]byte(open.Text("query", "", true, longest)), &facts.Names,
		open.Text("application", "", false, 64), open.Text("listener", "", false, 64))
	if err != nil {
		open.Note("query", err.Error())
	}
	c.Command = command
	var checks []func(v rules.Verdict, matched []string) string
	check := func(field string, got func(v rules.Verdict, matched []string) any, want any) {
		if !open.Has(field) {
			return
		}
		checks = append(checks, func(v rules.Verdict, matched []string) string {
			if g := fmt.Sprintf("%q", got(v, matched)); g != fmt.Sprintf("%q", want) {
				return fmt.Sprintf("%s is %s, not %q", field, g, want)
			}
			return ""
		})
	}
	check("matches", func(_ rules.Verdict, m []string) any { return m }, open.Texts("matches", 64))
	check("hot", func(v rules.Verdict, _ []string) any { return fmt.Sprint(v.Hot) }, fmt.Sprint(open.Bool("hot", false)))
	check("key", func(v rules.Verdict, _ []string) any { return string(v.Key) }, open.Text("key", "", false, 128))
	check("refuse", func(v rules.Verdict, _ []string) any { return v.Refuse }, open.Text("refuse", "", false, longest))
	names := RuleFacts(facts).Names
	check("profile", func(v rules.Verdict, _ []string) any { return names[v.Profile] }, open.Text("profile", "", false, 64))
	check("kinds", func(v rules.Verdict, _ []string) any { return kindNames(v.Kinds, facts) }, sorted(open.Texts("kinds", 64)))
	check("zones", func(v rules.Verdict, _ []string) any { return zoneNames(v.Zones) }, sorted(open.Texts("zones", 64)))
	c.expect = func(v rules.Verdict, matched []string) (wrong []string) {
		for _, check := range checks {
			if why := check(v, matched); why != "" {
				wrong = append(wrong, why)
			}
		}
		return wrong
	}
	return c
}

func sorted(texts []string) []string {
	slices.Sort(texts)
	return texts
}

func kindNames(kinds []router.KindID, facts *settings.Facts) (names []string) {
	for _, k := range kinds {
		names = append(names, facts.Names.KindAt[k])
	}
	return sorted(names)
}

func zoneNames(zones []router.Zone) (names []string) {
	for _, z := range zones {
		names = append(names, string(z))
	}
	return sorted(names)
}

// Run tries the rules on the case and tells what is not as expected; nothing if all is.
func (c *Case) Run(set *rules.Set) []string {
	v, tried := set.Explain(&c.Command)
	matched := []string{}
	for _, t := range tried {
		if t.Matched {
			matched = append(matched, t.Name)
		}
	}
	return c.expect(v, matched)
}
