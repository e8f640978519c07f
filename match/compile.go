package match

import (
	"slices"
	"strings"
)

// A tree is compiled into closures, one kind per type, so that evaluation neither boxes values nor
// allocates. Closures call each other as deep as the tree, whose depth the parser bounds.

// compileBool compiles a node whose value is a truth value.
func (n *node) compileBool() func(*evaluation) bool {
	switch n.op {
	case opLiteral:
		b := n.literal.Number != 0
		return func(*evaluation) bool { return b }
	case opField:
		i := n.index
		return func(ev *evaluation) bool { return ev.value(i).Number != 0 }
	case opHas:
		i := n.index
		return func(ev *evaluation) bool { return ev.value(i).Present }
	case opHasLabel:
		name := n.name
		bounds := n.bounds
		return func(ev *evaluation) bool { _, has := ev.label(name, bounds); return has }
	case opNot, opAnd, opOr, opIf:
		return n.compileLogic()
	case opEqual, opLess:
		return n.compileComparison()
	case opIn:
		return n.compileIn()
	}
	return n.compileTextCondition()
}

// compileLogic compiles operators on truth values.
func (n *node) compileLogic() func(*evaluation) bool {
	a := n.args[0].compileBool()
	if n.op == opNot {
		return func(ev *evaluation) bool { return !a(ev) }
	}
	b := n.args[1].compileBool()
	switch n.op {
	case opAnd:
		return func(ev *evaluation) bool { return a(ev) && b(ev) }
	case opOr:
		return func(ev *evaluation) bool { return a(ev) || b(ev) }
	}
	c := n.args[2].compileBool()
	return func(ev *evaluation) bool {
		if a(ev) {
			return b(ev)
		}
		return c(ev)
	}
}

// compileTextCondition compiles operators that search or match a text.
func (n *node) compileTextCondition() func(*evaluation) bool {
	a := n.args[0].compileText()
	switch n.op {
	case opLike:
		p := n.pattern
		return func(ev *evaluation) bool { return p.matches(a(ev)) }
	case opMatches:
		r := n.regex
		return func(ev *evaluation) bool { return r.MatchString(a(ev)) }
	}
	b := n.args[1].compileText()
	switch n.op {
	case opStartsWith:
		return func(ev *evaluation) bool { return strings.HasPrefix(a(ev), b(ev)) }
	case opEndsWith:
		return func(ev *evaluation) bool { return strings.HasSuffix(a(ev), b(ev)) }
	}
	return func(ev *evaluation) bool { return strings.Contains(a(ev), b(ev)) }
}

// compileComparison compiles comparisons of two values of one type.
func (n *node) compileComparison() func(*evaluation) bool {
	negated := n.negated
	equal := n.op == opEqual
	switch n.args[0].valueType {
	case Bool:
		a, b := n.args[0].compileBool(), n.args[1].compileBool()
		return func(ev *evaluation) bool { return (a(ev) == b(ev)) != negated }
	case Text:
		a, b := n.args[0].compileText(), n.args[1].compileText()
		if equal {
			return func(ev *evaluation) bool { return (a(ev) == b(ev)) != negated }
		}
		return func(ev *evaluation) bool { return (a(ev) < b(ev)) != negated }
	}
	a, b := n.args[0].compileNumber(), n.args[1].compileNumber()
	if equal {
		return func(ev *evaluation) bool { return (a(ev) == b(ev)) != negated }
	}
	return func(ev *evaluation) bool { return (a(ev) < b(ev)) != negated }
}

// compileIn compiles a binary search in a sorted list of literals.
func (n *node) compileIn() func(*evaluation) bool {
	if n.args[0].valueType == Text {
		var texts []string
		for _, v := range n.set {
			texts = append(texts, v.Text)
		}
		a := n.args[0].compileText()
		return func(ev *evaluation) bool { _, found := slices.BinarySearch(texts, a(ev)); return found }
	}
	var numbers []float64
	for _, v := range n.set {
		numbers = append(numbers, v.Number)
	}
	a := n.args[0].compileNumber()
	return func(ev *evaluation) bool { _, found := slices.BinarySearch(numbers, a(ev)); return found }
}

