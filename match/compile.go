package match

import (
	"math"
	"slices"
	"strings"
	"unsafe"
)

// An expression is compiled into closures by type, so that no value is boxed and nothing is allocated. They go as deep
// as the tree, which parsing bounds.

// cut keeps a text within its bound: a row may come from a stranger.
func cut(s string, most int) string {
	if len(s) > most {
		return s[:most]
	}
	return s
}

// value is a field's; the zero value if the row is too short.
func (f *frame) value(i int) *Value {
	if i < len(f.row.Values) {
		return &f.row.Values[i]
	}
	return &absent
}

var absent Value

func (f *frame) label(name string, schema labels) (string, bool) {
	for i := range min(len(f.row.Labels), schema.most) {
		if f.row.Labels[i].Name == name {
			return cut(f.row.Labels[i].Text, schema.bytes), true
		}
	}
	return "", false
}

// labels are the schema's bounds of labels.
type labels struct{ most, bytes int }

// finite keeps numbers such that they compare: nothing is no number, and nothing has no end.
func finite(x float64) float64 {
	switch {
	case x != x:
		return 0
	case x > math.MaxFloat64:
		return math.MaxFloat64
	case x < -math.MaxFloat64:
		return -math.MaxFloat64
	}
	return x
}

// divide has a meaning for every divisor: over zero, zero.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return finite(a / b)
}

// mostTimes is how often a divisor may go into a number for a rest to mean anything: past it all digits are lost. It
// also bounds the cost, which is a step of subtraction for each bit.
const mostTimes = 1 << 53

// rest is what is left of a division towards zero; over zero, or where all digits are lost, zero.
func rest(a, b float64) float64 {
	if b == 0 || !(math.Abs(a/b) < mostTimes) {
		return 0
	}
	return finite(math.Mod(a, b))
}

