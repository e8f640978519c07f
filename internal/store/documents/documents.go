// Package documents stores whole documents in a folder, each under the SHA-256 of its content, and one record that names
// the current one of them. A document is written under another name, synced, renamed and checked against its hash when it
// is read; the record is replaced in the same way, and only after its document is durable. So a crash at any point leaves
// the record before or the new one, with its document. What documents and the record mean is not known here.
//
// A document's file is named "document-" and its hash in hexadecimal, and holds its content and nothing else. The file
// "current" holds:
//
//	magic      8 bytes
//	hash       32, of the current document
//	checksum   8, xxHash64 of the 40 bytes before and of the record, big-endian
//	record     all that follows
package documents

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/store/disk"
)

const (
	magic         = "MKDOCS1\n"
	hashedBytes   = len(magic) + sha256.Size
	headBytes     = hashedBytes + 8
	prefix        = "document-"
	currentName   = "current"
	unfinished    = ".new"
	lockName      = "lock"
	maxRecordSize = 64 << 10
)

// Hash is the SHA-256 of a document.
type Hash = [sha256.Size]byte

// Bounds on what is read and written.
type Bounds struct {
	Document  int   // bytes of one
	Documents int   // stored at a time
	Bytes     int64 // of all documents
}

// Errors of what is not stored.
var (
	ErrTooLarge     = errors.New("is too big")
	ErrFull         = errors.New("finds no room within the bounds")
	ErrHashMismatch = errors.New("has another hash")
	ErrNotFound     = errors.New("is not stored")
	ErrInUse        = errors.New("is the current one")
	errDamaged      = errors.New("is damaged")
)

// Contents is what a folder held when it was opened.
type Contents struct {
	Current   *Current
	Documents map[Hash][]byte // that of Current among them
	Damaged   int             // files that were not what they should be, or were past the bounds; they are gone
}

// Current is the record, with the document that it is about.
type Current struct {
	Document Hash
	Record   []byte
}

// Folder is a folder of documents that this process holds the lock of. It is for one goroutine.
type Folder struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	sizes  map[Hash]int  // of the documents that are durable
	bytes  int64         // of all of these
	inUse  map[Hash]bool // documents that a record in the folder may name: two, after a replacement that failed
}

// Open takes a folder for this process and reads it. Its error is disk.ErrLocked if another one holds it, or that of a
// disk that can't be read: a file that can be read but is damaged is dropped, and counted.
func Open(d disk.Disk, b Bounds) (*Folder, Contents, error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, Contents{}, err
	}
	f := &Folder{disk: d, bounds: b, lock: lock, sizes: map[Hash]int{}, inUse: map[Hash]bool{}}
	c := Contents{Documents: map[Hash][]byte{}}
	if err = f.loadCurrent(&c); err == nil {
		err = f.loadOthers(&c)
	}
	if err != nil {
		lock.Close()
		return nil, Contents{}, err
	}
	return f, c, nil
}

// loadCurrent reads the record and its document; without the document the record is dropped.
func (f *Folder) loadCurrent(c *Contents) error {
	file, err := f.read(currentName, headBytes+maxRecordSize)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil && !unusable(err) {
		return fmt.Errorf("%s: %w", currentName, err)
	}
	current, ok := decode(file)
	if err != nil || !ok {
		f.drop(c, currentName)
		return nil
	}
	document, err := f.readDocument(current.Document)
	if errors.Is(err, fs.ErrNotExist) || unusable(err) { // a damaged document is dropped with the others
		f.drop(c, currentName)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %w", fileName(current.Document), err)
	}
	c.Current, f.inUse[current.Document] = &current, true
	f.add(c, current.Document, document)
	return nil
}

// loadOthers reads the other documents, and removes what a write that did not end has left.
func (f *Folder) loadOthers(c *Contents) error {
	names, err := f.disk.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if base, ok := strings.CutSuffix(name, unfinished); ok {
			if _, isDocument := hashOf(base); isDocument || base == currentName {
				f.disk.Remove(name) // or with the next write of this name
			}
			continue
		}
		hash, ok := hashOf(name)
		if !ok || c.Documents[hash] != nil {
			continue
		}
		document, err := f.readDocument(hash)
		if err != nil || !f.fits(len(document)) {
			f.drop(c, name)
			continue
		}
		f.add(c, hash, document)
	}
	return nil
}

// drop removes a file that can't be used. If that fails it is dropped again at the next start, or replaced.
func (f *Folder) drop(c *Contents, name string) {
	c.Damaged++
	f.disk.Remove(name)
}

func (f *Folder) add(c *Contents, hash Hash, document []byte) {
	c.Documents[hash] = document
	f.account(hash, len(document))
}

func (f *Folder) account(hash Hash, size int) {
	f.sizes[hash] = size
	f.bytes += int64(size)
}

