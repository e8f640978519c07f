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

// Bounds of a plan file.
const (
	maxPlanFileBytes = 1 << 18
	maxSelected      = 256 // engines, zones or kinds that a plan selects
	maxBlockedHours  = 32
	maxMinAvailable  = 128
	maxAtOnce        = 1000
	maxWorkTime      = 7 * 24 * time.Hour
	maxTimeBytes     = 64 // length of a time as text
)

var planName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ReadPlans parses a plan file. Its error is a block.Problems with all problems of the file itself;
// whether the plans are feasible is checked by the lease holder.
func ReadPlans(path string, text []byte) ([]core.Plan, error) {
	diagnostics := block.NewDiagnostics(text)
	if len(text) > maxPlanFileBytes {
		return nil, block.Problems{{File: path, Why: "is larger than 256 KB"}}
	}
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	diagnostics.AddHCL(found, "")
	var plans []core.Plan
	if parsed != nil && !found.HasErrors() {
		plans = readPlanBlocks(parsed.Body, diagnostics)
	}
	if len(plans) > maxPlans {
		diagnostics.Add(hcl.Range{Filename: path}, "plan", fmt.Sprintf("more than %d plans", maxPlans))
	}
	if problems := diagnostics.Problems(); problems != nil {
		return nil, problems
	}
	return plans, nil
}

// readPlanBlocks parses the plans of a file and adds a problem for each name that is used twice.
func readPlanBlocks(body hcl.Body, diagnostics *block.Diagnostics) (plans []core.Plan) {
	content, found := body.Content(&hcl.BodySchema{
		Blocks: []hcl.BlockHeaderSchema{{Type: "plan", LabelNames: []string{"name"}}},
	})
	diagnostics.AddHCL(found, "")
	seen := map[string]bool{}
	for _, b := range content.Blocks {
		if seen[b.Labels[0]] {
			diagnostics.Add(b.DefRange, "plan", b.Labels[0]+" is defined twice")
		}
		seen[b.Labels[0]] = true
		plans = append(plans, readPlan(b, diagnostics))
	}
	return plans
}

// readPlan parses one plan. The field names are part of the file format.
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
		diagnostics.Add(b.DefRange, "plan", fmt.Sprintf("%.64q is not a valid plan name", b.Labels[0]))
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

// readTime parses a field with a time and returns it in ms since 1970; 0 if it is not set.
func readTime(open *block.Block, field string) float64 {
	text := open.String(field, "", false, maxTimeBytes)
	if text == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		open.AddProblem(field,
			fmt.Sprintf("%.40q is not a time like \"2026-12-03T06:00:00Z\"", text))
		return 0
	}
	return float64(t.UnixMilli())
}

// readBlockedHours parses the not field: parts of a day in UTC.
func readBlockedHours(open *block.Block) (list []core.Hours) {
	for _, text := range open.Strings("not", maxBlockedHours) {
		hours, ok := parseHours(text)
		if !ok {
			open.AddProblem("not",
				fmt.Sprintf("%.40q is not a part of a day like \"08:00-20:30\" (UTC)", text))
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

// readMinAvailable parses the keep field: how many engines have to stay in service.
func readMinAvailable(open *block.Block) (list []core.MinAvailable) {
	for _, text := range open.Strings("keep", maxMinAvailable) {
		keep, ok := parseMinAvailable(text)
		if !ok {
			open.AddProblem("keep", fmt.Sprintf(
				"%.60q is not like \"3\", \"50%%\", \"3 c16\", \"50%% in hall-a\" or \"3 c16 in hall-a\"",
				text))
		}
		list = append(list, keep)
	}
	return list
}

// parseMinAvailable parses a count or a share of engines with an optional machine kind and zone,
// such as "3 c16 in hall-a".
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

// parseCountOrShare parses a count such as "3" or a share such as "50%".
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
