package records

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"mintkeel/internal/store/disk"
)

// Log is a log of records, locked by this process. It is not safe for concurrent use.
type Log struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	names  []string  // of its files, in order
	number uint64    // of the newest file
	out    disk.File // the newest file, if this process began it; else nil
	index  uint64    // of the next record in out
	failed error     // nothing is appended after an error, as the record may be stored or not
}

// Recovered is the content of a log that Open read.
type Recovered struct {
	// Records are in the order in which they were appended.
	Records [][]byte
	// TornTail is set if a file ended in a torn record. That record is dropped: its Append had not
	// returned.
	TornTail bool
}

// Open locks a directory for this process and reads its records. If it can't lock or list the
// directory, it returns no log; the error is disk.ErrLocked if another process has the directory.
// An error together with a log means that the files can't be read: if it is ErrDamaged or
// ErrTooLarge, Replace starts the log over; after any other error the log can only be closed.
func Open(d disk.Disk, b Bounds) (*Log, Recovered, error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, Recovered{}, err
	}
	files, err := listFiles(d)
	if err != nil {
		lock.Close()
		return nil, Recovered{}, err
	}
	l := &Log{disk: d, bounds: b, lock: lock}
	for _, file := range files {
		l.names = append(l.names, file.name)
		l.number = file.number
	}
	if len(files) > b.Files {
		l.failed = ErrTooLarge
		return l, Recovered{}, fmt.Errorf("%w: %d files", ErrDamaged, len(files))
	}
	recovered, err := readFiles(d, files, b)
	if err != nil {
		l.failed = err
		return l, Recovered{}, err
	}
	return l, recovered, nil
}

// listFiles lists the files of the log, ordered by number.
func listFiles(d disk.Disk) ([]logFile, error) {
	names, err := d.Names()
	if err != nil {
		return nil, err
	}
	var files []logFile
	for _, name := range names {
		if number, ok := parseFileName(name); ok {
			files = append(files, logFile{name, number})
		}
	}
	slices.SortFunc(files, func(a, b logFile) int { return cmp.Compare(a.number, b.number) })
	return files, nil
}

func readFiles(d disk.Disk, files []logFile, b Bounds) (Recovered, error) {
	var all Recovered
	bytesLeft := b.Log
	for _, file := range files {
		records, tornTail, err := readFile(d, file, b, &bytesLeft)
		if err != nil {
			return Recovered{}, err
		}
		all.Records = append(all.Records, records...)
		all.TornTail = all.TornTail || tornTail
	}
	return all, nil
}

// Append adds a record, which is durable when Append returns nil. For a record that exceeds the
// bounds it returns ErrTooLarge and changes nothing. After any other error the record may be stored
// or not, which a new Open shows, and all further appends fail.
func (l *Log) Append(payload []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(payload) > l.bounds.Record {
		return ErrTooLarge
	}
	l.failed = l.append(payload)
	return l.failed
}

func (l *Log) append(payload []byte) error {
	if l.out == nil {
		if err := l.beginFile(); err != nil {
			return err
		}
	}
	return l.write(payload)
}

// beginFile creates the next file. Its header is written together with the first record.
func (l *Log) beginFile() error {
	l.number++
	name := fileName(l.number)
	out, err := l.disk.Create(name)
	if err != nil {
		return err
	}
	l.out = out
	l.index = 0
	l.names = append(l.names, name)
	return nil
}

// write writes a record to the newest file and syncs it.
func (l *Log) write(payload []byte) error {
	isFirst := l.index == 0
	var encoded []byte
	if isFirst {
		encoded = appendHeader(encoded, l.number)
	}
	encoded = appendRecord(encoded, l.number, l.index, payload)
	if _, err := l.out.Write(encoded); err != nil {
		return err
	}
	if err := l.out.Sync(); err != nil {
		return err
	}
	l.index++
	if isFirst { // the name of the file has to be durable too
		return l.disk.Sync()
	}
	return nil
}

// Replace stores a record that replaces all earlier ones, in a file of its own, and removes the
// earlier files. The record is durable when Replace returns nil; errors are as with Append. Files
// of a damaged log are renamed instead of removed, so that they can be examined.
func (l *Log) Replace(payload []byte) error {
	wasDamaged := errors.Is(l.failed, ErrDamaged) || errors.Is(l.failed, ErrTooLarge)
	if l.failed != nil && !wasDamaged {
		return l.failed
	}
	if len(payload) > l.bounds.Record {
		return ErrTooLarge
	}
	if l.out != nil {
		l.out.Close()
		l.out = nil
	}
	replaced := l.names
	l.names = nil
	l.failed = l.append(payload)
	if l.failed != nil {
		return l.failed
	}
	l.discard(replaced, wasDamaged)
	return nil
}

// discard removes replaced files, or renames them if the log was damaged. Files for which that
// fails stay in the log, before the newest file, and the next Replace discards them.
func (l *Log) discard(names []string, wereDamaged bool) {
	for _, name := range names {
		var err error
		if wereDamaged {
			err = l.disk.Rename(name, damagedPrefix+name)
		} else {
			err = l.disk.Remove(name)
		}
		if err != nil {
			l.names = append([]string{name}, l.names...)
		}
	}
}

// Close closes the newest file and releases the lock.
func (l *Log) Close() error {
	if l.out != nil {
		l.out.Close()
	}
	return l.lock.Close()
}
