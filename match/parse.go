package match

import (
	"fmt"
	"regexp"
	"regexp/syntax"
	"slices"
	"strings"
)

type op int

const (
	opLiteral op = iota
	opField
	opHas
	opLabel
	opHasLabel
	opAnd
	opOr
	opNot
	opIf
	opEqual // of any type; negated: not equal
	opLess  // of numbers, durations or texts; negated: at least
	opIn    // a set of literals
	opStarts
	opEnds
	opContains
	opLike
	opMatches
	opAdd
	opSubtract
	opMultiply
	opDivide
	opRest
	opMinus
	opConcat
	opLower
	opUpper
	opPart
	opBucket
	opLength
	opMin
	opMax
	opNumber // of a text
)

// node is one of an expression's tree.
type node struct {
	op      op
	typ     Type
	at      int
	args    []*node
	negated bool

	literal Value
	field   *Field
	index   int    // of the field
	name    string // of a label
	bounds  labels
	set     []Value // of opIn, in order
	pattern *pattern
	regex   *regexp.Regexp
	program int // instructions of the regular expression
}

func (n *node) walk(see func(*node)) {
	see(n)
	for _, a := range n.args {
		a.walk(see)
	}
}

// parser is a recursive descent whose depth is bounded.
type parser struct {
	lexer  lexer
	schema *Schema
	bounds Bounds
	token  token
	depth  int
}

func parse(source string, schema *Schema, b Bounds) (*node, error) {
	if len(source) > b.Source {
		return nil, &Error{b.Source, fmt.Sprintf("is longer than %d bytes", b.Source), source[:b.Source]}
	}
	p := &parser{lexer: lexer{source: source}, schema: schema, bounds: b}
	if err := p.step(); err != nil {
		return nil, err
	}
	if p.token.kind == tokenEnd {
		return nil, p.fail(0, "is empty")
	}
	n, err := p.expression()
	if err == nil && p.token.kind != tokenEnd {
		err = p.fail(p.token.at, "something follows that belongs to nothing")
	}
	return n, err
}

func (p *parser) fail(at int, why string, args ...any) error { return p.lexer.fail(at, why, args...) }

func (p *parser) step() (err error) {
	p.token, err = p.lexer.next()
	return err
}

// is tells whether the next token is this sign or word.
func (p *parser) is(text string) bool {
	return (p.token.kind == tokenSign || p.token.kind == tokenName) && p.token.text == text
}

// take takes the next token if it is one of these signs or words.
func (p *parser) take(texts ...string) (text string, at int, err error) {
	for _, text := range texts {
		if p.is(text) {
			at := p.token.at
			return text, at, p.step()
		}
	}
	return "", 0, nil
}

func (p *parser) need(text string) error {
	if !p.is(text) {
		return p.fail(p.token.at, "%q is missing", text)
	}
	return p.step()
}

// deeper guards each recursion.
func (p *parser) deeper(parse func() (*node, error)) (*node, error) {
	if p.depth++; p.depth > p.bounds.Depth {
		return nil, p.fail(p.token.at, "is nested more than %d deep", p.bounds.Depth)
	}
	n, err := parse()
	p.depth--
	return n, err
}

func (p *parser) expression() (*node, error) { return p.deeper(p.choice) }

func (p *parser) choice() (*node, error) {
	condition, err := p.binary(0)
	if err != nil || !p.is("?") {
		return condition, err
	}
	at := p.token.at
	if err := p.step(); err != nil {
		return nil, err
	}
	if condition.typ != Bool {
		return nil, p.fail(condition.at, "stands before ? and is a %v, not a truth value", condition.typ)
	}
	yes, err := p.expression()
	if err == nil {
		err = p.need(":")
	}
	if err != nil {
		return nil, err
	}
	no, err := p.expression()
	if err != nil {
		return nil, err
	}
	if yes.typ != no.typ {
		return nil, p.fail(no.at, "is a %v, the other choice a %v", no.typ, yes.typ)
	}
	return &node{op: opIf, typ: yes.typ, at: at, args: []*node{condition, yes, no}}, nil
}

