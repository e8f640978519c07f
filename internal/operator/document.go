package operator

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
)

// Local is what one controller adds to a document.
type Local struct {
	// Name is the controller's name, which the document's block memory may use as ${name}.
	Name string
	// File is the controller's own file, which is in force until the fleet has agreed on a version.
	File *File
}

// localFields are the fields of the block fleet that belong in each controller's own file. A
// document may have only the others.
var localFields = []string{
	"name", "generation", "listen", "advertise", "key_file", "folder", "council", "lease", "willing",
}

const onlyInLocalFile = "is each controller's own: only its own file may have it"

// ParseDocument reads a document that the fleet agrees on: the operator's file for all controllers,
// without the blocks and fields that belong in each controller's own file. It returns the file that
// this controller would run with: its own blocks fleet and config, and all else from the document.
// Blocks that the document does not have are off or have defaults; if it does not list the leases,
// those of the controller's own file stay.
//
// A field whose change requires a restart of the controller is a problem. The path is used in
// problems only; the error is a block.Problems. ParseDocument has no side effects.
func ParseDocument(path string, text []byte, local Local, facts *settings.Facts) (*File, error) {
	if len(text) > config.MaxDocument {
		why := fmt.Sprintf("has over %d bytes", config.MaxDocument)
		return nil, block.Problems{{File: path, Why: why}}
	}
	file := &File{Log: logs.DefaultBlock(), Fleet: local.File.Fleet, Config: local.File.Config}
	err := parse(path, text, func(parsed *hcl.File, diagnostics *block.Diagnostics) {
		if onlyLiterals(parsed, diagnostics) {
			file.readDocument(parsed.Body, local, facts, diagnostics)
		}
	})
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (f *File) readDocument(
	body hcl.Body, local Local, facts *settings.Facts, diagnostics *block.Diagnostics,
) {
	content, found := body.Content(fileSchema)
	diagnostics.AddHCL(found, "")
	if content == nil {
		return
	}
	otherBlocks, ruleBlocks := splitRules(content.Blocks, diagnostics)
	for _, b := range otherBlocks {
		f.readDocumentBlock(b, local, diagnostics)
	}
	if !hasBlock(content.Blocks, blockMaintenance) {
		checkDocumentMaintenance(body.MissingItemRange(), nil, local.File.Maintenance, diagnostics)
	}
	f.Rules = readRules(ruleBlocks, facts, diagnostics)
}

// readDocumentBlock reads a block other than rule.
func (f *File) readDocumentBlock(b *hcl.Block, local Local, diagnostics *block.Diagnostics) {
	switch b.Type {
	case blockLog:
		f.Log = logs.ReadBlock(b, diagnostics)
	case blockMemory:
		diagnostics.SetVariables(map[string]string{"name": local.Name})
		f.Memory = memory.ReadBlock(b, diagnostics)
		diagnostics.SetVariables(nil)
	case blockFleet:
		f.Fleet = readDocumentLeases(b, local.File, diagnostics)
	case blockMaintenance:
		f.Maintenance = maintenance.ReadBlock(b, diagnostics)
		checkDocumentMaintenance(b.DefRange, f.Maintenance, local.File.Maintenance, diagnostics)
	case blockConfig:
		diagnostics.Add(b.DefRange, blockConfig, onlyInLocalFile)
	}
}

// readDocumentLeases reads the block fleet of a document, which may only list the leases, and
// returns the controller's own block with that list.
func readDocumentLeases(b *hcl.Block, local *File, diagnostics *block.Diagnostics) *fleet.Block {
	open := block.Open(b, diagnostics, append([]string{"works"}, localFields...)...)
	for _, field := range localFields {
		if open.Has(field) {
			open.AddProblem(field, onlyInLocalFile)
		}
	}
	leases := fleet.ReadLeases(open)
	if local.Fleet == nil || !open.Has("works") {
		return local.Fleet
	}
	merged := *local.Fleet
	merged.Leases = withMaintenance(leases, local.Maintenance)
	return &merged
}

// checkDocumentMaintenance adds a problem if a document turns scheduled maintenance on or off, as
// that requires a restart of the controller.
func checkDocumentMaintenance(
	at hcl.Range, wanted, running *maintenance.Block, diagnostics *block.Diagnostics,
) {
	if (wanted == nil) == (running == nil) {
		return
	}
	diagnostics.Add(at, blockMaintenance, fmt.Sprintf(
		"is %s, but this controller was started with it %s: that can't change without a restart",
		onOrOff(wanted), onOrOff(running)))
}

func onOrOff(b *maintenance.Block) string {
	if b == nil {
		return "off"
	}
	return "on"
}

// onlyLiterals reports whether a document has literal expressions only, and adds a problem for each
// other one. A document comes over the network, and a loop or a large power could take unlimited
// time and memory. A document needs only strings with ${name}, numbers, lists and maps.
func onlyLiterals(parsed *hcl.File, diagnostics *block.Diagnostics) bool {
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return false
	}
	literal := true
	hclsyntax.VisitAll(body, func(node hclsyntax.Node) hcl.Diagnostics {
		expression, isExpression := node.(hclsyntax.Expression)
		if isExpression && !isLiteral(expression) {
			literal = false
			diagnostics.Add(node.Range(), "", "is computed: a document may have plain values only")
		}
		return nil
	})
	return literal
}

func isLiteral(expression hclsyntax.Expression) bool {
	switch expression.(type) {
	case *hclsyntax.LiteralValueExpr, *hclsyntax.TemplateExpr, *hclsyntax.TemplateWrapExpr,
		*hclsyntax.TupleConsExpr, *hclsyntax.ObjectConsExpr, *hclsyntax.ObjectConsKeyExpr,
		*hclsyntax.ScopeTraversalExpr, *hclsyntax.ParenthesesExpr:
		return true
	}
	return false
}
