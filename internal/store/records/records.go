// Package records keeps a log of records in a folder: each is checksummed and durable before Append returns, and a new
// whole state lets those before it go. It knows no meaning of what it keeps. Unlike snapshots, which may be lost for the
// last seconds, nothing that was appended may be: whoever said something that rests on a record has promised it.
//
// The log is files, each begun by one process: none is appended to after a restart. A file:
//
//	magic      8 bytes
//	number     8, unsigned and big-endian as all numbers: files are read in their order
//	checksum   8, xxHash64 of the 16 bytes before
//	records, each:
//	  length   4
//	  checksum 8, xxHash64 of the file's number, the record's place in it, its length and payload
//	  payload
package records

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
)

const (
	magic     = "MKRECS1\n"
	headBytes = len(magic) + 8 + 8
	partBytes = 4 + 8
	prefix    = "records-"
	aside     = "damaged-"
	lockName  = "lock"
)

// Bounds on what is read and written.
type Bounds struct {
	Record int   // bytes of a payload
	Log    int64 // bytes of all files
	Files  int
}

// DefaultBounds are the bounds of a log of small agreements.
func DefaultBounds() Bounds { return Bounds{Record: 8 << 20, Log: 64 << 20, Files: 1000} }

// Errors of logs that can't be used.
var (
	ErrDamaged  = errors.New("is damaged")
	ErrTooLarge = errors.New("is too big")
)

// Log is one that this process holds the lock of. It is for one goroutine.
type Log struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	names  []string // in order
	number uint64   // of the newest file
	out    disk.File
	place  uint64 // of the next record in it
	failed error  // an append that failed may be there or not: nothing is appended after it
}

// Open takes a folder for this process and reads its records, in order. Torn tells that the last of a file was not whole:
// nobody can have been told of it, if the disk keeps what was synced. An error of ErrDamaged comes with a log that can
// be begun anew by Replace, and by nothing else.
func Open(d disk.Disk, b Bounds) (l *Log, kept [][]byte, torn bool, err error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, nil, false, err
	}
	l = &Log{disk: d, bounds: b, lock: lock}
	names, err := d.Names()
	if err != nil {
		lock.Close()
		return nil, nil, false, err
	}
	type numbered struct {
		name   string
		number uint64
	}
	var files []numbered
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		number, err := strconv.ParseUint(digits, 16, 64)
		if ok && err == nil && len(digits) == 16 {
			files = append(files, numbered{name, number})
		}
	}
	slices.SortFunc(files, func(a, b numbered) int { return cmp.Compare(a.number, b.number) })
	for _, f := range files {
		l.names, l.number = append(l.names, f.name), f.number
	}
	if len(files) > b.Files {
		l.failed = ErrTooLarge
		return l, nil, false, fmt.Errorf("%w: %d files", ErrDamaged, len(files))
	}
	left := b.Log
	for _, f := range files {
		found, cut, err := l.read(f.name, f.number, &left)
		if err != nil {
			l.failed = err
			return l, nil, false, err
		}
		kept, torn = append(kept, found...), torn || cut
	}
	return l, kept, torn, nil
}

