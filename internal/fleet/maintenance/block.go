package maintenance

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/operator/block"
)

// Block is the block maintenance of the operator's file.
type Block struct {
	Drain   string        // program that takes an engine out, absolute path; empty: none
	Work    string        // program that does the work, absolute path; empty: a person does
	Back    string        // program that brings an engine back, absolute path; empty: none
	Within  time.Duration // for one run of a program
	Prepare time.Duration // for which other engines of an engine's table groups are waited for at most
	List    bool          // an engine is free only once the endpoint list has it as draining or gone
}

// ReadBlock reads the block maintenance. Problems go to the diagnostics.
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) *Block {
	open := block.Open(b, diagnostics, "drain", "work", "back", "within", "prepare", "list")
	return &Block{
		Drain:   open.AbsolutePath("drain", false),
		Work:    open.AbsolutePath("work", false),
		Back:    open.AbsolutePath("back", false),
		Within:  open.Duration("within", 10*time.Minute, time.Second, 24*time.Hour),
		Prepare: open.Duration("prepare", 30*time.Second, 0, time.Hour),
		List:    open.Bool("list", true),
	}
}
