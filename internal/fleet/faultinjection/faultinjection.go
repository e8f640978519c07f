// Package faultinjection has what the fleet service takes from the machine and a rig replaces: the
// steady clock, new connections, the time before a write. The daemon injects no faults (system.go).
// Only builds with the tag mintkeel_lab, which the rig of internal/lab/fleet makes, do (rig.go,
// job.go): the clock runs at a rate from a file, writes take long or fail, connections go through a
// switch, and a job produces effects that the rig checks. Environment variables name the file, the
// switch and the endpoint. It is the one package of the fleet that the tag changes, and both builds
// export the same functions.
package faultinjection

import (
	"context"
	"net"
	"time"
)

// clockStart is when the steady clock was at 0.
var clockStart = time.Now()

// steadyNow is the time in ms by the system's steady clock.
func steadyNow() float64 { return float64(time.Since(clockStart)) / float64(time.Millisecond) }

// dial opens a connection by TCP.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}
