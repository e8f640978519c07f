package snapshots

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of the file format. Files of other versions are not read: their content is
// statistics, which a controller gathers again.
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

	// retainedFiles is the number of snapshots that a write leaves: the newest, and the previous one
	// in case the newest can't be read.
	retainedFiles = 2
)

// SectionKind identifies the content of a section by a number that the caller defines. 0 is
// reserved for the end section.
type SectionKind uint16

const kindEnd SectionKind = 0

// Bounds limits what is written, and what is read whatever lengths a file claims.
type Bounds struct {
	Section  int   // bytes of a section's payload
	Sections int   // sections of a file, without the end section
	File     int64 // bytes of a file
}

// Section is one section of a file.
type Section struct {
	Kind    SectionKind
	Payload []byte
}

// fileName returns the final name of the snapshot with a serial number.
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
		return 0, fmt.Errorf("%w in its header", ErrDamaged)
	case version != Version:
		return 0, fmt.Errorf("%w: %d, want %d", ErrVersion, version, Version)
	}
	return binary.BigEndian.Uint64(header[len(magic)+2:]), nil
}

// sectionHeader precedes a section's payload.
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

// sectionChecksum covers a section's kind, length and payload, and the file's serial number: a lost
// write may leave blocks of an older file, whose sections are whole but must not match.
func sectionChecksum(serial uint64, kindAndLength, payload []byte) uint64 {
	digest := xxhash.New()
	digest.Write(binary.BigEndian.AppendUint64(nil, serial))
	digest.Write(kindAndLength)
	digest.Write(payload)
	return digest.Sum64()
}
