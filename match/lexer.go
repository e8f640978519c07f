package match

import (
	"fmt"
	"strconv"
	"strings"
)

type tokenKind int

const (
	tokenEnd tokenKind = iota // of the source
	tokenName
	tokenNumber
	tokenDuration
	tokenText
	tokenSign
)

// token is a lexical token of a source.
type token struct {
	kind   tokenKind
	offset int
	text   string  // a name, a sign, or a text without its quotes
	number float64 // of a number, or of a duration in ms
}

// lexer splits a source into tokens. It does not recurse, and reads each byte a bounded number of
// times.
type lexer struct {
	source string
	offset int // of the next byte
}

// signs lists the operators and punctuation. A sign precedes any sign that is a prefix of it.
var signs = []string{"&&", "||", "==", "!=", "<=", ">=", "<", ">", "!", "+", "-", "*", "/", "%",
	"(", ")", "[", "]", ",", "?", ":"}

// units of durations, in ms.
var units = map[string]float64{"ms": 1, "s": 1000, "m": 60 * 1000, "h": 3600 * 1000}

func (l *lexer) fail(offset int, format string, args ...any) error {
	return &Error{offset, fmt.Sprintf(format, args...), l.source}
}

func isLetter(c byte) bool { return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }
func isBlank(c byte) bool  { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// takeWhile consumes and returns bytes as long as a condition holds.
func (l *lexer) takeWhile(holds func(byte) bool) string {
	from := l.offset
	for l.offset < len(l.source) && holds(l.source[l.offset]) {
		l.offset++
	}
	return l.source[from:l.offset]
}

// skipBlanks skips white space and comments, which extend from # to the end of the line.
func (l *lexer) skipBlanks() {
	for l.offset < len(l.source) {
		switch c := l.source[l.offset]; {
		case c == '#':
			l.takeWhile(func(c byte) bool { return c != '\n' })
		case isBlank(c):
			l.offset++
		default:
			return
		}
	}
}

// next consumes and returns the next token.
func (l *lexer) next() (token, error) {
	l.skipBlanks()
	from := l.offset
	if from == len(l.source) {
		return token{kind: tokenEnd, offset: from}, nil
	}
	switch c := l.source[from]; {
	case isLetter(c):
		name := l.takeWhile(func(c byte) bool { return isLetter(c) || isDigit(c) })
		return token{kind: tokenName, offset: from, text: name}, nil
	case isDigit(c):
		return l.number()
	case c == '"' || c == '\'':
		return l.quoted(c)
	}
	for _, sign := range signs {
		if strings.HasPrefix(l.source[from:], sign) {
			l.offset += len(sign)
			return token{kind: tokenSign, offset: from, text: sign}, nil
		}
	}
	return token{}, l.fail(from, "unexpected character %q", l.source[from])
}

// number consumes a number, or a duration if a unit follows.
func (l *lexer) number() (token, error) {
	from := l.offset
	l.takeWhile(isDigit)
	if l.offset+1 < len(l.source) && l.source[l.offset] == '.' && isDigit(l.source[l.offset+1]) {
		l.offset++
		l.takeWhile(isDigit)
	}
	digits := l.source[from:l.offset]
	x, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return token{}, l.fail(from, "%.40s is not a number", digits)
	}
	unit := l.takeWhile(isLetter)
	if unit == "" {
		return token{kind: tokenNumber, offset: from, number: x}, nil
	}
	factor, known := units[unit]
	if !known {
		return token{}, l.fail(from, "%.40q is not a unit of time: ms, s, m or h", unit)
	}
	return token{kind: tokenDuration, offset: from, number: x * factor}, nil
}

// quoted consumes a text in quotes, with the escapes \n, \t, \\, \" and \'. Other backslashes are
// kept, so that regular expressions need not double theirs.
func (l *lexer) quoted(quote byte) (token, error) {
	from := l.offset
	var b strings.Builder
	for l.offset++; l.offset < len(l.source); l.offset++ {
		switch c := l.source[l.offset]; c {
		case quote:
			l.offset++
			return token{kind: tokenText, offset: from, text: b.String()}, nil
		case '\n':
			return token{}, l.fail(from, "a text is not terminated on its line")
		case '\\':
			l.offset++
			if l.offset == len(l.source) {
				return token{}, l.fail(from, "a text is not terminated")
			}
			appendEscaped(&b, l.source[l.offset])
		default:
			b.WriteByte(c)
		}
	}
	return token{}, l.fail(from, "a text is not terminated")
}

// appendEscaped writes the meaning of a backslash followed by the byte c.
func appendEscaped(b *strings.Builder, c byte) {
	switch c {
	case 'n':
		b.WriteByte('\n')
	case 't':
		b.WriteByte('\t')
	case '\\', '"', '\'':
		b.WriteByte(c)
	default:
		b.WriteByte('\\')
		b.WriteByte(c)
	}
}
