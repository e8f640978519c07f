// Package enginewire parses and writes the lines that controllers and engines exchange. It has no
// state and does no I/O beyond a bufio.Reader.
//
// A request is a line. The line that starts an attempt is followed by the statement and a line end.
// An answer is a line ID WORD FIELDS LENGTH, a body of LENGTH bytes, and a line end. Lines end in
// CR LF. An answer is taken from its reader's buffer only when it is whole, so that a read that is
// ended early can go on later.
//
// The words on the wire are mapped to the glossary's terms here alone, by the tables in answer.go
// and request.go.
package enginewire