// read reads one file. What is not whole at its end was being written when the process ended; what is not whole with more
// behind it was damaged later.
func (l *Log) read(name string, number uint64, left *int64) (kept [][]byte, torn bool, err error) {
	f, err := l.disk.Open(name)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, false, err
	}
	if *left -= size; *left < 0 {
		return nil, false, fmt.Errorf("%s: %w", name, ErrTooLarge)
	}
	r := bufio.NewReader(io.LimitReader(f, size))
	head := make([]byte, headBytes)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, true, ended(err)
	}
	if string(head) != string(appendHead(nil, number)) {
		if zeros(head) { // it goes with the first record, in one write
			return nil, true, nil
		}
		return nil, false, fmt.Errorf("%s: head %w", name, ErrDamaged)
	}
	at := int64(headBytes)
	for place := uint64(0); ; place++ {
		part := make([]byte, partBytes)
		n, err := io.ReadFull(r, part)
		if err == io.EOF {
			return kept, false, nil
		} else if err != nil {
			return kept, n > 0, ended(err)
		}
		length := int64(binary.BigEndian.Uint32(part))
		at += partBytes
		if at+length > size || length > int64(l.bounds.Record) {
			if at+length > size && length <= int64(l.bounds.Record) {
				return kept, true, nil
			}
			return nil, false, fmt.Errorf("%s: record %d %w", name, place, ErrDamaged)
		}
		payload := make([]byte, length)
		if _, err := io.ReadFull(r, payload); err != nil {
			return nil, false, err
		}
		at += length
		if binary.BigEndian.Uint64(part[4:]) != checksum(number, place, payload) {
			rest, err := io.ReadAll(r) // bounded by size
			if err != nil {
				return nil, false, err
			}
			if at == size || zeros(part) && zeros(payload) && zeros(rest) {
				return kept, true, nil
			}
			return nil, false, fmt.Errorf("%s: record %d %w", name, place, ErrDamaged)
		}
		kept = append(kept, payload)
	}
}

// zeros tells of what a disk leaves where it had made room for a write that it lost.
func zeros(b []byte) bool { return !slices.ContainsFunc(b, func(x byte) bool { return x != 0 }) }

func ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

func appendHead(b []byte, number uint64) []byte {
	b = binary.BigEndian.AppendUint64(append(b, magic...), number)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

func checksum(number, place uint64, payload []byte) uint64 {
	h := xxhash.New()
	b := binary.BigEndian.AppendUint64(nil, number)
	b = binary.BigEndian.AppendUint64(b, place)
	h.Write(binary.BigEndian.AppendUint32(b, uint32(len(payload))))
	h.Write(payload)
	return h.Sum64()
}

// Append keeps a record: it is durable when this returns nil. After an error nothing more can be appended, as the record
// may be there or not; a new Open tells.
func (l *Log) Append(payload []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(payload) > l.bounds.Record {
		return ErrTooLarge
	}
	if l.out == nil {
		if err := l.begin(); err != nil {
			l.failed = err
			return err
		}
	}
	if err := l.write(payload); err != nil {
		l.failed = err
		return err
	}
	return nil
}

func (l *Log) begin() error {
	l.number++
	name := fmt.Sprintf("%s%016x", prefix, l.number)
	out, err := l.disk.Create(name)
	if err != nil {
		return err
	}
	l.out, l.place = out, 0
	l.names = append(l.names, name)
	return nil
}

func (l *Log) write(payload []byte) error {
	var b []byte
	if l.place == 0 {
		b = appendHead(b, l.number)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, checksum(l.number, l.place, payload))
	if _, err := l.out.Write(append(b, payload...)); err != nil {
		return err
	}
	if err := l.out.Sync(); err != nil {
		return err
	}
	if l.place++; l.place == 1 { // the file's name is to last as well
		return l.disk.Sync()
	}
	return nil
}

// Replace keeps a record that holds all, in a file of its own, and lets the files before it go. Those of a log that was
// damaged are put aside under another name, for whoever wants to look.
func (l *Log) Replace(payload []byte) error {
	damaged := errors.Is(l.failed, ErrDamaged) || errors.Is(l.failed, ErrTooLarge)
	if l.failed != nil && !damaged {
		return l.failed
	}
	if len(payload) > l.bounds.Record {
		return ErrTooLarge
	}
	if l.out != nil {
		l.out.Close()
		l.out = nil
	}
	old := slices.Clone(l.names)
	l.names, l.failed = nil, nil
	err := l.begin()
	if err == nil {
		err = l.write(payload)
	}
	if err != nil {
		l.failed = err
		return err
	}
	for _, name := range old { // a crash in between leaves some: the record that holds all comes after them
		if damaged {
			err = l.disk.Rename(name, aside+name)
		} else {
			err = l.disk.Remove(name)
		}
		if err != nil {
			l.names = append([]string{name}, l.names...)
		}
	}
	return nil
}

// Close lets others have the folder.
func (l *Log) Close() error {
	if l.out != nil {
		l.out.Close()
	}
	return l.lock.Close()
}
