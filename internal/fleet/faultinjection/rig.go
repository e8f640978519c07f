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

// The file of the rig has two float64 in big-endian order.
const (
	clockRateOffset = 0    // rate at which the clock runs
	diskTimeOffset  = 8    // ms that a write to the disk takes; below zero: it fails as on a full disk
	clockPoll       = 20.0 // ms between two reads of the rate
)

// clock is the steady clock at the rig's rate: base at the steady time from, and rate ms for each
// ms since.
var clock = struct {
	sync.Mutex
	file   *os.File // nil: the rig names none
	rate   float64
	from   float64 // ms
	base   float64 // ms
	polled float64 // ms of the steady clock, when the rate was read last
}{rate: 1}

func init() {
	if path := os.Getenv("MINTKEEL_LAB_CLOCK"); path != "" {
		clock.file, _ = os.Open(path)
	}
}

// Now is the time in ms, by the steady clock at the rate that the rig sets.
func Now() float64 {
	now := steadyNow()
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

// BeforeWrite takes as long as the rig has the disk take, and fails as a full disk does if the rig
// says so.
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

// Dial opens a connection. Where the rig names a switch it goes there, and begins with the address
// that was meant: its length in one byte, and the text.
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
