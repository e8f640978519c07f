package config

import "math"

// Bounds of what is agreed on, stored and sent.
const (
	// MaxDocument bounds the bytes of a document.
	MaxDocument = 1 << 20
	// MaxHistory bounds the versions in the quorum's history.
	MaxHistory = 32
	// MaxStored bounds the bytes of documents that a voter keeps of the history; the newest two
	// always stay.
	MaxStored = 8 << 20
	// MaxAuthor bounds the bytes of an author's name.
	MaxAuthor = 64
	// MaxReason bounds the bytes of an author's reason and of the reason of a rejection.
	MaxReason = 256
	// ChunkBytes is the size of a document's chunks.
	ChunkBytes = 32 << 10
	// MaxReports bounds the controllers whose reports are kept.
	MaxReports = 4096
	// MaxProposals bounds the proposals that wait at an origin, or beside the current one at the
	// leader.
	MaxProposals = 8
	// MaxListed bounds each list of a Status.
	MaxListed = 64
	// maxIDBytes bounds a controller's name in a message.
	maxIDBytes = 64
)

// never is the due time of what is not scheduled: it is later than any time.
var never = math.Inf(1)
