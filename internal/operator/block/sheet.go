package block

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// Sheet collects the problems of one file.
type Sheet struct {
	text      []byte
	problems  Problems
	variables *hcl.EvalContext // for blocks opened from now on; nil: expressions know no variables
}

// NewSheet returns a sheet for a file with this text, from which the names of unknown fields are taken.
func NewSheet(text []byte) *Sheet { return &Sheet{text: text} }

// SetVariables sets the variables that expressions of blocks opened from now on may use, as in
// "${name}"; nil: none.
func (s *Sheet) SetVariables(texts map[string]string) {
	if texts == nil {
		s.variables = nil
		return
	}
	values := make(map[string]cty.Value, len(texts))
	for name, text := range texts {
		values[name] = cty.StringVal(text)
	}
	s.variables = &hcl.EvalContext{Variables: values}
}

// Note adds a problem at a place of the file.
func (s *Sheet) Note(at hcl.Range, field, why string) {
	s.problems = append(s.problems, Problem{
		File:   at.Filename,
		Line:   at.Start.Line,
		Column: at.Start.Column,
		Field:  field,
		Why:    why,
	})
}

// NoteAll adds what the HCL library found when it read a block or field, whose name is within.
func (s *Sheet) NoteAll(found hcl.Diagnostics, within string) {
	for _, diagnostic := range found {
		s.noteDiagnostic(diagnostic, within)
	}
}

func (s *Sheet) noteDiagnostic(d *hcl.Diagnostic, within string) {
	var at hcl.Range
	if d.Subject != nil {
		at = *d.Subject
	}
	// The library's message for an unknown field or block begins with this word, and its place is
	// the name.
	isUnknownName := strings.HasPrefix(d.Summary, "Unsupported") && d.Subject != nil
	if isUnknownName {
		s.Note(at, join(within, string(at.SliceBytes(s.text))), "is not known")
		return
	}
	why := d.Summary
	if d.Detail != "" {
		why += ": " + strings.TrimSuffix(d.Detail, ".")
	}
	s.Note(at, within, why)
}

// Problems returns the problems so far in the order of their places; nil if there are none.
func (s *Sheet) Problems() Problems {
	slices.SortStableFunc(s.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return s.problems
}

// join is the name of a field with that of its block, if any.
func join(block, field string) string {
	if block == "" {
		return field
	}
	return block + "." + field
}
