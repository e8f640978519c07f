// Package maintenance decides in which order engines are taken out for work, and when each may go: so that service is kept
// whatever breaks meanwhile. It is free of I/O and clocks: from plans, what the list and controllers tell, and what is out,
// it reckons the wanted state and one difference to the present at a time, with a reason for each choice and each wait.
// Whoever owns the work conducts by it; all that it knows of its own is agreed, so that the next owner goes on.
package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// EngineID is the name of an engine, as the endpoint list has it.
	EngineID string
	// Zone is the name of a zone, as the endpoint list has it.
	Zone string
	// Kind is the name of a kind of engine, as the settings have it.
	Kind string
	// Group is the number of a table group, as the settings have it.
	Group int64
	// PlanID names a plan.
	PlanID string
)

// Selection tells which engines a plan is for: those named, and those that all of the rest holds for, where some is given.
type Selection struct {
	Engines []EngineID `cbor:"1,keyasint,omitempty"`
	Zones   []Zone     `cbor:"2,keyasint,omitempty"`
	Kinds   []Kind     `cbor:"3,keyasint,omitempty"`
	Before  float64    `cbor:"4,keyasint,omitempty"` // started before this time, ms since 1970; 0: whenever
}

func (s Selection) empty() bool {
	return len(s.Engines)+len(s.Zones)+len(s.Kinds) == 0 && s.Before == 0
}

func (s Selection) has(e Engine) bool {
	if slices.Contains(s.Engines, e.ID) {
		return true
	}
	if len(s.Zones)+len(s.Kinds) == 0 && s.Before == 0 {
		return false
	}
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, e.Zone)) && (len(s.Kinds) == 0 || slices.Contains(s.Kinds, e.Kind)) &&
		(s.Before == 0 || e.Since < s.Before)
}

// Keep is what must always remain: so many engines, or such a share, of a kind, of a zone or of all.
type Keep struct {
	Kind  Kind    `cbor:"1,keyasint,omitempty"`
	Zone  Zone    `cbor:"2,keyasint,omitempty"`
	Count int     `cbor:"3,keyasint,omitempty"`
	Share float64 `cbor:"4,keyasint,omitempty"`
}

func (k Keep) String() string {
	what := "engines"
	if k.Kind != "" {
		what += " of kind " + string(k.Kind)
	}
	if k.Zone != "" {
		what += " in " + string(k.Zone)
	}
	if k.Share > 0 {
		return fmt.Sprintf("%.0f%% of the %s", 100*k.Share, what)
	}
	return fmt.Sprintf("%d %s", k.Count, what)
}

// Hours is a part of each day, in minutes from midnight; it may pass midnight.
type Hours struct {
	From int `cbor:"1,keyasint"`
	To   int `cbor:"2,keyasint"`
}

const dayMinutes = 24 * 60

// within tells whether a minute of a day lies in it, and for how many more it does.
func (h Hours) within(minute int) (left int, ok bool) {
	long := (h.To - h.From + dayMinutes) % dayMinutes
	since := (minute - h.From + dayMinutes) % dayMinutes
	return long - since, since < long
}

// Plan is what operators want done.
type Plan struct {
	ID      PlanID    `cbor:"1,keyasint"`
	Select  Selection `cbor:"2,keyasint"`
	Needs   float64   `cbor:"3,keyasint"`           // ms that the work on one engine takes, from free to back
	By      float64   `cbor:"4,keyasint,omitempty"` // ms since 1970; 0: whenever
	Not     []Hours   `cbor:"5,keyasint,omitempty"` // in which none is taken out
	Keep    []Keep    `cbor:"6,keyasint,omitempty"`
	AtOnce  int       `cbor:"7,keyasint"` // out at most
	Version int       `cbor:"8,keyasint,omitempty"`
	Halted  bool      `cbor:"9,keyasint,omitempty"`  // no further one is taken; who is out comes back
	Over    bool      `cbor:"10,keyasint,omitempty"` // withdrawn: as halted, for good
	Person  bool      `cbor:"11,keyasint,omitempty"` // each step waits for a person's word that the work is done
}

