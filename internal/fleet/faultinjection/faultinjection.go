// Package faultinjection is where messages among controllers meet the machine: its steady clock and its way to open
// connections. The daemon has no hook in it. A build with the tag mintkeel_lab, which only rigs make, has the clock follow a file and
// connections go by a switch.
package faultinjection

import (
	"context"
	"net"
	"time"
)

var began = time.Now()

// steady is ms by the system's steady clock.
func steady() float64 { return float64(time.Since(began)) / 1e6 }

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
