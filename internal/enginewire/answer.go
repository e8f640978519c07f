package enginewire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrMalformed is wrapped by all errors about malformed answers.
var ErrMalformed = errors.New("malformed answer")

// lineEnd terminates a line, and the body of an answer.
const lineEnd = "\r\n"

// Kind is the kind of an answer. Every kind except Pong concerns the attempt of a query.
type Kind int

const (
	// FirstPage carries page 0 of the result and the number of pages.
	FirstPage Kind = iota
	// EngineFull means that the engine has no capacity: it did not run the attempt.
	EngineFull
	// Failed means that the attempt failed; it may have taken effect.
	Failed
	// AlreadyEnded means that the attempt's time was over on arrival: the engine did not run it.
	AlreadyEnded
	// Pong answers a ping.
	Pong
	// Progress reports on an attempt that is running.
	Progress
	// FurtherPage carries a page that was requested.
	FurtherPage
)

// kinds maps the words of answers on the wire to their kinds.
var kinds = map[string]Kind{
	"ACK":   FirstPage,
	"AGAIN": EngineFull,
	"EIO":   Failed,
	"STALE": AlreadyEnded,
	"READY": Pong,
	"EVENT": Progress,
	"BLOCK": FurtherPage,
}

// Names of an answer's fields on the wire. Other fields are ignored, as an engine may be newer than
// its controller.
const (
	fieldPageCount  = "parts"
	fieldPageNumber = "part_no"
	fieldRemark     = "remark"
	fieldValue      = "value"
	fieldLoadReport = "report"
)

// Answer is a parsed answer. Its byte slices are valid until the next call on the reader.
type Answer struct {
	ID         []byte // the query's id; for Pong the ping's tag
	Kind       Kind
	PageCount  int     // of FirstPage: number of pages in the result
	PageNumber int     // of FurtherPage
	Remark     []byte  // of Progress: what Value measures; empty: nothing
	Value      float64 // of Progress
	LoadReport []byte  // for ParseLoadReport; nil: none
	Body       []byte  // the rows of a page
}

// PeekAnswer parses the next answer without consuming it; size is the number of bytes to discard
// afterwards. An answer that exceeds a limit or the reader's buffer is malformed.
func PeekAnswer(r *bufio.Reader, maxLineBytes, maxBodyBytes int) (a Answer, size int, err error) {
	line, err := peekLine(r, maxLineBytes)
	if err != nil {
		return Answer{}, 0, err
	}
	lineBytes := len(line)
	bodyBytes, err := a.parseLine(line[:lineBytes-len(lineEnd)])
	if err != nil {
		return a, 0, err
	}
	size = lineBytes + bodyBytes + len(lineEnd)
	if bodyBytes > maxBodyBytes || size > r.Size() {
		return a, 0, fmt.Errorf("%w: body of %d bytes is too long", ErrMalformed, bodyBytes)
	}
	all, err := r.Peek(size)
	if err != nil {
		return a, 0, err
	}
	if string(all[size-len(lineEnd):]) != lineEnd {
		return a, 0, fmt.Errorf("%w: no line end after the body", ErrMalformed)
	}
	// Again, as the second Peek may have moved the content of the buffer.
	_, err = a.parseLine(all[:lineBytes-len(lineEnd)])
	a.Body = all[lineBytes : size-len(lineEnd)]
	return a, size, err
}

// peekLine waits for a complete line and returns it with its terminator.
func peekLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	need := 1
	for {
		if _, err := r.Peek(need); err != nil {
			return nil, err
		}
		have, _ := r.Peek(r.Buffered())
		if at := bytes.IndexByte(have, '\n'); at >= 0 && at < maxBytes {
			if at == 0 || have[at-1] != '\r' {
				return nil, fmt.Errorf("%w: line without CR", ErrMalformed)
			}
			return have[:at+1], nil
		}
		need = len(have) + 1
		if need > maxBytes {
			return nil, fmt.Errorf("%w: line too long", ErrMalformed)
		}
	}
}

// parseLine parses a line ID WORD FIELDS LENGTH into a, whose slices point into the line, and
// returns the length of the body.
func (a *Answer) parseLine(line []byte) (bodyBytes int, err error) {
	*a = Answer{}
	id, rest, ok1 := bytes.Cut(line, []byte{' '})
	word, rest, ok2 := bytes.Cut(rest, []byte{' '})
	fields, length, ok3 := bytes.Cut(rest, []byte{' '})
	kind, known := kinds[string(word)]
	if !ok1 || !ok2 || !ok3 || !known || len(id) == 0 {
		return 0, fmt.Errorf("%w: invalid line %.60q", ErrMalformed, line)
	}
	a.ID = id
	a.Kind = kind
	bodyBytes, err = parseNatural(length)
	if err != nil {
		return 0, err
	}
	return bodyBytes, a.parseFields(fields)
}

// parseFields parses name=value,name=value or, for no fields, "-".
func (a *Answer) parseFields(fields []byte) (err error) {
	if len(fields) == 1 && fields[0] == '-' {
		return nil
	}
	for len(fields) > 0 && err == nil {
		var pair []byte
		pair, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found {
			return fmt.Errorf("%w: field %.40q has no value", ErrMalformed, pair)
		}
		switch string(name) {
		case fieldPageCount:
			a.PageCount, err = parseNatural(value)
		case fieldPageNumber:
			a.PageNumber, err = parseNatural(value)
		case fieldRemark:
			a.Remark = value
		case fieldValue:
			a.Value, err = parseNumber(value)
		case fieldLoadReport:
			a.LoadReport = value
		}
	}
	return err
}

// parseNatural parses an integer from 0 to the maximum of 31 bits.
func parseNatural(text []byte) (int, error) {
	n, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: %.40q is not an integer from 0 to 2147483647", ErrMalformed, text)
	}
	return int(n), nil
}

// parseNumber parses a finite number.
func parseNumber(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%w: %.40q is not a finite number", ErrMalformed, text)
	}
	return x, nil
}

// columns is the number of columns in a row.
const columns = 3

// WholeRows reports whether a page consists of complete rows. Tabs separate the columns of a row,
// and a line feed terminates it.
func WholeRows(page []byte) bool {
	for len(page) > 0 {
		row, rest, ended := bytes.Cut(page, []byte{'\n'})
		if !ended || bytes.Count(row, []byte{'\t'}) != columns-1 {
			return false
		}
		page = rest
	}
	return true
}

// ParseLoadReport parses a load report, name:value;name:value, and calls set for each value.
func ParseLoadReport(report []byte, set func(name string, x float64)) error {
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{';'})
		name, value, found := bytes.Cut(pair, []byte{':'})
		x, err := parseNumber(value)
		if !found || err != nil {
			return fmt.Errorf("%w: invalid load report value %.40q", ErrMalformed, pair)
		}
		set(string(name), x)
	}
	return nil
}
