// Package block reads one block of the operator's file, field by field, for the package that owns the block. It knows
// HCL and no block's meaning. Nothing here fails at once: each problem is noted with its place, so that an operator
// sees all of them in one go. It is used at start and reload only, before the loop.
package block

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// Problem is one thing in the operator's file that can't be used. Line and Column count from 1; they are 0 where the
// file as a whole is meant.
type Problem struct {
	File         string
	Line, Column int
	Field        string // as block.field; empty where the form of the file is at fault
	Why          string
}

// Error is file:line:column, field and reason.
func (p Problem) Error() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d:%d", p.Line, p.Column)
	}
	if p.Field != "" {
		text += ": field " + p.Field
	}
	return text + ": " + p.Why
}

// Problems are all that is wrong with a file, in the order of their places.
type Problems []Problem

// Error has a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Sheet gathers the problems of one file.
type Sheet struct {
	text      []byte
	problems  Problems
	variables *hcl.EvalContext // nil: a file's expressions know no names
}

// NewSheet is for a file with this text, from which the names of unknown fields are taken.
func NewSheet(text []byte) *Sheet { return &Sheet{text: text} }

// SetVariables names texts that expressions of blocks opened from now on may use, such as "${name}"; nil: none.
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

// Note notes a problem at a place of the file.
func (s *Sheet) Note(at hcl.Range, field, why string) {
	s.problems = append(s.problems, Problem{at.Filename, at.Start.Line, at.Start.Column, field, why})
}

// NoteAll notes what the HCL library found; within is the block in which it looked.
func (s *Sheet) NoteAll(found hcl.Diagnostics, within string) {
	for _, d := range found {
		at, field, why := hcl.Range{}, within, d.Summary
		if d.Subject != nil {
			at = *d.Subject
		}
		switch {
		case strings.HasPrefix(d.Summary, "Unsupported") && d.Subject != nil:
			field, why = join(within, string(at.SliceBytes(s.text))), "is not known"
		case d.Detail != "":
			why += ": " + strings.TrimSuffix(d.Detail, ".")
		}
		s.Note(at, field, why)
	}
}

