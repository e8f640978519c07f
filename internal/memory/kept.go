package memory

import (
	"cmp"
	"errors"
	"fmt"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
)

// StoredSnapshot is what one snapshot holds.
type StoredSnapshot struct {
	File      string
	Serial    uint64
	TakenAt   float64 // ms since 1970, by the clock of the machine that wrote it
	Build     string
	Snapshot  restore.Snapshot
	Complete  bool // else some of its sections could not be used, and are left out
	hasHeader bool
}

// ReadResult is what became of one file of a folder.
type ReadResult struct {
	File string
	Err  error // nil: it is whole
}

// Load reads a folder: the newest snapshot that is whole or, if none is, the newest of which something is left. The
// trials tell of each file that was looked at. Its error is snapshots.ErrNone if there is nothing to be used.
func Load(d disk.Disk, b snapshots.Bounds) (*StoredSnapshot, []ReadResult, error) {
	files, err := snapshots.Files(d)
	if err != nil {
		return nil, nil, err
	}
	if len(files) > maxFilesRead {
		files = files[:maxFilesRead]
	}
	var trials []ReadResult
	var left *StoredSnapshot
	for _, file := range files {
		kept, err := read(d, file, b)
		trials = append(trials, ReadResult{file.Name, err})
		if err == nil {
			return kept, trials, nil
		}
		if left == nil && kept != nil && kept.Snapshot.Statistics.Len() > 0 {
			left = kept
		}
	}
	if left != nil {
		return left, trials, nil
	}
	return nil, trials, snapshots.ErrNoSnapshot
}

// maxFilesRead are looked at: a folder holds two, and one that someone filled must not hold up a start.
const maxFilesRead = 8

// maxFileRecords bounds the records of one file: the memory that they take is a few MB at most.
const maxFileRecords = 40000

var errTooManyRecords = errors.New("holds too many records")

// read reads one file. Beside an error there may be a Kept with what could be used: never without its head, as nobody
// could tell whose memory it is.
func read(d disk.Disk, file snapshots.File, b snapshots.Bounds) (*StoredSnapshot, error) {
	kept := &StoredSnapshot{File: file.Name}
	var odd error
	serial, err := snapshots.Read(d, file.Name, b, func(s snapshots.Section) error {
		if kept.Snapshot.Statistics.Len() > maxFileRecords {
			return errTooManyRecords
		}
		if err := decode(s, kept); err != nil {
			odd = cmp.Or(odd, err)
		}
		return nil
	})
	if err = cmp.Or(err, odd); err == nil && serial != file.Serial {
		err = fmt.Errorf("%w: it was written as number %d", snapshots.ErrDamaged, serial)
	}
	if err == nil && !kept.hasHeader {
		err = fmt.Errorf("%w: it has no head", errForeignContent)
	}
	kept.Serial, kept.Complete = serial, err == nil
	if !kept.hasHeader {
		return nil, err
	}
	return kept, err
}

// FileBounds are those of the files in a folder.
func FileBounds(l *limits.Limits) snapshots.Bounds {
	return snapshots.Bounds{Section: l.MemorySection, Sections: l.MemorySections, File: l.MemoryFile}
}
