//go:build !mintkeel_lab

package faultinjection

import (
	"context"
	"net"

	"mintkeel/internal/fleet/job"
)

// Now is the time in ms, by a clock that only goes forward and that nobody sets.
func Now() float64 { return steadyNow() }

// Dial opens a connection to an address with its port.
func Dial(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, addr) }

// BeforeWrite is called before each write of stored state; an error stands for one of the disk.
func BeforeWrite() error { return nil }

// Jobs are the jobs that the rig adds to those of the service: none.
func Jobs(string) []job.Job { return nil }
