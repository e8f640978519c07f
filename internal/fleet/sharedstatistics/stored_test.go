package sharedstatistics

// A renamed or reordered field can change the encoding of messages between jobs, which fails only with a
// controller of an earlier build. This test compares the encoding with what an earlier build wrote.

import (
	"testing"

	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/lab/golden"
)

func TestJobMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "jobmessages.golden")
	statistics := &snapshot{Settings: 0xfedcba9876543210, Now: 1_700_000_000_000.5, Whole: true, Token: 21,
		Data: []byte{1, 2, 3}}
	golden.AllSet(t, statistics)
	golden.CBOR(t, table, "digest-gather", message{Digest: true, RequestStatistics: true}, frames.Decoder.Unmarshal)
	golden.CBOR(t, table, "digest-want", message{Digest: true, RequestDigest: true}, frames.Decoder.Unmarshal)
	golden.CBOR(t, table, "digest-snapshot", message{Digest: true, Snapshot: statistics},
		frames.Decoder.Unmarshal)
	golden.CBOR(t, table, "digest-effect", *statistics, frames.Decoder.Unmarshal)
}
