package memory

// A renamed or reordered field can change the stored format without any other test failing, as
// those write and read with the same build. These tests read a folder written by an earlier build.

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/lab/golden"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

const (
	storedFolder  = "testdata/folder"
	storedName    = "snapshot-0000000000000001"
	storedTakenAt = 1_700_000_000_500.0 // ms since 1970
)

// storedStatistics returns records of each kind, with every field set to a value that the format
// represents exactly.
func storedStatistics() router.Statistics {
	return router.Statistics{
		Engines: []router.EngineStatistics{
			{At: 1_700_000_000_001, Engine: "engine-a", StartedAt: 1_699_999_000_000.25,
				Slowdown: router.WeightedMean{Mean: 1.5, Weight: 2}, ThreadsPerCore: 2.25, Outcomes: 0xfb, PoolLeader: "engine-b"},
			{At: 1_700_000_000_002, Engine: "engine-b", StartedAt: 1_699_999_100_000.5,
				Slowdown: router.WeightedMean{Mean: 1.25, Weight: 3}, ThreadsPerCore: 4.125, Outcomes: 0x7f, PoolLeader: "engine-b"},
		},
		Tables: []router.TableStatistics{
			{At: 1_700_000_000_003, Tables: -1, Demand: 0.5, MemoryTime: 8, PoolLeaders: []router.EngineID{"engine-a", ""}},
			{At: 1_700_000_000_004, Tables: 70_000, Demand: 0.75, MemoryTime: 16.5,
				PoolLeaders: []router.EngineID{"", "engine-b"}},
		},
		Classes: []router.ClassStatistics{{At: 1_700_000_000_005, Class: 3, FirstTryTimeout: 900, UnloadedTime: 20,
			WorkScale: router.WeightedMean{Mean: 2, Weight: 5}, MemoryScale: router.WeightedMean{Mean: 0.625, Weight: 1}}},
		Traffic: []router.TrafficStatistics{{At: 1_700_000_000_006, Share: router.WeightedMean{Mean: 0.375, Weight: 300}}},
	}
}

func storedSnapshot() *StoredSnapshot {
	return &StoredSnapshot{File: storedName, Serial: 1, TakenAt: storedTakenAt, Build: "v1.2.3",
		Snapshot: restore.Snapshot{Owner: restore.Identity{Name: "n3", Settings: 0xfedcba9876543210}, Statistics: storedStatistics()},
		Complete: true, hasHeader: true}
}

// writeStored writes a snapshot to a new folder and returns the content of its file.
func writeStored(t *testing.T, stored *StoredSnapshot) []byte {
	t.Helper()
	d := disktest.New()
	folder, err := snapshots.Open(d, testBounds)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	_, err = folder.Write(func(add func(snapshots.SectionKind, []byte) error) error {
		head, err := encoder.Marshal(headerForm{Name: stored.Snapshot.Owner.Name, Settings: stored.Snapshot.Owner.Settings,
			Taken: int64(stored.TakenAt), Build: stored.Build})
		if err != nil {
			return err
		}
		if err := add(sectionHeader, head); err != nil {
			return err
		}
		return encodeRecords(&stored.Snapshot.Statistics, add)
	})
	if err != nil {
		t.Fatal(err)
	}
	file, err := d.Open(storedName)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	size, _ := file.Size()
	content := make([]byte, size)
	if _, err := file.Read(content); err != nil {
		t.Fatal(err)
	}
	return content
}

func TestStoredSnapshotIsReadable(t *testing.T) {
	if golden.Updating() {
		golden.Write(t, filepath.Join(storedFolder, storedName), writeStored(t, storedSnapshot()))
	}
	stored, results, err := Load(disk.Folder(storedFolder), testBounds)
	if err != nil || len(results) != 1 || results[0].Err != nil {
		t.Fatal(results, err)
	}
	if want := storedSnapshot(); !reflect.DeepEqual(stored, want) {
		t.Errorf("snapshot read:\n%+v\nwant:\n%+v", stored, want)
	}
	checks, err := Verify(disk.Folder(storedFolder), testBounds)
	if err != nil || !reflect.DeepEqual(checks, []FileCheck{{File: storedName, Complete: true, Name: "n3", Records: 6}}) {
		t.Errorf("Verify: %+v, %v; want one complete file of n3 with 6 records", checks, err)
	}
}

func TestStoredSnapshotIsWrittenAsBefore(t *testing.T) {
	want, err := os.ReadFile(filepath.Join(storedFolder, storedName))
	if err != nil {
		t.Fatal(err)
	}
	if got := writeStored(t, storedSnapshot()); string(got) != string(want) {
		t.Errorf("file written: %x\nwant:         %x", got, want)
	}
}

func TestPackedStatisticsAreStable(t *testing.T) {
	table := golden.Open(t, "packed.golden")
	statistics := storedStatistics()
	golden.AllSet(t, statistics.Engines)
	golden.AllSet(t, statistics.Tables)
	golden.AllSet(t, statistics.Classes)
	golden.AllSet(t, statistics.Traffic)
	encoded, err := EncodeStatistics(&statistics)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeStatistics(table.Bytes(t, "learned", encoded))
	if err != nil || !reflect.DeepEqual(decoded, statistics) {
		t.Errorf("DecodeStatistics returned %+v, %v; want the encoded statistics", decoded, err)
	}
}

func TestShownMemoryJSONIsStable(t *testing.T) {
	shown, err := json.MarshalIndent(NewReport(storedSnapshot(), storedTakenAt+1000, restore.DefaultHalfLives()), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "show.json.golden", shown)
	checks := []FileCheck{{File: storedName, Complete: true, Reason: "is damaged", Name: "n3", Records: 6}}
	verified, err := json.MarshalIndent(checks, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "verify.json.golden", verified)
}
