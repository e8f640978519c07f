package match

import (
	"math"
	"strings"
	"unsafe"
)

// Scratch is what an evaluation writes texts into. The texts that come out are good until the next
// evaluation with it. The zero value is ready for use: it grows to what the expressions need, and
// then no evaluation allocates. One goroutine uses it.
type Scratch struct{ evaluation evaluation }

// evaluation is one evaluation of an expression.
type evaluation struct {
	row Row
	// texts that were written so far; it never grows beyond its capacity within an evaluation
	scratch []byte
}

// labelBounds are the schema's bounds of labels.
type labelBounds struct{ maxLabels, maxBytes int }

// absentValue is the value of a field that a row does not have.
var absentValue Value

// beginEvaluation readies a scratch.
func (e *Expr) beginEvaluation(row Row, s *Scratch) *evaluation {
	if cap(s.evaluation.scratch) < e.scratchBytes {
		s.evaluation.scratch = make([]byte, 0, e.scratchBytes)
	}
	s.evaluation.row = row
	s.evaluation.scratch = s.evaluation.scratch[:0]
	return &s.evaluation
}

// value is a field's value; the zero value if the row is too short.
func (ev *evaluation) value(i int) *Value {
	if i < len(ev.row.Values) {
		return &ev.row.Values[i]
	}
	return &absentValue
}

// label is a label's value, and whether it is there.
func (ev *evaluation) label(name string, bounds labelBounds) (string, bool) {
	for i := range min(len(ev.row.Labels), bounds.maxLabels) {
		if ev.row.Labels[i].Name == name {
			return truncate(ev.row.Labels[i].Value, bounds.maxBytes), true
		}
	}
	return "", false
}

// scratchText is what was written into the scratch from a place on, as a text. It is not copied:
// what is written stays until the next evaluation, as the scratch never grows within one.
func (ev *evaluation) scratchText(from int) string {
	if from == len(ev.scratch) {
		return ""
	}
	return unsafe.String(&ev.scratch[from], len(ev.scratch)-from)
}

// changeCase writes a text with the letters from first to last in the other case.
func (ev *evaluation) changeCase(s string, first, last byte) string {
	from := len(ev.scratch)
	for i := range len(s) {
		c := s[i]
		if c >= first && c <= last {
			c ^= 'a' - 'A'
		}
		ev.scratch = append(ev.scratch, c)
	}
	return ev.scratchText(from)
}

// concat writes texts one after the other. They are all evaluated first, as a part may write into
// the scratch itself.
func (ev *evaluation) concat(parts []func(*evaluation) string) string {
	var texts [maxArguments]string
	for i, part := range parts {
		texts[i] = part(ev)
	}
	from := len(ev.scratch)
	for _, s := range texts[:len(parts)] {
		ev.scratch = append(ev.scratch, s...)
	}
	return ev.scratchText(from)
}

// truncate cuts a text to a length in bytes: a row may hold whatever a client has sent.
func truncate(s string, maxBytes int) string {
	if len(s) > maxBytes {
		return s[:maxBytes]
	}
	return s
}

// finite makes all numbers comparable: NaN becomes 0, and an infinity the largest finite number.
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

// divide has a meaning for every divisor: over zero it is zero.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return finite(a / b)
}

// maxQuotient is how often a divisor may go into a number for a remainder to mean anything: past it
// all digits are lost. It also bounds the cost, which is a subtraction for each bit.
const maxQuotient = 1 << 53

// remainder is what is left of a division towards zero; over zero, or where all digits are lost,
// zero.
func remainder(a, b float64) float64 {
	if b == 0 || !(math.Abs(a/b) < maxQuotient) {
		return 0
	}
	return finite(math.Mod(a, b))
}

const (
	fnvOffset  = uint64(14695981039346656037) // offset basis of FNV-1a with 64 bits
	fnvPrime   = 1099511628211                // its prime
	maxBuckets = 1 << 32                      // the largest number of buckets
)

// bucket is a text's place among n, from 0: its hash by FNV-1a, folded. It is the same everywhere
// and must stay so. Of no places it is 0.
func bucket(s string, n float64) float64 {
	if !(n >= 1) {
		return 0
	}
	h := fnvOffset
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	h ^= h >> 32
	return float64(h % uint64(min(n, maxBuckets)))
}

// part is the n-th part of a text between separators, from 0, or from the end if n is below 0: -1
// is the last. It is empty if there is no such part.
func part(s, separator string, n float64) string {
	if n < 0 {
		return partFromEnd(s, separator, -n)
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

// partFromEnd is the n-th part from the end, from 1.
func partFromEnd(s, separator string, n float64) string {
	for ; ; n-- {
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

// maxDigits is how many bytes of a text are read as a number, at most.
const maxDigits = 32

// parseNumberPrefix is the number that a text begins with, without exponent; 0 if it begins with
// none.
func parseNumberPrefix(s string) float64 {
	s = truncate(s, maxDigits)
	sign := 1.0
	if s != "" && (s[0] == '-' || s[0] == '+') {
		if s[0] == '-' {
			sign = -1
		}
		s = s[1:]
	}
	x := 0.0
	i := 0
	for ; i < len(s) && isDigit(s[i]); i++ {
		x = x*10 + float64(s[i]-'0')
	}
	if i < len(s) && s[i] == '.' {
		scale := 0.1
		for i++; i < len(s) && isDigit(s[i]); i++ {
			x += float64(s[i]-'0') * scale
			scale /= 10
		}
	}
	return sign * x
}
