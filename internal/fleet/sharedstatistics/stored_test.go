package sharedstatistics

// A rename or a reordering of fields can change what jobs send each other, which shows only beside a
// controller of an earlier build. This test compares with what an earlier build wrote.

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
