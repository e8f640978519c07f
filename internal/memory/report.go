package memory

import (
	"math"

	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// Report describes the content of a snapshot and how much of it would be restored. The JSON keys
// are those of mintkeel memory show --json, some of which keep older terms.
type Report struct {
	File       string          `json:"file"`
	Serial     uint64          `json:"serial"`
	Name       string          `json:"name"`  // of the controller
	Build      string          `json:"build"` // version of the program that wrote it
	AgeMS      int64           `json:"age_ms"`
	Complete   bool            `json:"whole"` // else sections that could not be used are missing
	Records    int             `json:"records"`
	Restorable int             `json:"believed"` // records that would be restored
	Expired    int             `json:"aged"`     // records that are too old
	FromFuture int             `json:"future"`   // records with a timestamp in the future
	Invalid    int             `json:"wrong"`    // records with impossible values
	Engines    []EngineReport  `json:"engines"`
	Tables     []TableReport   `json:"tables"`
	Classes    []ClassReport   `json:"profiles"`
	Traffic    []TrafficReport `json:"traffic"`
}

// RecordReport has the fields common to the reports of all records.
type RecordReport struct {
	AgeMS int64 `json:"age_ms"`
	// RemainingWeight is the share of its weight that the record still has. With 0 it is not restored.
	RemainingWeight float64 `json:"weighs"`
}

// EngineReport is a record of an engine; see router.EngineStatistics.
type EngineReport struct {
	RecordReport
	Engine         string  `json:"engine"`
	Slowdown       float64 `json:"pace"`
	ThreadsPerCore float64 `json:"width"`
	Outcomes       uint8   `json:"outcomes"`
	PoolLeader     string  `json:"lead,omitempty"`
}

// TableReport is a record of a table group; see router.TableStatistics.
type TableReport struct {
	RecordReport
	Tables      int64    `json:"tables"`
	Demand      float64  `json:"demand"`
	PoolLeaders []string `json:"homes"`
}

// ClassReport is a record of a query class; see router.ClassStatistics.
type ClassReport struct {
	RecordReport
	Class        int     `json:"profile"`
	UnloadedTime float64 `json:"best"`
	WorkScale    float64 `json:"work_scale"`
	MemoryScale  float64 `json:"need_scale"`
}

// TrafficReport is the record of this controller's share of the traffic.
type TrafficReport struct {
	RecordReport
	Share float64 `json:"part"`
}

// NewReport describes a snapshot as its owner would restore it at the time now in ms since 1970, if
// the same engines were listed.
func NewReport(stored *StoredSnapshot, now float64, halfLives restore.HalfLives) *Report {
	statistics := &stored.Snapshot.Statistics
	var endpoints []router.Endpoint
	for _, e := range statistics.Engines {
		endpoints = append(endpoints, router.Endpoint{Engine: e.Engine, StartedAt: e.StartedAt})
	}
	_, counts := restore.Select(&stored.Snapshot, stored.Snapshot.Owner, endpoints, now, halfLives)
	report := &Report{
		File:       stored.File,
		Serial:     stored.Serial,
		Name:       stored.Snapshot.Owner.Name,
		Build:      stored.Build,
		AgeMS:      int64(now - stored.TakenAt),
		Complete:   stored.Complete,
		Records:    statistics.Len(),
		Restorable: counts.Restored,
		Expired:    counts.Expired,
		FromFuture: counts.FromFuture,
		Invalid:    counts.Invalid,
	}
	report.addRecords(statistics, now, halfLives)
	return report
}

func (r *Report) addRecords(s *router.Statistics, now float64, halfLives restore.HalfLives) {
	for _, e := range s.Engines {
		r.Engines = append(r.Engines, EngineReport{
			RecordReport: newRecordReport(now-e.At,
				halfLives.Slowdown, halfLives.Outcomes, halfLives.ThreadsPerCore, halfLives.Pools),
			Engine:         string(e.Engine),
			Slowdown:       finiteOrMinusOne(e.Slowdown.Mean),
			ThreadsPerCore: finiteOrMinusOne(e.ThreadsPerCore),
			Outcomes:       e.Outcomes,
			PoolLeader:     string(e.PoolLeader),
		})
	}
	for _, t := range s.Tables {
		r.Tables = append(r.Tables, TableReport{
			RecordReport: newRecordReport(now-t.At, halfLives.Tables),
			Tables:       int64(t.Tables),
			Demand:       finiteOrMinusOne(t.Demand),
			PoolLeaders:  convertIDs[string](t.PoolLeaders),
		})
	}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassReport{
			RecordReport: newRecordReport(now-c.At, halfLives.Classes),
			Class:        int(c.Class),
			UnloadedTime: finiteOrMinusOne(c.UnloadedTime),
			WorkScale:    finiteOrMinusOne(c.WorkScale.Mean),
			MemoryScale:  finiteOrMinusOne(c.MemoryScale.Mean),
		})
	}
	for _, t := range s.Traffic {
		r.Traffic = append(r.Traffic, TrafficReport{
			RecordReport: newRecordReport(now-t.At, halfLives.TrafficShare),
			Share:        finiteOrMinusOne(t.Share.Mean),
		})
	}
}

// newRecordReport returns the report of a record of an age in ms. The weight is that of the value
// with the longest half-life.
func newRecordReport(age float64, halfLives ...float64) RecordReport {
	report := RecordReport{AgeMS: int64(age)}
	for _, halfLife := range halfLives {
		report.RemainingWeight = max(report.RemainingWeight, restore.RemainingWeight(age, halfLife))
	}
	return report
}

// finiteOrMinusOne replaces infinities and NaN, which JSON can't represent, by -1.
func finiteOrMinusOne(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return -1
	}
	return x
}
