package maintenance

import (
	"fmt"
	"slices"
)

// Plan is maintenance work that operators want done. It is encoded by the keys of its fields, and
// shown to operators as JSON: the JSON names are those of earlier versions.
type Plan struct {
	ID     PlanID    `cbor:"1,keyasint"`
	Select Selection `cbor:"2,keyasint"`
	// WorkTime is the duration of the work on one engine in ms, from drained to back in the endpoint
	// list.
	WorkTime float64 `cbor:"3,keyasint" json:"Needs"`
	// Deadline is when all is to be done, in ms since 1970; 0: any time.
	Deadline float64 `cbor:"4,keyasint,omitempty" json:"By"`
	// BlockedHours are the hours of a day in which no engine is taken out.
	BlockedHours []Hours `cbor:"5,keyasint,omitempty" json:"Not"`
	// MinAvailable is the capacity that must remain at all times.
	MinAvailable []MinAvailable `cbor:"6,keyasint,omitempty" json:"Keep"`
	// MaxUnavailable is the number of engines that may be out or lost at a time.
	MaxUnavailable int `cbor:"7,keyasint" json:"AtOnce"`
	// Version is the serial of the agreed state in which the plan was accepted.
	Version int `cbor:"8,keyasint,omitempty"`
	// Halted: no further engine is taken out; those that are out return.
	Halted bool `cbor:"9,keyasint,omitempty"`
	// Withdrawn: as Halted, but the plan can't be resumed.
	Withdrawn bool `cbor:"10,keyasint,omitempty" json:"Over"`
	// ConfirmWork: each task waits until a person confirms that the work is done.
	ConfirmWork bool `cbor:"11,keyasint,omitempty" json:"Person"`
}

// Selection selects the engines of a plan: those that are named, and those that match all of Zones,
// Kinds and StartedBefore that are given.
type Selection struct {
	Engines []EngineID `cbor:"1,keyasint,omitempty"`
	Zones   []Zone     `cbor:"2,keyasint,omitempty"`
	Kinds   []Kind     `cbor:"3,keyasint,omitempty"`
	// StartedBefore selects engines that started before this time, in ms since 1970; 0: any.
	StartedBefore float64 `cbor:"4,keyasint,omitempty" json:"Before"`
}

// empty reports whether nothing is selected.
func (s Selection) empty() bool {
	return len(s.Engines)+len(s.Zones)+len(s.Kinds) == 0 && s.StartedBefore == 0
}

// matches reports whether an engine is selected.
func (s Selection) matches(e Engine) bool {
	if slices.Contains(s.Engines, e.ID) {
		return true
	}
	if len(s.Zones)+len(s.Kinds) == 0 && s.StartedBefore == 0 {
		return false
	}
	zone := len(s.Zones) == 0 || slices.Contains(s.Zones, e.Zone)
	kind := len(s.Kinds) == 0 || slices.Contains(s.Kinds, e.Kind)
	started := s.StartedBefore == 0 || e.StartedAt < s.StartedBefore
	return zone && kind && started
}

// MinAvailable is what must remain ready and warm: a count or a share of the engines of a kind, of
// a zone, or of all.
type MinAvailable struct {
	Kind  Kind    `cbor:"1,keyasint,omitempty"` // empty: any
	Zone  Zone    `cbor:"2,keyasint,omitempty"` // empty: any
	Count int     `cbor:"3,keyasint,omitempty"`
	Share float64 `cbor:"4,keyasint,omitempty"`
}

// String returns the rule as text for operators.
func (m MinAvailable) String() string {
	what := "engines"
	if m.Kind != "" {
		what += " of kind " + string(m.Kind)
	}
	if m.Zone != "" {
		what += " in " + string(m.Zone)
	}
	if m.Share > 0 {
		return fmt.Sprintf("%.0f%% of the %s", 100*m.Share, what)
	}
	return fmt.Sprintf("%d %s", m.Count, what)
}

// matches reports whether an engine counts for the rule.
func (m MinAvailable) matches(e Engine) bool {
	return (m.Kind == "" || m.Kind == e.Kind) && (m.Zone == "" || m.Zone == e.Zone)
}

// roundUp is added before a conversion to int to round up. It is a little less than 1, so that a
// product that exceeds a whole number only by a rounding error is not rounded up.
const roundUp = 0.999999

// required returns how many of a number of matching engines must remain.
func (m MinAvailable) required(all int) int {
	byShare := int(m.Share*float64(all) + roundUp)
	return min(max(m.Count, byShare), max(m.Count, all))
}

// countMatching returns how many engines count for a rule.
func countMatching(rule MinAvailable, fleet []Engine) (n int) {
	for _, e := range fleet {
		if rule.matches(e) {
			n++
		}
	}
	return n
}

// dayMinutes is the length of a day in minutes.
const dayMinutes = 24 * 60

// Hours is a part of each day, in minutes from midnight (UTC). It may span midnight.
type Hours struct {
	From int `cbor:"1,keyasint"`
	To   int `cbor:"2,keyasint"`
}

// within reports whether a minute of the day is in the hours, and returns how many minutes of them
// are left.
func (h Hours) within(minute int) (left int, ok bool) {
	length := (h.To - h.From + dayMinutes) % dayMinutes
	since := (minute - h.From + dayMinutes) % dayMinutes
	return length - since, since < length
}

// Merge combines the plans in effect for an engine: the longest work, the earliest deadline, the
// strictest limits, and what any of them blocks or keeps available, so that overlapping plans take
// an engine out only once. It returns false if no plan is in effect.
func Merge(plans []Plan, e Engine) (merged Plan, ok bool) {
	for _, p := range plans {
		if p.Withdrawn || p.Halted || !p.Select.matches(e) {
			continue
		}
		if !ok {
			merged = p
			ok = true
			continue
		}
		merged.WorkTime = max(merged.WorkTime, p.WorkTime)
		merged.MaxUnavailable = min(merged.MaxUnavailable, p.MaxUnavailable)
		if p.Deadline > 0 && (merged.Deadline == 0 || p.Deadline < merged.Deadline) {
			merged.Deadline = p.Deadline
		}
		merged.BlockedHours = append(slices.Clone(merged.BlockedHours), p.BlockedHours...)
		merged.MinAvailable = append(slices.Clone(merged.MinAvailable), p.MinAvailable...)
		merged.ConfirmWork = merged.ConfirmWork || p.ConfirmWork
		merged.ID = min(merged.ID, p.ID)
	}
	return merged, ok
}
