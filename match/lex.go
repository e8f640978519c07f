package match

import (
	"fmt"
	"strconv"
	"strings"
)

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenName
	tokenNumber
	tokenDuration
	tokenText
	tokenSign
)

type token struct {
	kind   tokenKind
	at     int
	text   string // a name, a sign, or a text without its quotes
	number float64
}

// lexer splits a source; it never recurses, and each byte is looked at a bounded number of times.
type lexer struct {
	source string
	at     int
}

func (l *lexer) fail(at int, why string, args ...any) error {
	return &Error{at, fmt.Sprintf(why, args...), l.source}
}

var signs = []string{"&&", "||", "==", "!=", "<=", ">=", "<", ">", "!", "+", "-", "*", "/", "%", "(", ")", "[", "]",
	",", "?", ":"}

var units = map[string]float64{"ms": 1, "s": 1000, "m": 60 * 1000, "h": 3600 * 1000}

func letter(c byte) bool { return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func digit(c byte) bool  { return c >= '0' && c <= '9' }

func (l *lexer) next() (token, error) {
	for l.at < len(l.source) {
		if c := l.source[l.at]; c == '#' {
			for l.at < len(l.source) && l.source[l.at] != '\n' {
				l.at++
			}
		} else if c == ' ' || c == '\t' || c == '\n' || c == '\r' {
			l.at++
		} else {
			break
		}
	}
	from := l.at
	if from == len(l.source) {
		return token{kind: tokenEnd, at: from}, nil
	}
	switch c := l.source[from]; {
	case letter(c):
		for l.at < len(l.source) && (letter(l.source[l.at]) || digit(l.source[l.at])) {
			l.at++
		}
		return token{kind: tokenName, at: from, text: l.source[from:l.at]}, nil
	case digit(c):
		return l.number()
	case c == '"' || c == '\'':
		return l.quoted(c)
	}
	for _, sign := range signs {
		if strings.HasPrefix(l.source[from:], sign) {
			l.at += len(sign)
			return token{kind: tokenSign, at: from, text: sign}, nil
		}
	}
	return token{}, l.fail(from, "%q begins nothing", l.source[from])
}

func (l *lexer) number() (token, error) {
	from := l.at
	run := func(fits func(byte) bool) string {
		begin := l.at
		for l.at < len(l.source) && fits(l.source[l.at]) {
			l.at++
		}
		return l.source[begin:l.at]
	}
	run(digit)
	if l.at+1 < len(l.source) && l.source[l.at] == '.' && digit(l.source[l.at+1]) {
		l.at++
		run(digit)
	}
	digits := l.source[from:l.at]
	x, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return token{}, l.fail(from, "%.40s is no number", digits)
	}
	unit := run(letter)
	if unit == "" {
		return token{kind: tokenNumber, at: from, number: x}, nil
	}
	factor, known := units[unit]
	if !known {
		return token{}, l.fail(from, "%.40q is no unit of time: ms, s, m or h", unit)
	}
	return token{kind: tokenDuration, at: from, number: x * factor}, nil
}

func (l *lexer) quoted(quote byte) (token, error) {
	from := l.at
	var b strings.Builder
	for l.at++; l.at < len(l.source); l.at++ {
		switch c := l.source[l.at]; {
		case c == quote:
			l.at++
			return token{kind: tokenText, at: from, text: b.String()}, nil
		case c == '\n':
			return token{}, l.fail(from, "a text has no end on its line")
		case c == '\\':
			if l.at++; l.at == len(l.source) {
				return token{}, l.fail(from, "a text has no end")
			}
			switch e := l.source[l.at]; e {
			case 'n':
				b.WriteByte('\n')
			case 't':
				b.WriteByte('\t')
			case '\\', '"', '\'':
				b.WriteByte(e)
			default: // so that regular expressions need not double theirs
				b.WriteByte('\\')
				b.WriteByte(e)
			}
		default:
			b.WriteByte(c)
		}
	}
	return token{}, l.fail(from, "a text has no end")
}
