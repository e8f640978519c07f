package main

import (
	"fmt"
	"strings"

	"mintkeel/internal/operator"
)

// maxReportedProblems bounds the problems in one message; mintkeel check prints all.
const maxReportedProblems = 16

// documentError is the error of a document that can't be used, formatted in one line for logs and
// for other controllers.
type documentError struct{ err error }

func (e *documentError) Error() string {
	var texts []string
	problems := operator.Problems(e.err)
	for i, p := range problems {
		if i == maxReportedProblems {
			texts = append(texts, fmt.Sprintf("%d more", len(problems)-i))
			break
		}
		text := p.Why
		if p.Field != "" {
			text = "field " + p.Field + " " + text
		}
		if p.Line > 0 {
			text = fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, text)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

func (e *documentError) Unwrap() error { return e.err }
