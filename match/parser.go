package match

import "fmt"

// parser is a recursive descent parser of bounded depth. Each parsing method returns a tree whose
// types are checked.
type parser struct {
	lexer  lexer
	schema *Schema
	bounds Bounds
	token  token // the next one
	depth  int   // of the tree above what is being parsed
}

// parse returns the tree of an expression. Its error is an *Error.
func parse(source string, schema *Schema, b Bounds) (*node, error) {
	if len(source) > b.SourceBytes {
		reason := fmt.Sprintf("is longer than %d bytes", b.SourceBytes)
		return nil, &Error{b.SourceBytes, reason, source[:b.SourceBytes]}
	}
	p := &parser{lexer: lexer{source: source}, schema: schema, bounds: b}
	if err := p.advance(); err != nil {
		return nil, err
	}
	if p.token.kind == tokenEnd {
		return nil, p.fail(0, "is empty")
	}
	n, err := p.expression()
	if err == nil && p.token.kind != tokenEnd {
		err = p.fail(p.token.offset, "unexpected text after the expression")
	}
	return n, err
}

func (p *parser) fail(offset int, format string, args ...any) error {
	return p.lexer.fail(offset, format, args...)
}

// advance reads the next token.
func (p *parser) advance() (err error) {
	p.token, err = p.lexer.next()
	return err
}

// nextIs reports whether the next token is this sign or word.
func (p *parser) nextIs(text string) bool {
	return (p.token.kind == tokenSign || p.token.kind == tokenName) && p.token.text == text
}

// accept consumes the next token if it is one of these signs or words, and returns its text; else
// it returns "".
func (p *parser) accept(texts ...string) (text string, offset int, err error) {
	for _, text := range texts {
		if p.nextIs(text) {
			offset := p.token.offset
			return text, offset, p.advance()
		}
	}
	return "", 0, nil
}

// expect consumes the next token, which must be this sign.
func (p *parser) expect(text string) error {
	if !p.nextIs(text) {
		return p.fail(p.token.offset, "missing %q", text)
	}
	return p.advance()
}

// nested calls a parsing method one level deeper, and fails beyond the allowed depth. All
// recursion goes through it, so that no source can exhaust the stack.
func (p *parser) nested(parse func() (*node, error)) (*node, error) {
	p.depth++
	if p.depth > p.bounds.Depth {
		return nil, p.fail(p.token.offset, "is nested more than %d deep", p.bounds.Depth)
	}
	n, err := parse()
	p.depth--
	return n, err
}

func (p *parser) expression() (*node, error) { return p.nested(p.conditional) }

// conditional parses condition ? a : b, or just a binary expression if no ? follows.
func (p *parser) conditional() (*node, error) {
	condition, err := p.binary(0)
	if err != nil || !p.nextIs("?") {
		return condition, err
	}
	offset := p.token.offset
	if err := p.advance(); err != nil {
		return nil, err
	}
	if condition.valueType != Bool {
		return nil, p.fail(condition.offset, "is before ? and is a %v, not a truth value",
			condition.valueType)
	}
	yes, err := p.expression()
	if err == nil {
		err = p.expect(":")
	}
	if err != nil {
		return nil, err
	}
	no, err := p.expression()
	if err != nil {
		return nil, err
	}
	if yes.valueType != no.valueType {
		return nil, p.fail(no.offset, "is a %v, but the other branch is a %v",
			no.valueType, yes.valueType)
	}
	args := []*node{condition, yes, no}
	return &node{op: opIf, valueType: yes.valueType, offset: offset, args: args}, nil
}

// operatorLevels lists the binary operators by ascending precedence. Operators of one level are
// left-associative.
var operatorLevels = [][]string{
	{"||"},
	{"&&"},
	{"==", "!=", "<", "<=", ">", ">=", "in", "startswith", "endswith", "contains", "like", "matches"},
	{"+", "-"},
	{"*", "/", "%"},
}

// comparisonLevel is the level of the comparisons, which can't be chained.
const comparisonLevel = 2

// binary parses the operators of a level and of higher precedence. Each operator of a chain counts
// as one level of depth, as evaluation descends along the left sides.
func (p *parser) binary(level int) (*node, error) {
	if level == len(operatorLevels) {
		return p.unary()
	}
	left, err := p.binary(level + 1)
	depth := p.depth
	defer func() { p.depth = depth }()
	for n := 0; err == nil; n++ {
		var sign string
		var offset int
		sign, offset, err = p.accept(operatorLevels[level]...)
		if sign == "" || err != nil {
			break
		}
		p.depth++
		if p.depth > p.bounds.Depth {
			return nil, p.fail(offset, "is nested more than %d deep", p.bounds.Depth)
		}
		if level == comparisonLevel && n > 0 {
			return nil, p.fail(offset, "comparisons can't be chained: use && or parentheses")
		}
		left, err = p.rightSide(left, sign, offset, level)
	}
	return left, err
}

// rightSide parses the right operand of a binary operator, and returns the operator's node.
func (p *parser) rightSide(left *node, sign string, offset, level int) (*node, error) {
	switch sign {
	case "in":
		return p.list(left, offset)
	case "like", "matches":
		return p.patternMatch(left, sign, offset)
	}
	right, err := p.binary(level + 1)
	if err != nil {
		return nil, err
	}
	return p.combine(left, right, sign, offset)
}

// unary parses ! and -.
func (p *parser) unary() (*node, error) {
	sign, offset, err := p.accept("!", "-")
	if err != nil {
		return nil, err
	}
	if sign == "" {
		return p.primary()
	}
	arg, err := p.nested(p.unary)
	if err != nil {
		return nil, err
	}
	n := &node{op: opNot, valueType: Bool, offset: offset, args: []*node{arg}}
	fits := arg.valueType == Bool
	if sign == "-" {
		n.op = opNegate
		n.valueType = arg.valueType
		fits = arg.valueType == Number || arg.valueType == Duration
	}
	if !fits {
		return nil, p.fail(offset, "%s can't be applied to a %v", sign, arg.valueType)
	}
	return n, nil
}

// primary parses a literal, a field, a function or an expression in parentheses.
func (p *parser) primary() (*node, error) {
	t := p.token
	switch {
	case t.kind == tokenEnd:
		return nil, p.fail(t.offset, "the expression is incomplete")
	case p.nextIs("("):
		if err := p.advance(); err != nil {
			return nil, err
		}
		n, err := p.expression()
		if err != nil {
			return nil, err
		}
		return n, p.expect(")")
	case t.kind == tokenName && t.text != "true" && t.text != "false":
		return p.fieldOrCall()
	case t.kind == tokenSign:
		return nil, p.fail(t.offset, "unexpected %q where a value is needed", t.text)
	}
	return p.literal()
}

// fieldOrCall parses a field's name, or a function's with its arguments.
func (p *parser) fieldOrCall() (*node, error) {
	name := p.token
	if err := p.advance(); err != nil {
		return nil, err
	}
	if p.nextIs("(") {
		return p.functionCall(name)
	}
	field, index := p.schema.findField(name.text)
	if field == nil {
		return nil, p.fail(name.offset, "%.40q is not a field: there are %s",
			name.text, p.schema.fieldNames())
	}
	n := &node{op: opField, valueType: field.Type, offset: name.offset, field: field, index: index}
	return n, nil
}
