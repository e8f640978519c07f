package operator

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/settings"
)

// Local is what a controller adds to the fleet's document: its name, and its own operator's file.
type Local struct {
	Name string // stands for ${name} in the document's block memory
	File *File  // with the blocks fleet and config, and what the controller runs with while no version is agreed
}

// ownFields are the fields of the block fleet that belong to one controller and may not stand in a document.
var ownFields = []string{"name", "generation", "listen", "advertise", "key_file", "folder", "council", "lease", "willing"}

// ParseDocument reads a document that the fleet has agreed on, or may agree on: the operator's file for all controllers,
// without the blocks and fields that are a controller's own. It returns the whole file that this controller would run with:
// its own blocks fleet and config, and all else from the document; blocks that the document does not name are off, or at
// usual values, but for the leases, which then are as in the controller's own file. What a running controller can't take over is a problem of its field. The path stands in problems alone.
// ParseDocument has no effects, and its error is a block.Problems.
func ParseDocument(path string, text []byte, local Local, facts *settings.Facts) (*File, error) {
	if len(text) > config.MaxDocument {
		return nil, block.Problems{{File: path, Why: fmt.Sprintf("has over %d bytes", config.MaxDocument)}}
	}
	if p := shape(path, text); p != nil {
		return nil, block.Problems{*p}
	}
	sheet := block.NewSheet(text)
	parsed, found := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	sheet.NoteAll(found, "")
	file := &File{Log: logs.Usual(), Fleet: local.File.Fleet, Config: local.File.Config}
	if parsed != nil && !found.HasErrors() && onlyLiterals(parsed, sheet) {
		file.readDocument(parsed.Body, local, facts, sheet)
	}
	if problems := sheet.Problems(); problems != nil {
		return nil, problems
	}
	return file, nil
}

func (f *File) readDocument(body hcl.Body, local Local, facts *settings.Facts, sheet *block.Sheet) {
	content, found := body.Content(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "log"}, {Type: "memory"}, {Type: "fleet"},
		{Type: "maintenance"}, {Type: "config"}, {Type: "rule", LabelNames: []string{"name"}}}})
	sheet.NoteAll(found, "")
	if content == nil {
		return
	}
	single, ruled := singles(content.Blocks, sheet)
	for _, b := range single {
		switch b.Type {
		case "log":
			f.Log = logs.ReadBlock(b, sheet)
		case "memory":
			sheet.SetVariables(map[string]string{"name": local.Name})
			f.Memory = memory.ReadBlock(b, sheet)
			sheet.SetVariables(nil)
		case "fleet":
			f.Fleet = readDocumentLeases(b, local.File, sheet)
		case "maintenance":
			f.Maintenance = fleet.ReadMaintenance(b, sheet)
			checkDocumentMaintenance(b.DefRange, f.Maintenance, local.File.Maintenance, sheet)
		case "config":
			sheet.Note(b.DefRange, "config", "is each controller's own: it stands in its file alone")
		}
	}
	if !hasBlock(content.Blocks, "maintenance") {
		checkDocumentMaintenance(body.MissingItemRange(), nil, local.File.Maintenance, sheet)
	}
	f.Rules = readRules(ruled, facts, sheet)
}

// singles parts the blocks that may stand once from the rules, and notes those that stand there again.
func singles(blocks hcl.Blocks, sheet *block.Sheet) (single, ruled hcl.Blocks) {
	seen := map[string]bool{}
	for _, b := range blocks {
		switch {
		case b.Type == "rule":
			ruled = append(ruled, b)
		case seen[b.Type]:
			sheet.Note(b.DefRange, b.Type, "stands here a second time")
		default:
			seen[b.Type] = true
			single = append(single, b)
		}
	}
	return single, ruled
}

// readDocumentLeases reads the block fleet of a document, which holds the leases alone, and returns the controller's own
// block with them.
func readDocumentLeases(b *hcl.Block, local *File, sheet *block.Sheet) *fleet.Block {
	open := block.Open(b, sheet, append([]string{"works"}, ownFields...)...)
	for _, field := range ownFields {
		if open.Has(field) {
			open.Note(field, "is each controller's own: it stands in its file alone")
		}
	}
	names := fleet.ReadLeases(open)
	if local.Fleet == nil || !open.Has("works") {
		return local.Fleet
	}
	whole := *local.Fleet
	whole.Leases = withMaintenance(names, local.Maintenance)
	return &whole
}

// checkDocumentMaintenance notes a block maintenance where this controller was started without one, and the other way round.
func checkDocumentMaintenance(at hcl.Range, wanted, running *fleet.MaintenanceBlock, sheet *block.Sheet) {
	if (wanted == nil) != (running == nil) {
		is := map[bool]string{true: "on", false: "off"}
		sheet.Note(at, "maintenance", fmt.Sprintf("is %s, but this controller was started with it %s: that can't change without a restart",
			is[wanted != nil], is[running != nil]))
	}
}

// onlyLiterals notes expressions that compute something. A document comes from afar, and a loop or a large power could
// take any time and memory; what it needs are texts, with ${name}, numbers, lists and maps.
func onlyLiterals(parsed *hcl.File, sheet *block.Sheet) bool {
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return false
	}
	literal := true
	hclsyntax.VisitAll(body, func(node hclsyntax.Node) hcl.Diagnostics {
		switch node := node.(type) {
		case *hclsyntax.LiteralValueExpr, *hclsyntax.TemplateExpr, *hclsyntax.TemplateWrapExpr, *hclsyntax.TupleConsExpr,
			*hclsyntax.ObjectConsExpr, *hclsyntax.ObjectConsKeyExpr, *hclsyntax.ScopeTraversalExpr, *hclsyntax.ParenthesesExpr:
		case hclsyntax.Expression:
			literal = false
			sheet.Note(node.Range(), "", "computes something: a document holds plain values")
		}
		return nil
	})
	return literal
}
