// Package enginewire parses and writes the lines that controllers and engines speak. An answer is taken from its
// reader's buffer only when it is whole, so that a read that is broken off can go on later.
package enginewire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrMalformed is what no engine says.
var ErrMalformed = errors.New("malformed answer")

// Word is what an answer says.
type Word int

// What an answer says, of an attempt but for Ready.
const (
	OK    Word = iota // page 0, and the number of all pages
	Full              // it never ran
	Error             // it may have run
	Stale             // it was over already, and never ran
	Ready             // of a ping
	Note              // word of a send that is not yet over
	Page              // a further page
)

var words = map[string]Word{"ACK": OK, "AGAIN": Full, "EIO": Error, "STALE": Stale, "READY": Ready, "EVENT": Note,
	"BLOCK": Page}

// Answer is one answer. Its bytes are good until the reader is used again.
type Answer struct {
	ID     []byte
	Word   Word
	Parts  int // with OK: pages in all
	PartNo int // with Page
	Remark []byte
	Value  float64
	Report []byte // load report, as name:value;name:value; nil: none
	Body   []byte
}

// Peek parses the next answer without taking it; size is what to discard.
func Peek(r *bufio.Reader, lineMost, bodyMost int) (a Answer, size int, err error) {
	line, err := peekLine(r, lineMost)
	if err != nil {
		return a, 0, err
	}
	length, err := a.head(line[:len(line)-2])
	if err != nil {
		return a, 0, err
	}
	if length > bodyMost {
		return a, 0, fmt.Errorf("%w: length %d", ErrMalformed, length)
	}
	size = len(line) + length + 2
	if size > r.Size() {
		return a, 0, fmt.Errorf("%w: length %d", ErrMalformed, length)
	}
	all, err := r.Peek(size)
	if err != nil {
		return a, 0, err
	}
	if all[size-2] != '\r' || all[size-1] != '\n' {
		return a, 0, fmt.Errorf("%w: no line end after the body", ErrMalformed)
	}
	_, err = a.head(all[:len(line)-2]) // the buffer may have moved
	a.Body = all[len(line) : size-2]
	return a, size, err
}

// peekLine waits for a whole line, its end included.
func peekLine(r *bufio.Reader, most int) ([]byte, error) {
	for need := 1; ; {
		if _, err := r.Peek(need); err != nil {
			return nil, err
		}
		have, _ := r.Peek(r.Buffered())
		if at := bytes.IndexByte(have, '\n'); at >= 0 && at < most {
			if at == 0 || have[at-1] != '\r' {
				return nil, fmt.Errorf("%w: line without CR", ErrMalformed)
			}
			return have[:at+1], nil
		}
		if need = len(have) + 1; need > most {
			return nil, fmt.Errorf("%w: line too long", ErrMalformed)
		}
	}
}

// head parses ID WORD FIELDS LENGTH in place.
func (a *Answer) head(line []byte) (length int, err error) {
	*a = Answer{}
	id, rest, ok1 := bytes.Cut(line, []byte{' '})
	word, rest, ok2 := bytes.Cut(rest, []byte{' '})
	fields, last, ok3 := bytes.Cut(rest, []byte{' '})
	kind, known := words[string(word)]
	if !ok1 || !ok2 || !ok3 || !known || len(id) == 0 {
		return 0, fmt.Errorf("%w: head %.60q", ErrMalformed, line)
	}
	a.ID, a.Word = id, kind
	if length, err = natural(last); err != nil {
		return 0, err
	}
	if len(fields) == 1 && fields[0] == '-' {
		fields = nil
	}
	for len(fields) > 0 && err == nil {
		var pair []byte
		pair, fields, _ = bytes.Cut(fields, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found {
			return 0, fmt.Errorf("%w: field %.40q", ErrMalformed, pair)
		}
		switch string(name) {
		case "parts":
			a.Parts, err = natural(value)
		case "part_no":
			a.PartNo, err = natural(value)
		case "remark":
			a.Remark = value
		case "value":
			a.Value, err = number(value)
		case "report":
			a.Report = value
		}
	}
	return length, err
}

func natural(text []byte) (int, error) {
	n, err := strconv.ParseUint(string(text), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: %.40q is no whole number", ErrMalformed, text)
	}
	return int(n), nil
}

func number(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%w: %.40q is no number", ErrMalformed, text)
	}
	return x, nil
}

// columns of a row.
const columns = 3

// Whole tells that a page holds whole rows, each of which is its columns set apart by tabs, and a line feed.
func Whole(page []byte) bool {
	for len(page) > 0 {
		row, rest, ended := bytes.Cut(page, []byte{'\n'})
		if !ended || bytes.Count(row, []byte{'\t'}) != columns-1 {
			return false
		}
		page = rest
	}
	return true
}

// Report hands the values of a load report to set.
func Report(report []byte, set func(name string, x float64)) error {
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{';'})
		name, value, found := bytes.Cut(pair, []byte{':'})
		x, err := number(value)
		if !found || err != nil {
			return fmt.Errorf("%w: report %.40q", ErrMalformed, pair)
		}
		set(string(name), x)
	}
	return nil
}

// AppendDo writes the head of a send; the statement and a line end follow it.
func AppendDo(b []byte, id, profile string, maxMS int64, replay string, length int) []byte {
	b = append(append(b, "do "...), id...)
	b = append(append(b, " profile="...), profile...)
	b = strconv.AppendInt(append(b, ",max="...), maxMS, 10)
	if replay != "" {
		b = append(append(b, ",replay="...), replay...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(length), 10)
	return append(b, "\r\n"...)
}

// AppendUndo gives a send up.
func AppendUndo(b []byte, id string) []byte { return line(b, "undo ", id) }

// AppendForget tells that no more pages are wanted.
func AppendForget(b []byte, id string) []byte { return line(b, "forget ", id) }

// AppendPing asks whether the connection works.
func AppendPing(b []byte, tag string) []byte { return line(b, "ping ", tag) }

// AppendPage asks for a page.
func AppendPage(b []byte, id string, n int) []byte {
	b = append(append(append(b, "page "...), id...), ' ')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}

func line(b []byte, word, id string) []byte {
	return append(append(append(b, word...), id...), "\r\n"...)
}
