//go:build mintkeel_lab

package faultinjection

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The rig's file has two float64 values in big-endian order.
const (
	clockRateOffset = 0    // rate of the clock
	diskTimeOffset  = 8    // ms that a disk write takes; if negative, it fails as on a full disk
	clockPoll       = 20.0 // ms between two reads of the rate
)

// clock is the monotonic clock at the rig's rate. It shows base when the system's clock is at from,
// and advances by rate ms for each ms after that.
var clock = struct {
	sync.Mutex
	file   *os.File // nil if the rig names none
	rate   float64
	from   float64 // ms of the system's clock
	base   float64 // ms
	polled float64 // ms of the system's clock at the last read of the rate
}{rate: 1}

func init() {
	if path := os.Getenv("MINTKEEL_LAB_CLOCK"); path != "" {
		clock.file, _ = os.Open(path)
	}
}

// Now returns the monotonic clock in ms at the rate that the rig sets.
func Now() float64 {
	now := monotonicNow()
	clock.Lock()
	defer clock.Unlock()
	if clock.file != nil && now-clock.polled > clockPoll {
		clock.polled = now
		rate, ok := readFloat(clockRateOffset)
		if ok && rate > 0 && rate != clock.rate {
			clock.base += (now - clock.from) * clock.rate
			clock.from = now
			clock.rate = rate
		}
	}
	return clock.base + (now-clock.from)*clock.rate
}

func readFloat(offset int64) (float64, bool) {
	b := make([]byte, 8)
	n, _ := clock.file.ReadAt(b, offset)
	return math.Float64frombits(binary.BigEndian.Uint64(b)), n == len(b)
}

// BeforeWrite delays a write by the time that the rig sets, or fails like a write to a full disk if
// the rig sets a negative time.
func BeforeWrite() error {
	if clock.file == nil {
		return nil
	}
	ms, ok := readFloat(diskTimeOffset)
	switch {
	case ok && ms < 0:
		return syscall.ENOSPC
	case ok && ms > 0:
		time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	}
	return nil
}

// Dial opens a connection to an address. If the rig names a switch, it connects to the switch and
// first sends the address: its length in one byte, and its text.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	switchAddr := os.Getenv("MINTKEEL_LAB_SWITCH")
	if switchAddr == "" {
		return dial(ctx, addr)
	}
	conn, err := dial(ctx, switchAddr)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append([]byte{byte(len(addr))}, addr...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
