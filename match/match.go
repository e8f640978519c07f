// Package match is a small language for conditions and values about a command: typed, bounded in cost, compiled once.
// What is wrong with an expression is told when it is compiled, with its place; a compiled one never fails, whatever
// the command. It is free of I/O and of everything else of the project, so that others can use it.
//
//	m, err := match.Compile(`profile == "load" && schema startswith "menu_"`, match.Bool, schema, match.Usual())
//	yes := m.Bool(row, scratch)
//
// An expression has one of four types: a truth value, a number, a duration or text; lists of literals stand on the right
// of "in" alone. The language has no loops, no variables and no state.
package match

import (
	"fmt"
	"slices"
	"strings"
)

// Type is that of an expression or a field.
type Type int

// The types.
const (
	Bool     Type = iota
	Number        // a float64
	Duration      // ms, as a float64
	Text          // bytes; invalid UTF-8 is no fault
)

var typeNames = [...]string{"truth value", "number", "duration", "text"}

func (t Type) String() string { return typeNames[t] }

// Field is one that expressions may name.
type Field struct {
	Name string
	Type Type
	Most int // bytes of a text at the most; longer ones are cut before they are matched
}

// Schema is the fields that there are, in the order of a Row's values, and the bounds of labels. Labels are texts whose
// names are not known beforehand: label("store").
type Schema struct {
	Fields []Field
	Labels int // how many a row may have; 0: there is no function label
	Label  int // bytes of a label's name and of its value
}

// Value is a field's value in a row. The zero value is that of a field that is absent: false, 0 or empty text.
type Value struct {
	Number float64 // of a number or duration; 1 for true
	Text   string
	Has    bool // it is there
}

// TextOf is a text that is there.
func TextOf(s string) Value { return Value{Text: s, Has: true} }

// NumberOf is a number that is there, or a duration in ms.
func NumberOf(x float64) Value { return Value{Number: x, Has: true} }

// BoolOf is a truth value that is there.
func BoolOf(b bool) Value {
	if b {
		return Value{Number: 1, Has: true}
	}
	return Value{Has: true}
}

// Label is one label of a row.
type Label struct{ Name, Text string }

// Row is a command, as expressions see it: values in the schema's order, and labels. What is past the schema's bounds is
// cut: too long texts, labels past their number.
type Row struct {
	Values []Value
	Labels []Label
}

// Bounds are what an expression may cost.
type Bounds struct {
	Source int // bytes
	Depth  int // of parentheses, operators and functions within each other
	Steps  int // of one evaluation; a step is some nanoseconds
}

// Usual are bounds by which no evaluation takes over 50 microseconds.
func Usual() Bounds { return Bounds{Source: 16 << 10, Depth: 200, Steps: 2500} }

// Error is what is wrong with an expression. Offset is in bytes, from 0.
type Error struct {
	Offset int
	Why    string
	source string
}

// Error has the line, the column and the reason.
func (e *Error) Error() string {
	line, column := e.Place()
	return fmt.Sprintf("%d:%d: %s", line, column, e.Why)
}

// Place is the line and the column, in bytes, from 1.
func (e *Error) Place() (line, column int) {
	before := e.source[:min(e.Offset, len(e.source))]
	return strings.Count(before, "\n") + 1, len(before) - strings.LastIndexByte(before, '\n')
}

// Caret is the line of the expression with a mark under the place.
func (e *Error) Caret() string {
	at := min(e.Offset, len(e.source))
	from := strings.LastIndexByte(e.source[:at], '\n') + 1
	to := len(e.source)
	if n := strings.IndexByte(e.source[at:], '\n'); n >= 0 {
		to = at + n
	}
	const most = 120
	if at-from > most {
		from = at - most
	}
	to = min(to, at+most)
	mark := make([]byte, at-from)
	for i := range mark {
		if mark[i] = ' '; e.source[from+i] == '\t' {
			mark[i] = '\t'
		}
	}
	return strings.ToValidUTF8(e.source[from:to], "?") + "\n" + string(mark) + "^"
}

// Expr is a compiled expression. It may be evaluated by several goroutines at once, each with a Scratch of its own.
type Expr struct {
	source string
	typ    Type
	tree   *node
	steps  int
	buffer int // bytes of scratch that one evaluation needs at the most
	truth  func(*frame) bool
	number func(*frame) float64
	text   func(*frame) string
}

// Compile compiles an expression of a type; its error is an *Error.
func Compile(source string, want Type, schema *Schema, b Bounds) (*Expr, error) {
	tree, err := parse(source, schema, b)
	if err != nil {
		return nil, err
	}
	if tree.typ != want {
		return nil, &Error{tree.at, fmt.Sprintf("is a %v, not a %v", tree.typ, want), source}
	}
	e := &Expr{source: source, typ: want, tree: tree}
	if e.steps, e.buffer = tree.cost(schema); e.steps > b.Steps {
		dear := tree.dearest(schema)
		part, _ := dear.cost(schema)
		return nil, &Error{dear.at, fmt.Sprintf("an evaluation may take %d steps, of %d allowed; most, %d, are for this",
			e.steps, b.Steps, part), source}
	}
	switch want {
	case Bool:
		e.truth = tree.compileBool()
	case Text:
		e.text = tree.compileText()
	default:
		e.number = tree.compileNumber()
	}
	return e, nil
}

// Steps is what an evaluation may cost at the most.
func (e *Expr) Steps() int { return e.steps }

// Source is the expression as it was written.
func (e *Expr) Source() string { return e.source }

// Type is the expression's.
func (e *Expr) Type() Type { return e.typ }

// Names are the fields that the expression reads, each once, in alphabetical order.
func (e *Expr) Names() []string {
	seen := map[string]bool{}
	e.tree.walk(func(n *node) {
		if n.op == opField || n.op == opHas {
			seen[n.field.Name] = true
		}
	})
	var names []string
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Scratch is what an evaluation writes texts into. The texts that come out stay good until the next evaluation with it.
// Its zero value is usable: it grows to what the expressions need, and then no evaluation allocates.
type Scratch struct{ frame frame }

// frame is one evaluation.
type frame struct {
	row Row
	buf []byte
}

// begin readies a frame.
func (e *Expr) begin(row Row, s *Scratch) *frame {
	if cap(s.frame.buf) < e.buffer {
		s.frame.buf = make([]byte, 0, e.buffer)
	}
	s.frame.row, s.frame.buf = row, s.frame.buf[:0]
	return &s.frame
}

// Bool evaluates a condition.
func (e *Expr) Bool(row Row, s *Scratch) bool { return e.truth(e.begin(row, s)) }

// Number evaluates a number, or a duration in ms. It is finite.
func (e *Expr) Number(row Row, s *Scratch) float64 { return e.number(e.begin(row, s)) }

// Text evaluates a text.
func (e *Expr) Text(row Row, s *Scratch) string { return e.text(e.begin(row, s)) }
