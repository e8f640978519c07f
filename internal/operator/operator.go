// Package operator reads the operator's file: settings of this installation, in HCL, apart from what the platform
// tells a controller. A controller needs none, and whatever it does not name is off. Each block belongs to the package
// that needs it, which also checks it. It is used at start and reload only, before the loop.
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
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
)

// File is what an operator's file says.
type File struct {
	Log    logs.Block
	Memory *memory.Block // nil: off
	Rules  *rules.Set    // nil: there are none
	Fleet  *fleet.Block  // nil: off, and this controller stands alone

	Maintenance *fleet.MaintenanceBlock // nil: off

	Config *fleet.ConfigBlock // nil: the fleet has no say in this controller's configuration
}

// mostBytes bounds a file, and with it what reading it can cost: a controller may have 32 MB.
const mostBytes = 1 << 20

// Read reads an operator's file for a controller with these settings; an empty path stands for no file, with all off. Its error is a block.Problems that
// holds all that is wrong, unless the file can't be had at all.
func Read(path string, facts *settings.Facts) (*File, error) {
	if path == "" {
		return &File{Log: logs.Usual()}, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text, facts)
}

// Parse reads the text of a file; path stands in the problems alone.
func Parse(path string, text []byte, facts *settings.Facts) (*File, error) {
	if len(text) > mostBytes {
		return nil, block.Problems{{File: path, Why: fmt.Sprintf("has over %d bytes", mostBytes)}}
	}
	if p := shape(path, text); p != nil {
		return nil, block.Problems{*p}
	}
	sheet := block.NewSheet(text)
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	sheet.NoteAll(found, "")
	file := &File{Log: logs.Usual()}
	if parsed != nil && !found.HasErrors() {
		file.read(parsed.Body, facts, sheet)
	}
	if problems := sheet.Problems(); problems != nil {
		return nil, problems
	}
	return file, nil
}

func (f *File) read(body hcl.Body, facts *settings.Facts, sheet *block.Sheet) {
	content, found := body.Content(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "log"}, {Type: "memory"}, {Type: "fleet"}, {Type: "maintenance"},
		{Type: "config"}, {Type: "rule", LabelNames: []string{"name"}}}})
	sheet.NoteAll(found, "")
	if content == nil {
		return
	}
	seen := map[string]bool{}
	var ruled hcl.Blocks
	for _, b := range content.Blocks {
		if b.Type == "rule" {
			ruled = append(ruled, b)
			continue
		}
		if seen[b.Type] {
			sheet.Note(b.DefRange, b.Type, "stands here a second time")
			continue
		}
		switch seen[b.Type] = true; b.Type {
		case "log":
			f.Log = logs.ReadBlock(b, sheet)
		case "memory":
			f.Memory = memory.ReadBlock(b, sheet)
		case "fleet":
			f.Fleet = fleet.ReadBlock(b, sheet)
		case "maintenance":
			f.Maintenance = fleet.ReadMaintenance(b, sheet)
			if !hasBlock(content.Blocks, "fleet") {
				sheet.Note(b.DefRange, "maintenance", "needs a block fleet: controllers settle it among them")
			}
		case "config":
			f.Config = fleet.ReadConfig(b, sheet)
			if !hasBlock(content.Blocks, "fleet") {
				sheet.Note(b.DefRange, "config", "needs a block fleet: its controllers agree on the configuration")
			}
		}
	}
	if f.Fleet != nil {
		f.Fleet.Leases = withMaintenance(f.Fleet.Leases, f.Maintenance)
	}
	f.Rules = readRules(ruled, facts, sheet)
}

// withMaintenance adds the lease of maintenance to others, where that is on.
func withMaintenance(names []lease.Name, maintenance *fleet.MaintenanceBlock) []lease.Name {
	if maintenance != nil && !slices.Contains(names, fleet.Maintenance) {
		names = append(names, fleet.Maintenance)
		slices.Sort(names)
	}
	return names
}

func hasBlock(blocks hcl.Blocks, name string) bool {
	return slices.ContainsFunc(blocks, func(b *hcl.Block) bool { return b.Type == name })
}

// The library parses by recursion, so a small file of brackets or signs could take a stack that the process has no
// memory for. The library's own scanner, which has none, counts them first.
const (
	mostDepth  = 32
	mostSigns  = 2000 // outside of texts in quotes
	mostDigits = 64   // of a number: the time to read one grows with their square
)

func shape(path string, text []byte) *block.Problem {
	tokens, _ := hclsyntax.LexConfig(text, path, hcl.InitialPos) // what can't be scanned is found by the parser again
	depth, signs := 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		case hclsyntax.TokenNumberLit:
			if len(t.Bytes) > mostDigits {
				return &block.Problem{File: path, Line: t.Range.Start.Line, Column: t.Range.Start.Column,
					Why: fmt.Sprintf("has a number of over %d digits", mostDigits)}
			}
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion, hclsyntax.TokenPlus,
			hclsyntax.TokenStar, hclsyntax.TokenSlash, hclsyntax.TokenPercent, hclsyntax.TokenAnd, hclsyntax.TokenOr,
			hclsyntax.TokenDot, hclsyntax.TokenEqualOp, hclsyntax.TokenNotEqual:
			signs++
		}
		if depth > mostDepth || signs > mostSigns {
			why := fmt.Sprintf("has over %d brackets within each other", mostDepth)
			if signs > mostSigns {
				why = fmt.Sprintf("has over %d operators", mostSigns)
			}
			return &block.Problem{File: path, Line: t.Range.Start.Line, Column: t.Range.Start.Column, Why: why}
		}
	}
	return nil
}

// Problems are those of an error of Read, for programs that print them; nil if it holds none.
func Problems(err error) block.Problems {
	var p block.Problems
	errors.As(err, &p)
	return p
}
