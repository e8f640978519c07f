package main

import (
	"encoding/hex"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
)

// versionView is a version as printed with --json.
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
	return &versionView{
		Number:     v.Number,
		Hash:       hex.EncodeToString(v.Hash[:]),
		Size:       v.Size,
		Author:     v.Author,
		Reason:     v.Reason,
		Time:       time.UnixMilli(v.Time).UTC().Format(time.RFC3339Nano),
		RollbackOf: v.RollbackOf,
	}
}

// localView is the state of the controller that was asked.
type localView struct {
	Version   uint64 `json:"version"`
	Latest    uint64 `json:"latest"`
	Confirmed bool   `json:"confirmed"`
}

func localViewOf(r config.Readiness) *localView {
	return &localView{Version: r.Number, Latest: r.Latest, Confirmed: r.Confirmed}
}

// reportView is the leader's last report of one controller.
type reportView struct {
	Controller string `json:"controller"`
	Version    uint64 `json:"version"`
	Reason     string `json:"reason,omitempty"`
	LastHeard  string `json:"last_heard,omitempty"` // absent: this leader has not heard of it
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

// statusView is a status as printed with --json.
type statusView struct {
	Local       *localView     `json:"local,omitempty"` // of the controller that was asked
	Known       bool           `json:"known"`           // a leader answered: the other fields are set
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
	return statusView{
		Local:       local,
		Known:       true,
		From:        found.from,
		Latest:      viewOf(&s.Latest),
		Controllers: s.Members,
		InForce:     s.InForce,
		Everywhere:  found.inForceAtReachable(s.Latest.Number),
		Counts:      s.ByVersion,
		Refused:     reportViews(s.Rejected, now),
		Behind:      reportViews(s.Behind, now),
		NotHeard:    reportViews(s.Unreachable, now),
		More:        s.Omitted,
		CollectedMS: int64(s.CollectedFor),
		TooShort:    found.collectedTooShort(),
	}
}

// changeOutcome is the outcome of put or rollback, as printed with --json.
type changeOutcome struct {
	Result  string       `json:"result"`
	Reason  string       `json:"reason,omitempty"`
	Version *versionView `json:"version,omitempty"`
	Status  *statusView  `json:"status,omitempty"`

	line string // summary of Status, for the text output
}

func (o *changeOutcome) setStatus(found configStatus, now time.Time) {
	if found.status == nil {
		return
	}
	view := statusViewOf(found, nil, now)
	o.Status = &view
	o.line = found.summary(now)
}

// historyView is what history prints with --json.
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

// documentView is what show prints with --json.
type documentView struct {
	Number   uint64       `json:"number"`
	Version  *versionView `json:"version,omitempty"`
	Document string       `json:"document"`
}

// diffView is what diff prints with --json.
type diffView struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Diff string `json:"diff"`
}
