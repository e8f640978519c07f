package match

import (
	"math"
	"strings"
	"unsafe"
)

// Scratch is the buffer in which an evaluation builds texts. Texts that an evaluation returns are
// valid until the next one with the same Scratch. The zero value is ready for use: it grows to the
// size that the expressions need, after which no evaluation allocates. It must not be used by
// several goroutines at once.
type Scratch struct{ evaluation evaluation }

// evaluation is the state of one evaluation of an expression.
type evaluation struct {
	row Row
	// scratch holds the texts built so far. It never outgrows its capacity during an evaluation.
	scratch []byte
}

// labelBounds are the schema's bounds of labels.
type labelBounds struct{ maxLabels, maxBytes int }

// absentValue is the value of a field that a row does not have.
var absentValue Value

// beginEvaluation prepares a scratch for an evaluation on a row.
func (e *Expr) beginEvaluation(row Row, s *Scratch) *evaluation {
	if cap(s.evaluation.scratch) < e.scratchBytes {
		s.evaluation.scratch = make([]byte, 0, e.scratchBytes)
	}
	s.evaluation.row = row
	s.evaluation.scratch = s.evaluation.scratch[:0]
	return &s.evaluation
}

// value returns the value of a field, or the zero value if the row is too short.
func (ev *evaluation) value(i int) *Value {
	if i < len(ev.row.Values) {
		return &ev.row.Values[i]
	}
	return &absentValue
}

// label returns the value of a label, and whether the row has the label.
func (ev *evaluation) label(name string, bounds labelBounds) (string, bool) {
	for i := range min(len(ev.row.Labels), bounds.maxLabels) {
		if ev.row.Labels[i].Name == name {
			return truncate(ev.row.Labels[i].Value, bounds.maxBytes), true
		}
	}
	return "", false
}

// scratchText returns the bytes of the scratch from an offset on as a text, without copying them.
// They stay unchanged until the next evaluation, as the scratch is never reallocated during one.
func (ev *evaluation) scratchText(from int) string {
	if from == len(ev.scratch) {
		return ""
	}
	return unsafe.String(&ev.scratch[from], len(ev.scratch)-from)
}

// changeCase builds a text with the case of the ASCII letters from first to last inverted.
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

// concat concatenates texts. It evaluates all of them first, as a part may itself write into the
// scratch.
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

// truncate truncates a text to a length in bytes: a row may contain anything that a client sends.
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

// divide is defined for every divisor: a division by zero is zero.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return finite(a / b)
}

// maxQuotient bounds the quotient for which a remainder is meaningful: beyond it all digits are
// lost. It also bounds the cost, which is one subtraction per bit.
const maxQuotient = 1 << 53

// remainder returns the remainder of a division that truncates towards zero. It is zero for a
// division by zero, and where all digits are lost.
func remainder(a, b float64) float64 {
	if b == 0 || !(math.Abs(a/b) < maxQuotient) {
		return 0
	}
	return finite(math.Mod(a, b))
}

const (
	fnvOffset  = uint64(14695981039346656037) // offset basis of 64-bit FNV-1a
	fnvPrime   = 1099511628211                // prime of 64-bit FNV-1a
	maxBuckets = 1 << 32                      // maximum number of buckets
)

// bucket returns the number, from 0, of the bucket out of n to which a text belongs, by its folded
// FNV-1a hash. The result must be the same at all controllers and in all versions. It is 0 if n is
// below 1.
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

// part returns the n-th part of a text that is split at separators, from 0. A negative n counts
// from the end: -1 is the last part. The result is empty if there is no such part.
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

// partFromEnd returns the n-th part from the end, from 1.
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

// maxDigits is the maximum number of bytes of a text that are parsed as a number.
const maxDigits = 32

// parseNumberPrefix returns the decimal number, without an exponent, with which a text starts. It
// is 0 if there is none.
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
