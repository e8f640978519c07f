package config

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"
)

// document is one that this controller has in memory, and perhaps durably.
type document struct {
	data   []byte
	stored bool
}

// documentStore holds documents by their hash. Each one in it matches its hash.
type documentStore struct {
	documents map[Hash]*document
}

// newDocumentStore begins with the documents of a folder; one that does not match its hash is left out.
func newDocumentStore(kept map[Hash][]byte) documentStore {
	l := documentStore{documents: map[Hash]*document{}}
	for h, data := range kept {
		if HashOf(data) == h {
			l.documents[h] = &document{data: data, stored: true}
		}
	}
	return l
}

// HashOf is the hash of a document.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// get is a document's bytes; nil: it is not here.
func (l *documentStore) get(h Hash) []byte {
	if d := l.documents[h]; d != nil {
		return d.data
	}
	return nil
}

// isStored tells whether a document is here durably.
func (l *documentStore) isStored(h Hash) bool {
	d := l.documents[h]
	return d != nil && d.stored
}

// put takes in a document whose hash was verified.
func (l *documentStore) put(h Hash, data []byte) {
	if l.documents[h] == nil {
		l.documents[h] = &document{data: data}
	}
}

// markStored notes whether a document is durable.
func (l *documentStore) markStored(h Hash, stored bool) {
	if d := l.documents[h]; d != nil {
		d.stored = stored
	}
}

// unneeded are the durable documents that are not needed, in the order of their hashes.
func (l *documentStore) unneeded(needed map[Hash]bool) (hashes []Hash) {
	for h, d := range l.documents {
		if d.stored && !needed[h] {
			hashes = append(hashes, h)
		}
	}
	slices.SortFunc(hashes, compareHashes)
	return hashes
}

// forgetUnstored forgets documents that are in memory alone and not needed.
func (l *documentStore) forgetUnstored(needed map[Hash]bool) {
	maps.DeleteFunc(l.documents, func(h Hash, d *document) bool { return !d.stored && !needed[h] })
}

// hasUnstored tells whether any document is in memory alone.
func (l *documentStore) hasUnstored() bool {
	for _, d := range l.documents {
		if !d.stored {
			return true
		}
	}
	return false
}

func compareHashes(a, b Hash) int { return bytes.Compare(a[:], b[:]) }
