package fleet

import (
	"errors"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/operator/block"
)

// ConfigBlock is the block config of the operator's file: this controller takes its rules, log, memory, maintenance and
// leases from the versions that the fleet agrees on.
type ConfigBlock struct {
	Wait time.Duration // at a start, the longest time to look for the latest version before clients are served
}

// ReadConfig reads the block config.
func ReadConfig(b *hcl.Block, sheet *block.Diagnostics) *ConfigBlock {
	open := block.Open(b, sheet, "wait")
	return &ConfigBlock{Wait: open.Duration("wait", 3*time.Second, 100*time.Millisecond, 8*time.Second)}
}

// ConfigHost is the program that uses the fleet's configuration: the daemon, or a hollow controller of a rig.
type ConfigHost struct {
	// Check tells whether a document could be used here, by the same code as `mintkeel check`. It has no effects, is
	// called from goroutines of the service, one call at a time, and must be quick.
	Check func(document []byte) error
	// Apply takes a version into use. It is called from a goroutine of its own, one call at a time, and may wait a
	// bounded time. An error that wraps ErrRetryable is tried again.
	Apply func(v config.Version, document []byte) error
}

// ErrRetryable marks an error of ConfigHost.Apply that will go away by itself.
var ErrRetryable = errors.New("to be tried again")

// ConfigAction is what an operator asks of the fleet's configuration.
type ConfigAction string

// Actions of operators.
const (
	ConfigPut      ConfigAction = "put"
	ConfigState    ConfigAction = "status"
	ConfigHistory  ConfigAction = "history"
	ConfigShow     ConfigAction = "show"
	ConfigRollback ConfigAction = "rollback"
)

// ConfigOrder is an operator's request: the part of a Request that is about the fleet's configuration.
type ConfigOrder struct {
	Action   ConfigAction `json:"action"`
	Document []byte       `json:"document,omitempty"` // of ConfigPut
	Expect   *uint64      `json:"expect,omitempty"`   // the newest version that the author has seen; nil: whatever is the newest
	Number   uint64       `json:"number,omitempty"`   // of ConfigShow and ConfigRollback
	Author   string       `json:"author,omitempty"`
	Reason   string       `json:"reason,omitempty"`
}

// ConfigAnswer answers a ConfigOrder: the part of a Status that is about the fleet's configuration.
type ConfigAnswer struct {
	Result   string           `json:"result,omitempty"` // of put and rollback: "agreed", "lost", "refused" or "unknown"
	Reason   string           `json:"reason,omitempty"`
	Version  *config.Version  `json:"version,omitempty"` // agreed on, or the newest where it was lost
	Local    config.Readiness `json:"local"`             // of the controller asked
	Status   *config.Status   `json:"status,omitempty"`  // of ConfigState
	From     string           `json:"from,omitempty"`    // the leader that Status or Versions are from
	Versions []config.Version `json:"versions,omitempty"`
	Document []byte           `json:"document,omitempty"` // of ConfigShow
}
