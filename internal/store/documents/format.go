package documents

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	magic = "MKDOCS1\n"

	checksumBytes  = 8
	checkedBytes   = len(magic) + sha256.Size // of the file "current", ahead of the checksum
	headerBytes    = checkedBytes + checksumBytes
	maxRecordBytes = 64 << 10

	documentPrefix  = "document-"
	currentName     = "current"
	temporarySuffix = ".new" // of a file that is being written
	lockName        = "lock"
)

// Hash is the SHA-256 of a document.
type Hash = [sha256.Size]byte

// Bounds limits what is written and read.
type Bounds struct {
	Document  int   // bytes of a document
	Documents int   // number of documents
	Bytes     int64 // bytes of all documents
}

// Errors, to be checked with errors.Is.
var (
	// ErrTooLarge means that a document or record exceeds the bounds.
	ErrTooLarge = errors.New("is too big")
	// ErrFull means that the directory has as many documents or bytes as the bounds allow.
	ErrFull = errors.New("finds no room within the bounds")
	// ErrHashMismatch means that a document does not have the hash that it was to be stored under.
	ErrHashMismatch = errors.New("has another hash")
	// ErrNotFound means that a document is not stored.
	ErrNotFound = errors.New("is not stored")
	// ErrInUse means that a record in the directory names or may name the document.
	ErrInUse = errors.New("is the current one")

	errDamaged = errors.New("is damaged")
)

// FileError is an error of the disk with one file, found by Open.
type FileError struct {
	File string // name in the directory
	Err  error
}

// Error names the file.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// Current is the record, with the document that it names.
type Current struct {
	Document Hash
	Record   []byte
}

func documentName(hash Hash) string { return documentPrefix + hex.EncodeToString(hash[:]) }

// parseDocumentName is the hash in the name of a document's file; not ok for other names.
func parseDocumentName(name string) (hash Hash, ok bool) {
	digits, ok := strings.CutPrefix(name, documentPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) || digits != strings.ToLower(digits) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

func encodeCurrent(c Current) []byte {
	file := append([]byte(magic), c.Document[:]...)
	file = binary.BigEndian.AppendUint64(file, checksum(file, c.Record))
	return append(file, c.Record...)
}

// decodeCurrent is not ok if the file is not whole.
func decodeCurrent(file []byte) (c Current, ok bool) {
	if len(file) < headerBytes || !bytes.HasPrefix(file, []byte(magic)) {
		return Current{}, false
	}
	copy(c.Document[:], file[len(magic):])
	c.Record = file[headerBytes:]
	return c, binary.BigEndian.Uint64(file[checkedBytes:]) == checksum(file[:checkedBytes], c.Record)
}

func checksum(checked, record []byte) uint64 {
	digest := xxhash.New()
	digest.Write(checked)
	digest.Write(record)
	return digest.Sum64()
}

// isUnusable reports whether an error is one of a file's content, and not one of the disk.
func isUnusable(err error) bool {
	return errors.Is(err, errDamaged) || errors.Is(err, ErrTooLarge)
}
