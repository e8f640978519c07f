// Package snapshots keeps whole states of something in a folder, each as a file that is either there whole or not at
// all: it is written under another name, synced, and then renamed. A file has a version, and a checksum for each of
// its sections; reading is bounded whatever a file claims. What the sections mean is not known here.
//
// A file:
//
//	magic      8 bytes
//	version    2, unsigned and big-endian as all numbers
//	serial     8, one more with each file of a folder
//	checksum   8, xxHash64 of the 18 bytes before
//	sections, each:
//	  kind     2
//	  length   4, of the payload
//	  checksum 8, xxHash64 of the serial, kind, length and payload
//	  payload
//	an end: a section of kind 0 whose payload is the number of the other sections, 4 bytes
package snapshots

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
)

// Version is that of the files written here. Others are not read: what is kept can be learned anew.
const Version = 1

const (
	magic      = "MKSNAP\r\n"
	headBytes  = len(magic) + 2 + 8 + 8
	partBytes  = 2 + 4 + 8
	kindEnd    = Kind(0)
	prefix     = "snapshot-"
	unfinished = ".new"
	lockName   = "lock"
	kept       = 2 // files: the newest, and the one before in case that can't be read
)

// Kind tells sections apart; 0 is taken.
type Kind uint16

// Bounds on what is read and written.
type Bounds struct {
	Section  int   // bytes of a payload
	Sections int   // of a file
	File     int64 // bytes
}

// Errors of files that can't be used.
var (
	ErrNotSnapshot = errors.New("is no snapshot")
	ErrVersion     = errors.New("is of another version")
	ErrDamaged     = errors.New("is damaged")
	ErrTooLarge    = errors.New("is too big")
	ErrNone        = errors.New("holds no snapshot")
)

// Folder is a folder of snapshots that this process holds the lock of. It is for one goroutine.
type Folder struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	serial uint64 // of the newest file
	names  []string
}

// Open takes a folder for this process. Its error is disk.ErrLocked if another one holds it.
func Open(d disk.Disk, b Bounds) (*Folder, error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, err
	}
	f := &Folder{disk: d, bounds: b, lock: lock}
	files, err := Files(d)
	if err != nil {
		lock.Close()
		return nil, err
	}
	for _, file := range files {
		f.names, f.serial = append(f.names, file.Name), max(f.serial, file.Serial)
	}
	return f, nil
}

// Close lets others have the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// File is one that a folder holds, by its name.
type File struct {
	Name   string
	Serial uint64
}

// Files are those of a folder that are named as snapshots, the newest first. It needs no lock, as files that are
// there never change.
func Files(d disk.Disk) ([]File, error) {
	names, err := d.Names()
	if err != nil {
		return nil, err
	}
	var files []File
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		serial, err := strconv.ParseUint(digits, 16, 64)
		if ok && err == nil && len(digits) == 16 {
			files = append(files, File{name, serial})
		}
	}
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(b.Serial, a.Serial) })
	return files, nil
}

// Write keeps a new snapshot: fill hands its sections to add, one after another. Whatever fails, the snapshots that
// were there stay. It returns the bytes of the file.
func (f *Folder) Write(fill func(add func(kind Kind, payload []byte) error) error) (size int64, err error) {
	if f.serial == math.MaxUint64 {
		return 0, errors.New("serial numbers are used up")
	}
	f.sweep()
	serial := f.serial + 1
	name := fmt.Sprintf("%s%016x", prefix, serial)
	if err := f.fill(name+unfinished, serial, fill, &size); err != nil {
		f.disk.Remove(name + unfinished)
		return 0, err
	}
	if err := f.disk.Rename(name+unfinished, name); err != nil {
		f.disk.Remove(name + unfinished)
		return 0, err
	}
	f.serial, f.names = serial, append(f.names, name) // from here it may be there, whatever Sync says
	if err := f.disk.Sync(); err != nil {
		return 0, err
	}
	f.prune()
	return size, nil
}

func (f *Folder) fill(name string, serial uint64, fill func(func(Kind, []byte) error) error, size *int64) (err error) {
	out, err := f.disk.Create(name)
	if err != nil {
		return err
	}
	defer func() {
		if closed := out.Close(); err == nil {
			err = closed
		}
	}()
	w := &writer{out: bufio.NewWriterSize(out, 64<<10), serial: serial, bounds: f.bounds}
	w.write(appendHead(nil, serial))
	if err := fill(w.add); err != nil {
		return err
	}
	end := binary.BigEndian.AppendUint32(nil, uint32(w.sections))
	w.section(kindEnd, end)
	if w.err == nil {
		w.err = w.out.Flush()
	}
	if w.err != nil {
		return w.err
	}
	*size = w.size
	return out.Sync()
}

// sweep removes what was left unfinished by a process that ended within a write.
func (f *Folder) sweep() {
	names, err := f.disk.Names()
	if err != nil {
		return // the write will tell
	}
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && strings.HasSuffix(name, unfinished) {
			f.disk.Remove(name)
		}
	}
}

// prune removes all but the newest files. One that can't be removed is tried again with the next write.
func (f *Folder) prune() {
	slices.Sort(f.names)
	for len(f.names) > kept {
		if f.disk.Remove(f.names[0]) != nil {
			return
		}
		f.names = f.names[1:]
	}
}

