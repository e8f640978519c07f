package main

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/spf13/cobra"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
)

const (
	// collectTime is how long a new leader takes to hear of all controllers: before it, one that was not heard tells nothing.
	collectTime = 15 * time.Second
	mostNamed   = 8 // controllers named in a line; --json has more
)

// configStatus is where versions are in force, as the leader told it, or why that is not known.
type configStatus struct {
	status *config.Status // nil: not known
	from   string
	err    error
}

// unheard is how many controllers are not heard of. The lists of a status may be cut, its counts by version are not.
func (s configStatus) unheard() int {
	if s.status.Omitted == 0 {
		return len(s.status.Unreachable)
	}
	return max(0, s.status.Members-s.counted(0))
}

// counted is how many controllers have a version from this number on in force.
func (s configStatus) counted(from uint64) (n int) {
	for number, count := range s.status.ByVersion {
		if number >= from {
			n += count
		}
	}
	return n
}

// inForce is how many controllers have the version, or a later one, in force.
func (s configStatus) inForce(number uint64) int {
	if number == s.status.Latest.Number {
		return s.status.InForce
	}
	return s.counted(number)
}

// young tells that the leader has collected for too short a time to say much of controllers that it has not heard.
func (s configStatus) young() bool {
	return s.unheard() > 0 && s.status.CollectedFor < float64(collectTime/time.Millisecond)
}

// everywhereHeard tells that the version, or a later one, is in force at all controllers that are heard.
func (s configStatus) everywhereHeard(number uint64) bool {
	if s.status == nil || s.status.Latest.Number < number || s.young() {
		return false
	}
	heard := s.status.Members - s.unheard()
	return heard > 0 && s.inForce(number) == heard
}

// settled tells that waiting longer changes nothing: each controller that is heard has the version in force, or refused it.
func (s configStatus) settled(number uint64) bool {
	if s.everywhereHeard(number) {
		return true
	}
	if s.status == nil || s.status.Latest.Number != number || s.young() || s.status.Omitted > 0 || len(s.status.Rejected) == 0 {
		return false
	}
	return s.status.InForce+len(s.status.Rejected) == s.status.Members-s.unheard()
}

// verdict is nil if the version is in force at all controllers that are heard, else an error with its exit code.
func (s configStatus) verdict(number uint64, wait time.Duration) error {
	if s.everywhereHeard(number) {
		return nil
	}
	if s.status == nil {
		err := fmt.Errorf("version %d is agreed; where it is in force is not known: no leader told it within %v", number, wait)
		return &exitError{exitPartial, errors.Join(err, s.err)}
	}
	if s.young() && s.inForce(number) == s.status.Members-s.unheard() {
		return &exitError{exitPartial, fmt.Errorf("version %d: %d controllers are not heard, and the leader has collected for %v only", number,
			s.unheard(), since(s.status))}
	}
	return &exitError{exitPartial, fmt.Errorf("version %d is agreed and not in force at all controllers that are heard", number)}
}

func since(s *config.Status) time.Duration {
	return (time.Duration(s.CollectedFor) * time.Millisecond).Round(time.Second)
}

// line is a status in one line.
func (s configStatus) line(now time.Time) string {
	st := s.status
	if st.Latest.Number == 0 {
		return fmt.Sprintf("no version is agreed yet: each of %d controllers runs by its own file", st.Members)
	}
	parts := []string{fmt.Sprintf("version %d in force at %d of %d", st.Latest.Number, st.InForce, st.Members)}
	if n := len(st.Rejected); n > 0 {
		parts = append(parts, fmt.Sprintf("%d refused: %s", n, named(st.Rejected, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s (%s)", r.ID, cmp.Or(oneLine(r.Reason), "no reason told"))
		})))
	}
	if n := len(st.Behind); n > 0 {
		parts = append(parts, fmt.Sprintf("%d behind: %s", n, named(st.Behind, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s (version %d)", r.ID, r.Applied)
		})))
	}
	switch n := len(st.Unreachable); {
	case n == 1:
		parts = append(parts, fmt.Sprintf("1 not heard %s: %s", lastHeard(st.Unreachable[0], now), st.Unreachable[0].ID))
	case n > 1:
		parts = append(parts, fmt.Sprintf("%d not heard: %s", n, named(st.Unreachable, func(r config.ControllerReport) string {
			return fmt.Sprintf("%s %s", r.ID, lastHeard(r, now))
		})))
	}
	if st.Omitted > 0 {
		parts = append(parts, fmt.Sprintf("%d more that are refused, behind or not heard", st.Omitted))
	}
	return strings.Join(parts, "; ")
}

// named lists the first few controllers.
func named(reports []config.ControllerReport, text func(config.ControllerReport) string) string {
	var texts []string
	for i, r := range reports {
		if i == mostNamed {
			texts = append(texts, fmt.Sprintf("%d more", len(reports)-i))
			break
		}
		texts = append(texts, text(r))
	}
	return strings.Join(texts, ", ")
}

// lastHeard tells since when a controller was not heard.
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

// oneLine is a text from another controller without what could disturb a terminal.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, text)
}

// printStatus prints a status; its error holds the exit code.
func (cc *configCommands) printStatus(c *cobra.Command, local config.Readiness, found configStatus) error {
	now, out := cc.now(), c.OutOrStdout()
	if found.status == nil {
		err := errors.New("where versions are in force is not known: no leader told it")
		if cc.flags.json {
			return cmp.Or(errors.Join(err, found.err), printJSON(c, statusView{Local: localViewOf(local)}))
		}
		fmt.Fprintf(out, "the controller asked: %s\n", readiness(local))
		return errors.Join(err, found.err)
	}
	latest := found.status.Latest.Number
	var err error
	if latest > 0 {
		err = found.verdict(latest, 0)
	}
	if cc.flags.json {
		return cmp.Or(printJSON(c, statusViewOf(found, localViewOf(local), now)), err)
	}
	fmt.Fprintln(out, found.line(now))
	if found.young() {
		fmt.Fprintf(out, "the leader has collected for %v only: who is not heard may not have reported to it yet\n", since(found.status))
	}
	fmt.Fprintf(out, "the controller asked: %s\n", readiness(local))
	return err
}

