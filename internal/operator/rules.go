package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
	"mintkeel/match"
)

// Bounds of texts in the file. Package rules has further bounds, on the cost of expressions.
const (
	maxTextBytes = 64 << 10 // bytes of an expression, a label or the text of a rejection
	maxNameBytes = 64       // bytes of the name of a machine kind, zone or query class

	maxKeyBytes = 128 // bytes of an ordering key that a case expects

	minEstimate = time.Millisecond
	maxEstimate = time.Hour
)

// readRules reads the blocks rule, in order, and compiles them; nil if there are none. A problem
// within an expression is added at the field, with its position in the expression.
func readRules(
	blocks hcl.Blocks, facts *settings.Facts, diagnostics *block.Diagnostics,
) *rules.Set {
	if len(blocks) == 0 {
		return nil
	}
	var ruleList []rules.Rule
	var openBlocks []*block.Block
	for _, b := range blocks {
		open := block.Open(b, diagnostics,
			"when", "hot", "key", "kinds", "zones", "profile", "labels", "most_estimate", "refuse", "last")
		open.Name = fmt.Sprintf("rule %q", b.Labels[0])
		openBlocks = append(openBlocks, open)
		ruleList = append(ruleList, readRule(b.Labels[0], open))
	}
	set, problems := rules.Compile(ruleList, RuleFacts(facts), RuleBounds())
	for _, problem := range problems {
		field, _, _ := strings.Cut(problem.Field, ".")
		openBlocks[problem.Rule].AddProblem(field, describeRuleProblem(problem))
	}
	return set
}

// readRule reads the fields of one rule. rules.Rule documents each field and its default.
func readRule(name string, open *block.Block) rules.Rule {
	return rules.Rule{
		Name:        name,
		When:        open.String("when", "", false, maxTextBytes),
		Hot:         open.Bool("hot", false),
		Key:         open.String("key", "", false, maxTextBytes),
		Kinds:       open.Strings("kinds", maxNameBytes),
		Zones:       open.Strings("zones", maxNameBytes),
		Class:       open.String("profile", "", false, maxNameBytes),
		Labels:      open.StringMap("labels", maxTextBytes),
		EstimateCap: milliseconds(open.Duration("most_estimate", 0, minEstimate, maxEstimate)),
		Rejection:   open.String("refuse", "", false, maxTextBytes),
		Last:        open.Bool("last", false),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// describeRuleProblem returns the reason and, for a problem within an expression, its position and
// the line with a caret under it.
func describeRuleProblem(p rules.Problem) string {
	if p.Place == nil {
		return p.Reason
	}
	line, column := p.Place.Place()
	return fmt.Sprintf("%s, at %d:%d of the expression:\n%s", p.Reason, line, column, p.Place.Caret())
}

// RuleBounds returns the bounds on the cost of one expression of a rule.
func RuleBounds() match.Bounds { return match.DefaultBounds() }

// RuleFacts returns the part of the settings that rules depend on.
func RuleFacts(f *settings.Facts) rules.Facts {
	facts := rules.Facts{
		ClassNames: make([]string, len(f.Classes)),
		Classes:    f.Classes,
		Kinds:      f.Names.MachineKinds,
		Zones:      f.Names.ZoneAt,
	}
	for _, name := range slices.Sorted(maps.Keys(f.Names.Classes)) {
		facts.ClassNames[f.Names.Classes[name]] = name
	}
	return facts
}
