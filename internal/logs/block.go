package logs

import (
	"log/slog"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/operator/block"
)

// Values of the field "format".
const (
	formatText = "text"
	formatJSON = "json"
)

// Defaults and bounds of the fields of the block "log".
const (
	defaultBurst = 20 // lines
	maxBurst     = 1_000_000

	defaultEvery = time.Second
	minEvery     = 10 * time.Millisecond
	maxEvery     = time.Hour
)

// Block is the block "log" of the operator's file.
type Block struct {
	// Format is "text" for people or "json" for programs. Default: "text".
	Format string
	// Level is the lowest level that is written. Default: info.
	Level slog.Level
	// Burst is the number of lines of one kind that are written within Every; further lines are
	// counted and dropped. From 1 to 1,000,000, default 20. Zero, which would drop all lines, can't
	// be set in the file.
	Burst int
	// Every is the window of the rate limit. From 10 ms to 1 h, default 1 s. Zero, which would
	// disable the limit, can't be set in the file.
	Every time.Duration
}

// DefaultBlock returns the defaults, which hold without a block.
func DefaultBlock() Block {
	return Block{Format: formatText, Level: slog.LevelInfo, Burst: defaultBurst, Every: defaultEvery}
}

// ReadBlock reads the block "log". A field that can't be used gets a diagnostic and its default.
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) Block {
	read := DefaultBlock()
	open := block.Open(b, diagnostics, "format", "level", "burst", "every")
	read.Format = open.Choice("format", read.Format, formatText, formatJSON)
	level := open.Choice("level", "info", "debug", "info", "warn", "error")
	read.Level.UnmarshalText([]byte(level)) // can't fail: slog accepts each of these words
	read.Burst = open.Int("burst", read.Burst, 1, maxBurst)
	read.Every = open.Duration("every", read.Every, minEvery, maxEvery)
	return read
}
