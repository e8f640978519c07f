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

// longest is that of an expression and of a refusal's text, as far as the file is concerned; the rules have bounds of
// their own.
const longest = 64 << 10

// readRules reads the blocks rule, in order, and has them compiled. Problems within an expression are told at the field,
// with their place in the expression and a mark under it.
func readRules(blocks hcl.Blocks, facts *settings.Facts, sheet *block.Sheet) *rules.Set {
	if len(blocks) == 0 {
		return nil
	}
	var given []rules.Given
	var opened []*block.Block
	for _, b := range blocks {
		open := block.Open(b, sheet, "when", "hot", "key", "kinds", "zones", "profile", "labels", "most_estimate", "refuse",
			"last")
		open.Name = fmt.Sprintf("rule %q", b.Labels[0])
		opened = append(opened, open)
		given = append(given, rules.Given{Name: b.Labels[0], When: open.Text("when", "", false, longest),
			Hot: open.Bool("hot", false), Key: open.Text("key", "", false, longest), Kinds: open.Texts("kinds", 64),
			Zones: open.Texts("zones", 64), Profile: open.Text("profile", "", false, 64),
			Labels: open.Map("labels", longest),
			Most:   float64(open.Duration("most_estimate", 0, time.Millisecond, time.Hour)) / 1e6,
			Refuse: open.Text("refuse", "", false, longest), Last: open.Bool("last", false)})
	}
	set, problems := rules.Compile(given, RuleFacts(facts), RuleBounds())
	for _, p := range problems {
		why := p.Why
		if p.Place != nil {
			line, column := p.Place.Place()
			why = fmt.Sprintf("%s, at %d:%d of the expression:\n%s", why, line, column, p.Place.Caret())
		}
		field, _, _ := strings.Cut(p.Field, ".")
		opened[p.Rule].Note(field, why)
	}
	return set
}

// RuleBounds are what one expression of a rule may cost.
func RuleBounds() match.Bounds { return match.Usual() }

// RuleFacts are what rules need to know of the settings.
func RuleFacts(f *settings.Facts) rules.Facts {
	facts := rules.Facts{Names: make([]string, len(f.Profiles)), Profiles: f.Profiles, Kinds: f.Names.Kinds,
		Zones: f.Names.ZoneAt}
	for _, name := range slices.Sorted(maps.Keys(f.Names.Profiles)) {
		facts.Names[f.Names.Profiles[name]] = name
	}
	return facts
}
