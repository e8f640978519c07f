package match

import (
	"fmt"
	"strings"
)

// maxCaretBytes is how many bytes of a line are shown before a place, and after it.
const maxCaretBytes = 120

// Error is what is wrong with an expression.
type Error struct {
	Offset int // in bytes, from 0
	Reason string
	source string
}

// Error has the line, the column and the reason.
func (e *Error) Error() string {
	line, column := e.Place()
	return fmt.Sprintf("%d:%d: %s", line, column, e.Reason)
}

// Place returns the line and the column, in bytes, from 1.
func (e *Error) Place() (line, column int) {
	before := e.source[:min(e.Offset, len(e.source))]
	return strings.Count(before, "\n") + 1, len(before) - strings.LastIndexByte(before, '\n')
}

// Caret returns the line of the expression, and below it a mark under the place.
func (e *Error) Caret() string {
	at := min(e.Offset, len(e.source))
	from := strings.LastIndexByte(e.source[:at], '\n') + 1
	to := len(e.source)
	if n := strings.IndexByte(e.source[at:], '\n'); n >= 0 {
		to = at + n
	}
	from = max(from, at-maxCaretBytes)
	to = min(to, at+maxCaretBytes)
	indent := make([]byte, at-from)
	for i := range indent {
		indent[i] = ' '
		if e.source[from+i] == '\t' {
			indent[i] = '\t'
		}
	}
	return strings.ToValidUTF8(e.source[from:to], "?") + "\n" + string(indent) + "^"
}