// bucketOf is a text's place among n, from 0; the same everywhere and for ever (FNV-1a, 64 bits). Of none it is 0.
func bucketOf(s string, n float64) float64 {
	if !(n >= 1) {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 32
	return float64(h % uint64(min(n, 1<<32)))
}

// partOf is the n-th part of a text between separators, from 0; from the end if n is below 0: -1 is the last. Empty if
// there is none such.
func partOf(s, separator string, n float64) string {
	if n < 0 {
		for n = -n; ; n-- {
			at := strings.LastIndex(s, separator)
			if n < 2 {
				if at < 0 {
					return s
				}
				return s[at+len(separator):]
			}
			if at < 0 {
				return ""
			}
			s = s[:at]
		}
	}
	for ; ; n-- {
		at := strings.Index(s, separator)
		if n < 1 {
			if at < 0 {
				return s
			}
			return s[:at]
		}
		if at < 0 {
			return ""
		}
		s = s[at+len(separator):]
	}
}

// mostDigits of a text are read as a number.
const mostDigits = 32

// numberOf is the number that a text begins with, without exponent; 0 if it begins with none.
func numberOf(s string) float64 {
	s = cut(s, mostDigits)
	sign := 1.0
	if s != "" && (s[0] == '-' || s[0] == '+') {
		if s[0] == '-' {
			sign = -1
		}
		s = s[1:]
	}
	x, i := 0.0, 0
	for ; i < len(s) && digit(s[i]); i++ {
		x = x*10 + float64(s[i]-'0')
	}
	if i < len(s) && s[i] == '.' {
		scale := 0.1
		for i++; i < len(s) && digit(s[i]); i++ {
			x += float64(s[i]-'0') * scale
			scale /= 10
		}
	}
	return sign * x
}

// written is a text at the end of the scratch from a place on. The scratch never grows within an evaluation.
func (f *frame) written(from int) string {
	if from == len(f.buf) {
		return ""
	}
	return unsafe.String(&f.buf[from], len(f.buf)-from)
}

func (f *frame) cased(s string, first, last byte) string {
	from := len(f.buf)
	for i := range len(s) {
		c := s[i]
		if c >= first && c <= last {
			c ^= 'a' - 'A'
		}
		f.buf = append(f.buf, c)
	}
	return f.written(from)
}

func (n *node) compileBool() func(*frame) bool {
	switch n.op {
	case opLiteral:
		b := n.literal.Number != 0
		return func(*frame) bool { return b }
	case opField:
		i := n.index
		return func(f *frame) bool { return f.value(i).Number != 0 }
	case opHas:
		i := n.index
		return func(f *frame) bool { return f.value(i).Has }
	case opHasLabel:
		name, bounds := n.name, n.bounds
		return func(f *frame) bool { _, has := f.label(name, bounds); return has }
	case opNot:
		a := n.args[0].compileBool()
		return func(f *frame) bool { return !a(f) }
	case opAnd, opOr:
		a, b := n.args[0].compileBool(), n.args[1].compileBool()
		if n.op == opAnd {
			return func(f *frame) bool { return a(f) && b(f) }
		}
		return func(f *frame) bool { return a(f) || b(f) }
	case opIf:
		c, a, b := n.args[0].compileBool(), n.args[1].compileBool(), n.args[2].compileBool()
		return func(f *frame) bool {
			if c(f) {
				return a(f)
			}
			return b(f)
		}
	case opEqual, opLess:
		return n.compare()
	case opIn:
		return n.among()
	}
	a := n.args[0].compileText()
	switch n.op {
	case opLike:
		p := n.pattern
		return func(f *frame) bool { return p.matches(a(f)) }
	case opMatches:
		r := n.regex
		return func(f *frame) bool { return r.MatchString(a(f)) }
	}
	b := n.args[1].compileText()
	switch n.op {
	case opStarts:
		return func(f *frame) bool { return strings.HasPrefix(a(f), b(f)) }
	case opEnds:
		return func(f *frame) bool { return strings.HasSuffix(a(f), b(f)) }
	}
	return func(f *frame) bool { return strings.Contains(a(f), b(f)) }
}

func (n *node) compare() func(*frame) bool {
	negated, equal := n.negated, n.op == opEqual
	switch n.args[0].typ {
	case Bool:
		a, b := n.args[0].compileBool(), n.args[1].compileBool()
		return func(f *frame) bool { return (a(f) == b(f)) != negated }
	case Text:
		a, b := n.args[0].compileText(), n.args[1].compileText()
		if equal {
			return func(f *frame) bool { return (a(f) == b(f)) != negated }
		}
		return func(f *frame) bool { return (a(f) < b(f)) != negated }
	}
	a, b := n.args[0].compileNumber(), n.args[1].compileNumber()
	if equal {
		return func(f *frame) bool { return (a(f) == b(f)) != negated }
	}
	return func(f *frame) bool { return (a(f) < b(f)) != negated }
}

func (n *node) among() func(*frame) bool {
	if n.args[0].typ == Text {
		var set []string
		for _, v := range n.set {
			set = append(set, v.Text)
		}
		a := n.args[0].compileText()
		return func(f *frame) bool { _, found := slices.BinarySearch(set, a(f)); return found }
	}
	var set []float64
	for _, v := range n.set {
		set = append(set, v.Number)
	}
	a := n.args[0].compileNumber()
	return func(f *frame) bool { _, found := slices.BinarySearch(set, a(f)); return found }
}

func (n *node) compileNumber() func(*frame) float64 {
	switch n.op {
	case opLiteral:
		x := finite(n.literal.Number)
		return func(*frame) float64 { return x }
	case opField:
		i := n.index
		return func(f *frame) float64 { return finite(f.value(i).Number) }
	case opMinus:
		a := n.args[0].compileNumber()
		return func(f *frame) float64 { return -a(f) }
	case opIf:
		c, a, b := n.args[0].compileBool(), n.args[1].compileNumber(), n.args[2].compileNumber()
		return func(f *frame) float64 {
			if c(f) {
				return a(f)
			}
			return b(f)
		}
	case opLength:
		a := n.args[0].compileText()
		return func(f *frame) float64 { return float64(len(a(f))) }
	case opNumber:
		a := n.args[0].compileText()
		return func(f *frame) float64 { return numberOf(a(f)) }
	case opBucket:
		a, b := n.args[0].compileText(), n.args[1].compileNumber()
		return func(f *frame) float64 { return bucketOf(a(f), b(f)) }
	}
	a, b := n.args[0].compileNumber(), n.args[1].compileNumber()
	switch n.op {
	case opAdd:
		return func(f *frame) float64 { return finite(a(f) + b(f)) }
	case opSubtract:
		return func(f *frame) float64 { return finite(a(f) - b(f)) }
	case opMultiply:
		return func(f *frame) float64 { return finite(a(f) * b(f)) }
	case opDivide:
		return func(f *frame) float64 { return divide(a(f), b(f)) }
	case opRest:
		return func(f *frame) float64 { return rest(a(f), b(f)) }
	case opMin:
		return func(f *frame) float64 { return min(a(f), b(f)) }
	}
	return func(f *frame) float64 { return max(a(f), b(f)) }
}

func (n *node) compileText() func(*frame) string {
	switch n.op {
	case opLiteral:
		s := n.literal.Text
		return func(*frame) string { return s }
	case opField:
		i, most := n.index, n.field.Most
		return func(f *frame) string { return cut(f.value(i).Text, most) }
	case opLabel:
		name, bounds := n.name, n.bounds
		return func(f *frame) string { s, _ := f.label(name, bounds); return s }
	case opIf:
		c, a, b := n.args[0].compileBool(), n.args[1].compileText(), n.args[2].compileText()
		return func(f *frame) string {
			if c(f) {
				return a(f)
			}
			return b(f)
		}
	case opLower:
		a := n.args[0].compileText()
		return func(f *frame) string { return f.cased(a(f), 'A', 'Z') }
	case opUpper:
		a := n.args[0].compileText()
		return func(f *frame) string { return f.cased(a(f), 'a', 'z') }
	case opPart:
		a, sep, c := n.args[0].compileText(), n.args[1].literal.Text, n.args[2].compileNumber()
		return func(f *frame) string { return partOf(a(f), sep, c(f)) }
	}
	var parts []func(*frame) string
	for _, a := range n.args {
		parts = append(parts, a.compileText())
	}
	if len(parts) == 1 {
		return parts[0]
	}
	return func(f *frame) string {
		var texts [mostArgs]string // first all: a part may write into the scratch itself
		for i, part := range parts {
			texts[i] = part(f)
		}
		from := len(f.buf)
		for _, s := range texts[:len(parts)] {
			f.buf = append(f.buf, s...)
		}
		return f.written(from)
	}
}
