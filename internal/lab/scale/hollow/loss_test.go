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

// What is written on a connection that loses segments arrives whole and in order; closing it ends its goroutine.
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
			t.Fatalf("%d comes as %d: %v", i, binary.BigEndian.Uint32(b), err)
		}
	}
	if n := again.Load(); n < messages/2 || n > 2*messages {
		t.Errorf("%d segments of %d were sent again, where half of all are lost", n, messages)
	}
	c.Close()
	select {
	case <-c.finished:
	case <-time.After(20 * time.Second):
		t.Error("its goroutine goes on")
	}
	if _, err := c.Write([]byte{1}); err == nil {
		t.Error("a closed connection is written to")
	}
}

// Each further loss of a segment takes twice as long to make up for.
func TestLossDraw(t *testing.T) {
	sum := int64(0)
	const draws = 20000
	for range draws {
		again, late := loss(0.1).drawSegment(time.Second)
		if want := time.Duration(1<<again-1) * time.Second; late != want {
			t.Fatalf("lost %d times, it is %v late, not %v", again, late, want)
		}
		sum += again
	}
	if mean := float64(sum) / draws; mean < 0.09 || mean > 0.13 { // 0.1 + 0.01 + ...
		t.Errorf("a segment is sent %v times again on average", mean)
	}
	if again, late := loss(0).drawWrite(10, time.Second); again != 0 || late != 0 {
		t.Errorf("without loss %d are sent again, %v late", again, late)
	}
}

// A small fleet gets along where segments are lost, and each row is measured.
func TestMeasureLoss(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	m := &measurement{Options: Options{Quick: true, Voters: 3, Command: testCommand, Logf: t.Logf}, settle: 200 * time.Millisecond,
		window: 2500 * time.Millisecond, lease: time.Second, puts: 1}
	m.Sizes = []int{5}
	rows, err := m.loss(ctx)
	if err != nil || len(rows) != len(lossRows()) {
		t.Errorf("%d of %d rows, %v", len(rows), len(lossRows()), err)
	}
}
