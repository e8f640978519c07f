package main

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode"

	"mintkeel/internal/core/fleet/config"
)

const (
	// collectionTime is how long a new leader takes to collect the reports of all controllers. Until
	// then, a controller without a report may still be reachable.
	collectionTime      = 15 * time.Second
	maxNamedControllers = 8 // controllers listed by name in the text output; --json lists more
)

// configStatus is the leader's view of the versions at all controllers, or the error because of
// which it is unknown.
type configStatus struct {
	status *config.Status // nil: unknown
	from   string
	err    error
}

// unreachable returns the number of controllers without a recent report. The lists of a status may
// be truncated; its counts are complete.
func (s configStatus) unreachable() int {
	if s.status.Omitted == 0 {
		return len(s.status.Unreachable)
	}
	return max(0, s.status.Members-s.countFrom(0))
}

// countFrom returns the number of controllers that have this version or a later one in force,
// according to the counts of the status.
func (s configStatus) countFrom(from uint64) (n int) {
	for number, count := range s.status.ByVersion {
		if number >= from {
			n += count
		}
	}
	return n
}

// inForce returns how many controllers have the version, or a later one, in force.
func (s configStatus) inForce(number uint64) int {
	if number == s.status.Latest.Number {
		return s.status.InForce
	}
	return s.countFrom(number)
}

// collectedTooShort reports whether the leader has collected reports for less than collectionTime
// and lacks some.
func (s configStatus) collectedTooShort() bool {
	return s.unreachable() > 0 && s.status.CollectedFor < float64(collectionTime/time.Millisecond)
}

// inForceAtReachable reports whether all reachable controllers have the version, or a later one, in
// force.
func (s configStatus) inForceAtReachable(number uint64) bool {
	if s.status == nil || s.status.Latest.Number < number || s.collectedTooShort() {
		return false
	}
	heard := s.status.Members - s.unreachable()
	return heard > 0 && s.inForce(number) == heard
}

// settled reports whether waiting longer changes nothing: each reachable controller has applied the
// version or rejected it.
func (s configStatus) settled(number uint64) bool {
	if s.inForceAtReachable(number) {
		return true
	}
	if s.status == nil || s.status.Latest.Number != number || s.collectedTooShort() {
		return false
	}
	if s.status.Omitted > 0 || len(s.status.Rejected) == 0 {
		return false
	}
	return s.status.InForce+len(s.status.Rejected) == s.status.Members-s.unreachable()
}

// resultError returns an error with exitPartial, or nil if the version is in force at all reachable
// controllers.
func (s configStatus) resultError(number uint64, wait time.Duration) error {
	if s.inForceAtReachable(number) {
		return nil
	}
	if s.status == nil {
		err := fmt.Errorf("version %d is agreed; where it is in force is not known: "+
			"no leader answered within %v", number, wait)
		return &exitError{exitPartial, errors.Join(err, s.err)}
	}
	if s.collectedTooShort() && s.inForce(number) == s.status.Members-s.unreachable() {
		err := fmt.Errorf("version %d: %d controllers are not heard, "+
			"and the leader has collected for %v only", number, s.unreachable(), collectedFor(s.status))
		return &exitError{exitPartial, err}
	}
	err := fmt.Errorf("version %d is agreed and not in force at all controllers that are heard",
		number)
	return &exitError{exitPartial, err}
}

func collectedFor(s *config.Status) time.Duration {
	return (time.Duration(s.CollectedFor) * time.Millisecond).Round(time.Second)
}

// summary formats a status in one line.
func (s configStatus) summary(now time.Time) string {
	st := s.status
	if st.Latest.Number == 0 {
		return fmt.Sprintf("no version is agreed yet: each of %d controllers uses its own file",
			st.Members)
	}
	parts := []string{fmt.Sprintf("version %d in force at %d of %d", st.Latest.Number, st.InForce,
		st.Members)}
	if n := len(st.Rejected); n > 0 {
		names := listControllers(st.Rejected, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s (%s)", r.ID, cmp.Or(oneLine(r.Reason), "no reason given"))
		})
		parts = append(parts, fmt.Sprintf("%d refused: %s", n, names))
	}
	if n := len(st.Behind); n > 0 {
		names := listControllers(st.Behind, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s (version %d)", r.ID, r.Applied)
		})
		parts = append(parts, fmt.Sprintf("%d behind: %s", n, names))
	}
	switch n := len(st.Unreachable); {
	case n == 1:
		only := st.Unreachable[0]
		parts = append(parts, fmt.Sprintf("1 not heard %s: %s", lastHeard(only, now), only.ID))
	case n > 1:
		names := listControllers(st.Unreachable, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s %s", r.ID, lastHeard(r, now))
		})
		parts = append(parts, fmt.Sprintf("%d not heard: %s", n, names))
	}
	if st.Omitted > 0 {
		parts = append(parts, fmt.Sprintf("%d more that are refused, behind or not heard", st.Omitted))
	}
	return strings.Join(parts, "; ")
}

// listControllers formats the first maxNamedControllers reports, and the number of the others.
func listControllers(
	reports []config.ControllerReport, text func(config.ControllerReport) string,
) string {
	var texts []string
	for i, r := range reports {
		if i == maxNamedControllers {
			texts = append(texts, fmt.Sprintf("%d more", len(reports)-i))
			break
		}
		texts = append(texts, text(r))
	}
	return strings.Join(texts, ", ")
}

// lastHeard formats the time of a controller's last report.
func lastHeard(r config.ControllerReport, now time.Time) string {
	at, ok := heardAt(r, now)
	switch {
	case !ok:
		return "by this leader"
	case now.Sub(at) > 12*time.Hour:
		return "since " + at.Format(time.DateTime)
	}
	return "since " + at.Format(time.TimeOnly)
}

func heardAt(r config.ControllerReport, now time.Time) (at time.Time, ever bool) {
	if r.Age < 0 {
		return at, false
	}
	return now.Add(-time.Duration(r.Age * float64(time.Millisecond))), true
}

// oneLine replaces non-printable characters with spaces: text from another controller could contain
// terminal control sequences.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, text)
}
