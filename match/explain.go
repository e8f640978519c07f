package match

import (
	"fmt"
	"strconv"
	"strings"
)

// maxItemsShown is the maximum number of list items that are written out.
const maxItemsShown = 8

// Step is one part of an expression with its value, formatted for people.
type Step struct {
	Depth int    // nesting depth of the part
	Text  string // source text of the part
	Value string
}

// Explain evaluates each part of an expression that is not a literal, operators before their
// operands. Parts that an evaluation would skip are included.
func (e *Expr) Explain(row Row) (steps []Step) {
	var s Scratch
	var explain func(n *node, depth int)
	explain = func(n *node, depth int) {
		steps = append(steps, Step{depth, n.String(), n.evaluate(e, row, &s)})
		for _, a := range n.args {
			if a.op != opLiteral {
				explain(a, depth+1)
			}
		}
	}
	explain(e.tree, 0)
	return steps
}

// evaluate returns the formatted value of a part of an expression.
func (n *node) evaluate(whole *Expr, row Row, s *Scratch) string {
	part := &Expr{valueType: n.valueType, scratchBytes: whole.scratchBytes}
	ev := part.beginEvaluation(row, s)
	switch n.valueType {
	case Bool:
		return strconv.FormatBool(n.compileBool()(ev))
	case Text:
		return strconv.Quote(n.compileText()(ev))
	}
	return numberText(n.valueType, n.compileNumber()(ev))
}

// infixSigns are the operators written between their operands.
var infixSigns = map[op]string{
	opAnd:        "&&",
	opOr:         "||",
	opStartsWith: "startswith",
	opEndsWith:   "endswith",
	opContains:   "contains",
	opAdd:        "+",
	opSubtract:   "-",
	opMultiply:   "*",
	opDivide:     "/",
	opRemainder:  "%",
}

// sign returns the infix operator of a node, or "" if it has none.
func (n *node) sign() string {
	switch {
	case n.op == opEqual && n.negated:
		return "!="
	case n.op == opEqual:
		return "=="
	case n.op == opLess && n.negated:
		return ">="
	case n.op == opLess:
		return "<"
	}
	return infixSigns[n.op]
}

// String formats a node as source text, with each infix operator in parentheses.
func (n *node) String() string {
	var args []string
	for _, a := range n.args {
		args = append(args, a.String())
	}
	if sign := n.sign(); sign != "" {
		return "(" + args[0] + " " + sign + " " + args[1] + ")"
	}
	switch n.op {
	case opLiteral:
		return literalText(n.valueType, n.literal)
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
	case opNegate:
		return "-" + args[0]
	case opIf:
		return "(" + args[0] + " ? " + args[1] + " : " + args[2] + ")"
	case opIn:
		return "(" + args[0] + " in [" + n.listText() + "])"
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

// listText formats the list of an opIn, up to maxItemsShown items.
func (n *node) listText() string {
	var items []string
	for i, v := range n.set {
		if i == maxItemsShown {
			items = append(items, fmt.Sprintf("... %d more", len(n.set)-i))
			break
		}
		items = append(items, literalText(n.args[0].valueType, v))
	}
	return strings.Join(items, ", ")
}

func literalText(t Type, v Value) string {
	switch t {
	case Bool:
		return strconv.FormatBool(v.Number != 0)
	case Text:
		return strconv.Quote(v.Text)
	}
	return numberText(t, v.Number)
}

// numberText formats a number, or a duration with its unit.
func numberText(t Type, x float64) string {
	text := strconv.FormatFloat(x, 'g', 6, 64)
	if t == Duration {
		text += "ms"
	}
	return text
}
