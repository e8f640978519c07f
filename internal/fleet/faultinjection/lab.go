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

// The rig names a file of two float64s in big-endian order: the rate at which the clock is to run, and the ms that the disk
// is to take for a record, below zero if it is full. And it names a switch: connections go there, and begin with the
// address that was meant.
var clock = struct {
	sync.Mutex
	file             *os.File
	rate, from, base float64
	looked           float64
}{rate: 1}

func init() {
	if path := os.Getenv("MINTKEEL_LAB_CLOCK"); path != "" {
		clock.file, _ = os.Open(path)
	}
}

// Now is the time as the rig has it go.
func Now() float64 {
	now := steady()
	clock.Lock()
	defer clock.Unlock()
	if clock.file != nil && now-clock.looked > 20 {
		clock.looked = now
		if rate, ok := read(0); ok {
			if rate > 0 && rate != clock.rate {
				clock.base += (now - clock.from) * clock.rate
				clock.from, clock.rate = now, rate
			}
		}
	}
	return clock.base + (now-clock.from)*clock.rate
}

func read(at int64) (float64, bool) {
	b := make([]byte, 8)
	n, _ := clock.file.ReadAt(b, at)
	return math.Float64frombits(binary.BigEndian.Uint64(b)), n == 8
}

// BeforeSave takes as long as the rig has the disk take, and fails as a full one does if that is below zero.
func BeforeSave() error {
	if clock.file != nil {
		if ms, ok := read(8); ok && ms < 0 {
			return syscall.ENOSPC
		} else if ok && ms > 0 {
			time.Sleep(time.Duration(ms * float64(time.Millisecond)))
		}
	}
	return nil
}

// Dial opens a connection by the switch.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	by := os.Getenv("MINTKEEL_LAB_SWITCH")
	if by == "" {
		return dial(ctx, addr)
	}
	c, err := dial(ctx, by)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(append([]byte{byte(len(addr))}, addr...)); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
