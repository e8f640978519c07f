package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timeouts and bounds of fetches.
const (
	// maxChunkRequests bounds the chunks of a document that are requested at a time.
	maxChunkRequests = 4
	// chunkTimeout is the time in ms after which a chunk is requested again, from another member if
	// there is one.
	chunkTimeout = 500.0
	// sourceInterval is the time in ms between two searches for a source while there is none.
	sourceInterval = 300.0
	// missingTime is the time in ms for which a member that did not have the document is not asked.
	missingTime = 1000.0
	// avoidTime is the time in ms for which a member that sent wrong bytes is not asked.
	avoidTime = 10000.0
	// avoidOnlySourceTime is that time if no other member has the document.
	avoidOnlySourceTime = 1000.0
	// maxSources bounds the sources of a document.
	maxSources = 16
	// maxExcluded bounds each set of members that is kept: those asked for a document, those that lack
	// it, and those to be avoided.
	maxExcluded = 64
	// maxDownloads is the sum of what each purpose may need at a time: proposals, holds and lookups by
	// their bounds, the version to be applied, and one of the history.
	maxDownloads = MaxProposals + 1 + maxHolds + maxLookups + 2
)

// findDownload returns the download of a document; nil: it is not being fetched.
func (r *Replica) findDownload(h Hash) *download {
	for _, d := range r.downloads {
		if d.hash == h {
			return d
		}
	}
	return nil
}

// fetch starts the download of a document, or adds a purpose and sources to it. A size of 0 is
// unknown.
func (r *Replica) fetch(h Hash, size int, added purpose, sources ...members.ID) {
	d := r.findDownload(h)
	if d == nil {
		if len(r.downloads) >= maxDownloads {
			return
		}
		d = &download{
			hash:         h,
			missingUntil: map[members.ID]float64{},
			progressAt:   r.now,
			rotation:     r.rng.Int(),
		}
		r.downloads = append(r.downloads, d)
	}
	if d.size == 0 && size > 0 {
		d.setSize(size)
	}
	d.purposes |= added
	for _, id := range sources {
		if id != r.options.Self {
			d.addSource(id)
		}
	}
}

// releaseFetch removes a purpose from a download. A download without a purpose ends.
func (r *Replica) releaseFetch(h Hash, ended purpose) {
	d := r.findDownload(h)
	if d == nil {
		return
	}
	d.purposes &^= ended
	if d.purposes == 0 {
		r.endDownload(d)
	}
}

// endDownload ends a download, whether or not it is complete.
func (r *Replica) endDownload(d *download) {
	r.downloads = slices.DeleteFunc(r.downloads, func(x *download) bool { return x == d })
}

// runDownloads starts the download of the target if its document is missing, and requests the next
// chunks of all downloads.
func (r *Replica) runDownloads() {
	missing := r.target.Number > r.newest.Number && r.documents.get(r.target.Hash) == nil
	if missing && r.findDownload(r.target.Hash) == nil {
		r.fetch(r.target.Hash, r.target.Size, forApplication)
	}
	for _, d := range r.downloads {
		r.runDownload(d)
	}
}

// runDownload requests the next chunks of a document. If its size is unknown, as for a document
// named only by its hash, only the first chunk is requested, which gives the size.
func (r *Replica) runDownload(d *download) {
	if d.source == "" || r.excluded(d, d.source) && d.source != r.avoidedSource(d) {
		if r.now < d.chooseSourceAt {
			return
		}
		d.source = r.chooseSource(d)
		d.requests = d.requests[:0]
	}
	if d.source == "" {
		d.chooseSourceAt = r.now + sourceInterval
		return
	}
	if !slices.Contains(d.requestedFrom, d.source) && len(d.requestedFrom) < maxExcluded {
		d.requestedFrom = append(d.requestedFrom, d.source)
	}
	if d.size == 0 {
		if len(d.requests) == 0 {
			r.requestChunk(d, 0)
		}
		return
	}
	for i := 0; i < len(d.chunks) && len(d.requests) < maxChunkRequests; i++ {
		if d.chunks[i] == nil && !d.requested(i) {
			r.requestChunk(d, i)
		}
	}
}

