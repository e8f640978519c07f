//go:build !mintkeel_lab

package faultinjection

import (
	"context"
	"net"

	"mintkeel/internal/fleet/job"
)

// Now returns the monotonic clock in ms, which is unaffected by changes of the system time.
func Now() float64 { return monotonicNow() }

// Dial opens a TCP connection to an address with a port.
func Dial(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, addr) }

// BeforeWrite is called before each write of stored state; its error counts as an error of the
// disk. Without a rig it is always nil.
func BeforeWrite() error { return nil }

// Jobs returns the jobs that a rig adds to those of the service; without a rig there are none.
func Jobs(string) []job.Job { return nil }