// levels are the operators, the loosest first. Those of one level lean to the left.
var levels = [][]string{{"||"}, {"&&"}, {"==", "!=", "<", "<=", ">", ">=", "in", "startswith", "endswith", "contains",
	"like", "matches"}, {"+", "-"}, {"*", "/", "%"}}

const comparing = 2 // the level whose operators can't follow each other

// binary parses a level. A chain of operators is as deep as it is long, as evaluation goes down its left side.
func (p *parser) binary(level int) (*node, error) {
	if level == len(levels) {
		return p.unary()
	}
	left, err := p.binary(level + 1)
	depth := p.depth
	defer func() { p.depth = depth }()
	for n := 0; err == nil; n++ {
		var sign string
		var at int
		if sign, at, err = p.take(levels[level]...); sign == "" || err != nil {
			break
		}
		if p.depth++; p.depth > p.bounds.Depth {
			return nil, p.fail(at, "is nested more than %d deep", p.bounds.Depth)
		}
		if level == comparing && n > 0 {
			return nil, p.fail(at, "comparisons can't follow each other: use && or parentheses")
		}
		var right *node
		switch sign {
		case "in":
			left, err = p.in(left, at)
		case "like", "matches":
			left, err = p.patterned(left, sign, at)
		default:
			if right, err = p.binary(level + 1); err == nil {
				left, err = p.join(left, right, sign, at)
			}
		}
	}
	return left, err
}

func (p *parser) join(left, right *node, sign string, at int) (*node, error) {
	n := &node{typ: Bool, at: at, args: []*node{left, right}}
	same := left.typ == right.typ
	ordered := same && left.typ != Bool
	fits := same
	switch sign {
	case "&&", "||":
		if n.op, fits = opAnd, same && left.typ == Bool; sign == "||" {
			n.op = opOr
		}
	case "==", "!=":
		n.op, n.negated = opEqual, sign == "!="
	case "<", ">=":
		n.op, n.negated, fits = opLess, sign == ">=", ordered
	case ">", "<=":
		n.op, n.negated, fits = opLess, sign == "<=", ordered
		n.args[0], n.args[1] = right, left
	case "startswith", "endswith", "contains":
		n.op = map[string]op{"startswith": opStarts, "endswith": opEnds, "contains": opContains}[sign]
		fits = same && left.typ == Text
	default:
		return p.reckon(left, right, sign, at)
	}
	if !fits {
		return nil, p.fail(at, "%s does not go with a %v and a %v", sign, left.typ, right.typ)
	}
	return n, nil
}

// reckon types arithmetic: durations add to durations, and are multiplied and divided by numbers; a duration over a
// duration is a number.
func (p *parser) reckon(left, right *node, sign string, at int) (*node, error) {
	n := &node{at: at, args: []*node{left, right}}
	n.op = map[string]op{"+": opAdd, "-": opSubtract, "*": opMultiply, "/": opDivide, "%": opRest}[sign]
	a, b := left.typ, right.typ
	switch {
	case a == Number && b == Number:
		n.typ = Number
	case a == Duration && b == Duration && (sign == "+" || sign == "-" || sign == "%"):
		n.typ = Duration
	case a == Duration && b == Duration && sign == "/":
		n.typ = Number
	case a == Duration && b == Number && (sign == "*" || sign == "/"):
		n.typ = Duration
	case a == Number && b == Duration && sign == "*":
		n.typ = Duration
	case a == Text && b == Text && sign == "+":
		n.op, n.typ = opConcat, Text
	default:
		return nil, p.fail(at, "%s does not go with a %v and a %v", sign, a, b)
	}
	return n, nil
}

// mostSet bounds a list of literals. It is searched by halves, so length costs little.
const mostSet = 2000

func (p *parser) in(left *node, at int) (*node, error) {
	n := &node{op: opIn, typ: Bool, at: at, args: []*node{left}}
	if err := p.need("["); err != nil {
		return nil, err
	}
	for len(n.set) == 0 || p.is(",") {
		if len(n.set) > 0 {
			if err := p.step(); err != nil {
				return nil, err
			}
		}
		where := p.token.at
		item, err := p.literal()
		if err != nil {
			return nil, err
		}
		if item.typ != left.typ || item.typ == Bool {
			return nil, p.fail(where, "is a %v, what is looked for a %v", item.typ, left.typ)
		}
		if n.set = append(n.set, item.literal); len(n.set) > mostSet {
			return nil, p.fail(where, "a list has over %d items", mostSet)
		}
	}
	slices.SortFunc(n.set, compareValues)
	return n, p.need("]")
}

