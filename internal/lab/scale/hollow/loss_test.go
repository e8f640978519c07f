package hollow

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Data written to a connection that loses segments arrives complete and in order, and closing the connection ends its
// goroutine.
func TestLossyConn(t *testing.T) {
	const messages = 300
	near, far := net.Pipe()
	var again atomic.Int64
	c := newLossyConn(near, 0.5, time.Microsecond, func(n int64) { again.Add(n) })
	go func() {
		for i := range uint32(messages) {
			c.Write(binary.BigEndian.AppendUint32(nil, i))
		}
	}()
	far.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range uint32(messages) {
		b := make([]byte, 4)
		if _, err := io.ReadFull(far, b); err != nil || binary.BigEndian.Uint32(b) != i {
			t.Fatalf("message %d is read as %d, error %v", i, binary.BigEndian.Uint32(b), err)
		}
	}
	if n := again.Load(); n < messages/2 || n > 2*messages {
		t.Errorf("%d retransmissions of %d segments with a loss of one half, want about one per segment", n, messages)
	}
	c.Close()
	select {
	case <-c.finished:
	case <-time.After(20 * time.Second):
		t.Error("the goroutine runs after Close")
	}
	if _, err := c.Write([]byte{1}); err == nil {
		t.Error("Write on a closed connection returns no error")
	}
}

// The retransmission delay doubles with each further loss of a segment.
func TestLossDraw(t *testing.T) {
	sum := int64(0)
	const draws = 20000
	for range draws {
		again, late := loss(0.1).drawSegment(time.Second)
		if want := time.Duration(1<<again-1) * time.Second; late != want {
			t.Fatalf("a segment lost %d times is delayed by %v, want %v", again, late, want)
		}
		sum += again
	}
	if mean := float64(sum) / draws; mean < 0.09 || mean > 0.13 { // 0.1 + 0.01 + ...
		t.Errorf("%v retransmissions per segment on average, want about 0.11", mean)
	}
	if again, late := loss(0).drawWrite(10, time.Second); again != 0 || late != 0 {
		t.Errorf("without loss: %d retransmissions and a delay of %v, want none", again, late)
	}
}

// A small fleet works while segments are lost, and each row is measured.
func TestMeasureLoss(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	m := &measurement{Options: Options{Quick: true, Voters: 3, Command: testCommand, Logf: t.Logf}, settle: 200 * time.Millisecond,
		window: 2500 * time.Millisecond, lease: time.Second, puts: 1}
	m.Sizes = []int{5}
	rows, err := m.loss(ctx)
	if err != nil || len(rows) != len(lossRows()) {
		t.Errorf("%d of %d rows are measured, error %v", len(rows), len(lossRows()), err)
	}
}
