package match

import "regexp"

// op is the operation of a node.
type op int

const (
	opLiteral op = iota
	opField
	opHas // a field is present
	opLabel
	opHasLabel
	opAnd
	opOr
	opNot
	opIf    // condition ? a : b
	opEqual // of any type; negated: not equal
	opLess  // of numbers, durations or texts; negated: at least
	opIn    // is one of a list of literals
	opStartsWith
	opEndsWith
	opContains
	opLike    // a glob
	opMatches // a regular expression
	opAdd
	opSubtract
	opMultiply
	opDivide
	opRemainder
	opNegate
	opConcat
	opLower
	opUpper
	opPart
	opBucket
	opLength
	opMin
	opMax
	opNumber // with which a text starts
)

// node is a node of an expression's tree. Which of the fields below args are used depends on op.
type node struct {
	op        op
	valueType Type
	offset    int // in the source, for errors
	args      []*node

	negated       bool        // of opEqual and opLess
	literal       Value       // of opLiteral
	field         *Field      // of opField and opHas
	index         int         // of field
	name          string      // of a label
	bounds        labelBounds // of a label
	set           []Value     // of opIn, sorted
	pattern       *pattern    // of opLike
	regex         *regexp.Regexp
	programLength int // number of instructions of regex
}

// walk visits a node and all its descendants.
func (n *node) walk(visit func(*node)) {
	visit(n)
	for _, a := range n.args {
		a.walk(visit)
	}
}
