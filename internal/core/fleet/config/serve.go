package config

import "mintkeel/internal/core/fleet/members"

// serveBytes bounds the bytes of documents that are sent in one second; those that ask for more ask another.
const serveBytes = 8 << 20

// servedBytes counts what was sent within a second.
type servedBytes struct {
	since float64
	bytes int
}

// serve answers with a chunk of a document.
func (r *Replica) serve(from members.ID, f *Fetch) {
	data := r.library.get(f.Hash)
	if data == nil {
		r.send(from, Message{Chunk: &Chunk{Hash: f.Hash, Missing: true}})
		return
	}
	if f.Offset < 0 || f.Offset >= len(data) || f.Offset%ChunkBytes != 0 {
		return
	}
	part := data[f.Offset:min(len(data), f.Offset+ChunkBytes)]
	if r.now >= r.served.since+1000 {
		r.served = servedBytes{since: r.now}
	}
	if r.served.bytes+len(part) > serveBytes {
		return
	}
	r.served.bytes += len(part)
	r.counts.ServedBytes += int64(len(part))
	c := &Chunk{Hash: f.Hash, Offset: f.Offset, Total: len(data), Data: part}
	r.describe(c)
	r.send(from, Message{Chunk: c})
}
