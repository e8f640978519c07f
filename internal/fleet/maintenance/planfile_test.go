package maintenance

import (
	"fmt"
	"strings"
	"testing"

	core "mintkeel/internal/core/fleet/maintenance"
)

// A plan file must be parsed with all its fields, and each mistake must be reported, with its position if it has one.
func TestReadPlansAndTheirProblems(t *testing.T) {
	plans, err := ReadPlans("p.hcl", []byte(`plan "kernel" {
  kinds   = ["c16"]
  zones   = ["hall-a"]
  engines = ["s-1"]
  before  = "2026-12-01T00:00:00Z"
  needs   = "20m"
  at_once = 2
  keep    = ["50% in hall-a", "3 c16", "4", "2 c12 in hall-b"]
  not     = ["11:00-14:00"]
  by      = "2026-12-03T06:00:00Z"
  person  = true
}
plan "disk" {
  engines = []
}
`))
	if err != nil || len(plans) != 2 {
		t.Fatal(plans, err)
	}
	p := plans[0]
	if p.WorkTime != 1200000 || p.MaxUnavailable != 2 || !p.ConfirmWork ||
		p.BlockedHours[0] != (core.Hours{From: 660, To: 840}) ||
		p.Deadline-p.Select.StartedBefore != 2.25*24*3600*1000 {
		t.Errorf("first plan: got %+v, want the fields of the file", p)
	}
	want := "[50% of the engines in hall-a 3 engines of kind c16 4 engines 2 engines of kind c12 in hall-b]"
	if got := fmt.Sprint(p.MinAvailable); got != want {
		t.Errorf("minimum of available engines: got %s, want that of the file", got)
	}
	for text, want := range map[string]string{
		"plan \"a\" {\n}\nplan \"a\" {\n}\n":  "p.hcl:3:1: field plan",
		"plan \"a b\" {\n}\n":                 "not a valid plan name",
		"plan {\n}\n":                         "p.hcl:1",
		"x = 1\n":                             "p.hcl:1:1: field x",
		"plan \"a\" {\n not = [\"1-2\"]\n}\n": "p.hcl:2:8: field plan.not",
		"plan \"a\" {\n keep = [\"none\", \"0\", \"3 c16 at x\"]\n}\n": "p.hcl:2:9: field plan.keep",
		"plan \"a\" {\n by = \"tomorrow\"\n}\n":                        "p.hcl:2:7: field plan.by",
		"plan \"a\" {\n at_once = 0\n needs = \"x\"\n}\n":              "p.hcl:3:10: field plan.needs",
		strings.Repeat("#", 1<<19):                                     "256 KB",
	} {
		if _, err := ReadPlans("p.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: got error %v, want one containing %q", text, err, want)
		}
	}
}
