package memory

import (
	"math"
	"slices"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Shown is what a snapshot holds, for people and programs. Weighs is the share of its weight that a record still has;
// 0: it is forgotten.
type Shown struct {
	File     string         `json:"file"`
	Serial   uint64         `json:"serial"`
	Name     string         `json:"name"`
	Build    string         `json:"build"`
	AgeMS    int64          `json:"age_ms"`
	Whole    bool           `json:"whole"`
	Records  int            `json:"records"`
	Believed int            `json:"believed"`
	Aged     int            `json:"aged"`
	Future   int            `json:"future"`
	Wrong    int            `json:"wrong"`
	Engines  []ShownEngine  `json:"engines"`
	Tables   []ShownTables  `json:"tables"`
	Profiles []ShownProfile `json:"profiles"`
	Traffic  []ShownTraffic `json:"traffic"`
}

// ShownRecord is what all records have.
type ShownRecord struct {
	AgeMS  int64   `json:"age_ms"`
	Weighs float64 `json:"weighs"`
}

// The records of each kind.
type (
	ShownEngine struct {
		ShownRecord
		Engine   string  `json:"engine"`
		Pace     float64 `json:"pace"`
		Width    float64 `json:"width"`
		Outcomes uint8   `json:"outcomes"`
		Lead     string  `json:"lead,omitempty"`
	}
	ShownTables struct {
		ShownRecord
		Tables int64    `json:"tables"`
		Demand float64  `json:"demand"`
		Homes  []string `json:"homes"`
	}
	ShownProfile struct {
		ShownRecord
		Profile   int     `json:"profile"`
		Best      float64 `json:"best"`
		WorkScale float64 `json:"work_scale"`
		NeedScale float64 `json:"need_scale"`
	}
	ShownTraffic struct {
		ShownRecord
		Part float64 `json:"part"`
	}
)

// Show judges a snapshot as a controller of its name and settings would at a time in ms since 1970, whose list holds
// the same engines.
func Show(k *Kept, now float64, lives restore.HalfLives) *Shown {
	l := &k.Memory.Learned
	var list []router.Endpoint
	for _, e := range l.Engines {
		list = append(list, router.Endpoint{Engine: e.Engine, StartedAt: e.StartedAt})
	}
	_, account := restore.Select(&k.Memory, k.Memory.Of, list, now, lives)
	s := &Shown{File: k.File, Serial: k.Serial, Name: k.Memory.Of.Name, Build: k.Build, AgeMS: int64(now - k.Taken),
		Whole: k.Whole, Records: l.Len(), Believed: account.Believed, Aged: account.Aged, Future: account.Future,
		Wrong: account.Wrong}
	record := func(at float64, lives ...float64) ShownRecord {
		r := ShownRecord{AgeMS: int64(now - at)}
		for _, life := range lives {
			r.Weighs = max(r.Weighs, restore.Factor(now-at, life))
		}
		return r
	}
	for _, e := range l.Engines {
		s.Engines = append(s.Engines, ShownEngine{record(e.At, lives.Pace, lives.Health, lives.Width, lives.Homes),
			string(e.Engine), plain(e.Slowdown.Mean), plain(e.ThreadsPerCore), e.Outcomes, string(e.PoolLeader)})
	}
	for _, t := range l.Tables {
		s.Tables = append(s.Tables, ShownTables{record(t.At, lives.Tables), int64(t.Tables), plain(t.Demand),
			texts(t.PoolLeaders)})
	}
	for _, p := range l.Classes {
		s.Profiles = append(s.Profiles, ShownProfile{record(p.At, lives.Profile), int(p.Class), plain(p.UnloadedTime),
			plain(p.WorkScale.Mean), plain(p.MemoryScale.Mean)})
	}
	for _, t := range l.Traffic {
		s.Traffic = append(s.Traffic, ShownTraffic{record(t.At, lives.Traffic), plain(t.Share.Mean)})
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

// Check is what was found of one file.
type Check struct {
	File    string `json:"file"`
	Whole   bool   `json:"whole"`
	Why     string `json:"why,omitempty"`
	Name    string `json:"name,omitempty"`
	Records int    `json:"records"`
}

// Verify reads all files of a folder, the newest first.
func Verify(d disk.Disk, b snapshots.Bounds) ([]Check, error) {
	files, err := snapshots.Files(d)
	if err != nil {
		return nil, err
	}
	checks := []Check{}
	for _, file := range files {
		kept, err := read(d, file, b)
		check := Check{File: file.Name, Whole: err == nil}
		if err != nil {
			check.Why = err.Error()
		}
		if kept != nil {
			check.Name, check.Records = kept.Memory.Of.Name, kept.Memory.Learned.Len()
		}
		checks = append(checks, check)
	}
	return checks, nil
}

// Pruning says what to forget.
type Pruning struct {
	All     bool
	Engines []router.EngineID
	Tables  []router.TableGroup
}

// Prune has some records forgotten and returns how many went. Its error is disk.ErrLocked while a controller has the
// folder.
func Prune(d disk.Disk, b snapshots.Bounds, what Pruning) (int, error) {
	if what.All {
		return clearAll(d, b)
	}
	n := 0
	err := Rewrite(d, b, func(l *router.Statistics) {
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
		n = kept.Memory.Learned.Len()
	}
	return n, folder.Clear()
}

// Rewrite writes a folder's newest snapshot anew with changed records, under its old times. The older one goes too, so
// that nothing comes back by a file that can't be read.
func Rewrite(d disk.Disk, b snapshots.Bounds, change func(*router.Statistics)) error {
	folder, err := snapshots.Open(d, b)
	if err != nil {
		return err
	}
	defer folder.Close()
	kept, _, err := Load(d, b)
	if err != nil {
		return err
	}
	change(&kept.Memory.Learned)
	for range 2 { // so that none of the files that are kept has what was there before
		_, err = folder.Write(func(add func(snapshots.Kind, []byte) error) error {
			head, err := encoder.Marshal(headForm{Name: kept.Memory.Of.Name, Settings: kept.Memory.Of.Settings,
				Taken: int64(kept.Taken), Build: kept.Build})
			if err == nil {
				err = add(sectionHead, head)
			}
			if err == nil {
				err = encode(&kept.Memory.Learned, add)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
