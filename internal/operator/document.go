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

// Local is what a document is completed with on one controller.
type Local struct {
	// Name is the controller's name, which the document's block memory may use as ${name}.
	Name string
	// File is the controller's own file, which holds as long as the fleet has agreed on no version.
	File *File
}

// localFields are the fields of the block fleet that each controller has in its own file. A document
// has only the others.
var localFields = []string{
	"name", "generation", "listen", "advertise", "key_file", "folder", "council", "lease", "willing",
}

const onlyInLocalFile = "is each controller's own: it stands in its file alone"

// ParseDocument reads a document that the fleet agrees on: the operator's file for all controllers,
// without the blocks and fields that are each controller's own. It returns the file that this
// controller would run with: its own blocks fleet and config, and all else from the document.
// Blocks that the document does not have are off or have defaults; leases that it does not name are
// those of the controller's own file.
//
// What a running controller can't change without a restart is a problem of its field. The path is
// used in problems only; the error is a block.Problems. ParseDocument has no effects.
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

// readDocumentBlock reads a block that is no rule.
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

// readDocumentLeases reads the block fleet of a document, which has only the leases, and returns
// the controller's own block with these.
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

// checkDocumentMaintenance notes a document that turns scheduled maintenance on or off, which a
// running controller can't.
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

// onlyLiterals notes expressions that compute something. A document comes over the network, and a
// loop or a large power could take any time and memory. It needs only strings with ${name},
// numbers, lists and maps.
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
			diagnostics.Add(node.Range(), "", "computes something: a document holds plain values")
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
