package match

import (
	"fmt"
	"strings"
)

// maxCaretBytes is the number of bytes of a line that are shown on each side of a position.
const maxCaretBytes = 120

// Error is an error in an expression, with its position.
type Error struct {
	Offset int // in bytes, from 0
	Reason string
	source string
}

// Error returns the line, the column and the reason.
func (e *Error) Error() string {
	line, column := e.Place()
	return fmt.Sprintf("%d:%d: %s", line, column, e.Reason)
}

// Place returns the line and the column, in bytes, from 1.
func (e *Error) Place() (line, column int) {
	before := e.source[:min(e.Offset, len(e.source))]
	return strings.Count(before, "\n") + 1, len(before) - strings.LastIndexByte(before, '\n')
}

// Caret returns the line of the expression with the error, and below it a caret at the position.
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
