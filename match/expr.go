package match

import (
	"fmt"
	"slices"
)

// Expr is a compiled expression. Several goroutines may evaluate it at once, each with a Scratch of
// its own.
type Expr struct {
	source       string
	valueType    Type
	tree         *node
	steps        int // that one evaluation may take
	scratchBytes int // that one evaluation may need
	// The function of its type; the others are nil.
	truth  func(*evaluation) bool
	number func(*evaluation) float64
	text   func(*evaluation) string
}

// Compile compiles an expression of a type. Its error is an *Error.
func Compile(source string, want Type, schema *Schema, b Bounds) (*Expr, error) {
	tree, err := parse(source, schema, b)
	if err != nil {
		return nil, err
	}
	if tree.valueType != want {
		reason := fmt.Sprintf("is a %v, not a %v", tree.valueType, want)
		return nil, &Error{tree.offset, reason, source}
	}
	e := &Expr{source: source, valueType: want, tree: tree}
	e.steps, e.scratchBytes = tree.cost(schema)
	if e.steps > b.Steps {
		costliest := tree.costliest(schema)
		part, _ := costliest.cost(schema)
		reason := fmt.Sprintf("an evaluation may take %d steps, of %d allowed; most, %d, are for this",
			e.steps, b.Steps, part)
		return nil, &Error{costliest.offset, reason, source}
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

// Steps is what an evaluation may cost at most.
func (e *Expr) Steps() int { return e.steps }

// Source is the expression as it was written.
func (e *Expr) Source() string { return e.source }

// Type is the expression's type.
func (e *Expr) Type() Type { return e.valueType }

// Fields are the fields that the expression reads, each once, in alphabetical order.
func (e *Expr) Fields() []string {
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

// Labels are the labels that the expression reads, in the order in which it names them.
func (e *Expr) Labels() (names []string) {
	e.tree.walk(func(n *node) {
		if n.op == opLabel || n.op == opHasLabel {
			names = append(names, n.name)
		}
	})
	return names
}

// Bool evaluates a condition.
func (e *Expr) Bool(row Row, s *Scratch) bool { return e.truth(e.beginEvaluation(row, s)) }

// Number evaluates a number, or a duration in ms. It is finite.
func (e *Expr) Number(row Row, s *Scratch) float64 { return e.number(e.beginEvaluation(row, s)) }

// Text evaluates a text, which is good until the next evaluation with the same scratch.
func (e *Expr) Text(row Row, s *Scratch) string { return e.text(e.beginEvaluation(row, s)) }
