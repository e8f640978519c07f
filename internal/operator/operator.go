package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
)

// maxFileBytes bounds a file, and with it the memory to read it: a controller may have only 32 MB.
const maxFileBytes = 1 << 20

// Names of the blocks of an operator's file.
const (
	blockLog         = "log"
	blockMemory      = "memory"
	blockFleet       = "fleet"
	blockMaintenance = "maintenance"
	blockConfig      = "config"
	blockRule        = "rule"
)

// fileSchema is the blocks of an operator's file, and of a document for all controllers. Rules may
// be many; of all other blocks there is one at most.
var fileSchema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: blockLog},
	{Type: blockMemory},
	{Type: blockFleet},
	{Type: blockMaintenance},
	{Type: blockConfig},
	{Type: blockRule, LabelNames: []string{"name"}},
}}

// File is what an operator's file says.
type File struct {
	// Log has the defaults if the file has no such block.
	Log logs.Block
	// Memory is nil if statistics are not stored.
	Memory *memory.Block
	// Rules is nil if there are none.
	Rules *rules.Set
	// Fleet is nil if the controller belongs to no fleet.
	Fleet *fleet.Block
	// Maintenance is nil if the controller takes no part in scheduled maintenance.
	Maintenance *maintenance.Block
	// Config is nil if the controller does not take its configuration from the fleet.
	Config *configuration.Block
}

// Read reads an operator's file for a controller with these settings; an empty path means that
// there is none, and everything is off. The error is a block.Problems with everything that is
// wrong, unless the file can't be read at all.
func Read(path string, facts *settings.Facts) (*File, error) {
	if path == "" {
		return &File{Log: logs.DefaultBlock()}, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text, facts)
}

// Parse reads the text of an operator's file. The error is a block.Problems, in which alone the
// path is used.
func Parse(path string, text []byte, facts *settings.Facts) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, block.Problems{{File: path, Why: fmt.Sprintf("has over %d bytes", maxFileBytes)}}
	}
	file := &File{Log: logs.DefaultBlock()}
	err := parse(path, text, func(parsed *hcl.File, diagnostics *block.Diagnostics) {
		file.read(parsed.Body, facts, diagnostics)
	})
	if err != nil {
		return nil, err
	}
	return file, nil
}

// parse parses HCL and calls read with the result, unless the syntax is wrong. All problems, also
// those of read, are in the error, a block.Problems.
func parse(path string, text []byte, read func(*hcl.File, *block.Diagnostics)) error {
	if problem := checkComplexity(path, text); problem != nil {
		return block.Problems{*problem}
	}
	diagnostics := block.NewDiagnostics(text)
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	diagnostics.AddHCL(found, "")
	if parsed != nil && !found.HasErrors() {
		read(parsed, diagnostics)
	}
	if problems := diagnostics.Problems(); problems != nil {
		return problems
	}
	return nil
}

// Problems returns the problems in an error of Read, Parse, ParseDocument or ReadCases; nil if it
// holds none.
func Problems(err error) block.Problems {
	var problems block.Problems
	errors.As(err, &problems)
	return problems
}

func (f *File) read(body hcl.Body, facts *settings.Facts, diagnostics *block.Diagnostics) {
	content, found := body.Content(fileSchema)
	diagnostics.AddHCL(found, "")
	if content == nil {
		return
	}
	otherBlocks, ruleBlocks := splitRules(content.Blocks, diagnostics)
	for _, b := range otherBlocks {
		f.readBlock(b, diagnostics)
	}
	if !hasBlock(content.Blocks, blockFleet) {
		for _, b := range otherBlocks {
			checkFleetBlock(b, diagnostics)
		}
	}
	if f.Fleet != nil {
		f.Fleet.Leases = withMaintenance(f.Fleet.Leases, f.Maintenance)
	}
	f.Rules = readRules(ruleBlocks, facts, diagnostics)
}

// readBlock reads a block that is no rule.
func (f *File) readBlock(b *hcl.Block, diagnostics *block.Diagnostics) {
	switch b.Type {
	case blockLog:
		f.Log = logs.ReadBlock(b, diagnostics)
	case blockMemory:
		f.Memory = memory.ReadBlock(b, diagnostics)
	case blockFleet:
		f.Fleet = fleet.ReadBlock(b, diagnostics)
	case blockMaintenance:
		f.Maintenance = maintenance.ReadBlock(b, diagnostics)
	case blockConfig:
		f.Config = configuration.ReadBlock(b, diagnostics)
	}
}

// checkFleetBlock notes blocks that need a block fleet, in a file without one.
func checkFleetBlock(b *hcl.Block, diagnostics *block.Diagnostics) {
	switch b.Type {
	case blockMaintenance:
		diagnostics.Add(b.DefRange, b.Type, "needs a block fleet: controllers settle it among them")
	case blockConfig:
		diagnostics.Add(b.DefRange, b.Type,
			"needs a block fleet: its controllers agree on the configuration")
	}
}

// splitRules separates the rules from the blocks of which there may be one, and notes a second one.
func splitRules(blocks hcl.Blocks, diagnostics *block.Diagnostics) (otherBlocks, ruleBlocks hcl.Blocks) {
	seen := map[string]bool{}
	for _, b := range blocks {
		switch {
		case b.Type == blockRule:
			ruleBlocks = append(ruleBlocks, b)
		case seen[b.Type]:
			diagnostics.Add(b.DefRange, b.Type, "stands here a second time")
		default:
			seen[b.Type] = true
			otherBlocks = append(otherBlocks, b)
		}
	}
	return otherBlocks, ruleBlocks
}

// withMaintenance adds the lease of scheduled maintenance to others, if that is on.
func withMaintenance(names []lease.Name, maintenanceBlock *maintenance.Block) []lease.Name {
	if maintenanceBlock == nil || slices.Contains(names, maintenance.Lease) {
		return names
	}
	names = append(names, maintenance.Lease)
	slices.Sort(names)
	return names
}

func hasBlock(blocks hcl.Blocks, name string) bool {
	return slices.ContainsFunc(blocks, func(b *hcl.Block) bool { return b.Type == name })
}
