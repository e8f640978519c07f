package match

import (
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"
)

const (
	// maxListItems bounds a list of literals. Lists are searched by bisection, so length costs
	// little.
	maxListItems = 2000
	// maxProgramLength bounds the instructions of a regular expression: each may be executed for each
	// byte.
	maxProgramLength = 500
)

// list parses the right side of in: a list of literals.
func (p *parser) list(left *node, offset int) (*node, error) {
	n := &node{op: opIn, valueType: Bool, offset: offset, args: []*node{left}}
	if err := p.expect("["); err != nil {
		return nil, err
	}
	for len(n.set) == 0 || p.nextIs(",") {
		if len(n.set) > 0 {
			if err := p.advance(); err != nil {
				return nil, err
			}
		}
		itemOffset := p.token.offset
		item, err := p.literal()
		if err != nil {
			return nil, err
		}
		if item.valueType != left.valueType || item.valueType == Bool {
			return nil, p.fail(itemOffset, "is a %v, but the value to be found is a %v",
				item.valueType, left.valueType)
		}
		n.set = append(n.set, item.literal)
		if len(n.set) > maxListItems {
			return nil, p.fail(itemOffset, "a list has over %d items", maxListItems)
		}
	}
	slices.SortFunc(n.set, compareValues)
	return n, p.expect("]")
}

func compareValues(a, b Value) int {
	switch {
	case a.Number < b.Number:
		return -1
	case a.Number > b.Number:
		return 1
	}
	return strings.Compare(a.Text, b.Text)
}

// literal parses a literal, with an optional minus.
func (p *parser) literal() (*node, error) {
	t := p.token
	if p.nextIs("-") {
		if err := p.advance(); err != nil {
			return nil, err
		}
		t = p.token
		if t.kind != tokenNumber && t.kind != tokenDuration {
			return nil, p.fail(t.offset, "a list may only contain literals")
		}
		t.number = -t.number
	}
	n := &node{op: opLiteral, offset: t.offset}
	switch {
	case t.kind == tokenNumber:
		n.valueType = Number
		n.literal = NumberOf(t.number)
	case t.kind == tokenDuration:
		n.valueType = Duration
		n.literal = NumberOf(t.number)
	case t.kind == tokenText:
		n.valueType = Text
		n.literal = TextOf(t.text)
	case t.kind == tokenName && (t.text == "true" || t.text == "false"):
		n.valueType = Bool
		n.literal = BoolOf(t.text == "true")
	default:
		return nil, p.fail(t.offset, "a list may only contain literals")
	}
	return n, p.advance()
}

// patternMatch parses the right side of like or matches: a pattern in quotes.
func (p *parser) patternMatch(left *node, sign string, offset int) (*node, error) {
	if left.valueType != Text {
		return nil, p.fail(left.offset, "is a %v, but %s needs a text", left.valueType, sign)
	}
	t := p.token
	if t.kind != tokenText {
		return nil, p.fail(t.offset, "a pattern must be a text in quotes")
	}
	n := &node{op: opLike, valueType: Bool, offset: offset, args: []*node{left}}
	if sign == "like" {
		n.pattern = newPattern(t.text)
		return n, p.advance()
	}
	n.op = opMatches
	if err := p.compileRegex(n, t); err != nil {
		return nil, err
	}
	return n, p.advance()
}

// compileRegex compiles a regular expression, and checks its cost per byte.
func (p *parser) compileRegex(n *node, t token) error {
	parsed, err := syntax.Parse(t.text, syntax.Perl)
	if err != nil {
		return p.fail(t.offset, "is not a regular expression: %.80s", err)
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		return p.fail(t.offset, "is not a regular expression: %.80s", err)
	}
	n.programLength = len(program.Inst)
	if n.programLength > maxProgramLength {
		return p.fail(t.offset, "a regular expression takes %d steps per byte, of %d allowed",
			n.programLength, maxProgramLength)
	}
	n.regex, err = regexp.Compile(t.text)
	if err != nil {
		return p.fail(t.offset, "is not a regular expression: %.80s", err)
	}
	return nil
}
