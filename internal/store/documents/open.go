package documents

import (
	"crypto/sha256"
	"errors"
	"io"
	"io/fs"
	"slices"
	"strings"

	"mintkeel/internal/store/disk"
)

// Contents is the content of a directory when it was opened.
type Contents struct {
	// Current is the record; nil: there is none.
	Current *Current
	// Documents has all documents by hash, including that of Current.
	Documents map[Hash][]byte
	// Damaged is the number of files that did not match their hash or checksum, or exceeded the
	// bounds. They were removed.
	Damaged int
}

// Open locks a directory for this process and reads it. Damaged files are not an error. The error
// is disk.ErrLocked if another process has the directory, or one of the disk; the folder is nil
// then.
func Open(d disk.Disk, b Bounds) (*Folder, Contents, error) {
	lock, err := d.Lock(lockName)
	if err != nil {
		return nil, Contents{}, err
	}
	f := &Folder{disk: d, bounds: b, lock: lock, sizes: map[Hash]int{}, inUse: map[Hash]bool{}}
	contents := Contents{Documents: map[Hash][]byte{}}
	err = f.loadCurrent(&contents)
	if err == nil {
		err = f.loadOthers(&contents)
	}
	if err != nil {
		lock.Close()
		return nil, Contents{}, err
	}
	return f, contents, nil
}

// loadCurrent reads the record and its document. It comes first, so that the current document
// counts towards the bounds before all others.
func (f *Folder) loadCurrent(contents *Contents) error {
	file, err := f.readFile(currentName, headerBytes+maxRecordBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil && !isUnusable(err) {
		return &FileError{currentName, err}
	}
	current, ok := decodeCurrent(file)
	if err != nil || !ok {
		f.dropDamaged(contents, currentName)
		return nil
	}
	document, err := f.readDocument(current.Document)
	if errors.Is(err, fs.ErrNotExist) || isUnusable(err) {
		f.dropDamaged(contents, currentName) // loadOthers drops the document
		return nil
	}
	if err != nil {
		return &FileError{documentName(current.Document), err}
	}
	contents.Current = &current
	f.inUse[current.Document] = true
	f.add(contents, current.Document, document)
	return nil
}

// loadOthers reads the documents that are not current, and removes temporary files of interrupted
// writes.
func (f *Folder) loadOthers(contents *Contents) error {
	names, err := f.disk.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if isTemporary(name) {
			f.disk.Remove(name) // if this fails, the next write with this temporary name replaces the file
			continue
		}
		hash, ok := parseDocumentName(name)
		if !ok || contents.Documents[hash] != nil {
			continue
		}
		document, err := f.readDocument(hash)
		if err != nil || !f.hasRoom(len(document)) {
			f.dropDamaged(contents, name)
			continue
		}
		f.add(contents, hash, document)
	}
	return nil
}

// isTemporary reports whether a name is that of a temporary file of this package.
func isTemporary(name string) bool {
	final, ok := strings.CutSuffix(name, temporarySuffix)
	if !ok {
		return false
	}
	_, isDocument := parseDocumentName(final)
	return isDocument || final == currentName
}

// dropDamaged removes a file that can't be used, and counts it. If the removal fails, the next Open
// tries it again, unless a write of this name replaces the file before.
func (f *Folder) dropDamaged(contents *Contents, name string) {
	contents.Damaged++
	f.disk.Remove(name)
}

func (f *Folder) add(contents *Contents, hash Hash, document []byte) {
	contents.Documents[hash] = document
	f.countStored(hash, len(document))
}

// readDocument reads a document; it returns errDamaged if the content does not match the hash.
func (f *Folder) readDocument(hash Hash) ([]byte, error) {
	document, err := f.readFile(documentName(hash), f.bounds.Document)
	if err == nil && sha256.Sum256(document) != hash {
		return nil, errDamaged
	}
	return document, err
}

// readFile reads a file; it returns ErrTooLarge if the file has more than maxBytes bytes.
func (f *Folder) readFile(name string, maxBytes int) ([]byte, error) {
	in, err := f.disk.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	size, err := in.Size()
	if err != nil {
		return nil, err
	}
	if size > int64(maxBytes) {
		return nil, ErrTooLarge
	}
	content := make([]byte, size)
	_, err = io.ReadFull(in, content)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errDamaged // the file was truncated after Size
	}
	if err != nil {
		return nil, err
	}
	return content, nil
}
