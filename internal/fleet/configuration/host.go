package configuration

import (
	"errors"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/operator/block"
)

// Block is the config block of the operator's file. With it, the controller takes its rules, log,
// memory, maintenance and leases from the versions that the fleet agrees on.
type Block struct {
	// Wait bounds how long a starting controller waits for the latest version before it serves
	// clients.
	Wait time.Duration
}

// ReadBlock parses the config block and adds problems to the diagnostics.
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) *Block {
	open := block.Open(b, diagnostics, "wait")
	return &Block{Wait: open.Duration("wait", 3*time.Second, 100*time.Millisecond, 8*time.Second)}
}

// Host is the program that uses the fleet's configuration: the daemon, or a substitute in the lab.
type Host struct {
	// Check returns why a document can't be used here, with the same code as `mintkeel check`; nil if
	// it can. It has no side effects, is called from goroutines of the service, one call at a time,
	// and must be quick.
	Check func(document []byte) error
	// Apply applies a version. It is called from a goroutine of its own, one call at a time, and may
	// block for a bounded time. A call that returns an error wrapping ErrRetryable is repeated.
	Apply func(v config.Version, document []byte) error
}

// ErrRetryable marks an error of Host.Apply as temporary.
var ErrRetryable = errors.New("temporary failure")
