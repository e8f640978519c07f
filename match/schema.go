package match

import "strings"

// Type is the type of an expression or a field.
type Type int

const (
	// Bool is a truth value.
	Bool Type = iota
	// Number is a float64.
	Number
	// Duration is a time in ms, as a float64.
	Duration
	// Text is bytes, which need not be valid UTF-8.
	Text
)

var typeNames = [...]string{"truth value", "number", "duration", "text"}

// String returns the name of the type for error messages.
func (t Type) String() string { return typeNames[t] }

// Field is a field that expressions may refer to.
type Field struct {
	Name     string
	Type     Type
	MaxBytes int // of a text; longer ones are truncated before evaluation
}

// Schema holds the fields, in the order of a Row's values, and the bounds of labels. Labels are
// texts whose names are not known in advance: label("store").
type Schema struct {
	Fields        []Field
	MaxLabels     int // of a row; 0: expressions can't use labels
	MaxLabelBytes int // of a label's name and of its value
}

// fieldNames lists the names of the fields for error messages.
func (s *Schema) fieldNames() string {
	var names []string
	for _, f := range s.Fields {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}

// findField returns the field of a name and its index, or nil if there is none.
func (s *Schema) findField(name string) (*Field, int) {
	for i := range s.Fields {
		if s.Fields[i].Name == name {
			return &s.Fields[i], i
		}
	}
	return nil, 0
}

// Value is a field's value in a row. The zero value is that of an absent field: false, 0 or empty
// text.
type Value struct {
	Number  float64 // of a number or duration; 1 for true
	Text    string
	Present bool
}

// TextOf returns a text that is present.
func TextOf(s string) Value { return Value{Text: s, Present: true} }

// NumberOf returns a number that is present, or a duration in ms.
func NumberOf(x float64) Value { return Value{Number: x, Present: true} }

// BoolOf returns a truth value that is present.
func BoolOf(b bool) Value {
	if b {
		return Value{Number: 1, Present: true}
	}
	return Value{Present: true}
}

// Label is one label of a row.
type Label struct{ Name, Value string }

// Row is the input of an evaluation: values in the schema's order, and labels. Texts that are
// longer than the schema's bounds are truncated, and labels beyond their maximum number are
// ignored.
type Row struct {
	Values []Value
	Labels []Label
}

// Bounds limits the size and the cost of an expression.
type Bounds struct {
	SourceBytes int
	Depth       int // nesting of parentheses, operators and functions
	Steps       int // maximum cost of one evaluation; a step takes some nanoseconds
}

// DefaultBounds returns bounds within which no evaluation takes over 50 microseconds.
func DefaultBounds() Bounds { return Bounds{SourceBytes: 16 << 10, Depth: 200, Steps: 2500} }
