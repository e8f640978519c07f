package match

// maxArguments is the maximum number of arguments of a function.
const maxArguments = 16

// function is a function's signature.
type function struct {
	op        op
	arguments []Type
	variadic  bool // the last argument may be repeated
	result    Type
}

// functions holds all functions except has and label, which take names. min and max also take two
// durations.
var functions = map[string]function{
	"concat": {opConcat, []Type{Text}, true, Text},
	"lower":  {opLower, []Type{Text}, false, Text},
	"upper":  {opUpper, []Type{Text}, false, Text},
	"part":   {opPart, []Type{Text, Text, Number}, false, Text},
	"bucket": {opBucket, []Type{Text, Number}, false, Number},
	"length": {opLength, []Type{Text}, false, Number},
	"number": {opNumber, []Type{Text}, false, Number},
	"min":    {opMin, []Type{Number, Number}, false, Number},
	"max":    {opMax, []Type{Number, Number}, false, Number},
}

// functionCall parses the parentheses and arguments of a call; the next token is the opening
// parenthesis.
func (p *parser) functionCall(name token) (*node, error) {
	if err := p.advance(); err != nil {
		return nil, err
	}
	switch name.text {
	case "has", "label":
		return p.labelOrHas(name)
	}
	f, known := functions[name.text]
	if !known {
		return nil, p.fail(name.offset,
			"%.40q is not a function: there are bucket, concat, has, label, length, lower, "+
				"max, min, number, part, upper", name.text)
	}
	n := &node{op: f.op, valueType: f.result, offset: name.offset}
	for !p.nextIs(")") {
		if len(n.args) > 0 {
			if err := p.expect(","); err != nil {
				return nil, err
			}
		}
		arg, err := p.expression()
		if err != nil {
			return nil, err
		}
		if err := p.addArgument(n, name.text, f, arg); err != nil {
			return nil, err
		}
	}
	if len(n.args) < len(f.arguments) {
		return nil, p.fail(p.token.offset, "%s takes %d values", name.text, len(f.arguments))
	}
	if f.op == opPart && (n.args[1].op != opLiteral || n.args[1].literal.Text == "") {
		return nil, p.fail(n.args[1].offset, "a separator must be a literal text of one byte or more")
	}
	return n, p.advance()
}

// addArgument checks the type of an argument and adds it to a call. min and max of durations are
// durations.
func (p *parser) addArgument(n *node, name string, f function, arg *node) error {
	count := len(n.args)
	if count >= len(f.arguments) && !f.variadic || count >= maxArguments {
		most := min(maxArguments, max(len(f.arguments), count))
		return p.fail(arg.offset, "%s takes no more than %d values", name, most)
	}
	want := f.arguments[min(count, len(f.arguments)-1)]
	isMinOrMax := f.op == opMin || f.op == opMax
	switch {
	case isMinOrMax && arg.valueType == Duration:
		if count > 0 && n.valueType != Duration {
			return p.fail(arg.offset, "is a duration, the one before a number")
		}
		n.valueType = Duration
	case arg.valueType != want || n.valueType == Duration:
		if n.valueType == Duration {
			want = Duration
		}
		return p.fail(arg.offset, "is a %v, where %s takes a %v", arg.valueType, name, want)
	}
	n.args = append(n.args, arg)
	return nil
}

// labelOrHas parses the argument of has(field), has(label("x")) or label("x").
func (p *parser) labelOrHas(name token) (*node, error) {
	if name.text == "has" && !p.nextIs("label") {
		return p.hasField(name)
	}
	bounds := labelBounds{maxLabels: p.schema.MaxLabels, maxBytes: p.schema.MaxLabelBytes}
	n := &node{op: opLabel, valueType: Text, offset: name.offset, bounds: bounds}
	if name.text == "has" {
		n.op = opHasLabel
		n.valueType = Bool
		if err := p.advance(); err != nil {
			return nil, err
		}
		if err := p.expect("("); err != nil {
			return nil, err
		}
	}
	if p.schema.MaxLabels == 0 {
		return nil, p.fail(name.offset, "there are no labels here")
	}
	if p.token.kind != tokenText || p.token.text == "" || len(p.token.text) > p.schema.MaxLabelBytes {
		return nil, p.fail(p.token.offset, "a label's name must be a text in quotes, of at most %d bytes",
			p.schema.MaxLabelBytes)
	}
	n.name = p.token.text
	if err := p.advance(); err != nil {
		return nil, err
	}
	if n.op == opHasLabel {
		if err := p.expect(")"); err != nil {
			return nil, err
		}
	}
	return n, p.expect(")")
}

// hasField parses the field in has(field).
func (p *parser) hasField(name token) (*node, error) {
	t := p.token
	field, index := p.schema.findField(t.text)
	if t.kind != tokenName || field == nil {
		return nil, p.fail(t.offset, "has takes a field or a label")
	}
	if err := p.advance(); err != nil {
		return nil, err
	}
	n := &node{op: opHas, valueType: Bool, offset: name.offset, field: field, index: index}
	return n, p.expect(")")
}
