package match

import (
	"fmt"
	"strconv"
	"strings"
)

// Step is one part of an expression with what it came to, for people: Depth is how deep it stands.
type Step struct {
	Depth int
	Text  string // the part, written out
	Value string
}

// Explain evaluates an expression part by part: conditions down to what they compare, and the two sides of each
// comparison. Parts that evaluation would pass over are told too.
func (e *Expr) Explain(row Row) (steps []Step) {
	var s Scratch
	var explain func(n *node, depth int)
	explain = func(n *node, depth int) {
		steps = append(steps, Step{depth, n.String(), n.come(e, row, &s)})
		for _, a := range n.args {
			if a.op != opLiteral {
				explain(a, depth+1)
			}
		}
	}
	explain(e.tree, 0)
	return steps
}

// come is what a part of an expression comes to, written out.
func (n *node) come(whole *Expr, row Row, s *Scratch) string {
	part := &Expr{typ: n.typ, buffer: whole.buffer}
	f := part.begin(row, s)
	switch n.typ {
	case Bool:
		return strconv.FormatBool(n.compileBool()(f))
	case Text:
		return strconv.Quote(n.compileText()(f))
	case Duration:
		return strconv.FormatFloat(n.compileNumber()(f), 'g', 6, 64) + "ms"
	}
	return strconv.FormatFloat(n.compileNumber()(f), 'g', 6, 64)
}

var between = map[op]string{opAnd: "&&", opOr: "||", opStarts: "startswith", opEnds: "endswith", opContains: "contains",
	opAdd: "+", opSubtract: "-", opMultiply: "*", opDivide: "/", opRest: "%"}

// String is the part written out, with its operators in parentheses.
func (n *node) String() string {
	var args []string
	for _, a := range n.args {
		args = append(args, a.String())
	}
	if sign, ok := between[n.op]; ok {
		return "(" + args[0] + " " + sign + " " + args[1] + ")"
	}
	switch n.op {
	case opLiteral:
		return literalText(n.typ, n.literal)
	case opField:
		return n.field.Name
	case opHas:
		return "has(" + n.field.Name + ")"
	case opLabel:
		return "label(" + strconv.Quote(n.name) + ")"
	case opHasLabel:
		return "has(label(" + strconv.Quote(n.name) + "))"
	case opNot:
		return "!" + args[0]
	case opMinus:
		return "-" + args[0]
	case opIf:
		return "(" + args[0] + " ? " + args[1] + " : " + args[2] + ")"
	case opEqual, opLess:
		sign := map[op][2]string{opEqual: {"==", "!="}, opLess: {"<", ">="}}[n.op]
		if n.negated {
			return "(" + args[0] + " " + sign[1] + " " + args[1] + ")"
		}
		return "(" + args[0] + " " + sign[0] + " " + args[1] + ")"
	case opIn:
		var items []string
		for i, v := range n.set {
			if i == 8 {
				items = append(items, fmt.Sprintf("... %d more", len(n.set)-i))
				break
			}
			items = append(items, literalText(n.args[0].typ, v))
		}
		return "(" + args[0] + " in [" + strings.Join(items, ", ") + "])"
	case opLike:
		return "(" + args[0] + " like " + strconv.Quote(n.pattern.source) + ")"
	case opMatches:
		return "(" + args[0] + " matches " + strconv.Quote(n.regex.String()) + ")"
	}
	for name, f := range functions {
		if f.op == n.op {
			return name + "(" + strings.Join(args, ", ") + ")"
		}
	}
	return "?"
}

func literalText(t Type, v Value) string {
	switch t {
	case Bool:
		return strconv.FormatBool(v.Number != 0)
	case Text:
		return strconv.Quote(v.Text)
	case Duration:
		return strconv.FormatFloat(v.Number, 'g', 6, 64) + "ms"
	}
	return strconv.FormatFloat(v.Number, 'g', 6, 64)
}
