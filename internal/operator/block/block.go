package block

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// maxPathBytes bounds a path to what Linux accepts.
const maxPathBytes = 4096

// Block is a block whose fields are being read. Its methods read one field each. They return the
// fallback if the field is absent or can't be used; in the latter case they add a problem.
type Block struct {
	Name string    // prefix of its fields in problems
	At   hcl.Range // range of its first line

	diagnostics *Diagnostics
	fields      hcl.Attributes
	variables   *hcl.EvalContext
}

// Open opens a block. Fields other than the given ones are problems.
func Open(b *hcl.Block, diagnostics *Diagnostics, fields ...string) *Block {
	schema := &hcl.BodySchema{}
	for _, name := range fields {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	content, found := b.Body.Content(schema)
	diagnostics.AddHCL(found, b.Type)
	open := &Block{
		Name:        b.Type,
		At:          b.DefRange,
		diagnostics: diagnostics,
		variables:   diagnostics.variables,
	}
	if content != nil {
		open.fields = content.Attributes
	}
	return open
}

// AddProblem adds a problem of a field, at the field's value or, if it is absent, at the block.
func (b *Block) AddProblem(field, why string) {
	at := b.At
	if attribute := b.fields[field]; attribute != nil {
		at = attribute.Expr.Range()
	}
	b.diagnostics.Add(at, qualifiedName(b.Name, field), why)
}

// Has reports whether a field is present.
func (b *Block) Has(field string) bool { return b.fields[field] != nil }

// String reads a string of at most maxBytes bytes. If the field is required, its absence and an
// empty string are problems.
func (b *Block) String(field, fallback string, required bool, maxBytes int) string {
	value, ok := b.value(field, cty.String, "text in quotes")
	if !ok {
		if required && !b.Has(field) {
			b.AddProblem(field, "is missing")
		}
		return fallback
	}
	text := value.AsString()
	switch {
	case required && text == "":
		b.AddProblem(field, "is empty")
	case len(text) > maxBytes:
		b.AddProblem(field, fmt.Sprintf("has over %d bytes", maxBytes))
	case strings.ContainsRune(text, 0):
		b.AddProblem(field, "contains a zero byte")
	default:
		return text
	}
	return fallback
}

// AbsolutePath reads an absolute path; it returns "" if the field is absent or can't be used. If
// the field is required, its absence is a problem.
func (b *Block) AbsolutePath(field string, required bool) string {
	path := b.String(field, "", required, maxPathBytes)
	if path != "" && !filepath.IsAbs(path) {
		b.AddProblem(field, "is not an absolute path")
		return ""
	}
	return path
}

// Choice reads a string that has to be one of words.
func (b *Block) Choice(field, fallback string, words ...string) string {
	value, ok := b.value(field, cty.String, "text in quotes")
	if !ok {
		return fallback
	}
	word := value.AsString()
	if !slices.Contains(words, word) {
		b.AddProblem(field, fmt.Sprintf("%.40q is not one of %s", word, strings.Join(words, ", ")))
		return fallback
	}
	return word
}

// Duration reads a duration, which is a string with a unit such as "5s" or "250ms".
func (b *Block) Duration(field string, fallback, minimum, maximum time.Duration) time.Duration {
	value, ok := b.value(field, cty.String, `time in quotes, such as "5s"`)
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(value.AsString())
	if err != nil {
		b.AddProblem(field, fmt.Sprintf(`%.40q is not a duration, such as "5s"`, value.AsString()))
		return fallback
	}
	if duration < minimum || duration > maximum {
		b.AddProblem(field, fmt.Sprintf("%v is not from %v to %v", duration, minimum, maximum))
		return fallback
	}
	return duration
}

// Int reads an integer.
func (b *Block) Int(field string, fallback, minimum, maximum int) int {
	value, ok := b.value(field, cty.Number, "number")
	if !ok {
		return fallback
	}
	number, _ := value.AsBigFloat().Float64()
	if number != math.Trunc(number) || number < float64(minimum) || number > float64(maximum) {
		b.AddProblem(field, fmt.Sprintf("%v is not a whole number from %d to %d",
			number, minimum, maximum))
		return fallback
	}
	return int(number)
}

// Bool reads true or false.
func (b *Block) Bool(field string, fallback bool) bool {
	value, ok := b.value(field, cty.Bool, "true or false")
	if !ok {
		return fallback
	}
	return value.True()
}

// value evaluates a field that has to be of the type want, which problems call typeName. ok is
// false if the field is absent or can't be used.
func (b *Block) value(field string, want cty.Type, typeName string) (value cty.Value, ok bool) {
	value, ok = b.evaluate(field)
	if !ok {
		return value, false
	}
	if value.IsNull() || !value.IsKnown() || !value.Type().Equals(want) {
		b.AddProblem(field, "is no "+typeName)
		return value, false
	}
	return value, true
}

// evaluate evaluates a field. ok is false if the field is absent or its expression has an error.
func (b *Block) evaluate(field string) (value cty.Value, ok bool) {
	attribute := b.fields[field]
	if attribute == nil {
		return value, false
	}
	value, found := attribute.Expr.Value(b.variables)
	if found.HasErrors() {
		b.diagnostics.AddHCL(found, qualifiedName(b.Name, field))
		return value, false
	}
	return value, true
}
