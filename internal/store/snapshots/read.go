package snapshots

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mintkeel/internal/store/disk"
)

// Read passes the sections of one file to handle, in order; a payload is valid until handle
// returns. An error of handle ends the reading and is returned unchanged; all other errors are a
// *FileError.
//
// A section with a wrong checksum is skipped, and so is everything after a length that exceeds the
// bounds. The error is then ErrDamaged, after the other sections were passed to handle. Files that
// are too large, not snapshots or of another version are not read at all.
func Read(
	d disk.Disk, name string, b Bounds, handle func(Section) error,
) (serial uint64, err error) {
	in, err := d.Open(name)
	if err != nil {
		return 0, &FileError{name, noSection, err}
	}
	defer in.Close()
	size, err := in.Size()
	if err == nil && size > b.File {
		err = fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	if err != nil {
		return 0, &FileError{name, noSection, err}
	}
	r := &reader{
		in:     bufio.NewReaderSize(io.LimitReader(in, b.File), readBufferBytes),
		name:   name,
		bounds: b,
	}
	if err := r.readHeader(); err != nil {
		return 0, err
	}
	return r.serial, r.readSections(handle)
}

// reader reads one file.
type reader struct {
	in           *bufio.Reader
	name         string
	bounds       Bounds
	serial       uint64 // by the header
	payload      []byte // of the last section read; the next section reuses its memory
	sections     int    // number read so far
	damaged      int    // number of these that have a wrong checksum
	firstDamaged int    // index of the first damaged section
}

func (r *reader) fail(section int, err error) error { return &FileError{r.name, section, err} }

func (r *reader) readHeader() error {
	header := make([]byte, headerBytes)
	_, err := io.ReadFull(r.in, header)
	if isTruncation(err) {
		err = ErrNotSnapshot
	}
	if err != nil {
		return r.fail(noSection, err)
	}
	r.serial, err = parseHeader(header)
	if err != nil {
		return r.fail(noSection, err)
	}
	return nil
}

// readSections passes all valid sections to handle, up to the end section.
func (r *reader) readSections(handle func(Section) error) error {
	for {
		header, valid, err := r.readSection()
		if err != nil {
			return err
		}
		switch {
		case !valid:
			if r.damaged == 0 {
				r.firstDamaged = r.sections
			}
			r.damaged++
		case header.kind == kindEnd:
			return r.checkEnd()
		default:
			if err := handle(Section{header.kind, r.payload}); err != nil {
				return err
			}
		}
		r.sections++
	}
}

// readSection reads a section, with its payload into r.payload. valid means that the checksum
// matches.
func (r *reader) readSection() (header sectionHeader, valid bool, err error) {
	encoded := make([]byte, sectionHeaderBytes)
	if _, err := io.ReadFull(r.in, encoded); err != nil {
		return header, false, r.fail(noSection, truncated(err, "its end section is missing"))
	}
	header = parseSectionHeader(encoded)
	if header.length > r.bounds.Section || r.sections > r.bounds.Sections {
		err = fmt.Errorf("%w: section %d claims %d bytes", ErrDamaged, r.sections, header.length)
		return header, false, r.fail(r.sections, err)
	}
	if cap(r.payload) < header.length {
		r.payload = make([]byte, header.length)
	}
	r.payload = r.payload[:header.length]
	if _, err := io.ReadFull(r.in, r.payload); err != nil {
		return header, false, r.fail(r.sections, truncated(err, "its last section is truncated"))
	}
	kindAndLength := encoded[:sectionHeaderBytes-checksumBytes]
	return header, sectionChecksum(r.serial, kindAndLength, r.payload) == header.checksum, nil
}

// checkEnd checks the file after its end section was read into r.payload: the number of sections
// must match, and no data may follow.
func (r *reader) checkEnd() error {
	if len(r.payload) != endPayloadBytes || binary.BigEndian.Uint32(r.payload) != uint32(r.sections) {
		return r.fail(noSection, fmt.Errorf("%w: sections are missing", ErrDamaged))
	}
	if _, err := r.in.ReadByte(); err == nil {
		return r.fail(noSection, fmt.Errorf("%w: data follows its end", ErrDamaged))
	}
	if r.damaged > 0 {
		return r.fail(r.firstDamaged, fmt.Errorf("%w in %d sections", ErrDamaged, r.damaged))
	}
	return nil
}

// isTruncation reports whether a read failed because the file is too short.
func isTruncation(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// truncated returns the error of a file that is too short; it returns errors of the disk unchanged.
func truncated(err error, reason string) error {
	if isTruncation(err) {
		return fmt.Errorf("%w: %s", ErrDamaged, reason)
	}
	return err
}
