package memory

import (
	"math"
	"slices"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Report is what a snapshot holds, for people and programs. Weighs is the share of its weight that a record still has;
// 0: it is forgotten.
type Report struct {
	File       string          `json:"file"`
	Serial     uint64          `json:"serial"`
	Name       string          `json:"name"`
	Build      string          `json:"build"`
	AgeMS      int64           `json:"age_ms"`
	Complete   bool            `json:"whole"`
	Records    int             `json:"records"`
	Restorable int             `json:"believed"`
	Expired    int             `json:"aged"`
	FromFuture int             `json:"future"`
	Invalid    int             `json:"wrong"`
	Engines    []EngineReport  `json:"engines"`
	Tables     []TableReport   `json:"tables"`
	Classes    []ClassReport   `json:"profiles"`
	Traffic    []TrafficReport `json:"traffic"`
}

// RecordReport is what all records have.
type RecordReport struct {
	AgeMS           int64   `json:"age_ms"`
	RemainingWeight float64 `json:"weighs"`
}

// The records of each kind.
type (
	EngineReport struct {
		RecordReport
		Engine         string  `json:"engine"`
		Slowdown       float64 `json:"pace"`
		ThreadsPerCore float64 `json:"width"`
		Outcomes       uint8   `json:"outcomes"`
		PoolLeader     string  `json:"lead,omitempty"`
	}
	TableReport struct {
		RecordReport
		Tables      int64    `json:"tables"`
		Demand      float64  `json:"demand"`
		PoolLeaders []string `json:"homes"`
	}
	ClassReport struct {
		RecordReport
		Class        int     `json:"profile"`
		UnloadedTime float64 `json:"best"`
		WorkScale    float64 `json:"work_scale"`
		MemoryScale  float64 `json:"need_scale"`
	}
	TrafficReport struct {
		RecordReport
		Share float64 `json:"part"`
	}
)

// NewReport judges a snapshot as a controller of its name and settings would at a time in ms since 1970, whose list holds
// the same engines.
func NewReport(k *StoredSnapshot, now float64, lives restore.HalfLives) *Report {
	l := &k.Snapshot.Statistics
	var list []router.Endpoint
	for _, e := range l.Engines {
		list = append(list, router.Endpoint{Engine: e.Engine, StartedAt: e.StartedAt})
	}
	_, account := restore.Select(&k.Snapshot, k.Snapshot.Owner, list, now, lives)
	s := &Report{File: k.File, Serial: k.Serial, Name: k.Snapshot.Owner.Name, Build: k.Build, AgeMS: int64(now - k.TakenAt),
		Complete: k.Complete, Records: l.Len(), Restorable: account.Restored, Expired: account.Expired, FromFuture: account.FromFuture,
		Invalid: account.Invalid}
	record := func(at float64, lives ...float64) RecordReport {
		r := RecordReport{AgeMS: int64(now - at)}
		for _, life := range lives {
			r.RemainingWeight = max(r.RemainingWeight, restore.RemainingWeight(now-at, life))
		}
		return r
	}
	for _, e := range l.Engines {
		s.Engines = append(s.Engines, EngineReport{record(e.At, lives.Slowdown, lives.Outcomes, lives.ThreadsPerCore, lives.Pools),
			string(e.Engine), plain(e.Slowdown.Mean), plain(e.ThreadsPerCore), e.Outcomes, string(e.PoolLeader)})
	}
	for _, t := range l.Tables {
		s.Tables = append(s.Tables, TableReport{record(t.At, lives.Tables), int64(t.Tables), plain(t.Demand),
			texts(t.PoolLeaders)})
	}
	for _, p := range l.Classes {
		s.Classes = append(s.Classes, ClassReport{record(p.At, lives.Classes), int(p.Class), plain(p.UnloadedTime),
			plain(p.WorkScale.Mean), plain(p.MemoryScale.Mean)})
	}
	for _, t := range l.Traffic {
		s.Traffic = append(s.Traffic, TrafficReport{record(t.At, lives.TrafficShare), plain(t.Share.Mean)})
	}
	return s
}

// plain is a figure that JSON can hold.
func plain(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return -1
	}
	return x
}

// FileCheck is what was found of one file.
type FileCheck struct {
	File     string `json:"file"`
	Complete bool   `json:"whole"`
	Reason   string `json:"why,omitempty"`
	Name     string `json:"name,omitempty"`
	Records  int    `json:"records"`
}

// Verify reads all files of a folder, the newest first.
func Verify(d disk.Disk, b snapshots.Bounds) ([]FileCheck, error) {
	files, err := snapshots.Files(d)
	if err != nil {
		return nil, err
	}
	checks := []FileCheck{}
	for _, file := range files {
		kept, err := read(d, file, b)
		check := FileCheck{File: file.Name, Complete: err == nil}
		if err != nil {
			check.Reason = err.Error()
		}
		if kept != nil {
			check.Name, check.Records = kept.Snapshot.Owner.Name, kept.Snapshot.Statistics.Len()
		}
		checks = append(checks, check)
	}
	return checks, nil
}

// PruneSelection says what to forget.
type PruneSelection struct {
	All     bool
	Engines []router.EngineID
	Tables  []router.TableGroup
}

// Prune has some records forgotten and returns how many went. Its error is disk.ErrLocked while a controller has the
// folder.
func Prune(d disk.Disk, b snapshots.Bounds, what PruneSelection) (int, error) {
	if what.All {
		return clearAll(d, b)
	}
	n := 0
	err := RewriteNewest(d, b, func(l *router.Statistics) {
		n = l.Len()
		l.Engines = slices.DeleteFunc(l.Engines, func(e router.EngineStatistics) bool {
			return slices.Contains(what.Engines, e.Engine)
		})
		l.Tables = slices.DeleteFunc(l.Tables, func(t router.TableStatistics) bool {
			return slices.Contains(what.Tables, t.Tables)
		})
		n -= l.Len()
	})
	return n, err
}

func clearAll(d disk.Disk, b snapshots.Bounds) (int, error) {
	folder, err := snapshots.Open(d, b)
	if err != nil {
		return 0, err
	}
	defer folder.Close()
	n := 0
	if kept, _, err := Load(d, b); err == nil {
		n = kept.Snapshot.Statistics.Len()
	}
	return n, folder.Clear()
}

// RewriteNewest writes a folder's newest snapshot anew with changed records, under its old times. The older one goes too, so
// that nothing comes back by a file that can't be read.
func RewriteNewest(d disk.Disk, b snapshots.Bounds, change func(*router.Statistics)) error {
	folder, err := snapshots.Open(d, b)
	if err != nil {
		return err
	}
	defer folder.Close()
	kept, _, err := Load(d, b)
	if err != nil {
		return err
	}
	change(&kept.Snapshot.Statistics)
	for range 2 { // so that none of the files that are kept has what was there before
		_, err = folder.Write(func(add func(snapshots.SectionKind, []byte) error) error {
			head, err := encoder.Marshal(headerForm{Name: kept.Snapshot.Owner.Name, Settings: kept.Snapshot.Owner.Settings,
				Taken: int64(kept.TakenAt), Build: kept.Build})
			if err == nil {
				err = add(sectionHeader, head)
			}
			if err == nil {
				err = encode(&kept.Snapshot.Statistics, add)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
