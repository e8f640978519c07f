package fleet

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/operator/block"
)

// MaintenanceBlock is the block maintenance of the operator's file.
type MaintenanceBlock struct {
	Drain, Work, Back string        // programs of the installation, absolute paths; empty: none
	Within            time.Duration // for one of them
	Prepare           time.Duration // for which other homes of an engine's table groups are waited for at most
	List              bool          // an engine is free only once the list tells that it drains or is gone
}

// ReadMaintenance reads the block maintenance.
func ReadMaintenance(b *hcl.Block, sheet *block.Diagnostics) *MaintenanceBlock {
	open := block.Open(b, sheet, "drain", "work", "back", "within", "prepare", "list")
	m := &MaintenanceBlock{Drain: open.String("drain", "", false, 4096), Work: open.String("work", "", false, 4096),
		Back: open.String("back", "", false, 4096), Within: open.Duration("within", 10*time.Minute, time.Second, 24*time.Hour),
		Prepare: open.Duration("prepare", 30*time.Second, 0, time.Hour), List: open.Bool("list", true)}
	for _, hook := range []struct{ field, path string }{{"drain", m.Drain}, {"work", m.Work}, {"back", m.Back}} {
		if hook.path != "" && !filepath.IsAbs(hook.path) {
			open.AddProblem(hook.field, "is no absolute path")
		}
	}
	return m
}

const mostPlans = 32

// ReadPlans reads a file of plans. Its error is a block.Problems that holds all that is wrong with the file itself; whether
// the plans can be done is for the conductor to say.
func ReadPlans(path string, text []byte) ([]maintenance.Plan, error) {
	sheet := block.NewDiagnostics(text)
	if len(text) > 1<<18 {
		return nil, block.Problems{{File: path, Why: "has over 256 KB"}}
	}
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	sheet.AddHCL(found, "")
	var plans []maintenance.Plan
	if parsed != nil && !found.HasErrors() {
		content, found := parsed.Body.Content(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "plan", LabelNames: []string{"name"}}}})
		sheet.AddHCL(found, "")
		seen := map[string]bool{}
		for _, b := range content.Blocks {
			if seen[b.Labels[0]] {
				sheet.Add(b.DefRange, "plan", b.Labels[0]+" stands here a second time")
			}
			seen[b.Labels[0]] = true
			plans = append(plans, readPlan(b, sheet))
		}
		if len(plans) > mostPlans {
			sheet.Add(hcl.Range{Filename: path}, "plan", fmt.Sprintf("there are over %d", mostPlans))
		}
	}
	if problems := sheet.Problems(); problems != nil {
		return nil, problems
	}
	return plans, nil
}

func readPlan(b *hcl.Block, sheet *block.Diagnostics) maintenance.Plan {
	open := block.Open(b, sheet, "engines", "zones", "kinds", "before", "needs", "by", "not", "keep", "at_once", "person")
	p := maintenance.Plan{
		ID:             maintenance.PlanID(b.Labels[0]),
		MaxUnavailable: open.Int("at_once", 1, 1, 1000),
		ConfirmWork:    open.Bool("person", false),
		WorkTime:       float64(open.Duration("needs", 10*time.Minute, time.Second, 7*24*time.Hour)) / 1e6,
	}
	if !nameForm.MatchString(b.Labels[0]) {
		sheet.Add(b.DefRange, "plan", fmt.Sprintf("%.64q is no name of a plan", b.Labels[0]))
	}
	for _, id := range open.Strings("engines", 256) {
		p.Select.Engines = append(p.Select.Engines, maintenance.EngineID(id))
	}
	for _, z := range open.Strings("zones", 256) {
		p.Select.Zones = append(p.Select.Zones, maintenance.Zone(z))
	}
	for _, k := range open.Strings("kinds", 256) {
		p.Select.Kinds = append(p.Select.Kinds, maintenance.Kind(k))
	}
	at := func(field string) float64 {
		text := open.String(field, "", false, 64)
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
	p.Select.StartedBefore = at("before")
	p.Deadline = at("by")
	for _, text := range open.Strings("not", 32) {
		h, ok := readHours(text)
		if !ok {
			open.AddProblem("not", fmt.Sprintf("%.40q is no part of a day, such as \"08:00-20:30\" (UTC)", text))
		}
		p.BlockedHours = append(p.BlockedHours, h)
	}
	for _, text := range open.Strings("keep", 128) {
		k, ok := readKeep(text)
		if !ok {
			open.AddProblem("keep", fmt.Sprintf("%.60q is none of \"3\", \"50%%\", \"3 c16\", \"50%% in hall-a\", \"3 c16 in hall-a\"", text))
		}
		p.MinAvailable = append(p.MinAvailable, k)
	}
	return p
}

func readHours(text string) (h maintenance.Hours, ok bool) {
	from, to, ok := strings.Cut(text, "-")
	a, err1 := time.Parse("15:04", from)
	b, err2 := time.Parse("15:04", to)
	if !ok || err1 != nil || err2 != nil {
		return h, false
	}
	return maintenance.Hours{From: a.Hour()*60 + a.Minute(), To: b.Hour()*60 + b.Minute()}, true
}

func readKeep(text string) (k maintenance.MinAvailable, ok bool) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return k, false
	}
	if share, is := strings.CutSuffix(words[0], "%"); is {
		x, err := strconv.ParseFloat(share, 64)
		if err != nil || !(x > 0 && x <= 100) {
			return k, false
		}
		k.Share = x / 100
	} else if n, err := strconv.Atoi(words[0]); err != nil || n < 1 {
		return k, false
	} else {
		k.Count = n
	}
	if words = words[1:]; len(words) > 0 && words[0] != "in" {
		k.Kind, words = maintenance.Kind(words[0]), words[1:]
	}
	switch {
	case len(words) == 0:
		return k, true
	case len(words) == 2 && words[0] == "in":
		k.Zone = maintenance.Zone(words[1])
		return k, true
	}
	return k, false
}
