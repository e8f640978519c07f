package block

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// Diagnostics collects the problems of one file.
type Diagnostics struct {
	text      []byte
	problems  Problems
	variables *hcl.EvalContext // of the blocks opened from now on; nil: no variables
}

// NewDiagnostics returns empty diagnostics of a file with this text, which is needed for the names
// of unknown fields.
func NewDiagnostics(text []byte) *Diagnostics { return &Diagnostics{text: text} }

// SetVariables sets the variables that expressions of blocks opened from now on may use, as in
// "${name}"; nil: none.
func (d *Diagnostics) SetVariables(texts map[string]string) {
	if texts == nil {
		d.variables = nil
		return
	}
	values := make(map[string]cty.Value, len(texts))
	for name, text := range texts {
		values[name] = cty.StringVal(text)
	}
	d.variables = &hcl.EvalContext{Variables: values}
}

// Add adds a problem at a position in the file.
func (d *Diagnostics) Add(at hcl.Range, field, why string) {
	d.problems = append(d.problems, Problem{
		File:   at.Filename,
		Line:   at.Start.Line,
		Column: at.Start.Column,
		Field:  field,
		Why:    why,
	})
}

// AddHCL adds the diagnostics that the HCL library returned for the block or field within.
func (d *Diagnostics) AddHCL(found hcl.Diagnostics, within string) {
	for _, diagnostic := range found {
		d.addHCL(diagnostic, within)
	}
}

func (d *Diagnostics) addHCL(found *hcl.Diagnostic, within string) {
	var at hcl.Range
	if found.Subject != nil {
		at = *found.Subject
	}
	// The library's message for an unknown field or block begins with this word, and its range is
	// that of the name.
	isUnknownName := strings.HasPrefix(found.Summary, "Unsupported") && found.Subject != nil
	if isUnknownName {
		d.Add(at, qualifiedName(within, string(at.SliceBytes(d.text))), "is not known")
		return
	}
	why := found.Summary
	if found.Detail != "" {
		why += ": " + strings.TrimSuffix(found.Detail, ".")
	}
	d.Add(at, within, why)
}

// Problems returns the problems so far, ordered by position; nil if there are none.
func (d *Diagnostics) Problems() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

// qualifiedName returns the name of a field, prefixed with that of its block, if any.
func qualifiedName(block, field string) string {
	if block == "" {
		return field
	}
	return block + "." + field
}
