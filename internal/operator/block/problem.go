package block

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File   string
	Line   int    // from 1; 0: the file as a whole
	Column int    // from 1; 0: the file as a whole
	Field  string // as block.field; empty for a problem of the syntax
	Why    string
}

// Error returns file:line:column, field and reason.
func (p Problem) Error() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d:%d", p.Line, p.Column)
	}
	if p.Field != "" {
		text += ": field " + p.Field
	}
	return text + ": " + p.Why
}

// Problems are all problems of a file, ordered by position.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
