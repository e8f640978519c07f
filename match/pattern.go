package match

import "strings"

// pattern is a glob over bytes: * matches any number of bytes, including none, ? matches exactly
// one byte (so not a character of several bytes), and \ makes the next byte literal. Matching
// backtracks only to the last star, so it compares at most len(s) times len(pattern) bytes.
type pattern struct {
	source         string
	text           string // the pattern without its escapes
	isStar         []bool // by index in text
	isQuestionMark []bool // by index in text
}

func newPattern(source string) *pattern {
	p := &pattern{source: source}
	var text strings.Builder
	add := func(c byte, isStar, isQuestionMark bool) {
		text.WriteByte(c)
		p.isStar = append(p.isStar, isStar)
		p.isQuestionMark = append(p.isQuestionMark, isQuestionMark)
	}
	for i := 0; i < len(source); i++ {
		c := source[i]
		afterStar := len(p.isStar) > 0 && p.isStar[len(p.isStar)-1]
		switch {
		case c == '\\' && i+1 < len(source):
			i++
			add(source[i], false, false)
		case c == '*' && afterStar:
			// Adjacent stars are equivalent to one.
		default:
			add(c, c == '*', c == '?')
		}
	}
	p.text = text.String()
	return p
}

// matches reports whether the pattern matches all of s.
func (p *pattern) matches(s string) bool {
	at := 0        // in the pattern
	lastStar := -1 // in the pattern; -1: none so far
	starEnd := 0   // in s: end of the last star's match
	for i := 0; i < len(s); {
		switch {
		case at < len(p.text) && p.isStar[at]:
			lastStar = at
			starEnd = i
			at++
		case at < len(p.text) && (p.isQuestionMark[at] || p.text[at] == s[i]):
			at++
			i++
		case lastStar >= 0: // extends the last star's match by one byte
			starEnd++
			at = lastStar + 1
			i = starEnd
		default:
			return false
		}
	}
	for at < len(p.text) && p.isStar[at] {
		at++
	}
	return at == len(p.text)
}
