package memory

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/operator/block"
)

// Default and bounds of the fields of the block "memory".
const (
	defaultInterval = 5 * time.Second
	minInterval     = 100 * time.Millisecond
	maxInterval     = time.Hour
)

// Block is the block "memory" of the operator's file. Without the block, statistics are not stored.
type Block struct {
	// Folder is the absolute path of the directory for snapshots, which belongs to this controller
	// alone. It is created if its parent exists. Required.
	Folder string
	// Interval is the time between two snapshots; it is longer if they are large
	// (limits.Limits.SnapshotBytesPerSecond). From 100 ms to 1 h, default 5 s; zero can't be set.
	// The field is called "pace" in the file.
	Interval time.Duration
}

// ReadBlock reads the block "memory".
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) *Block {
	open := block.Open(b, diagnostics, "folder", "pace")
	return &Block{
		Folder:   open.AbsolutePath("folder", true),
		Interval: open.Duration("pace", defaultInterval, minInterval, maxInterval),
	}
}
