package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// How documents are fetched, in ms and counts.
const (
	fetchWindow  = 4       // chunks of a document that are asked for at a time
	chunkTimeout = 500.0   // until a chunk is asked for again, of another member if there is one
	sourceWait   = 300.0   // between two looks for a source where there is none
	missingFor   = 1000.0  // for which one that did not have the document is not asked
	avoidFor     = 10000.0 // for which one that sent bytes that did not fit is not asked
	avoidOnly    = 1000.0  // the same where nobody else has the document
	maxSources   = 16      // of one document
	maxExcluded  = 64

	// maxDownloads has room for what each purpose may want at a time: proposals, holds and lookups by their bounds, the
	// version to be taken, and one of the history.
	maxDownloads = MaxProposals + 1 + maxHolds + maxLookups + 2
)

// purpose is what a document is fetched for.
type purpose uint8

const (
	forTaking purpose = 1 << iota
	forProposal
	forHold
	forLookup
	forHistory
)

// request is a chunk that was asked for.
type request struct {
	index int
	at    float64
}

// download is a document that is being fetched. What has come stays when its source changes.
type download struct {
	hash         Hash
	size         int // 0: not known yet
	purposes     purpose
	chunks       [][]byte
	have         int // chunks that have come
	sources      []members.ID
	source       members.ID // that is asked now
	slow         members.ID // that did not answer in time last
	asked        []members.ID
	contributors []members.ID
	requests     []request
	missing      map[members.ID]float64 // those that did not have it, until when they are not asked
	waitUntil    float64                // for a source
	progressAt   float64
	rotation     int // by which voter the search begins
}

// chunkCount is how many chunks a document has.
func chunkCount(size int) int { return (size + ChunkBytes - 1) / ChunkBytes }

func (d *download) addSource(id members.ID) bool {
	if slices.Contains(d.sources, id) || len(d.sources) >= maxSources {
		return false
	}
	d.sources = append(d.sources, id)
	d.waitUntil = 0
	delete(d.missing, id) // it tells that it has it by now
	return true
}

// setSize takes in the size; memory is taken up only by bytes that came.
func (d *download) setSize(size int) {
	d.size = size
	d.chunks = make([][]byte, chunkCount(size))
	d.have = 0
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
		d = &download{hash: h, missing: map[members.ID]float64{}, progressAt: r.now, rotation: r.rng.Int()}
		r.downloads = append(r.downloads, d)
	}
	if d.size == 0 && size > 0 {
		d.setSize(size)
	}
	d.purposes |= why
	for _, id := range sources {
		if id != r.facts.Self {
			d.addSource(id)
		}
	}
	return d
}

// release ends one purpose of a fetch; without any the fetch ends.
func (r *Replica) release(h Hash, why purpose) {
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
	if r.target.Number > r.newest.Number && r.library.get(r.target.Hash) == nil && r.findDownload(r.target.Hash) == nil {
		r.fetch(r.target.Hash, r.target.Size, forTaking)
	}
	for _, d := range r.downloads {
		r.runDownload(d)
	}
}

func (r *Replica) runDownload(d *download) {
	if d.source == "" || r.excluded(d, d.source) && d.source != r.avoidedSource(d) {
		if r.now < d.waitUntil {
			return
		}
		d.source = r.chooseSource(d)
		d.requests = d.requests[:0]
	}
	if d.source == "" {
		d.waitUntil = r.now + sourceWait
		return
	}
	if !slices.Contains(d.asked, d.source) && len(d.asked) < maxExcluded {
		d.asked = append(d.asked, d.source)
	}
	if d.size == 0 {
		if len(d.requests) == 0 {
			r.requestChunk(d, 0)
		}
		return
	}
	for i := 0; i < len(d.chunks) && len(d.requests) < fetchWindow; i++ {
		if d.chunks[i] == nil && !d.requested(i) {
			r.requestChunk(d, i)
		}
	}
}

func (d *download) requested(index int) bool {
	return slices.ContainsFunc(d.requests, func(q request) bool { return q.index == index })
}

func (r *Replica) requestChunk(d *download, index int) {
	d.requests = append(d.requests, request{index, r.now})
	r.send(d.source, Message{Fetch: &Fetch{Hash: d.hash, Offset: index * ChunkBytes}})
}