func (f *Folder) fits(size int) bool {
	return len(f.sizes) < f.bounds.Documents && f.bytes+int64(size) <= f.bounds.Bytes
}

func fileName(hash Hash) string { return prefix + hex.EncodeToString(hash[:]) }

func hashOf(name string) (hash Hash, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 2*len(hash) || digits != strings.ToLower(digits) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

// unusable tells of a file that was read and is not what it should be.
func unusable(err error) bool { return errors.Is(err, errDamaged) || errors.Is(err, ErrTooLarge) }

func (f *Folder) readDocument(hash Hash) ([]byte, error) {
	document, err := f.read(fileName(hash), f.bounds.Document)
	if err == nil && sha256.Sum256(document) != hash {
		return nil, errDamaged
	}
	return document, err
}

func (f *Folder) read(name string, most int) ([]byte, error) {
	in, err := f.disk.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	size, err := in.Size()
	if err != nil {
		return nil, err
	}
	if size > int64(most) {
		return nil, ErrTooLarge
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(in, content); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errDamaged
		}
		return nil, err
	}
	return content, nil
}

func encode(c Current) []byte {
	file := append([]byte(magic), c.Document[:]...)
	file = binary.BigEndian.AppendUint64(file, checksum(file, c.Record))
	return append(file, c.Record...)
}

func decode(file []byte) (c Current, ok bool) {
	if len(file) < headBytes || !bytes.HasPrefix(file, []byte(magic)) {
		return c, false
	}
	copy(c.Document[:], file[len(magic):])
	c.Record = file[headBytes:]
	return c, binary.BigEndian.Uint64(file[hashedBytes:]) == checksum(file[:hashedBytes], c.Record)
}

func checksum(head, record []byte) uint64 {
	digest := xxhash.New()
	digest.Write(head)
	digest.Write(record)
	return digest.Sum64()
}

// Put stores a document: it is durable when this returns nil. After an error it may be there or not; it is put again then.
func (f *Folder) Put(hash Hash, document []byte) error {
	if _, stored := f.sizes[hash]; stored {
		return nil
	}
	switch {
	case len(document) > f.bounds.Document:
		return ErrTooLarge
	case sha256.Sum256(document) != hash:
		return ErrHashMismatch
	case !f.fits(len(document)):
		return ErrFull
	}
	if err := f.write(fileName(hash), document); err != nil {
		f.disk.Remove(fileName(hash)) // it may be there, and is not accounted for
		return err
	}
	f.account(hash, len(document))
	return nil
}

// SetCurrent replaces the record by one that is about a document that is stored. It is durable when this returns nil.
// After an error a restart may find the new one or the one before, whole, with its document.
func (f *Folder) SetCurrent(c Current) error {
	if len(c.Record) > maxRecordSize {
		return ErrTooLarge
	}
	if _, stored := f.sizes[c.Document]; !stored {
		return ErrNotFound
	}
	f.inUse[c.Document] = true
	if err := f.write(currentName, encode(c)); err != nil {
		return err
	}
	f.inUse = map[Hash]bool{c.Document: true}
	return nil
}

// ClearCurrent removes the record. It is gone for good when this returns nil; after an error a restart may find it.
func (f *Folder) ClearCurrent() error {
	if err := f.disk.Remove(currentName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := f.disk.Sync(); err != nil {
		return err
	}
	f.inUse = map[Hash]bool{}
	return nil
}

// Remove lets a document go that the record is not about. It is no error if it is not there. After a crash it may be
// there again.
func (f *Folder) Remove(hash Hash) error {
	if f.inUse[hash] {
		return ErrInUse
	}
	if err := f.disk.Remove(fileName(hash)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f.bytes -= int64(f.sizes[hash])
	delete(f.sizes, hash)
	return nil
}

// write has a file of this name hold this content, durably, or leaves the one that was there.
func (f *Folder) write(name string, content []byte) error {
	temporary := name + unfinished
	err := f.fill(temporary, content)
	if err == nil {
		err = f.disk.Rename(temporary, name)
	}
	if err != nil {
		f.disk.Remove(temporary)
		return err
	}
	return f.disk.Sync()
}

func (f *Folder) fill(name string, content []byte) (err error) {
	out, err := f.disk.Create(name)
	if errors.Is(err, fs.ErrExist) { // an earlier write could not remove it
		if err = f.disk.Remove(name); err == nil {
			out, err = f.disk.Create(name)
		}
	}
	if err != nil {
		return err
	}
	defer func() {
		if closed := out.Close(); err == nil {
			err = closed
		}
	}()
	if _, err := out.Write(content); err != nil {
		return err
	}
	return out.Sync()
}

// Close lets others have the folder.
func (f *Folder) Close() error { return f.lock.Close() }
