package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"mintkeel/internal/core/fleet/members"
)

// Hash is the SHA-256 of a document.
type Hash [32]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// HashOf returns the hash of a document.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// compareHashes orders hashes by their bytes.
func compareHashes(a, b Hash) int { return bytes.Compare(a[:], b[:]) }

// ProposalID identifies a proposal, so that one that is sent again, perhaps to another leader,
// becomes a version only once.
type ProposalID struct {
	Origin members.ID `cbor:"1,keyasint"`
	Run    uint64     `cbor:"2,keyasint"` // of the origin's process
	Ref    uint64     `cbor:"3,keyasint"` // assigned by that process
}

// Version is a document as the quorum agreed on it. It is encoded by the keys of its fields, and
// shown to operators as JSON by their names.
type Version struct {
	Number uint64 `cbor:"1,keyasint"` // 1 is the first; 0: none, or not agreed on yet
	Hash   Hash   `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"` // bytes
	Author string `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint"`
	// Time is in ms since 1970 by the origin's wall clock. It is for operators alone: no decision
	// depends on it.
	Time int64 `cbor:"6,keyasint"`
	// RollbackOf is the number of the earlier version whose document this one restores; 0: it is no
	// rollback.
	RollbackOf uint64     `cbor:"7,keyasint,omitempty"`
	ID         ProposalID `cbor:"8,keyasint"`
}

// summary returns what is announced of a version.
func (v *Version) summary() Summary { return Summary{Number: v.Number, Hash: v.Hash, Size: v.Size} }

// Proposal is an entry of the quorum's log: its document becomes the next version if the newest one
// is still Expect.
type Proposal struct {
	Expect  uint64  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"` // Number is not set yet
}

// invalid returns why a proposal is invalid, as text for operators; empty: it is valid.
func (p *Proposal) invalid() string {
	switch v := &p.Version; {
	case v.Size < 1:
		return "the document is empty"
	case v.Size > MaxDocument:
		return "the document is too large"
	case len(v.Author) > MaxAuthor:
		return "the author's name is too long"
	case len(v.Reason) > MaxReason:
		return "the reason is too long"
	case v.ID.Origin == "" || len(v.ID.Origin) > maxIDBytes:
		return "the proposal names no valid origin"
	}
	return ""
}