// readiness tells what a controller says of itself.
func readiness(r config.Readiness) string {
	text := fmt.Sprintf("version %d in force", r.Number)
	if r.Number == 0 {
		text = "no version in force, by its own file"
	}
	if r.Latest > r.Number {
		text += fmt.Sprintf(", version %d heard of", r.Latest)
	}
	if !r.Confirmed {
		text += ", not confirmed as the latest"
	}
	return text
}

func printHistory(out io.Writer, versions []config.Version) error {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "version\tagreed\tauthor\tbytes\thash\treason")
	for _, v := range slices.Backward(versions) {
		reason := oneLine(v.Reason)
		if v.RollbackOf > 0 {
			reason = fmt.Sprintf("rollback to %d: %s", v.RollbackOf, reason)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%.12s\t%s\n", v.Number, time.UnixMilli(v.Time).Format(time.DateTime), oneLine(v.Author), v.Size, v.Hash,
			reason)
	}
	return t.Flush()
}

// versionView is a version as programs read it.
type versionView struct {
	Number     uint64 `json:"number"`
	Hash       string `json:"hash"`
	Size       int    `json:"size"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	Time       string `json:"time"`
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

func viewOf(v *config.Version) *versionView {
	if v == nil {
		return nil
	}
	return &versionView{Number: v.Number, Hash: hex.EncodeToString(v.Hash[:]), Size: v.Size, Author: v.Author, Reason: v.Reason,
		Time: time.UnixMilli(v.Time).UTC().Format(time.RFC3339Nano), RollbackOf: v.RollbackOf}
}

// localView is what the controller asked says of itself.
type localView struct {
	Version   uint64 `json:"version"`
	Latest    uint64 `json:"latest"`
	Confirmed bool   `json:"confirmed"`
}

func localViewOf(r config.Readiness) *localView { return &localView{r.Number, r.Latest, r.Confirmed} }

// reportView is one controller.
type reportView struct {
	Controller string `json:"controller"`
	Version    uint64 `json:"version"`
	Reason     string `json:"reason,omitempty"`
	LastHeard  string `json:"last_heard,omitempty"` // absent: never by this leader
}

func reportViews(reports []config.ControllerReport, now time.Time) []reportView {
	views := []reportView{}
	for _, r := range reports {
		v := reportView{Controller: string(r.ID), Version: r.Applied, Reason: r.Reason}
		if at, ever := heardAt(r, now); ever {
			v.LastHeard = at.UTC().Format(time.RFC3339)
		}
		views = append(views, v)
	}
	return views
}

// statusView is a status as programs read it.
type statusView struct {
	Local       *localView     `json:"local,omitempty"` // of the controller asked
	Known       bool           `json:"known"`           // the rest is: a leader told it
	From        string         `json:"from,omitempty"`
	Latest      *versionView   `json:"latest,omitempty"`
	Controllers int            `json:"controllers"`
	InForce     int            `json:"in_force"`
	Everywhere  bool           `json:"in_force_at_all_heard"`
	Counts      map[uint64]int `json:"by_version,omitempty"`
	Refused     []reportView   `json:"refused,omitempty"`
	Behind      []reportView   `json:"behind,omitempty"`
	NotHeard    []reportView   `json:"not_heard,omitempty"`
	More        int            `json:"more"`
	CollectedMS int64          `json:"collected_ms"`
	TooShort    bool           `json:"collected_too_short"`
}

func statusViewOf(found configStatus, local *localView, now time.Time) statusView {
	s := found.status
	return statusView{Local: local, Known: true, From: found.from, Latest: viewOf(&s.Latest), Controllers: s.Members,
		InForce: s.InForce, Everywhere: found.everywhereHeard(s.Latest.Number), Counts: s.ByVersion, Refused: reportViews(s.Rejected, now),
		Behind: reportViews(s.Behind, now), NotHeard: reportViews(s.Unreachable, now), More: s.Omitted, CollectedMS: int64(s.CollectedFor),
		TooShort: found.young()}
}

// changeOutcome is how put and rollback ended, as programs read it.
type changeOutcome struct {
	Result  string       `json:"result"`
	Reason  string       `json:"reason,omitempty"`
	Version *versionView `json:"version,omitempty"`
	Status  *statusView  `json:"status,omitempty"`

	line string
}

func (o *changeOutcome) setStatus(found configStatus, now time.Time) {
	if found.status == nil {
		return
	}
	view := statusViewOf(found, nil, now)
	o.Status, o.line = &view, found.line(now)
}

// historyView, documentView and diffView are what history, show and diff print for programs.
type historyView struct {
	From     string         `json:"from,omitempty"`
	Versions []*versionView `json:"versions"`
}

func historyViewOf(a *configuration.Answer) historyView {
	view := historyView{From: a.From, Versions: []*versionView{}}
	for i := range a.Versions {
		view.Versions = append(view.Versions, viewOf(&a.Versions[i]))
	}
	return view
}

type documentView struct {
	Number   uint64       `json:"number"`
	Version  *versionView `json:"version,omitempty"`
	Document string       `json:"document"`
}

type diffView struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Diff string `json:"diff"`
}
