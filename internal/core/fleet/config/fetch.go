package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How documents are fetched, in ms and counts.
const (
	maxChunkRequests    = 4       // chunks of a document that are asked for at a time
	chunkTimeout        = 500.0   // until a chunk is asked for again, of another member if there is one
	sourceInterval      = 300.0   // between two looks for a source where there is none
	missingTime         = 1000.0  // for which one that did not have the document is not asked
	avoidTime           = 10000.0 // for which one that sent bytes that did not fit is not asked
	avoidOnlySourceTime = 1000.0  // the same where nobody else has the document
	maxSources          = 16      // of one document
	maxExcluded         = 64

	// maxDownloads has room for what each purpose may want at a time: proposals, holds and lookups by their bounds, the
	// version to be taken, and one of the history.
	maxDownloads = MaxProposals + 1 + maxHolds + maxLookups + 2
)

// purpose is what a document is fetched for.
type purpose uint8

const (
	forApplication purpose = 1 << iota
	forProposal
	forHold
	forLookup
	forHistory
)

// chunkRequest is a chunk that was asked for.
type chunkRequest struct {
	index  int
	sentAt float64
}

// download is a document that is being fetched. What has come stays when its source changes.
type download struct {
	hash           Hash
	size           int // 0: not known yet
	purposes       purpose
	chunks         [][]byte
	received       int // chunks that have come
	sources        []members.ID
	source         members.ID // that is asked now
	slowSource     members.ID // that did not answer in time last
	requestedFrom  []members.ID
	contributors   []members.ID
	requests       []chunkRequest
	missingUntil   map[members.ID]float64 // those that did not have it, until when they are not asked
	chooseSourceAt float64                // for a source
	progressAt     float64
	rotation       int // by which voter the search begins
}

// chunkCount is how many chunks a document has.
func chunkCount(size int) int { return (size + ChunkBytes - 1) / ChunkBytes }

func (d *download) addSource(id members.ID) bool {
	if slices.Contains(d.sources, id) || len(d.sources) >= maxSources {
		return false
	}
	d.sources = append(d.sources, id)
	d.chooseSourceAt = 0
	delete(d.missingUntil, id) // it tells that it has it by now
	return true
}

// setSize takes in the size; memory is taken up only by bytes that came.
func (d *download) setSize(size int) {
	d.size = size
	d.chunks = make([][]byte, chunkCount(size))
	d.received = 0
}

func (r *Replica) findDownload(h Hash) *download {
	for _, d := range r.downloads {
		if d.hash == h {
			return d
		}
	}
	return nil
}

// fetch begins to get a document, or adds a purpose and sources to a fetch under way. Size 0: it is not known.
func (r *Replica) fetch(h Hash, size int, why purpose, sources ...members.ID) *download {
	d := r.findDownload(h)
	if d == nil {
		if len(r.downloads) >= maxDownloads {
			return nil
		}
		d = &download{hash: h, missingUntil: map[members.ID]float64{}, progressAt: r.now, rotation: r.rng.Int()}
		r.downloads = append(r.downloads, d)
	}
	if d.size == 0 && size > 0 {
		d.setSize(size)
	}
	d.purposes |= why
	for _, id := range sources {
		if id != r.options.Self {
			d.addSource(id)
		}
	}
	return d
}

// releaseFetch ends one purpose of a fetch; without any the fetch ends.
func (r *Replica) releaseFetch(h Hash, why purpose) {
	if d := r.findDownload(h); d != nil {
		if d.purposes &^= why; d.purposes == 0 {
			r.endDownload(d)
		}
	}
}

func (r *Replica) endDownload(d *download) {
	r.downloads = slices.DeleteFunc(r.downloads, func(x *download) bool { return x == d })
}

// runDownloads asks for what is to be asked for next.
func (r *Replica) runDownloads() {
	if r.target.Number > r.newest.Number && r.documents.get(r.target.Hash) == nil && r.findDownload(r.target.Hash) == nil {
		r.fetch(r.target.Hash, r.target.Size, forApplication)
	}
	for _, d := range r.downloads {
		r.runDownload(d)
	}
}

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

func (d *download) requested(index int) bool {
	return slices.ContainsFunc(d.requests, func(q chunkRequest) bool { return q.index == index })
}

