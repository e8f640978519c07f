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

// maxFileBytes bounds a file and the memory needed to read it: a controller may have only 32 MB.
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

// fileSchema has the blocks of an operator's file, and of a document for all controllers. There may
// be many rules, and at most one of each other block.
var fileSchema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: blockLog},
	{Type: blockMemory},
	{Type: blockFleet},
	{Type: blockMaintenance},
	{Type: blockConfig},
	{Type: blockRule, LabelNames: []string{"name"}},
}}

// File is the content of an operator's file.
type File struct {
	// Log has the defaults if the file has no block log.
	Log logs.Block
	// Memory is nil if statistics are not stored.
	Memory *memory.Block
	// Rules is nil if there are none.
	Rules *rules.Set
	// Fleet is nil if the controller belongs to no fleet.
	Fleet *fleet.Block
	// Maintenance is nil if the controller does not take part in scheduled maintenance.
	Maintenance *maintenance.Block
	// Config is nil if the controller does not take its configuration from the fleet.
	Config *configuration.Block
}

// Read reads an operator's file for a controller with these settings. An empty path means that
// there is no file, and everything is off. The error is a block.Problems with all problems, unless
// the file can't be read at all.
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

// Parse reads the text of an operator's file. The path is used in problems only; the error is a
// block.Problems.
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

// parse parses HCL and calls read with the result, unless the syntax is invalid. The error is a
// block.Problems with all problems, including those that read added.
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

// Problems returns the problems in an error of Read, Parse, ParseDocument or ReadCases; nil if the
// error is of another kind.
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

// readBlock reads a block other than rule.
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

// checkFleetBlock adds a problem for a block that needs a block fleet, in a file without one.
func checkFleetBlock(b *hcl.Block, diagnostics *block.Diagnostics) {
	switch b.Type {
	case blockMaintenance:
		diagnostics.Add(b.DefRange, b.Type, "needs a block fleet: its controllers coordinate it")
	case blockConfig:
		diagnostics.Add(b.DefRange, b.Type,
			"needs a block fleet: its controllers agree on the configuration")
	}
}

// splitRules separates the rules from the other blocks, and adds a problem for each repeated block.
func splitRules(
	blocks hcl.Blocks, diagnostics *block.Diagnostics,
) (otherBlocks, ruleBlocks hcl.Blocks) {
	seen := map[string]bool{}
	for _, b := range blocks {
		switch {
		case b.Type == blockRule:
			ruleBlocks = append(ruleBlocks, b)
		case seen[b.Type]:
			diagnostics.Add(b.DefRange, b.Type, "is repeated: there may be only one")
		default:
			seen[b.Type] = true
			otherBlocks = append(otherBlocks, b)
		}
	}
	return otherBlocks, ruleBlocks
}

// withMaintenance adds the lease of scheduled maintenance to others, if maintenance is on.
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