// Engine is one as it is known now.
type Engine struct {
	ID     EngineID
	Zone   Zone
	Kind   Kind
	Cores  float64
	Ready  bool    // in the list, and not draining
	Since  float64 // when it last started, ms since 1970; 0: long ago
	WarmAt float64 // until then it is cold
	Load   float64 // share of its cores in use
	Groups []Held  // table groups that it serves
}

// Held is a table group on an engine.
type Held struct {
	Group Group
	Asked float64 // work asked of it there, cores
	Homes int     // other engines, ready and warm, that have it warm
}

// Bound is a profile that only some kinds may run, with what it needs of them in cores.
type Bound struct {
	Kinds []Kind
	Needs float64
}

// Problem is why a plan can't be done as it stands, and what would do.
type Problem struct{ Field, Why, Would string }

func (p Problem) Error() string {
	text := p.Field + ": " + p.Why
	if p.Would != "" {
		text += "; " + p.Would
	}
	return text
}

// Times are what a step takes beside the work itself, in ms: until an engine is free, and until it is warm again.
type Times struct{ Drain, Warm float64 }

func kinds(list []Kind) string {
	texts := make([]string, len(list))
	for i, k := range list {
		texts[i] = string(k)
	}
	return strings.Join(texts, " and ")
}

// countOf is how many engines a Keep speaks of.
func countOf(k Keep, fleet []Engine) (n int) {
	for _, e := range fleet {
		if k.of(e) {
			n++
		}
	}
	return n
}

func (k Keep) of(e Engine) bool {
	return (k.Kind == "" || k.Kind == e.Kind) && (k.Zone == "" || k.Zone == e.Zone)
}

// must is how many of so many have to remain.
func (k Keep) must(all int) int {
	by := int(k.Share*float64(all) + 0.999999)
	return min(max(k.Count, by), max(k.Count, all))
}

// forecast is when a plan's last engine would be back and warm, if nothing goes wrong: the next is taken when the one that came
// back is warm, and none is taken in hours in which none may be.
func forecast(p Plan, engines, atOnce int, now float64, t Times) float64 {
	one := t.Drain + p.Needs + t.Warm
	at := now
	for rounds := (engines + atOnce - 1) / atOnce; rounds > 0; rounds-- {
		at = opens(p, at) + one
	}
	return at
}

// opens is when one may be taken, at a time or later.
func opens(p Plan, at float64) float64 {
	for range 8 {
		moved := false
		for _, h := range p.Not {
			minute := int(at/60000) % dayMinutes
			if left, ok := h.within(minute); ok {
				at, moved = (float64(int(at/60000))+float64(left))*60000, true
			}
		}
		if !moved {
			break
		}
	}
	return at
}

// Merge is the plans that hold for an engine, as one: the longest work, the latest hour that suits all, what any of them keeps.
// Overlapping plans take an engine out once.
func Merge(plans []Plan, e Engine) (merged Plan, ok bool) {
	for _, p := range plans {
		if p.Over || p.Halted || !p.Select.has(e) {
			continue
		}
		if !ok {
			merged, ok = p, true
			continue
		}
		merged.Needs = max(merged.Needs, p.Needs)
		merged.AtOnce = min(merged.AtOnce, p.AtOnce)
		if p.By > 0 && (merged.By == 0 || p.By < merged.By) {
			merged.By = p.By
		}
		merged.Not = append(slices.Clone(merged.Not), p.Not...)
		merged.Keep = append(slices.Clone(merged.Keep), p.Keep...)
		merged.Person = merged.Person || p.Person
		merged.ID = min(merged.ID, p.ID)
	}
	return merged, ok
}

// byID orders engines, as lists come in any order.
func byID(fleet []Engine) []Engine {
	sorted := slices.Clone(fleet)
	slices.SortFunc(sorted, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}
