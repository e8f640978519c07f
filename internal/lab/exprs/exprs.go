// Package exprs generates random expressions of the matching language (package match) for rigs and tests. Each
// expression comes with its source and an independent evaluation, a tree of closures that shares no code with the
// language, as an oracle for differential tests.
package exprs

import (
	"fmt"
	"math"
	"math/rand"
	"regexp"
	"strconv"
	"strings"

	"mintkeel/match"
)

// Schema is the schema of the generated expressions: that of the rules about queries (docs/rules.md).
var Schema = match.Schema{Fields: []match.Field{
	{Name: "profile", Type: match.Text, MaxBytes: 32},
	{Name: "tenant", Type: match.Text, MaxBytes: 32},
	{Name: "table_name", Type: match.Text, MaxBytes: 64},
	{Name: "table_group", Type: match.Number},
	{Name: "estimate", Type: match.Duration},
	{Name: "left", Type: match.Duration},
	{Name: "urgent", Type: match.Bool},
}, MaxLabels: 4, MaxLabelBytes: 24}

// value is the result of an evaluation, in the field for the expression's type: a boolean, a number or a text.
type value struct {
	b bool
	x float64
	s string
}

// Expr is a random expression.
type Expr struct {
	Source string
	Type   match.Type
	eval   func(match.Row) value
}

// Bool evaluates a boolean expression on a row.
func (e *Expr) Bool(r match.Row) bool { return e.eval(r).b }

// Number evaluates an expression that yields a number, or a duration in ms.
func (e *Expr) Number(r match.Row) float64 { return e.eval(r).x }

// Text evaluates an expression that yields a text.
func (e *Expr) Text(r match.Row) string { return e.eval(r).s }

var words = []string{"", "load", "lookup", "report", "menu_17", "sales", "store-12-east", "acme", "Ümlaut", "a*b", "\xff\xfe",
	"x", "AbC", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "-12.5", "7"}

