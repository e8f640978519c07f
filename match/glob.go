package match

import "strings"

// pattern is a glob: * stands for any bytes, ? for one, \ takes what follows as it is. Matching goes back to the last
// star alone, so it costs a text's length times the pattern's at the most.
type pattern struct {
	source string
	text   string
	any    []bool // at each byte: it is a star
	one    []bool // it is a question mark
}

func newPattern(source string) *pattern {
	p := &pattern{source: source}
	var b strings.Builder
	add := func(c byte, star, question bool) {
		b.WriteByte(c)
		p.any, p.one = append(p.any, star), append(p.one, question)
	}
	for i := 0; i < len(source); i++ {
		switch c := source[i]; {
		case c == '\\' && i+1 < len(source):
			i++
			add(source[i], false, false)
		case c == '*' && len(p.any) > 0 && p.any[len(p.any)-1]: // two stars are one
		default:
			add(c, c == '*', c == '?')
		}
	}
	p.text = b.String()
	return p
}

func (p *pattern) matches(s string) bool {
	at, star, from := 0, -1, 0
	for i := 0; i < len(s); {
		switch {
		case at < len(p.text) && p.any[at]:
			star, from = at, i
			at++
		case at < len(p.text) && (p.one[at] || p.text[at] == s[i]):
			at++
			i++
		case star >= 0:
			from++
			at, i = star+1, from
		default:
			return false
		}
	}
	for at < len(p.text) && p.any[at] {
		at++
	}
	return at == len(p.text)
}
