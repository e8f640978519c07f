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
	checkedBytes   = len(magic) + sha256.Size // of the file "current", before the checksum
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

// Errors, for use with errors.Is.
var (
	// ErrTooLarge means that a document or record exceeds the bounds.
	ErrTooLarge = errors.New("is too large")
	// ErrFull means that the bounds of the directory don't allow the document in addition to those
	// stored.
	ErrFull = errors.New("exceeds the bounds of the directory")
	// ErrHashMismatch means that the hash passed with a document is not that of the document.
	ErrHashMismatch = errors.New("does not match its hash")
	// ErrNotFound means that a document is not stored.
	ErrNotFound = errors.New("is not stored")
	// ErrInUse means that a record in the directory names or may name the document.
	ErrInUse = errors.New("is the current document")

	errDamaged = errors.New("is damaged")
)

// FileError is an error of the disk that Open got for one file.
type FileError struct {
	File string // name in the directory
	Err  error
}

// Error names the file.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// Current is the record and the hash of the document that it names.
type Current struct {
	Document Hash
	Record   []byte
}

func documentName(hash Hash) string { return documentPrefix + hex.EncodeToString(hash[:]) }

// parseDocumentName returns the hash in the name of a document's file; ok is false for other names.
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

// decodeCurrent decodes the file "current"; ok is false if the file is damaged.
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

// isUnusable reports whether an error concerns a file's content or size, and not the disk.
func isUnusable(err error) bool {
	return errors.Is(err, errDamaged) || errors.Is(err, ErrTooLarge)
}
