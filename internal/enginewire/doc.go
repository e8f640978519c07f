// Package enginewire parses answers of engines and writes requests to engines. It has no state and
// does no I/O except through a bufio.Reader.
//
// A request is a line. The line that starts an attempt is followed by the statement and CR LF. An
// answer is a line ID WORD FIELDS LENGTH, a body of LENGTH bytes, and CR LF. Lines end in CR LF. An
// answer is returned only when the reader's buffer holds all of it, so an interrupted read can be
// repeated without loss.
//
// This package alone maps the words on the wire to the terms of the glossary, in answer.go and
// request.go.
package enginewire