func compareValues(a, b Value) int {
	if a.Number != b.Number {
		if a.Number < b.Number {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Text, b.Text)
}

// literal is one literal, perhaps with a minus.
func (p *parser) literal() (*node, error) {
	t := p.token
	minus := p.is("-")
	if minus {
		if err := p.step(); err != nil {
			return nil, err
		}
		if t = p.token; t.kind != tokenNumber && t.kind != tokenDuration {
			return nil, p.fail(t.at, "a list holds literals alone")
		}
		t.number = -t.number
	}
	n := &node{op: opLiteral, at: t.at}
	switch {
	case t.kind == tokenNumber:
		n.typ, n.literal = Number, NumberOf(t.number)
	case t.kind == tokenDuration:
		n.typ, n.literal = Duration, NumberOf(t.number)
	case t.kind == tokenText:
		n.typ, n.literal = Text, TextOf(t.text)
	case t.kind == tokenName && (t.text == "true" || t.text == "false"):
		n.typ, n.literal = Bool, BoolOf(t.text == "true")
	default:
		return nil, p.fail(t.at, "a list holds literals alone")
	}
	return n, p.step()
}

// mostProgram bounds a compiled regular expression: each of its instructions may be looked at for each byte.
const mostProgram = 500

func (p *parser) patterned(left *node, sign string, at int) (*node, error) {
	if left.typ != Text {
		return nil, p.fail(left.at, "is a %v, and %s goes with a text", left.typ, sign)
	}
	t := p.token
	if t.kind != tokenText {
		return nil, p.fail(t.at, "a pattern is a text in quotes")
	}
	n := &node{op: opLike, typ: Bool, at: at, args: []*node{left}}
	if sign == "like" {
		n.pattern = newPattern(t.text)
		return n, p.step()
	}
	n.op = opMatches
	parsed, err := syntax.Parse(t.text, syntax.Perl)
	if err != nil {
		return nil, p.fail(t.at, "is no regular expression: %.80s", err)
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		return nil, p.fail(t.at, "is no regular expression: %.80s", err)
	}
	if n.program = len(program.Inst); n.program > mostProgram {
		return nil, p.fail(t.at, "a regular expression has %d steps for each byte, of %d allowed", n.program, mostProgram)
	}
	if n.regex, err = regexp.Compile(t.text); err != nil {
		return nil, p.fail(t.at, "is no regular expression: %.80s", err)
	}
	return n, p.step()
}

func (p *parser) unary() (*node, error) {
	sign, at, err := p.take("!", "-")
	if err != nil || sign == "" {
		if err == nil {
			return p.primary()
		}
		return nil, err
	}
	arg, err := p.deeper(p.unary)
	if err != nil {
		return nil, err
	}
	n := &node{op: opNot, typ: Bool, at: at, args: []*node{arg}}
	if sign == "-" {
		n.op, n.typ = opMinus, arg.typ
	}
	if sign == "!" && arg.typ != Bool || sign == "-" && arg.typ != Number && arg.typ != Duration {
		return nil, p.fail(at, "%s does not go with a %v", sign, arg.typ)
	}
	return n, nil
}

func (p *parser) primary() (*node, error) {
	t := p.token
	switch {
	case t.kind == tokenEnd:
		return nil, p.fail(t.at, "something is missing at the end")
	case p.is("("):
		if err := p.step(); err != nil {
			return nil, err
		}
		n, err := p.expression()
		if err != nil {
			return nil, err
		}
		return n, p.need(")")
	case t.kind == tokenName && t.text != "true" && t.text != "false":
		if err := p.step(); err != nil {
			return nil, err
		}
		if p.is("(") {
			return p.call(t)
		}
		for i := range p.schema.Fields {
			if f := &p.schema.Fields[i]; f.Name == t.text {
				return &node{op: opField, typ: f.Type, at: t.at, field: f, index: i}, nil
			}
		}
		return nil, p.fail(t.at, "%.40q is no field: there are %s", t.text, p.schema.names())
	case t.kind == tokenSign:
		return nil, p.fail(t.at, "%q stands where a value should", t.text)
	}
	return p.literal()
}

func (s *Schema) names() string {
	var names []string
	for _, f := range s.Fields {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}

// functions are all, with the types of what they take; several is for any number of the last, one at least.
var functions = map[string]struct {
	op      op
	args    []Type
	several bool
	typ     Type
}{
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

const mostArgs = 16

func (p *parser) call(name token) (*node, error) {
	if err := p.step(); err != nil { // the parenthesis
		return nil, err
	}
	switch name.text {
	case "has", "label":
		return p.naming(name)
	}
	f, known := functions[name.text]
	if !known {
		return nil, p.fail(name.at, "%.40q is no function: there are bucket, concat, has, label, length, lower, max, min, "+
			"number, part, upper", name.text)
	}
	n := &node{op: f.op, typ: f.typ, at: name.at}
	for !p.is(")") {
		if len(n.args) > 0 {
			if err := p.need(","); err != nil {
				return nil, err
			}
		}
		arg, err := p.expression()
		if err != nil {
			return nil, err
		}
		at := min(len(n.args), len(f.args)-1)
		if len(n.args) >= len(f.args) && !f.several || len(n.args) >= mostArgs {
			return nil, p.fail(arg.at, "%s takes no more than %d values", name.text, min(mostArgs, max(len(f.args), len(n.args))))
		}
		if duration := (name.text == "min" || name.text == "max") && arg.typ == Duration; duration {
			if len(n.args) > 0 && n.typ != Duration {
				return nil, p.fail(arg.at, "is a duration, the one before a number")
			}
			n.typ = Duration
		} else if arg.typ != f.args[at] || n.typ == Duration {
			return nil, p.fail(arg.at, "is a %v, where %s takes a %v", arg.typ, name.text, n.takes(f.args[at]))
		}
		n.args = append(n.args, arg)
	}
	if len(n.args) < len(f.args) {
		return nil, p.fail(p.token.at, "%s takes %d values", name.text, len(f.args))
	}
	if f.op == opPart && (n.args[1].op != opLiteral || n.args[1].literal.Text == "") {
		return nil, p.fail(n.args[1].at, "a separator is a literal text of one byte or more")
	}
	return n, p.step()
}

func (n *node) takes(t Type) Type {
	if n.typ == Duration {
		return Duration
	}
	return t
}

// naming parses has(field), has(label("x")) and label("x").
func (p *parser) naming(name token) (*node, error) {
	if name.text == "has" && !p.is("label") {
		t := p.token
		for i := range p.schema.Fields {
			if f := &p.schema.Fields[i]; t.kind == tokenName && f.Name == t.text {
				if err := p.step(); err != nil {
					return nil, err
				}
				return &node{op: opHas, typ: Bool, at: name.at, field: f, index: i}, p.need(")")
			}
		}
		return nil, p.fail(t.at, "has takes a field or a label")
	}
	n := &node{op: opLabel, typ: Text, at: name.at, bounds: labels{p.schema.Labels, p.schema.Label}}
	if name.text == "has" {
		n.op, n.typ = opHasLabel, Bool
		if err := p.step(); err != nil {
			return nil, err
		}
		if err := p.need("("); err != nil {
			return nil, err
		}
	}
	if p.schema.Labels == 0 {
		return nil, p.fail(name.at, "there are no labels here")
	}
	if p.token.kind != tokenText || p.token.text == "" || len(p.token.text) > p.schema.Label {
		return nil, p.fail(p.token.at, "a label's name is a text in quotes, of %d bytes at the most", p.schema.Label)
	}
	n.name = p.token.text
	if err := p.step(); err != nil {
		return nil, err
	}
	if n.op == opHasLabel {
		if err := p.need(")"); err != nil {
			return nil, err
		}
	}
	return n, p.need(")")
}
