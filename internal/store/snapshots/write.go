package snapshots

import (
	"bufio"
	"encoding/binary"
	"math"
)

// AddFunc adds a section to the file being written. It does not retain the payload.
type AddFunc = func(kind SectionKind, payload []byte) error

// Write stores a new snapshot and removes old ones. The function fill passes the sections to add,
// one after another; an error of add or fill aborts the write. Write returns the size of the file
// in bytes. See the package comment for what is durable when it returns.
func (f *Folder) Write(fill func(add AddFunc) error) (size int64, err error) {
	if f.serial == math.MaxUint64 {
		return 0, errSerialsExhausted
	}
	f.removeTemporaryFiles()
	serial := f.serial + 1
	name := fileName(serial)
	temporary := name + temporarySuffix
	size, err = f.writeFile(temporary, serial, fill)
	if err != nil {
		f.disk.Remove(temporary)
		return 0, err
	}
	if err := f.disk.Rename(temporary, name); err != nil {
		f.disk.Remove(temporary)
		return 0, err
	}
	// The file exists from here on, also if Sync fails: its serial number must not be used again.
	f.serial = serial
	f.names = append(f.names, name)
	if err := f.disk.Sync(); err != nil {
		return 0, err
	}
	f.removeOldFiles()
	return size, nil
}

// writeFile writes a whole file and syncs it. It returns the size of the file in bytes.
func (f *Folder) writeFile(
	name string, serial uint64, fill func(add AddFunc) error,
) (size int64, err error) {
	out, err := f.disk.Create(name)
	if err != nil {
		return 0, err
	}
	defer func() {
		closeErr := out.Close()
		if err == nil {
			err = closeErr
		}
	}()
	w := &writer{out: bufio.NewWriterSize(out, writeBufferBytes), serial: serial, bounds: f.bounds}
	w.write(appendHeader(nil, serial))
	if err := fill(w.add); err != nil {
		return 0, err
	}
	if err := w.finish(); err != nil {
		return 0, err
	}
	return w.size, out.Sync()
}

// writer writes the parts of one file. After an error it writes nothing more.
type writer struct {
	out      *bufio.Writer
	serial   uint64
	bounds   Bounds
	sections int
	size     int64 // bytes of the file so far
	err      error // the first error
}

// add appends a section to the file, unless the section exceeds the bounds: Read would reject it.
func (w *writer) add(kind SectionKind, payload []byte) error {
	if w.err == nil {
		w.err = w.check(kind, payload)
	}
	w.writeSection(Section{kind, payload})
	w.sections++
	return w.err
}

func (w *writer) check(kind SectionKind, payload []byte) error {
	// This leaves room for the headers of this section and of the end section, and for the payload of
	// the end section.
	sizeWithEnd := w.size + int64(len(payload)+3*sectionHeaderBytes)
	switch {
	case kind == kindEnd:
		return errReservedKind
	case len(payload) > w.bounds.Section, w.sections >= w.bounds.Sections, sizeWithEnd > w.bounds.File:
		return ErrTooLarge
	}
	return nil
}

// finish appends the end section and flushes the buffer.
func (w *writer) finish() error {
	w.writeSection(Section{kindEnd, binary.BigEndian.AppendUint32(nil, uint32(w.sections))})
	if w.err != nil {
		return w.err
	}
	return w.out.Flush()
}

func (w *writer) writeSection(s Section) {
	w.write(appendSectionHeader(nil, w.serial, s))
	w.write(s.Payload)
}

func (w *writer) write(b []byte) {
	if w.err != nil {
		return
	}
	_, w.err = w.out.Write(b)
	w.size += int64(len(b))
}