// excluded tells whether one is not to be asked now.
func (r *Replica) excluded(d *download, id members.ID) bool {
	return id == r.facts.Self || r.now < d.missing[id] || r.now < r.avoided[id]
}

// chooseSource is the next member to be asked: one that told that it has the document, else a voter. One that was slow
// is asked again only if there is no other.
func (r *Replica) chooseSource(d *download) members.ID {
	fallback := members.ID("")
	for _, id := range d.sources {
		switch {
		case r.excluded(d, id):
		case id == d.slow:
			fallback = id
		default:
			return id
		}
	}
	voters := r.env.Voters()
	for i := range voters {
		id := voters[(i+d.rotation%len(voters))%len(voters)]
		if id != d.slow && !r.excluded(d, id) {
			return id
		}
	}
	if fallback == "" && d.slow != "" && !r.excluded(d, d.slow) {
		return d.slow
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
		until, avoided := r.avoided[id]
		if avoided && r.now >= until-avoidFor+avoidOnly && r.now >= d.missing[id] && id != r.facts.Self {
			return id
		}
	}
	return ""
}

// tickDownloads asks again for chunks that did not come in time, and gives up a version of which nothing comes.
func (r *Replica) tickDownloads() {
	for _, d := range slices.Clone(r.downloads) {
		if slices.ContainsFunc(d.requests, func(q request) bool { return r.now >= q.at+chunkTimeout }) {
			d.changeSource()
		}
		if r.now >= d.progressAt+stallAfter {
			d.progressAt = r.now
			r.stalled(d)
		}
	}
}

// stalled gives up a document of which nothing came for a while, where nobody waits for just this one.
func (r *Replica) stalled(d *download) {
	if d.purposes&forTaking != 0 && d.hash == r.target.Hash {
		r.abandon(slices.Clone(d.sources))
	}
	if d.purposes == forHistory {
		r.history.at = r.now + historyLater
		r.endDownload(d)
	}
}

// changeSource turns to another source; the slow one comes last from now on.
func (d *download) changeSource() {
	d.slow = d.source
	if i := slices.Index(d.sources, d.source); i >= 0 {
		d.sources = append(slices.Delete(d.sources, i, i+1), d.source)
	}
	d.rotation++
	d.source = ""
	d.waitUntil = 0
	d.requests = d.requests[:0]
}

// chunk takes in bytes of a document.
func (r *Replica) chunk(from members.ID, c *Chunk) {
	d := r.findDownload(c.Hash)
	if d == nil || !slices.Contains(d.asked, from) {
		return
	}
	if c.Missing {
		r.chunkMissing(d, from)
		return
	}
	if !d.fits(c) {
		r.counts.Corrupt++
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
	d.requests = slices.DeleteFunc(d.requests, func(q request) bool { return q.index == index })
	if d.chunks[index] != nil {
		return
	}
	d.chunks[index] = c.Data
	r.takeDescription(c.About)
	d.have++
	d.progressAt = r.now
	if !slices.Contains(d.contributors, from) {
		d.contributors = append(d.contributors, from)
	}
	r.counts.FetchedBytes += int64(len(c.Data))
	if d.have == len(d.chunks) {
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

// chunkMissing takes in that one does not have the document.
func (r *Replica) chunkMissing(d *download, from members.ID) {
	if len(d.missing) < maxExcluded || d.missing[from] != 0 {
		d.missing[from] = r.now + missingFor
	}
	if d.source == from {
		d.source = ""
		d.waitUntil = 0
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
		r.library.put(d.hash, data)
		r.answerLookups(d.hash, data)
		return
	}
	r.counts.Corrupt++
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
	if len(r.avoided) >= maxExcluded {
		for other, until := range r.avoided {
			if r.now >= until {
				delete(r.avoided, other)
			}
		}
	}
	if len(r.avoided) < maxExcluded {
		r.avoided[id] = r.now + avoidFor
	}
}

func (r *Replica) nextDownload() float64 {
	next := never
	for _, d := range r.downloads {
		if d.source == "" {
			next = min(next, d.waitUntil)
		}
		for _, q := range d.requests {
			next = min(next, q.at+chunkTimeout)
		}
		next = min(next, d.progressAt+stallAfter)
	}
	return next
}
