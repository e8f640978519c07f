package records

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	magic = "MKRECS1\n"

	checksumBytes     = 8
	headerBytes       = len(magic) + 8 + checksumBytes
	recordHeaderBytes = 4 + checksumBytes

	filePrefix    = "records-"
	damagedPrefix = "damaged-" // added to the name of a damaged file
	numberDigits  = 16         // of a file's name
	lockName      = "lock"
)

// Bounds limits the size of a log; see the package comment.
type Bounds struct {
	Record int   // bytes of a payload
	Log    int64 // bytes of all files
	Files  int   // number of files
}

// DefaultBounds returns bounds for the log of a quorum, whose records are small.
func DefaultBounds() Bounds { return Bounds{Record: 8 << 20, Log: 64 << 20, Files: 1000} }

// Errors, for use with errors.Is.
var (
	// ErrDamaged means that a checksum is wrong where no torn write explains it.
	ErrDamaged = errors.New("is damaged")
	// ErrTooLarge means that a record or the log exceeds the bounds.
	ErrTooLarge = errors.New("is too large")
)

// noRecord is FileError.Record of an error that is not about one record.
const noRecord = -1

// FileError is an error of one file, found by Open.
type FileError struct {
	File   string // name in the directory
	Record int    // index in the file; -1: the header or the whole file
	Err    error
}

// Error names the file and the record.
func (e *FileError) Error() string {
	if e.Record == noRecord {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: record %d %v", e.File, e.Record, e.Err)
}

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// fileName returns the name of the file with a number.
func fileName(number uint64) string {
	return fmt.Sprintf("%s%0*x", filePrefix, numberDigits, number)
}

// parseFileName returns the number in the name of a file of the log; ok is false for other names.
func parseFileName(name string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, filePrefix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

func appendHeader(b []byte, number uint64) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

func appendRecord(b []byte, number, index uint64, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, recordChecksum(number, index, payload))
	return append(b, payload...)
}

// recordChecksum covers the file's number and the record's index, so that blocks of an older file
// and records at another position don't match.
func recordChecksum(number, index uint64, payload []byte) uint64 {
	head := binary.BigEndian.AppendUint64(nil, number)
	head = binary.BigEndian.AppendUint64(head, index)
	head = binary.BigEndian.AppendUint32(head, uint32(len(payload)))
	digest := xxhash.New()
	digest.Write(head)
	digest.Write(payload)
	return digest.Sum64()
}