// quote returns a text as a literal of the language.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for i := range len(s) {
		switch c := s[i]; c {
		case '"', '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case '\n':
			b.WriteString("\\n")
		case '\t':
			b.WriteString("\\t")
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

func randomWord(rng *rand.Rand) string { return words[rng.Intn(len(words))] }

// RandomRow generates the fields and labels of a query. Fields may be absent, texts too long, numbers infinite or NaN,
// and labels more than the schema admits.
func RandomRow(rng *rand.Rand) match.Row {
	var r match.Row
	for _, f := range Schema.Fields {
		switch x := rng.Intn(8); {
		case x == 0:
			r.Values = append(r.Values, match.Value{})
		case f.Type == match.Text:
			s := randomWord(rng)
			if rng.Intn(4) == 0 {
				s += randomWord(rng) + randomWord(rng)
			}
			r.Values = append(r.Values, match.TextOf(s))
		case f.Type == match.Bool:
			r.Values = append(r.Values, match.BoolOf(rng.Intn(2) == 0))
		default:
			xs := []float64{0, 1, -1, 17, 250, 1e300, math.Inf(1), math.Inf(-1), math.NaN(), rng.Float64() * 5000}
			r.Values = append(r.Values, match.NumberOf(xs[rng.Intn(len(xs))]))
		}
	}
	if rng.Intn(10) == 0 {
		r.Values = r.Values[:rng.Intn(len(r.Values))]
	}
	for range rng.Intn(7) {
		r.Labels = append(r.Labels, match.Label{Name: []string{"store", "brand", "x"}[rng.Intn(3)], Value: randomWord(rng)})
	}
	return r
}

// Generate returns a random well-typed expression of the given type, at most depth levels deep below its root.
func Generate(rng *rand.Rand, typ match.Type, depth int) *Expr {
	switch typ {
	case match.Bool:
		return boolean(rng, depth)
	case match.Text:
		return text(rng, depth)
	}
	return number(rng, typ, depth)
}

// Corrupt damages the source of an expression: it removes, overwrites, duplicates or swaps bytes, one to three times.
func Corrupt(rng *rand.Rand, source string) string {
	b := []byte(source)
	for range 1 + rng.Intn(3) {
		if len(b) == 0 {
			break
		}
		at := rng.Intn(len(b))
		switch rng.Intn(4) {
		case 0:
			b = append(b[:at], b[at+1:]...)
		case 1:
			b[at] = byte(rng.Intn(256))
		case 2:
			b = append(b[:at], append([]byte{b[at]}, b[at:]...)...)
		case 3:
			to := rng.Intn(len(b))
			b[at], b[to] = b[to], b[at]
		}
	}
	return string(b)
}

func fieldValue(r match.Row, i int) match.Value {
	if i < len(r.Values) {
		return r.Values[i]
	}
	return match.Value{}
}

func randomField(rng *rand.Rand, typ match.Type) int {
	for {
		if i := rng.Intn(len(Schema.Fields)); Schema.Fields[i].Type == typ {
			return i
		}
	}
}

func fieldExpr(rng *rand.Rand, typ match.Type) *Expr {
	i := randomField(rng, typ)
	f := Schema.Fields[i]
	return &Expr{f.Name, typ, func(r match.Row) value {
		v := fieldValue(r, i)
		s := v.Text
		if len(s) > f.MaxBytes {
			s = s[:f.MaxBytes]
		}
		return value{v.Number != 0 && v.Number == v.Number || v.Number != v.Number, finite(v.Number), s}
	}}
}

// finite returns x as the language stores it: NaN becomes 0, infinities become the largest finite numbers.
func finite(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return math.Max(-math.MaxFloat64, math.Min(math.MaxFloat64, x))
}

func conditional(rng *rand.Rand, typ match.Type, depth int) *Expr {
	c, a, b := boolean(rng, depth-1), Generate(rng, typ, depth-1), Generate(rng, typ, depth-1)
	return &Expr{fmt.Sprintf("((%s) ? %s : %s)", c.Source, a.Source, b.Source), typ, func(r match.Row) value {
		if c.Bool(r) {
			return a.eval(r)
		}
		return b.eval(r)
	}}
}

func boolValue(b bool) value { return value{b: b} }

func boolean(rng *rand.Rand, depth int) *Expr {
	newExpr := func(source string, eval func(match.Row) bool) *Expr {
		return &Expr{source, match.Bool, func(r match.Row) value { return boolValue(eval(r)) }}
	}
	if depth <= 0 {
		switch rng.Intn(4) {
		case 0:
			b := rng.Intn(2) == 0
			return newExpr(strconv.FormatBool(b), func(match.Row) bool { return b })
		case 1:
			return fieldExpr(rng, match.Bool)
		case 2:
			i := rng.Intn(len(Schema.Fields))
			return newExpr("has("+Schema.Fields[i].Name+")", func(r match.Row) bool { return fieldValue(r, i).Present })
		}
		return newExpr(`has(label("store"))`, func(r match.Row) bool { _, has := findLabel(r, "store"); return has })
	}
	d := depth - 1
	switch rng.Intn(11) {
	case 0:
		a, b := boolean(rng, d), boolean(rng, d)
		return newExpr("("+a.Source+" && "+b.Source+")", func(r match.Row) bool { return a.Bool(r) && b.Bool(r) })
	case 1:
		a, b := boolean(rng, d), boolean(rng, d)
		return newExpr("("+a.Source+" || "+b.Source+")", func(r match.Row) bool { return a.Bool(r) || b.Bool(r) })
	case 2:
		a := boolean(rng, d)
		return newExpr("!("+a.Source+")", func(r match.Row) bool { return !a.Bool(r) })
	case 3:
		return conditional(rng, match.Bool, depth)
	case 4, 5: // comparison of numbers
		typ := []match.Type{match.Number, match.Duration}[rng.Intn(2)]
		a, b := number(rng, typ, d), number(rng, typ, d)
		sign := []string{"==", "!=", "<", "<=", ">", ">="}[rng.Intn(6)]
		return newExpr("("+a.Source+" "+sign+" "+b.Source+")", func(r match.Row) bool {
			return compare(sign, a.Number(r), b.Number(r))
		})
	case 6: // comparison of texts
		a, b := text(rng, d), text(rng, d)
		sign := []string{"==", "!=", "<", "<=", ">", ">=", "startswith", "endswith", "contains"}[rng.Intn(9)]
		return newExpr("("+a.Source+" "+sign+" "+b.Source+")", func(r match.Row) bool {
			x, y := a.Text(r), b.Text(r)
			switch sign {
			case "startswith":
				return strings.HasPrefix(x, y)
			case "endswith":
				return strings.HasSuffix(x, y)
			case "contains":
				return strings.Contains(x, y)
			}
			return compare(sign, float64(strings.Compare(x, y)), 0)
		})
	case 7:
		a := text(rng, d)
		var list, source []string
		for range 1 + rng.Intn(5) {
			w := randomWord(rng)
			list, source = append(list, w), append(source, quote(w))
		}
		return newExpr("("+a.Source+" in ["+strings.Join(source, ", ")+"])", func(r match.Row) bool {
			for _, w := range list {
				if w == a.Text(r) {
					return true
				}
			}
			return false
		})
	case 8:
		a := number(rng, match.Number, d)
		xs := []float64{0, 1, 17, -1, 250}[:1+rng.Intn(5)]
		var source []string
		for _, x := range xs {
			source = append(source, strconv.FormatFloat(x, 'f', -1, 64))
		}
		return newExpr("("+a.Source+" in ["+strings.Join(source, ", ")+"])", func(r match.Row) bool {
			for _, x := range xs {
				if x == a.Number(r) {
					return true
				}
			}
			return false
		})
	case 9:
		a := text(rng, d)
		glob := []string{"*", "menu_*", "*a*a*b", "?oad", "", "a\\*b", "**x?", "*-*-*", "lo*d"}[rng.Intn(9)]
		return newExpr("("+a.Source+" like "+quote(glob)+")", func(r match.Row) bool { return matchesGlob(glob, a.Text(r)) })
	}
	a := text(rng, d)
	pattern := []string{"^menu_[0-9]+$", "(a+)+$", "x|load", "", "^(.*)-(.*)$", "[A-Z]"}[rng.Intn(6)]
	r2 := regexp.MustCompile(pattern)
	return newExpr("("+a.Source+" matches "+quote(pattern)+")", func(r match.Row) bool { return r2.MatchString(a.Text(r)) })
}

func compare(sign string, a, b float64) bool {
	switch sign {
	case "==":
		return a == b
	case "!=":
		return a != b
	case "<":
		return a < b
	case "<=":
		return a <= b
	case ">":
		return a > b
	}
	return a >= b
}

// matchesGlob reports whether s matches a glob, by backtracking over all lengths of each *.
func matchesGlob(glob, s string) bool {
	if glob == "" {
		return s == ""
	}
	switch glob[0] {
	case '*':
		for i := 0; i <= len(s); i++ {
			if matchesGlob(glob[1:], s[i:]) {
				return true
			}
		}
		return false
	case '?':
		return s != "" && matchesGlob(glob[1:], s[1:])
	case '\\':
		if len(glob) > 1 {
			glob = glob[1:]
		}
	}
	return s != "" && s[0] == glob[0] && matchesGlob(glob[1:], s[1:])
}

func number(rng *rand.Rand, typ match.Type, depth int) *Expr {
	newExpr := func(source string, eval func(match.Row) float64) *Expr {
		return &Expr{source, typ, func(r match.Row) value { return value{x: eval(r)} }}
	}
	if depth <= 0 {
		if rng.Intn(2) == 0 {
			return fieldExpr(rng, typ)
		}
		x := []float64{0, 1, 2.5, 17, 1000}[rng.Intn(5)]
		source := strconv.FormatFloat(x, 'f', -1, 64)
		if typ == match.Duration {
			unit := []string{"ms", "s", "m"}[rng.Intn(3)]
			source += unit
			x *= map[string]float64{"ms": 1, "s": 1000, "m": 60000}[unit]
		}
		return newExpr(source, func(match.Row) float64 { return x })
	}
	d := depth - 1
	switch rng.Intn(7) {
	case 0:
		return conditional(rng, typ, depth)
	case 1:
		a := number(rng, typ, d)
		return newExpr("-("+a.Source+")", func(r match.Row) float64 { return -a.Number(r) })
	case 2:
		a, b, f := number(rng, typ, d), number(rng, typ, d), "min"
		if rng.Intn(2) == 0 {
			f = "max"
		}
		return newExpr(f+"("+a.Source+", "+b.Source+")", func(r match.Row) float64 {
			x, y := a.Number(r), b.Number(r)
			if (x < y) == (f == "min") {
				return x
			}
			return y
		})
	case 3:
		if typ == match.Number {
			return numberFromText(rng, d, newExpr)
		}
	}
	sign := []string{"+", "-", "%", "*", "/"}[rng.Intn(5)]
	right := typ
	if typ == match.Duration && (sign == "*" || sign == "/") {
		right = match.Number
	}
	a, b := number(rng, typ, d), number(rng, right, d)
	return newExpr("("+a.Source+" "+sign+" "+b.Source+")", func(r match.Row) float64 {
		x, y := a.Number(r), b.Number(r)
		switch sign {
		case "+":
			return finite(x + y)
		case "-":
			return finite(x - y)
		case "*":
			return finite(x * y)
		}
		if y == 0 {
			return 0
		}
		if sign == "/" {
			return finite(x / y)
		}
		if q := x / y; q >= 1<<53 || q <= -(1<<53) || q != q {
			return 0
		}
		return finite(math.Mod(x, y))
	})
}

// numberFromText generates a number computed from a text: its length or its hash bucket.
func numberFromText(rng *rand.Rand, d int, newExpr func(string, func(match.Row) float64) *Expr) *Expr {
	a := text(rng, d)
	if rng.Intn(2) == 0 {
		return newExpr("length("+a.Source+")", func(r match.Row) float64 { return float64(len(a.Text(r))) })
	}
	n := 1 + rng.Intn(50)
	return newExpr(fmt.Sprintf("bucket(%s, %d)", a.Source, n), func(r match.Row) float64 {
		h := uint64(14695981039346656037)
		for _, c := range []byte(a.Text(r)) {
			h ^= uint64(c)
			h *= 1099511628211
		}
		return float64((h ^ h>>32) % uint64(n))
	})
}

func findLabel(r match.Row, name string) (string, bool) {
	for i, l := range r.Labels {
		if i < Schema.MaxLabels && l.Name == name {
			return l.Value[:min(len(l.Value), Schema.MaxLabelBytes)], true
		}
	}
	return "", false
}

func text(rng *rand.Rand, depth int) *Expr {
	newExpr := func(source string, eval func(match.Row) string) *Expr {
		return &Expr{source, match.Text, func(r match.Row) value { return value{s: eval(r)} }}
	}
	if depth <= 0 {
		switch rng.Intn(3) {
		case 0:
			return fieldExpr(rng, match.Text)
		case 1:
			name := []string{"store", "brand", "none"}[rng.Intn(3)]
			return newExpr("label("+quote(name)+")", func(r match.Row) string { s, _ := findLabel(r, name); return s })
		}
		w := randomWord(rng)
		return newExpr(quote(w), func(match.Row) string { return w })
	}
	d := depth - 1
	switch rng.Intn(5) {
	case 0:
		return conditional(rng, match.Text, depth)
	case 1:
		a, b := text(rng, d), text(rng, d)
		return newExpr("("+a.Source+" + "+b.Source+")", func(r match.Row) string { return a.Text(r) + b.Text(r) })
	case 2:
		a, b, c := text(rng, d), text(rng, d), text(rng, d)
		return newExpr("concat("+a.Source+", "+b.Source+", "+c.Source+")", func(r match.Row) string {
			return a.Text(r) + b.Text(r) + c.Text(r)
		})
	case 3:
		a, up := text(rng, d), rng.Intn(2) == 0
		f, from := "lower", byte('A')
		if up {
			f, from = "upper", 'a'
		}
		return newExpr(f+"("+a.Source+")", func(r match.Row) string {
			b := []byte(a.Text(r))
			for i, c := range b {
				if c >= from && c < from+26 {
					b[i] = c ^ 32
				}
			}
			return string(b)
		})
	}
	a, sep, n := text(rng, d), []string{"-", "_", "a", "aa"}[rng.Intn(4)], rng.Intn(7)-3
	return newExpr(fmt.Sprintf("part(%s, %s, %d)", a.Source, quote(sep), n), func(r match.Row) string {
		if n < 0 {
			return partFromEnd(a.Text(r), sep, -n)
		}
		parts := strings.Split(a.Text(r), sep)
		if n >= len(parts) {
			return ""
		}
		return parts[n]
	})
}

// partFromEnd returns the n-th part of s from the end, splitting at separators found from the end.
func partFromEnd(s, sep string, n int) string {
	var parts []string
	for {
		at := strings.LastIndex(s, sep)
		if at < 0 {
			parts = append(parts, s)
			break
		}
		parts = append(parts, s[at+len(sep):])
		s = s[:at]
	}
	if n > len(parts) {
		return ""
	}
	return parts[n-1]
}
