package enginewire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrMalformed is wrapped by the errors of malformed answers.
var ErrMalformed = errors.New("malformed answer")

// lineEnd ends a line, and the body of an answer.
const lineEnd = "\r\n"

// Kind is the kind of an answer. All but Pong are about the attempt of a query.
type Kind int

const (
	// FirstPage has page 0 of the result, and the number of its pages.
	FirstPage Kind = iota
	// EngineFull says that the engine has no capacity: the attempt did not run.
	EngineFull
	// Failed says that the attempt failed; it may have had its effect.
	Failed
	// AlreadyEnded says that the attempt's time was over when it came: it did not run.
	AlreadyEnded
	// Pong answers a ping.
	Pong
	// Progress is a message of an attempt that is running.
	Progress
	// FurtherPage has a page that was asked for.
	FurtherPage
)

// kinds are the words of answers on the wire.
var kinds = map[string]Kind{
	"ACK":   FirstPage,
	"AGAIN": EngineFull,
	"EIO":   Failed,
	"STALE": AlreadyEnded,
	"READY": Pong,
	"EVENT": Progress,
	"BLOCK": FurtherPage,
}

// Fields of answers on the wire. Others are ignored, as an engine may be newer than its controller.
const (
	fieldPageCount  = "parts"
	fieldPageNumber = "part_no"
	fieldRemark     = "remark"
	fieldValue      = "value"
	fieldLoadReport = "report"
)

// Answer is one answer. Its bytes are good until the reader is used again.
type Answer struct {
	ID         []byte // of the query; of Pong: the ping's tag
	Kind       Kind
	PageCount  int     // of FirstPage: pages in all
	PageNumber int     // of FurtherPage
	Remark     []byte  // of Progress: what it is about; empty: nothing
	Value      float64 // of Progress
	LoadReport []byte  // see ParseLoadReport; nil: none
	Body       []byte  // of a page: its rows
}

// PeekAnswer parses the next answer without taking it; size is the number of bytes to discard
// afterwards. An answer that exceeds a bound or the reader's buffer is malformed.
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
		return a, 0, fmt.Errorf("%w: length %d", ErrMalformed, bodyBytes)
	}
	all, err := r.Peek(size)
	if err != nil {
		return a, 0, err
	}
	if string(all[size-len(lineEnd):]) != lineEnd {
		return a, 0, fmt.Errorf("%w: no line end after the body", ErrMalformed)
	}
	_, err = a.parseLine(all[:lineBytes-len(lineEnd)]) // again, as the buffer may have moved
	a.Body = all[lineBytes : size-len(lineEnd)]
	return a, size, err
}

// peekLine waits for a whole line and returns it with its end.
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

// parseLine reads ID WORD FIELDS LENGTH, in place, and returns the length of the body.
func (a *Answer) parseLine(line []byte) (bodyBytes int, err error) {
	*a = Answer{}
	id, rest, ok1 := bytes.Cut(line, []byte{' '})
	word, rest, ok2 := bytes.Cut(rest, []byte{' '})
	fields, length, ok3 := bytes.Cut(rest, []byte{' '})
	kind, known := kinds[string(word)]
	if !ok1 || !ok2 || !ok3 || !known || len(id) == 0 {
		return 0, fmt.Errorf("%w: head %.60q", ErrMalformed, line)
	}
	a.ID = id
	a.Kind = kind
	bodyBytes, err = parseNatural(length)
	if err != nil {
		return 0, err
	}
	return bodyBytes, a.parseFields(fields)
}

// parseFields reads name=value,name=value, or "-" for none.
func (a *Answer) parseFields(fields []byte) (err error) {
	if len(fields) == 1 && fields[0] == '-' {
		return nil
	}
	for len(fields) > 0 && err == nil {
		var pair []byte
		pair, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found {
			return fmt.Errorf("%w: field %.40q", ErrMalformed, pair)
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

// parseNatural reads a whole number from 0 that fits 31 bits.
func parseNatural(text []byte) (int, error) {
	n, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: %.40q is no whole number", ErrMalformed, text)
	}
	return int(n), nil
}

// parseNumber reads a finite number.
func parseNumber(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%w: %.40q is no number", ErrMalformed, text)
	}
	return x, nil
}

// columns is the number of a row's columns.
const columns = 3

// WholeRows reports whether a page holds whole rows. Tabs separate a row's columns, and a line feed
// ends it.
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

// ParseLoadReport hands the values of a load report, which is name:value;name:value, to set.
func ParseLoadReport(report []byte, set func(name string, x float64)) error {
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{';'})
		name, value, found := bytes.Cut(pair, []byte{':'})
		x, err := parseNumber(value)
		if !found || err != nil {
			return fmt.Errorf("%w: report %.40q", ErrMalformed, pair)
		}
		set(string(name), x)
	}
	return nil
}