func (r *Replica) requestChunk(d *download, index int) {
	d.requests = append(d.requests, chunkRequest{index, r.now})
	r.send(d.source, Message{Fetch: &Fetch{Hash: d.hash, Offset: index * ChunkBytes}})
}

// excluded tells whether one is not to be asked now.
func (r *Replica) excluded(d *download, id members.ID) bool {
	return id == r.options.Self || r.now < d.missingUntil[id] || r.now < r.avoidedUntil[id]
}

// chooseSource is the next member to be asked: one that told that it has the document, else a voter. One that was slow
// is asked again only if there is no other.
func (r *Replica) chooseSource(d *download) members.ID {
	fallback := members.ID("")
	for _, id := range d.sources {
		switch {
		case r.excluded(d, id):
		case id == d.slowSource:
			fallback = id
		default:
			return id
		}
	}
	voters := r.env.Voters()
	for i := range voters {
		id := voters[(i+d.rotation%len(voters))%len(voters)]
		if id != d.slowSource && !r.excluded(d, id) {
			return id
		}
	}
	if fallback == "" && d.slowSource != "" && !r.excluded(d, d.slowSource) {
		return d.slowSource
	}
	if fallback == "" {
		return r.avoidedSource(d)
	}
	return fallback
}

// avoidedSource is one that sent bytes that did not fit, and told that it has the document: it may be the only one, and
// the bytes may have been changed on their way. It is asked again a while after each such failure.
func (r *Replica) avoidedSource(d *download) members.ID {
	for _, id := range d.sources {
		until, avoided := r.avoidedUntil[id]
		if avoided && r.now >= until-avoidTime+avoidOnlySourceTime && r.now >= d.missingUntil[id] && id != r.options.Self {
			return id
		}
	}
	return ""
}

// tickDownloads asks again for chunks that did not come in time, and gives up a version of which nothing comes.
func (r *Replica) tickDownloads() {
	for _, d := range slices.Clone(r.downloads) {
		if slices.ContainsFunc(d.requests, func(q chunkRequest) bool { return r.now >= q.sentAt+chunkTimeout }) {
			d.changeSource()
		}
		if r.now >= d.progressAt+stallTimeout {
			d.progressAt = r.now
			r.stalled(d)
		}
	}
}

// stalled gives up a document of which nothing came for a while, where nobody waits for just this one.
func (r *Replica) stalled(d *download) {
	if d.purposes&forApplication != 0 && d.hash == r.target.Hash {
		r.abandon(slices.Clone(d.sources))
	}
	if d.purposes == forHistory {
		r.history.nextAt = r.now + historyRetry
		r.endDownload(d)
	}
}

// changeSource turns to another source; the slow one comes last from now on.
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

// handleChunk takes in bytes of a document.
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

// fits tells whether a chunk can be one of the document.
func (d *download) fits(c *Chunk) bool {
	if c.Total < 1 || c.Total > MaxDocument || d.size != 0 && c.Total != d.size {
		return false
	}
	if c.Offset < 0 || c.Offset >= c.Total || c.Offset%ChunkBytes != 0 {
		return false
	}
	return len(c.Data) == min(ChunkBytes, c.Total-c.Offset)
}

// handleMissing takes in that one does not have the document.
func (r *Replica) handleMissing(d *download, from members.ID) {
	if len(d.missingUntil) < maxExcluded || d.missingUntil[from] != 0 {
		d.missingUntil[from] = r.now + missingTime
	}
	if d.source == from {
		d.source = ""
		d.chooseSourceAt = 0
		d.requests = d.requests[:0]
	}
	r.lookupMissing(d.hash, from)
}

// completeDownload verifies a document that has come whole. One that does not match its hash is dropped, and those that
// sent parts of it are avoided for a while.
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
	if d.purposes&^(forLookup) == 0 {
		d.size, d.chunks = 0, nil // the size was told by the source alone
	}
}

// avoid does not ask one for documents for a while.
func (r *Replica) avoid(id members.ID) {
	if len(r.avoidedUntil) >= maxExcluded {
		for other, until := range r.avoidedUntil {
			if r.now >= until {
				delete(r.avoidedUntil, other)
			}
		}
	}
	if len(r.avoidedUntil) < maxExcluded {
		r.avoidedUntil[id] = r.now + avoidTime
	}
}

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
