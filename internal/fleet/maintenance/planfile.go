package maintenance

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/operator/block"
)

// Bounds of a file of plans.
const (
	maxPlanFileBytes = 1 << 18
	maxSelected      = 256 // engines, zones or kinds that a plan names
	maxBlockedHours  = 32
	maxMinAvailable  = 128
	maxAtOnce        = 1000
	maxWorkTime      = 7 * 24 * time.Hour
	maxTimeBytes     = 64 // of a time as text
)

var planName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ReadPlans reads a file of plans. Its error is a block.Problems that holds all that is wrong with
// the file itself; whether the plans can be carried out is for the lease holder to check.
func ReadPlans(path string, text []byte) ([]core.Plan, error) {
	diagnostics := block.NewDiagnostics(text)
	if len(text) > maxPlanFileBytes {
		return nil, block.Problems{{File: path, Why: "has over 256 KB"}}
	}
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	diagnostics.AddHCL(found, "")
	var plans []core.Plan
	if parsed != nil && !found.HasErrors() {
		plans = readPlanBlocks(parsed.Body, diagnostics)
	}
	if len(plans) > maxPlans {
		diagnostics.Add(hcl.Range{Filename: path}, "plan", fmt.Sprintf("there are over %d", maxPlans))
	}
	if problems := diagnostics.Problems(); problems != nil {
		return nil, problems
	}
	return plans, nil
}

// readPlanBlocks reads the plans of a file. Two of the same name are a problem.
func readPlanBlocks(body hcl.Body, diagnostics *block.Diagnostics) (plans []core.Plan) {
	content, found := body.Content(&hcl.BodySchema{
		Blocks: []hcl.BlockHeaderSchema{{Type: "plan", LabelNames: []string{"name"}}},
	})
	diagnostics.AddHCL(found, "")
	seen := map[string]bool{}
	for _, b := range content.Blocks {
		if seen[b.Labels[0]] {
			diagnostics.Add(b.DefRange, "plan", b.Labels[0]+" stands here a second time")
		}
		seen[b.Labels[0]] = true
		plans = append(plans, readPlan(b, diagnostics))
	}
	return plans
}

// readPlan reads one plan. The names of its fields are those of the operators.
func readPlan(b *hcl.Block, diagnostics *block.Diagnostics) core.Plan {
	open := block.Open(b, diagnostics, "engines", "zones", "kinds", "before", "needs", "by", "not",
		"keep", "at_once", "person")
	plan := core.Plan{
		ID:             core.PlanID(b.Labels[0]),
		MaxUnavailable: open.Int("at_once", 1, 1, maxAtOnce),
		ConfirmWork:    open.Bool("person", false),
	}
	workTime := open.Duration("needs", 10*time.Minute, time.Second, maxWorkTime)
	plan.WorkTime = float64(workTime) / float64(time.Millisecond)
	if !planName.MatchString(b.Labels[0]) {
		diagnostics.Add(b.DefRange, "plan", fmt.Sprintf("%.64q is no name of a plan", b.Labels[0]))
	}
	for _, id := range open.Strings("engines", maxSelected) {
		plan.Select.Engines = append(plan.Select.Engines, core.EngineID(id))
	}
	for _, zone := range open.Strings("zones", maxSelected) {
		plan.Select.Zones = append(plan.Select.Zones, core.Zone(zone))
	}
	for _, kind := range open.Strings("kinds", maxSelected) {
		plan.Select.Kinds = append(plan.Select.Kinds, core.Kind(kind))
	}
	plan.Select.StartedBefore = readTime(open, "before")
	plan.Deadline = readTime(open, "by")
	plan.BlockedHours = readBlockedHours(open)
	plan.MinAvailable = readMinAvailable(open)
	return plan
}

// readTime reads a field with a time, in ms since 1970; 0: there is none.
func readTime(open *block.Block, field string) float64 {
	text := open.String(field, "", false, maxTimeBytes)
	if text == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		open.AddProblem(field, fmt.Sprintf("%.40q is no time, such as \"2026-12-03T06:00:00Z\"", text))
		return 0
	}
	return float64(t.UnixMilli())
}

// readBlockedHours reads the field not: parts of a day, in UTC.
func readBlockedHours(open *block.Block) (list []core.Hours) {
	for _, text := range open.Strings("not", maxBlockedHours) {
		hours, ok := parseHours(text)
		if !ok {
			open.AddProblem("not",
				fmt.Sprintf("%.40q is no part of a day, such as \"08:00-20:30\" (UTC)", text))
		}
		list = append(list, hours)
	}
	return list
}

// parseHours parses a part of a day, such as "08:00-20:30".
func parseHours(text string) (hours core.Hours, ok bool) {
	first, last, ok := strings.Cut(text, "-")
	from, errFrom := time.Parse("15:04", first)
	to, errTo := time.Parse("15:04", last)
	if !ok || errFrom != nil || errTo != nil {
		return hours, false
	}
	return core.Hours{From: minutesOfDay(from), To: minutesOfDay(to)}, true
}

func minutesOfDay(t time.Time) int { return t.Hour()*60 + t.Minute() }

// readMinAvailable reads the field keep: how many engines are to stay in service.
func readMinAvailable(open *block.Block) (list []core.MinAvailable) {
	for _, text := range open.Strings("keep", maxMinAvailable) {
		keep, ok := parseMinAvailable(text)
		if !ok {
			open.AddProblem("keep", fmt.Sprintf(
				"%.60q is none of \"3\", \"50%%\", \"3 c16\", \"50%% in hall-a\", \"3 c16 in hall-a\"", text))
		}
		list = append(list, keep)
	}
	return list
}

// parseMinAvailable parses a count or a share of engines, with a kind and a zone where they are
// given, such as "3 c16 in hall-a".
func parseMinAvailable(text string) (keep core.MinAvailable, ok bool) {
	words := strings.Fields(text)
	if len(words) == 0 || !parseCountOrShare(words[0], &keep) {
		return keep, false
	}
	words = words[1:]
	if len(words) > 0 && words[0] != "in" {
		keep.Kind = core.Kind(words[0])
		words = words[1:]
	}
	switch {
	case len(words) == 0:
		return keep, true
	case len(words) == 2 && words[0] == "in":
		keep.Zone = core.Zone(words[1])
		return keep, true
	}
	return keep, false
}

// parseCountOrShare parses "3" or "50%".
func parseCountOrShare(word string, keep *core.MinAvailable) bool {
	if percentage, isShare := strings.CutSuffix(word, "%"); isShare {
		percent, err := strconv.ParseFloat(percentage, 64)
		if err != nil || !(percent > 0 && percent <= 100) {
			return false
		}
		keep.Share = percent / 100
		return true
	}
	count, err := strconv.Atoi(word)
	if err != nil || count < 1 {
		return false
	}
	keep.Count = count
	return true
}
