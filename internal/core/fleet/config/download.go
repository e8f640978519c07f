package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// purpose is a set of the purposes for which a document is fetched.
type purpose uint8

// The purposes of a fetch.
const (
	forApplication purpose = 1 << iota // to be applied here
	forProposal                        // to be checked as a proposal, by the leader
	forHold                            // to be stored by a voter, before the version is agreed on
	forLookup                          // for an operator's command
	forHistory                         // to keep the documents of the last versions, as a voter
)

// chunkRequest is a chunk that was requested.
type chunkRequest struct {
	index  int
	sentAt float64 // ms
}

// download is a document that is being fetched. Received chunks are kept when the source changes.
type download struct {
	hash          Hash
	size          int // bytes; 0: not known yet
	purposes      purpose
	chunks        [][]byte
	received      int // how many chunks are here
	sources       []members.ID
	source        members.ID   // that chunks are requested from now; empty: none
	slowSource    members.ID   // the last one that timed out or sent unusable chunks
	requestedFrom []members.ID // all members that were asked: chunks from others are ignored
	contributors  []members.ID // those that sent the chunks here
	requests      []chunkRequest
	rotation      int // offset into the voters at which the search for a source begins

	// missingUntil maps each member that lacked the document to the time (ms) until which it is not
	// asked again.
	missingUntil map[members.ID]float64
	// chooseSourceAt is when the next source is searched for (ms), while there is none.
	chooseSourceAt float64
	// progressAt is when the download began, a new chunk came, or a stall was handled (ms).
	progressAt float64
}

// chunkCount returns how many chunks a document has.
func chunkCount(size int) int { return (size + ChunkBytes - 1) / ChunkBytes }

// addSource adds a member that has the document, and reports whether it did: a known source is not
// added again, and there are at most maxSources.
func (d *download) addSource(id members.ID) bool {
	if slices.Contains(d.sources, id) || len(d.sources) >= maxSources {
		return false
	}
	d.sources = append(d.sources, id)
	d.chooseSourceAt = 0
	delete(d.missingUntil, id) // a new source has the document by now
	return true
}

// setSize sets the size of the document and drops all chunks. It allocates no memory for the
// content, which is taken over with each chunk.
func (d *download) setSize(size int) {
	d.size = size
	d.chunks = make([][]byte, chunkCount(size))
	d.received = 0
}

// requested reports whether a request for a chunk is pending.
func (d *download) requested(index int) bool {
	return slices.ContainsFunc(d.requests, func(q chunkRequest) bool { return q.index == index })
}

// changeSource clears the source, so that runDownload chooses another. The previous source moves to
// the end of the list, and is used again only if there is no other.
func (d *download) changeSource() {
	d.slowSource = d.source
	if i := slices.Index(d.sources, d.source); i >= 0 {
		d.sources = append(slices.Delete(d.sources, i, i+1), d.source)
	}
	d.rotation++
	d.source = ""
	d.chooseSourceAt = 0
	d.requests = d.requests[:0]
}

// fits reports whether a chunk has a valid offset and length for the document. Its content is
// verified by the hash of the whole document.
func (d *download) fits(c *Chunk) bool {
	if c.Total < 1 || c.Total > MaxDocument || d.size != 0 && c.Total != d.size {
		return false
	}
	if c.Offset < 0 || c.Offset >= c.Total || c.Offset%ChunkBytes != 0 {
		return false
	}
	return len(c.Data) == min(ChunkBytes, c.Total-c.Offset)
}
