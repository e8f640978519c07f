// Package faultinjection wraps the system resources of the fleet service that a test rig replaces:
// the monotonic clock, new connections and the delay before a write. The daemon injects no faults
// (system.go). Only builds with the tag mintkeel_lab do (rig.go, job.go), which the rig of
// internal/lab/fleet makes: the clock runs at a rate from a file, writes are slow or fail,
// connections go through a switch, and a job produces effects that the rig checks. Environment
// variables name the file, the switch and the endpoint of the effects. This is the only package of
// the fleet that the tag changes, and both builds export the same functions.
package faultinjection

import (
	"context"
	"net"
	"time"
)

// clockStart is when the monotonic clock was at 0.
var clockStart = time.Now()

// monotonicNow returns the system's monotonic clock in ms.
func monotonicNow() float64 { return float64(time.Since(clockStart)) / float64(time.Millisecond) }

// dial opens a TCP connection.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}