// compileNumber compiles a node whose value is a number or a duration.
func (n *node) compileNumber() func(*evaluation) float64 {
	switch n.op {
	case opLiteral:
		x := finite(n.literal.Number)
		return func(*evaluation) float64 { return x }
	case opField:
		i := n.index
		return func(ev *evaluation) float64 { return finite(ev.value(i).Number) }
	case opNegate:
		a := n.args[0].compileNumber()
		return func(ev *evaluation) float64 { return -a(ev) }
	case opIf:
		c, a, b := n.args[0].compileBool(), n.args[1].compileNumber(), n.args[2].compileNumber()
		return func(ev *evaluation) float64 {
			if c(ev) {
				return a(ev)
			}
			return b(ev)
		}
	case opLength:
		a := n.args[0].compileText()
		return func(ev *evaluation) float64 { return float64(len(a(ev))) }
	case opNumber:
		a := n.args[0].compileText()
		return func(ev *evaluation) float64 { return parseNumberPrefix(a(ev)) }
	case opBucket:
		a, b := n.args[0].compileText(), n.args[1].compileNumber()
		return func(ev *evaluation) float64 { return bucket(a(ev), b(ev)) }
	}
	return n.compileArithmetic()
}

// compileArithmetic compiles operators and functions of two numbers.
func (n *node) compileArithmetic() func(*evaluation) float64 {
	a, b := n.args[0].compileNumber(), n.args[1].compileNumber()
	switch n.op {
	case opAdd:
		return func(ev *evaluation) float64 { return finite(a(ev) + b(ev)) }
	case opSubtract:
		return func(ev *evaluation) float64 { return finite(a(ev) - b(ev)) }
	case opMultiply:
		return func(ev *evaluation) float64 { return finite(a(ev) * b(ev)) }
	case opDivide:
		return func(ev *evaluation) float64 { return divide(a(ev), b(ev)) }
	case opRemainder:
		return func(ev *evaluation) float64 { return remainder(a(ev), b(ev)) }
	case opMin:
		return func(ev *evaluation) float64 { return min(a(ev), b(ev)) }
	}
	return func(ev *evaluation) float64 { return max(a(ev), b(ev)) }
}

// compileText compiles a node whose value is a text.
func (n *node) compileText() func(*evaluation) string {
	switch n.op {
	case opLiteral:
		s := n.literal.Text
		return func(*evaluation) string { return s }
	case opField:
		i := n.index
		maxBytes := n.field.MaxBytes
		return func(ev *evaluation) string { return truncate(ev.value(i).Text, maxBytes) }
	case opLabel:
		name := n.name
		bounds := n.bounds
		return func(ev *evaluation) string { s, _ := ev.label(name, bounds); return s }
	case opIf:
		c, a, b := n.args[0].compileBool(), n.args[1].compileText(), n.args[2].compileText()
		return func(ev *evaluation) string {
			if c(ev) {
				return a(ev)
			}
			return b(ev)
		}
	case opLower:
		a := n.args[0].compileText()
		return func(ev *evaluation) string { return ev.changeCase(a(ev), 'A', 'Z') }
	case opUpper:
		a := n.args[0].compileText()
		return func(ev *evaluation) string { return ev.changeCase(a(ev), 'a', 'z') }
	case opPart:
		a := n.args[0].compileText()
		separator := n.args[1].literal.Text
		b := n.args[2].compileNumber()
		return func(ev *evaluation) string { return part(a(ev), separator, b(ev)) }
	}
	var parts []func(*evaluation) string
	for _, a := range n.args {
		parts = append(parts, a.compileText())
	}
	if len(parts) == 1 {
		return parts[0]
	}
	return func(ev *evaluation) string { return ev.concat(parts) }
}
