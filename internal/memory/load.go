package memory

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"

	"mintkeel/internal/await"
	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
)

const (
	// maxFilesRead bounds the number of files of a directory that are read. A writer leaves two, but
	// a directory with many other files must not delay a start.
	maxFilesRead = 8

	// maxFileRecords bounds the records of a file to a few MB of memory.
	maxFileRecords = 40_000
)

var errTooManyRecords = errors.New("has too many records")

// StoredSnapshot is a snapshot as it was read from a file.
type StoredSnapshot struct {
	File      string  // name in the directory
	Serial    uint64  // increases by one with each snapshot
	TakenAt   float64 // ms since 1970, by the clock of the machine that wrote it
	Build     string  // version of the program that wrote it
	Snapshot  restore.Snapshot
	Complete  bool // else sections that could not be used are missing
	hasHeader bool
}

// ReadResult is the result of reading one file.
type ReadResult struct {
	File string // name in the directory
	Err  error  // nil: the file is whole
}

// FileBounds returns the bounds of a snapshot's file.
func FileBounds(l *limits.Limits) snapshots.Bounds {
	return snapshots.Bounds{
		Section:  l.SnapshotSectionBytes,
		Sections: l.SnapshotSections,
		File:     l.SnapshotFileBytes,
	}
}

// Load reads the newest snapshot that is whole or, if none is, the newest with any usable records.
// The results are those of the files that were read, newest first. The error is
// snapshots.ErrNoSnapshot if nothing can be used, or one of the disk.
func Load(d disk.Disk, b snapshots.Bounds) (*StoredSnapshot, []ReadResult, error) {
	files, err := snapshots.Files(d)
	if err != nil {
		return nil, nil, err
	}
	if len(files) > maxFilesRead {
		files = files[:maxFilesRead]
	}
	var results []ReadResult
	var partial *StoredSnapshot
	for _, file := range files {
		stored, err := readFile(d, file, b)
		results = append(results, ReadResult{file.Name, err})
		if err == nil {
			return stored, results, nil
		}
		if partial == nil && stored != nil && stored.Snapshot.Statistics.Len() > 0 {
			partial = stored
		}
	}
	if partial == nil {
		return nil, results, snapshots.ErrNoSnapshot
	}
	return partial, results, nil
}

// readFile reads one file. Besides an error it may return the part of the file that can be used. It
// returns nil for a file without a header section, which names the controller it belongs to.
func readFile(d disk.Disk, file snapshots.File, b snapshots.Bounds) (*StoredSnapshot, error) {
	stored := &StoredSnapshot{File: file.Name}
	var decodeErr error // the first one; later sections are still used
	serial, err := snapshots.Read(d, file.Name, b, func(s snapshots.Section) error {
		if stored.Snapshot.Statistics.Len() > maxFileRecords {
			return errTooManyRecords
		}
		err := decodeSection(s, stored)
		decodeErr = cmp.Or(decodeErr, err)
		return nil
	})
	err = cmp.Or(err, decodeErr)
	if err == nil && serial != file.Serial {
		err = fmt.Errorf("%w: header has another serial, %d", snapshots.ErrDamaged, serial)
	}
	if err == nil && !stored.hasHeader {
		err = fmt.Errorf("%w: no header section", errForeignContent)
	}
	stored.Serial = serial
	stored.Complete = err == nil
	if !stored.hasHeader {
		return nil, err
	}
	return stored, err
}

// LoadWithTimeout loads the snapshot of a controller that starts, and logs what can't be used. It
// returns nil if there is nothing to restore, or if the disk takes longer than SnapshotReadTimeout:
// a disk that hangs must not keep a controller from serving.
func LoadWithTimeout(d disk.Disk, l *limits.Limits, log *slog.Logger) *StoredSnapshot {
	type loadReply struct {
		stored  *StoredSnapshot
		results []ReadResult
		err     error
	}
	reply := make(chan loadReply, 1)
	go func() { // ends when the disk responds: reply is buffered, so sending never blocks
		stored, results, err := Load(d, FileBounds(l))
		reply <- loadReply{stored, results, err}
	}()
	loaded, ok := await.Result(reply, l.SnapshotReadTimeout)
	if !ok {
		log.Warn("snapshot not read in time, starting without statistics", "after", l.SnapshotReadTimeout)
		return nil
	}
	logResults(loaded.results, loaded.err, log)
	return loaded.stored
}

func logResults(results []ReadResult, err error, log *slog.Logger) {
	for _, result := range results {
		if result.Err != nil {
			log.Warn("snapshot can't be used whole", "file", result.File, "why", result.Err)
		}
	}
	if err != nil {
		log.Info("no statistics restored", "why", err)
	}
}
