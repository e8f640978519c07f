package config

import (
	"maps"
	"slices"
)

// document is a document in memory, and perhaps durable.
type document struct {
	data   []byte
	stored bool // durably
}

// documentStore holds documents by their hash. Each one matches its hash.
type documentStore struct {
	documents map[Hash]*document
}

// newDocumentStore returns a store of the documents of a folder, without those that do not match
// their hash.
func newDocumentStore(stored map[Hash][]byte) documentStore {
	s := documentStore{documents: map[Hash]*document{}}
	for h, data := range stored {
		if HashOf(data) == h {
			s.documents[h] = &document{data: data, stored: true}
		}
	}
	return s
}

// get returns a document, or nil if it is not here.
func (s *documentStore) get(h Hash) []byte {
	if d := s.documents[h]; d != nil {
		return d.data
	}
	return nil
}

// isStored reports whether a document is durable here.
func (s *documentStore) isStored(h Hash) bool {
	d := s.documents[h]
	return d != nil && d.stored
}

// put adds a document after its hash was verified.
func (s *documentStore) put(h Hash, data []byte) {
	if s.documents[h] == nil {
		s.documents[h] = &document{data: data}
	}
}

// markStored records whether a document is durable.
func (s *documentStore) markStored(h Hash, stored bool) {
	if d := s.documents[h]; d != nil {
		d.stored = stored
	}
}

// unneeded returns the durable documents that are not needed, by hash.
func (s *documentStore) unneeded(needed map[Hash]bool) (hashes []Hash) {
	for h, d := range s.documents {
		if d.stored && !needed[h] {
			hashes = append(hashes, h)
		}
	}
	slices.SortFunc(hashes, compareHashes)
	return hashes
}

// forgetUnstored drops documents that are only in memory and not needed.
func (s *documentStore) forgetUnstored(needed map[Hash]bool) {
	maps.DeleteFunc(s.documents, func(h Hash, d *document) bool { return !d.stored && !needed[h] })
}

// hasUnstored reports whether any document is only in memory.
func (s *documentStore) hasUnstored() bool {
	for _, d := range s.documents {
		if !d.stored {
			return true
		}
	}
	return false
}
