package pgwire

import (
	"bytes"
	"strings"
)

// Texts of the tokens of string literals and of numeric literals.
const (
	stringPlaceholder = "'"
	numberPlaceholder = "0"
)

// token is a name, perhaps quoted, or a single character. A string literal has the text
// stringPlaceholder, a numeric literal numberPlaceholder.
type token struct {
	text   string // in lower case if it is an unquoted name
	isName bool
	quoted bool // the name is in double quotes
}

// tokenizer splits a statement into tokens.
type tokenizer struct {
	source []byte
	at     int // offset of the next byte
	tokens []token
}

// tokenize splits a statement into tokens. It omits comments and the contents of strings, as names
// in them don't refer to tables. An unterminated string or comment extends to the end of the
// statement.
func tokenize(statement []byte) []token {
	t := &tokenizer{source: statement}
	for t.at < len(t.source) {
		t.next()
	}
	return t.tokens
}

// next adds the next token, or skips a comment or a blank.
func (t *tokenizer) next() {
	c := t.source[t.at]
	switch {
	case c == '\'':
		t.skipQuoted('\'', t.hasEscapePrefix())
		t.add(token{text: stringPlaceholder})
	case c == '"':
		t.addQuotedName()
	case c == '-' && t.peek() == '-':
		t.skipWhile(func(c byte) bool { return c != '\n' })
	case c == '/' && t.peek() == '*':
		t.skipComment()
	case c == '$' && dollarTagLength(t.source[t.at:]) > 0:
		t.skipDollarQuoted()
		t.add(token{text: stringPlaceholder})
	case isLetter(c):
		from := t.at
		t.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
		t.add(token{text: strings.ToLower(string(t.source[from:t.at])), isName: true})
	case isDigit(c):
		t.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) || c == '.' })
		t.add(token{text: numberPlaceholder})
	default:
		t.at++
		if c > ' ' {
			t.add(token{text: string(rune(c))})
		}
	}
}

func (t *tokenizer) add(token token) { t.tokens = append(t.tokens, token) }

// peek returns the byte after the next one; 0 past the end.
func (t *tokenizer) peek() byte {
	if t.at+1 >= len(t.source) {
		return 0
	}
	return t.source[t.at+1]
}

// skipWhile skips bytes for which a condition holds.
func (t *tokenizer) skipWhile(holds func(byte) bool) {
	for t.at < len(t.source) && holds(t.source[t.at]) {
		t.at++
	}
}

// hasEscapePrefix reports whether the string that begins here is immediately preceded by an E, so
// that backslashes in it are escapes.
func (t *tokenizer) hasEscapePrefix() bool {
	if len(t.tokens) == 0 || t.at == 0 {
		return false
	}
	last := t.tokens[len(t.tokens)-1]
	return last.isName && last.text == "e" && t.source[t.at-1]|0x20 == 'e'
}

// addQuotedName adds a name in double quotes; a doubled quote in it stands for one.
func (t *tokenizer) addQuotedName() {
	from := t.at + 1
	t.skipQuoted('"', false)
	inner := string(t.source[from:max(from, t.at-1)])
	t.add(token{text: strings.ReplaceAll(inner, `""`, `"`), isName: true, quoted: true})
}

// skipQuoted skips a quoted string or name. A doubled quote in it does not end it, nor does a quote
// after a backslash if escapes is set.
func (t *tokenizer) skipQuoted(quote byte, escapes bool) {
	for t.at++; t.at < len(t.source); t.at++ {
		c := t.source[t.at]
		switch {
		case escapes && c == '\\':
			t.at++
		case c == quote && t.peek() == quote:
			t.at++
		case c == quote:
			t.at++
			return
		}
	}
	t.at = len(t.source) // an escape may have moved at past the end
}

// skipComment skips a block comment, which may contain others.
func (t *tokenizer) skipComment() {
	depth := 0
	for ; t.at < len(t.source); t.at++ {
		switch {
		case t.source[t.at] == '/' && t.peek() == '*':
			depth++
			t.at++
		case t.source[t.at] == '*' && t.peek() == '/':
			depth--
			t.at++
			if depth == 0 {
				t.at++
				return
			}
		}
	}
	t.at = len(t.source)
}

// skipDollarQuoted skips a dollar-quoted string, which is delimited by two tags such as $$ or
// $tag$.
func (t *tokenizer) skipDollarQuoted() {
	length := dollarTagLength(t.source[t.at:])
	tag := t.source[t.at : t.at+length]
	body := t.source[t.at+length:]
	end := bytes.Index(body, tag)
	if end < 0 {
		t.at = len(t.source)
		return
	}
	t.at += end + 2*length
}

// dollarTagLength returns the length of the tag that opens a dollar-quoted string; 0 if s does not
// begin with one.
func dollarTagLength(s []byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] == '$' {
			return i + 1
		}
		if !isLetter(s[i]) && (i == 1 || !isDigit(s[i])) {
			return 0
		}
	}
	return 0
}

func isLetter(c byte) bool { return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c >= 0x80 }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