// requestChunk requests one chunk from the current source.
func (r *Replica) requestChunk(d *download, index int) {
	d.requests = append(d.requests, chunkRequest{index: index, sentAt: r.now})
	r.send(d.source, Message{Fetch: &Fetch{Hash: d.hash, Offset: index * ChunkBytes}})
}

// tickDownloads changes the source of downloads with a chunk that timed out, and handles downloads
// that stall.
func (r *Replica) tickDownloads() {
	for _, d := range slices.Clone(r.downloads) {
		timedOut := func(request chunkRequest) bool { return r.now >= request.sentAt+chunkTimeout }
		if slices.ContainsFunc(d.requests, timedOut) {
			d.changeSource()
		}
		if r.now >= d.progressAt+stallTimeout {
			d.progressAt = r.now
			r.handleStall(d)
		}
	}
}

// handleStall gives up a document of which no chunk has arrived within stallTimeout, if it is the
// target or an older version's. Proposals, holds and lookups need this very document, and have
// timeouts of their own.
func (r *Replica) handleStall(d *download) {
	if d.purposes&forApplication != 0 && d.hash == r.target.Hash {
		r.abandon(slices.Clone(d.sources))
	}
	if d.purposes == forHistory {
		r.history.nextAt = r.now + historyRetry
		r.endDownload(d)
	}
}

// handleChunk handles a chunk of a document.
func (r *Replica) handleChunk(from members.ID, c *Chunk) {
	d := r.findDownload(c.Hash)
	if d == nil || !slices.Contains(d.requestedFrom, from) {
		return
	}
	if c.Missing {
		r.handleMissing(d, from)
		return
	}
	if !d.fits(c) {
		r.counters.Corrupt++
		r.avoid(from)
		if d.source == from {
			d.changeSource()
		}
		return
	}
	if d.size == 0 {
		d.setSize(c.Total)
	}
	index := c.Offset / ChunkBytes
	d.requests = slices.DeleteFunc(d.requests, func(q chunkRequest) bool { return q.index == index })
	if d.chunks[index] != nil {
		return
	}
	d.chunks[index] = c.Data
	r.addDescription(c.Version)
	d.received++
	d.progressAt = r.now
	if !slices.Contains(d.contributors, from) {
		d.contributors = append(d.contributors, from)
	}
	r.counters.FetchedBytes += int64(len(c.Data))
	if d.received == len(d.chunks) {
		r.completeDownload(d)
	}
}

// handleMissing records that a member does not have a document, and changes the source if it was
// that member.
func (r *Replica) handleMissing(d *download, from members.ID) {
	if len(d.missingUntil) < maxExcluded || d.missingUntil[from] != 0 {
		d.missingUntil[from] = r.now + missingTime
	}
	if d.source == from {
		d.source = ""
		d.chooseSourceAt = 0
		d.requests = d.requests[:0]
	}
	r.handleLookupMissing(d.hash, from)
}

// completeDownload verifies a document of which all chunks have arrived. One that does not match
// its hash is dropped, and the members that sent chunks of it are avoided for a while.
func (r *Replica) completeDownload(d *download) {
	data := slices.Concat(d.chunks...)
	if HashOf(data) == d.hash {
		r.endDownload(d)
		r.documents.put(d.hash, data)
		r.answerLookups(d.hash, data)
		return
	}
	r.counters.Corrupt++
	for _, id := range d.contributors {
		r.avoid(id)
	}
	d.contributors = nil
	d.changeSource()
	d.setSize(d.size)
	if d.purposes&^forLookup == 0 { // only the source told the size
		d.size = 0
		d.chunks = nil
	}
}

// nextDownload returns when the next step of a download is due.
func (r *Replica) nextDownload() float64 {
	next := never
	for _, d := range r.downloads {
		if d.source == "" {
			next = min(next, d.chooseSourceAt)
		}
		for _, q := range d.requests {
			next = min(next, q.sentAt+chunkTimeout)
		}
		next = min(next, d.progressAt+stallTimeout)
	}
	return next
}
