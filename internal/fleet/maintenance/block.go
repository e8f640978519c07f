package maintenance

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/operator/block"
)

// Block is the maintenance block of the operator's file.
type Block struct {
	Drain   string        // program that drains an engine, absolute path; empty for none
	Work    string        // program that does the work, absolute path; empty if a person does it
	Back    string        // program that returns an engine to service, absolute path; empty for none
	Within  time.Duration // timeout of one run of a program
	Prepare time.Duration // longest wait for other engines to take over an engine's table groups
	List    bool          // an engine is free only once the endpoint list has it as draining or gone
}

// ReadBlock parses the maintenance block and adds problems to the diagnostics.
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
