package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestWritePastDeadline guards against an answer or attempt that is cut off although its peer would take it: the deadline
// has passed while the process had no turn. A peer that takes nothing still ends the write.
func TestWritePastDeadline(t *testing.T) {
	c, peer := connPair(t, 0)
	passed := time.Now().Add(-time.Second)
	parts := net.Buffers{[]byte("one "), nil, []byte("two")}
	if n, err := c.WriteBuffers(&parts, passed); n != 7 || err != nil {
		t.Errorf("wrote %d bytes, %v; want 7", n, err)
	}
	got := make([]byte, 7)
	peer.SetDeadline(time.Now().Add(testTimeout))
	if io.ReadFull(peer, got); string(got) != "one two" {
		t.Errorf("the peer got %q", got)
	}
	sent := int64(0)
	for {
		big := net.Buffers{bytes.Repeat([]byte("x"), 1<<20)}
		n, err := c.WriteBuffers(&big, passed)
		sent += n
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a full connection: %v, want the deadline", err)
			}
			break
		}
	}
	c.CloseWrite()
	if n, err := io.Copy(io.Discard, peer); n != sent || err != nil {
		t.Errorf("the peer got %d bytes, %v; want the %d that were counted as written", n, err, sent)
	}
}