// Clear removes all snapshots.
func (f *Folder) Clear() error {
	f.sweep()
	for len(f.names) > 0 {
		if err := f.disk.Remove(f.names[0]); err != nil {
			return err
		}
		f.names = f.names[1:]
	}
	return f.disk.Sync()
}

type writer struct {
	out      *bufio.Writer
	serial   uint64
	bounds   Bounds
	sections int
	size     int64
	err      error
}

func (w *writer) write(b []byte) {
	if w.err == nil {
		_, w.err = w.out.Write(b)
		w.size += int64(len(b))
	}
}

func (w *writer) add(kind Kind, payload []byte) error {
	switch {
	case kind == kindEnd:
		w.err = errors.New("kind 0 is taken")
	case len(payload) > w.bounds.Section || w.sections >= w.bounds.Sections ||
		w.size+int64(len(payload)+3*partBytes) > w.bounds.File: // what would not be read need not be written
		w.err = ErrTooLarge
	}
	w.section(kind, payload)
	w.sections++
	return w.err
}

func (w *writer) section(kind Kind, payload []byte) {
	head := make([]byte, 0, partBytes)
	head = binary.BigEndian.AppendUint16(head, uint16(kind))
	head = binary.BigEndian.AppendUint32(head, uint32(len(payload)))
	head = binary.BigEndian.AppendUint64(head, sum(w.serial, head, payload))
	w.write(head)
	w.write(payload)
}

// sum is a section's checksum; with the serial in it, a section of an old file that shows through a new one is told.
func sum(serial uint64, head, payload []byte) uint64 {
	d := xxhash.New()
	d.Write(binary.BigEndian.AppendUint64(nil, serial))
	d.Write(head[:6])
	d.Write(payload)
	return d.Sum64()
}

func appendHead(b []byte, serial uint64) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint64(b, serial)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// Section is one section of a file; its payload is good until the next one is read.
type Section struct {
	Kind    Kind
	Payload []byte
}

// Read hands the sections of one file to take, in order. A section whose checksum is wrong is passed over, and so is
// all that follows one whose length can't be true; the error then is ErrDamaged, after what is good was handed on.
// Files of another version, foreign ones and those past the bounds are not read at all. An error of take ends it.
func Read(d disk.Disk, name string, b Bounds, take func(Section) error) (serial uint64, err error) {
	in, err := d.Open(name)
	if err != nil {
		return 0, err
	}
	defer in.Close()
	if size, err := in.Size(); err != nil {
		return 0, err
	} else if size > b.File {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	r := bufio.NewReaderSize(io.LimitReader(in, b.File), 16<<10)
	if serial, err = readHead(r); err != nil {
		return 0, err
	}
	return serial, readSections(r, serial, b, take)
}

// readHead reads a file's head and returns the serial.
func readHead(r io.Reader) (serial uint64, err error) {
	head := make([]byte, headBytes)
	if _, err := io.ReadFull(r, head); err != nil {
		if cut(err) {
			err = ErrNotSnapshot
		}
		return 0, err
	}
	version := binary.BigEndian.Uint16(head[len(magic):])
	switch {
	case string(head[:len(magic)]) != magic:
		return 0, ErrNotSnapshot
	case xxhash.Sum64(head[:headBytes-8]) != binary.BigEndian.Uint64(head[headBytes-8:]):
		return 0, fmt.Errorf("%w in its head", ErrDamaged)
	case version != Version:
		return 0, fmt.Errorf("%w: %d, not %d", ErrVersion, version, Version)
	}
	return binary.BigEndian.Uint64(head[len(magic)+2:]), nil
}

// readSections hands over the sections up to the file's end. Damaged ones are passed over and are an error at the end.
func readSections(r *bufio.Reader, serial uint64, b Bounds, take func(Section) error) error {
	damaged, part, payload := 0, make([]byte, partBytes), []byte(nil)
	for n := 0; ; n++ {
		if _, err := io.ReadFull(r, part); err != nil {
			return broken(err, "it has no end")
		}
		kind, length := Kind(binary.BigEndian.Uint16(part)), int(binary.BigEndian.Uint32(part[2:]))
		if length > b.Section || n > b.Sections {
			return fmt.Errorf("%w: section %d claims %d bytes", ErrDamaged, n, length)
		}
		if cap(payload) < length {
			payload = make([]byte, length)
		}
		payload = payload[:length]
		if _, err := io.ReadFull(r, payload); err != nil {
			return broken(err, "its last section is cut")
		}
		switch good := sum(serial, part, payload) == binary.BigEndian.Uint64(part[6:]); {
		case !good:
			damaged++
		case kind == kindEnd:
			return checkEnd(r, payload, n, damaged)
		default:
			if err := take(Section{kind, payload}); err != nil {
				return err
			}
		}
	}
}

// checkEnd tells what is wrong with a file whose last section holds this payload, after so many others.
func checkEnd(r *bufio.Reader, payload []byte, sections, damaged int) error {
	if len(payload) != 4 || binary.BigEndian.Uint32(payload) != uint32(sections) {
		return fmt.Errorf("%w: sections are missing", ErrDamaged)
	}
	if _, err := r.ReadByte(); err == nil {
		return fmt.Errorf("%w: something follows its end", ErrDamaged)
	}
	if damaged > 0 {
		return fmt.Errorf("%w in %d sections", ErrDamaged, damaged)
	}
	return nil
}

func cut(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

func broken(err error, why string) error {
	if cut(err) {
		return fmt.Errorf("%w: %s", ErrDamaged, why)
	}
	return err
}
