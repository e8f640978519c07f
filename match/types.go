package match

// arithmeticOps are the arithmetic operators.
var arithmeticOps = map[string]op{
	"+": opAdd,
	"-": opSubtract,
	"*": opMultiply,
	"/": opDivide,
	"%": opRemainder,
}

// textOps are the operators that look for one text in another, bytewise.
var textOps = map[string]op{
	"startswith": opStartsWith,
	"endswith":   opEndsWith,
	"contains":   opContains,
}

// combine checks the types of the operands of a binary operator, and returns its node. Operators
// that differ only by negation or by the order of their operands share an op.
func (p *parser) combine(left, right *node, sign string, offset int) (*node, error) {
	n := &node{valueType: Bool, offset: offset, args: []*node{left, right}}
	sameType := left.valueType == right.valueType
	var fits bool
	switch sign {
	case "&&", "||":
		n.op = opAnd
		if sign == "||" {
			n.op = opOr
		}
		fits = sameType && left.valueType == Bool
	case "==", "!=":
		n.op = opEqual
		n.negated = sign == "!="
		fits = sameType
	case "<", ">=":
		n.op = opLess
		n.negated = sign == ">="
		fits = sameType && left.valueType != Bool
	case ">", "<=":
		n.op = opLess
		n.negated = sign == "<="
		n.args[0], n.args[1] = right, left
		fits = sameType && left.valueType != Bool
	case "startswith", "endswith", "contains":
		n.op = textOps[sign]
		fits = sameType && left.valueType == Text
	default:
		return p.combineArithmetic(left, right, sign, offset)
	}
	if !fits {
		return nil, p.fail(offset, "%s can't be applied to a %v and a %v",
			sign, left.valueType, right.valueType)
	}
	return n, nil
}

// combineArithmetic is combine for arithmetic operators. Durations can be added, subtracted and
// divided with remainder, and multiplied and divided by numbers; a duration divided by a duration
// is a number. + also concatenates texts.
func (p *parser) combineArithmetic(left, right *node, sign string, offset int) (*node, error) {
	n := &node{op: arithmeticOps[sign], offset: offset, args: []*node{left, right}}
	a, b := left.valueType, right.valueType
	switch {
	case a == Number && b == Number:
		n.valueType = Number
	case a == Duration && b == Duration && (sign == "+" || sign == "-" || sign == "%"):
		n.valueType = Duration
	case a == Duration && b == Duration && sign == "/":
		n.valueType = Number
	case a == Duration && b == Number && (sign == "*" || sign == "/"):
		n.valueType = Duration
	case a == Number && b == Duration && sign == "*":
		n.valueType = Duration
	case a == Text && b == Text && sign == "+":
		n.op = opConcat
		n.valueType = Text
	default:
		return nil, p.fail(offset, "%s can't be applied to a %v and a %v", sign, a, b)
	}
	return n, nil
}