// Problems are those noted so far, by place; nil if there are none.
func (s *Sheet) Problems() Problems {
	slices.SortStableFunc(s.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return s.problems
}

func join(block, field string) string {
	if block == "" {
		return field
	}
	return block + "." + field
}

// Block is one block with its fields. Each of its methods returns the fallback where a field is absent or can't be
// used; in the latter case a problem is noted.
type Block struct {
	Name   string
	At     hcl.Range
	sheet  *Sheet
	fields hcl.Attributes

	variables *hcl.EvalContext
}

// Open reads a block that may hold these fields and no others.
func Open(b *hcl.Block, sheet *Sheet, fields ...string) *Block {
	schema := &hcl.BodySchema{}
	for _, name := range fields {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	content, found := b.Body.Content(schema)
	sheet.NoteAll(found, b.Type)
	open := &Block{Name: b.Type, At: b.DefRange, sheet: sheet, variables: sheet.variables}
	if content != nil {
		open.fields = content.Attributes
	}
	return open
}

// Note notes a problem of a field that the block's owner found, at the field or, if it is absent, at the block.
func (b *Block) Note(field, why string) {
	at := b.At
	if a := b.fields[field]; a != nil {
		at = a.Expr.Range()
	}
	b.sheet.Note(at, join(b.Name, field), why)
}

// value is a field's value of a type; ok is false if it is absent, or can't be used.
func (b *Block) value(field string, want cty.Type, called string) (v cty.Value, ok bool) {
	a := b.fields[field]
	if a == nil {
		return v, false
	}
	v, found := a.Expr.Value(b.variables)
	if found.HasErrors() {
		b.sheet.NoteAll(found, join(b.Name, field))
		return v, false
	}
	if v.IsNull() || !v.IsKnown() || !v.Type().Equals(want) {
		b.Note(field, "is no "+called)
		return v, false
	}
	return v, true
}

// Text is a field in quotes, of most bytes at most; needed tells that it may not be absent or empty.
func (b *Block) Text(field, fallback string, needed bool, most int) string {
	v, ok := b.value(field, cty.String, "text in quotes")
	switch {
	case !ok && needed && b.fields[field] == nil:
		b.Note(field, "is missing")
	case ok && needed && v.AsString() == "":
		b.Note(field, "is empty")
	case ok && len(v.AsString()) > most:
		b.Note(field, fmt.Sprintf("has over %d bytes", most))
	case ok && strings.ContainsRune(v.AsString(), 0):
		b.Note(field, "holds a zero byte")
	case ok:
		return v.AsString()
	}
	return fallback
}

// Choice is one of a few words.
func (b *Block) Choice(field, fallback string, words ...string) string {
	v, ok := b.value(field, cty.String, "text in quotes")
	if ok && !slices.Contains(words, v.AsString()) {
		b.Note(field, fmt.Sprintf("%.40q is none of %s", v.AsString(), strings.Join(words, ", ")))
		ok = false
	}
	if ok {
		return v.AsString()
	}
	return fallback
}

// Duration is a time with its unit in quotes, such as "5s" or "250ms".
func (b *Block) Duration(field string, fallback, least, most time.Duration) time.Duration {
	v, ok := b.value(field, cty.String, `time in quotes, such as "5s"`)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil {
		b.Note(field, fmt.Sprintf(`%.40q is no time, such as "5s"`, v.AsString()))
		return fallback
	}
	if d < least || d > most {
		b.Note(field, fmt.Sprintf("%v is not from %v to %v", d, least, most))
		return fallback
	}
	return d
}

// Whole is a whole number.
func (b *Block) Whole(field string, fallback, least, most int) int {
	v, ok := b.value(field, cty.Number, "number")
	if !ok {
		return fallback
	}
	x, _ := v.AsBigFloat().Float64()
	if x != math.Trunc(x) || x < float64(least) || x > float64(most) {
		b.Note(field, fmt.Sprintf("%v is no whole number from %d to %d", x, least, most))
		return fallback
	}
	return int(x)
}

// Bool is true or false.
func (b *Block) Bool(field string, fallback bool) bool {
	if v, ok := b.value(field, cty.Bool, "true or false"); ok {
		return v.True()
	}
	return fallback
}

// Texts is a list of texts, of so many bytes each at the most; nil if it is absent. An empty list is not nil.
func (b *Block) Texts(field string, most int) []string {
	a := b.fields[field]
	if a == nil {
		return nil
	}
	texts := []string{}
	for _, v := range b.items(field, a) {
		if text, ok := b.item(field, v, most); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// items are the values of a list.
func (b *Block) items(field string, a *hcl.Attribute) (items []cty.Value) {
	v, found := a.Expr.Value(b.variables)
	if found.HasErrors() {
		b.sheet.NoteAll(found, join(b.Name, field))
		return nil
	}
	if v.IsNull() || !v.IsKnown() || !v.Type().IsTupleType() {
		b.Note(field, "is no list")
		return nil
	}
	return v.AsValueSlice()
}

func (b *Block) item(field string, v cty.Value, most int) (string, bool) {
	switch {
	case v.IsNull() || !v.IsKnown() || !v.Type().Equals(cty.String):
		b.Note(field, "holds something that is no text in quotes")
	case len(v.AsString()) > most:
		b.Note(field, fmt.Sprintf("holds a text of over %d bytes", most))
	default:
		return v.AsString(), true
	}
	return "", false
}

// Map is texts by name; nil if it is absent.
func (b *Block) Map(field string, most int) map[string]string {
	a := b.fields[field]
	if a == nil {
		return nil
	}
	v, found := a.Expr.Value(b.variables)
	if found.HasErrors() {
		b.sheet.NoteAll(found, join(b.Name, field))
		return nil
	}
	if v.IsNull() || !v.IsKnown() || !v.Type().IsObjectType() {
		b.Note(field, `is no list of names and texts, such as { team = "\"a\"" }`)
		return nil
	}
	texts := map[string]string{}
	for name, v := range v.AsValueMap() {
		if text, ok := b.item(field, v, most); ok {
			texts[name] = text
		}
	}
	return texts
}

// Has tells whether a field is there.
func (b *Block) Has(field string) bool { return b.fields[field] != nil }
