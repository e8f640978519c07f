package snapshots

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of the files written here. Files of other versions are not read: their
// content is statistics, which a controller gathers anew.
const Version = 1

const (
	magic = "MKSNAP\r\n"

	checksumBytes      = 8
	headerBytes        = len(magic) + 2 + 8 + checksumBytes
	sectionHeaderBytes = 2 + 4 + checksumBytes
	endPayloadBytes    = 4

	filePrefix      = "snapshot-"
	serialDigits    = 16     // of a file's name
	temporarySuffix = ".new" // of a file that is being written
	lockName        = "lock"

	readBufferBytes  = 16 << 10
	writeBufferBytes = 64 << 10

	// retainedFiles is how many snapshots are left by a write: the newest, and the one before in
	// case the newest can't be read.
	retainedFiles = 2
)

// SectionKind is what a section holds, by a number of the caller. 0 is reserved: a file's end.
type SectionKind uint16

const kindEnd SectionKind = 0

// Bounds limits what is written, and what is read whatever a file claims.
type Bounds struct {
	Section  int   // bytes of a section's payload
	Sections int   // sections of a file, without its end
	File     int64 // bytes of a file
}

// Section is one section of a file.
type Section struct {
	Kind    SectionKind
	Payload []byte
}

// fileName is the final name of the snapshot with a serial number.
func fileName(serial uint64) string {
	return fmt.Sprintf("%s%0*x", filePrefix, serialDigits, serial)
}

func appendHeader(b []byte, serial uint64) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint64(b, serial)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// parseHeader checks a file's header and returns its serial number.
func parseHeader(header []byte) (serial uint64, err error) {
	checked := header[:headerBytes-checksumBytes]
	checksum := binary.BigEndian.Uint64(header[len(checked):])
	version := binary.BigEndian.Uint16(header[len(magic):])
	switch {
	case string(header[:len(magic)]) != magic:
		return 0, ErrNotSnapshot
	case xxhash.Sum64(checked) != checksum:
		return 0, fmt.Errorf("%w in its head", ErrDamaged)
	case version != Version:
		return 0, fmt.Errorf("%w: %d, not %d", ErrVersion, version, Version)
	}
	return binary.BigEndian.Uint64(header[len(magic)+2:]), nil
}

// sectionHeader stands before a section's payload.
type sectionHeader struct {
	kind     SectionKind
	length   int // bytes of the payload
	checksum uint64
}

func appendSectionHeader(b []byte, serial uint64, s Section) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint16(b, uint16(s.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(s.Payload)))
	return binary.BigEndian.AppendUint64(b, sectionChecksum(serial, b[start:], s.Payload))
}

func parseSectionHeader(header []byte) sectionHeader {
	return sectionHeader{
		kind:     SectionKind(binary.BigEndian.Uint16(header)),
		length:   int(binary.BigEndian.Uint32(header[2:])),
		checksum: binary.BigEndian.Uint64(header[6:]),
	}
}

// sectionChecksum covers a section's kind, length and payload, and the file's serial number: where
// a lost write leaves blocks of an older file, their sections are whole but don't match.
func sectionChecksum(serial uint64, kindAndLength, payload []byte) uint64 {
	digest := xxhash.New()
	digest.Write(binary.BigEndian.AppendUint64(nil, serial))
	digest.Write(kindAndLength)
	digest.Write(payload)
	return digest.Sum64()
}
