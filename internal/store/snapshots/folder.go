package snapshots

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"

	"mintkeel/internal/store/disk"
)

// Folder is a directory of snapshots, locked by this process. It is not safe for concurrent use.
type Folder struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	serial uint64   // of the newest file
	names  []string // of the snapshots in the directory
}

// Open locks a directory, which must exist, for this process. The error is disk.ErrLocked if
// another process has it.
func Open(d disk.Disk, b Bounds) (*Folder, error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, err
	}
	files, err := Files(d)
	if err != nil {
		lock.Close()
		return nil, err
	}
	f := &Folder{disk: d, bounds: b, lock: lock}
	for _, file := range files {
		f.names = append(f.names, file.Name)
		f.serial = max(f.serial, file.Serial)
	}
	return f, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// File is a snapshot in a directory.
type File struct {
	Name   string
	Serial uint64 // by its name
}

// Files lists the snapshots of a directory by the serial numbers in their names, newest first. It
// needs no lock.
func Files(d disk.Disk) ([]File, error) {
	names, err := d.Names()
	if err != nil {
		return nil, err
	}
	var files []File
	for _, name := range names {
		if serial, ok := parseFileName(name); ok {
			files = append(files, File{name, serial})
		}
	}
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(b.Serial, a.Serial) })
	return files, nil
}

// parseFileName returns the serial number in the name of a snapshot; ok is false for other names.
func parseFileName(name string) (serial uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, filePrefix)
	if !ok || len(digits) != serialDigits {
		return 0, false
	}
	serial, err := strconv.ParseUint(digits, 16, 64)
	return serial, err == nil
}

// Clear removes all snapshots. The removal is durable when Clear returns nil; after an error some
// may be left.
func (f *Folder) Clear() error {
	f.removeTemporaryFiles()
	for len(f.names) > 0 {
		if err := f.disk.Remove(f.names[0]); err != nil {
			return err
		}
		f.names = f.names[1:]
	}
	return f.disk.Sync()
}

// removeTemporaryFiles removes the files of interrupted calls of Write. Errors are ignored: if the
// directory can't be read or written, Write fails as well.
func (f *Folder) removeTemporaryFiles() {
	names, err := f.disk.Names()
	if err != nil {
		return
	}
	for _, name := range names {
		if strings.HasPrefix(name, filePrefix) && strings.HasSuffix(name, temporarySuffix) {
			f.disk.Remove(name)
		}
	}
}

// removeOldFiles removes all but the newest snapshots. After a failed removal it leaves the rest to
// the next Write.
func (f *Folder) removeOldFiles() {
	slices.Sort(f.names) // by serial number, as all have the same number of digits
	for len(f.names) > retainedFiles {
		if f.disk.Remove(f.names[0]) != nil {
			return
		}
		f.names = f.names[1:]
	}
}
