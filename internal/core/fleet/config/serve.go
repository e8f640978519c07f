package config

import "mintkeel/internal/core/fleet/members"

// maxServedBytes bounds the bytes of documents that are sent in serveWindow. A member that gets no
// answer to a Fetch asks another one.
const maxServedBytes = 8 << 20

// serveWindow is the time in ms in which maxServedBytes may be sent.
const serveWindow = 1000.0

// servedBytes counts the bytes sent since the start of a window.
type servedBytes struct {
	windowStart float64 // ms
	bytes       int
}

// handleFetch answers with a chunk of a document.
func (r *Replica) handleFetch(from members.ID, f *Fetch) {
	data := r.documents.get(f.Hash)
	if data == nil {
		r.send(from, Message{Chunk: &Chunk{Hash: f.Hash, Missing: true}})
		return
	}
	if f.Offset < 0 || f.Offset >= len(data) || f.Offset%ChunkBytes != 0 {
		return
	}
	part := data[f.Offset:min(len(data), f.Offset+ChunkBytes)]
	if r.now >= r.served.windowStart+serveWindow {
		r.served = servedBytes{windowStart: r.now}
	}
	if r.served.bytes+len(part) > maxServedBytes {
		return
	}
	r.served.bytes += len(part)
	r.counters.ServedBytes += int64(len(part))
	c := &Chunk{Hash: f.Hash, Offset: f.Offset, Total: len(data), Data: part}
	r.addVersionTo(c)
	r.send(from, Message{Chunk: c})
}
