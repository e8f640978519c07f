package match

import (
	"fmt"
	"slices"
)

// Expr is a compiled expression. Several goroutines may evaluate it concurrently, each with its
// own Scratch.
type Expr struct {
	source       string
	valueType    Type
	tree         *node
	steps        int // maximum for one evaluation
	scratchBytes int // maximum for one evaluation
	// The compiled function for valueType is set; the others are nil.
	truth  func(*evaluation) bool
	number func(*evaluation) float64
	text   func(*evaluation) string
}

// Compile compiles an expression, which must be of the wanted type. Its error is an *Error.
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
		reason := fmt.Sprintf("an evaluation takes up to %d steps, of %d allowed; the largest part is %d",
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

// Steps returns the maximum cost of an evaluation.
func (e *Expr) Steps() int { return e.steps }

// Source returns the source of the expression.
func (e *Expr) Source() string { return e.source }

// Type returns the type of the expression.
func (e *Expr) Type() Type { return e.valueType }

// Fields returns the names of the fields that the expression reads, sorted and each once.
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

// Labels returns the names of the labels that the expression reads, in the order of its source.
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
