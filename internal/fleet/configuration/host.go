package configuration

import (
	"errors"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/operator/block"
)

// Block is the block config of the operator's file: this controller takes its rules, log, memory,
// maintenance and leases from the versions that the fleet agrees on.
type Block struct {
	// Wait is the longest time to look for the latest version, at a start, before clients are served.
	Wait time.Duration
}

// ReadBlock reads the block config. Problems go to the diagnostics.
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) *Block {
	open := block.Open(b, diagnostics, "wait")
	return &Block{Wait: open.Duration("wait", 3*time.Second, 100*time.Millisecond, 8*time.Second)}
}

// Host is the program that uses the fleet's configuration: the daemon, or a stand-in of the lab.
type Host struct {
	// Check returns why a document can't be used here, by the same code as `mintkeel check`; nil: it
	// can. It has no effects, is called from goroutines of the service, one call at a time, and must
	// be quick.
	Check func(document []byte) error
	// Apply takes a version into use. It is called from a goroutine of its own, one call at a time,
	// and may wait a bounded time. An error that wraps ErrRetryable is tried again.
	Apply func(v config.Version, document []byte) error
}

// ErrRetryable marks an error of Host.Apply that will go away by itself.
var ErrRetryable = errors.New("to be tried again")
