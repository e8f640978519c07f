package documents

import (
	"crypto/sha256"
	"errors"
	"io"
	"io/fs"

	"mintkeel/internal/store/disk"
)

// Folder is a directory of documents, locked by this process. It is not safe for concurrent use.
type Folder struct {
	disk   disk.Disk
	bounds Bounds
	lock   io.Closer
	sizes  map[Hash]int // bytes of each document that is durable
	bytes  int64        // sum of sizes

	// inUse has the documents that a record in the directory may name: two after a failed SetCurrent,
	// as a restart may find either record.
	inUse map[Hash]bool
}

// Put stores a document; it does nothing if the document is already stored. The document is durable
// when Put returns nil. After an error it may be stored or not, and Put may be called again.
func (f *Folder) Put(hash Hash, document []byte) error {
	if _, stored := f.sizes[hash]; stored {
		return nil
	}
	switch {
	case len(document) > f.bounds.Document:
		return ErrTooLarge
	case sha256.Sum256(document) != hash:
		return ErrHashMismatch
	case !f.hasRoom(len(document)):
		return ErrFull
	}
	name := documentName(hash)
	if err := f.writeFile(name, document); err != nil {
		// If only the last sync failed, the file exists, but it is not counted towards the bounds.
		f.disk.Remove(name)
		return err
	}
	f.countStored(hash, len(document))
	return nil
}

// SetCurrent replaces the record. It returns ErrNotFound if the document that the new record names
// is not stored. The record is durable when SetCurrent returns nil. After an error a restart finds
// the new record or the previous one, whole, with its document.
func (f *Folder) SetCurrent(c Current) error {
	if len(c.Record) > maxRecordBytes {
		return ErrTooLarge
	}
	if _, stored := f.sizes[c.Document]; !stored {
		return ErrNotFound
	}
	f.inUse[c.Document] = true
	if err := f.writeFile(currentName, encodeCurrent(c)); err != nil {
		return err
	}
	f.inUse = map[Hash]bool{c.Document: true}
	return nil
}

// ClearCurrent removes the record. The removal is durable when ClearCurrent returns nil; after an
// error a restart may still find the record.
func (f *Folder) ClearCurrent() error {
	if err := f.removeFile(currentName); err != nil {
		return err
	}
	if err := f.disk.Sync(); err != nil {
		return err
	}
	f.inUse = map[Hash]bool{}
	return nil
}

// Remove removes a document; it returns ErrInUse if a record may name it, and nil if it is not
// stored. The removal is not synced: a crash may undo it.
func (f *Folder) Remove(hash Hash) error {
	if f.inUse[hash] {
		return ErrInUse
	}
	if err := f.removeFile(documentName(hash)); err != nil {
		return err
	}
	f.bytes -= int64(f.sizes[hash])
	delete(f.sizes, hash)
	return nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// countStored counts a durable document towards the bounds.
func (f *Folder) countStored(hash Hash, size int) {
	f.sizes[hash] = size
	f.bytes += int64(size)
}

// hasRoom reports whether the bounds of the directory allow another document of this size in bytes.
func (f *Folder) hasRoom(size int) bool {
	return len(f.sizes) < f.bounds.Documents && f.bytes+int64(size) <= f.bounds.Bytes
}

// writeFile creates or replaces a file durably.
func (f *Folder) writeFile(name string, content []byte) error {
	return disk.ReplaceFile(f.disk, name, name+temporarySuffix, content)
}

// removeFile removes a file, if it exists.
func (f *Folder) removeFile(name string) error {
	err := f.disk.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
