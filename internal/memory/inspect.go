package memory

import (
	"slices"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// retainedSnapshots is the number of snapshots that a directory keeps: see package snapshots.
const retainedSnapshots = 2

// FileCheck is the state of one file. The JSON keys are those of mintkeel memory verify --json.
type FileCheck struct {
	File     string `json:"file"`
	Complete bool   `json:"whole"`
	Reason   string `json:"why,omitempty"`  // why it is not complete
	Name     string `json:"name,omitempty"` // of the controller
	Records  int    `json:"records"`        // number of records that can be used
}

// Verify reads all files of a directory, the newest first.
func Verify(d disk.Disk, b snapshots.Bounds) ([]FileCheck, error) {
	files, err := snapshots.Files(d)
	if err != nil {
		return nil, err
	}
	checks := []FileCheck{} // an empty list in JSON, and not null
	for _, file := range files {
		stored, err := readFile(d, file, b)
		check := FileCheck{File: file.Name, Complete: err == nil}
		if err != nil {
			check.Reason = err.Error()
		}
		if stored != nil {
			check.Name = stored.Snapshot.Owner.Name
			check.Records = stored.Snapshot.Statistics.Len()
		}
		checks = append(checks, check)
	}
	return checks, nil
}

// PruneSelection selects the records to remove.
type PruneSelection struct {
	All     bool // every record; Engines and Tables are ignored
	Engines []router.EngineID
	Tables  []router.TableGroup
}

// Prune removes the selected records from all stored snapshots and returns the number of records
// removed. While a controller uses the directory the error is disk.ErrLocked.
func Prune(d disk.Disk, b snapshots.Bounds, selection PruneSelection) (removed int, err error) {
	if selection.All {
		return removeAll(d, b)
	}
	err = RewriteNewest(d, b, func(s *router.Statistics) {
		before := s.Len()
		s.Engines = slices.DeleteFunc(s.Engines, func(e router.EngineStatistics) bool {
			return slices.Contains(selection.Engines, e.Engine)
		})
		s.Tables = slices.DeleteFunc(s.Tables, func(t router.TableStatistics) bool {
			return slices.Contains(selection.Tables, t.Tables)
		})
		removed = before - s.Len()
	})
	return removed, err
}

// removeAll removes all snapshots and returns the number of records that Load would have returned.
func removeAll(d disk.Disk, b snapshots.Bounds) (removed int, err error) {
	folder, err := snapshots.Open(d, b)
	if err != nil {
		return 0, err
	}
	defer folder.Close()
	stored, _, err := Load(d, b)
	if err == nil {
		removed = stored.Snapshot.Statistics.Len()
	}
	return removed, folder.Clear()
}

// RewriteNewest applies change to the newest snapshot of a directory and replaces all snapshots by
// the result. The records keep their timestamps, so that they don't seem newer than they are.
func RewriteNewest(d disk.Disk, b snapshots.Bounds, change func(*router.Statistics)) error {
	folder, err := snapshots.Open(d, b)
	if err != nil {
		return err
	}
	defer folder.Close()
	stored, _, err := Load(d, b)
	if err != nil {
		return err
	}
	change(&stored.Snapshot.Statistics)
	// Writing it as often as files are retained removes all older files.
	for range retainedSnapshots {
		_, err = folder.Write(stored.writeSections)
		if err != nil {
			return err
		}
	}
	return nil
}

// writeSections adds the snapshot's sections to a file, with its original header.
func (stored *StoredSnapshot) writeSections(add snapshots.AddFunc) error {
	header := headerForm{
		Name:     stored.Snapshot.Owner.Name,
		Settings: stored.Snapshot.Owner.Settings,
		Taken:    int64(stored.TakenAt),
		Build:    stored.Build,
	}
	if err := encodeHeader(header, add); err != nil {
		return err
	}
	return encodeRecords(&stored.Snapshot.Statistics, add)
}
