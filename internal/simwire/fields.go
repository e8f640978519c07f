package simwire

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// absent stands for a field without a value.
	absent = "-"
	// maxIndex is the largest number of a controller, an attempt or a state.
	maxIndex = 1 << 31
	// maxFloat is the largest magnitude of a number with a fraction.
	maxFloat = 1e300
)

// FieldError is the error of a malformed line.
type FieldError struct {
	Line  int // counted from 1
	Field string
	Why   string
}

// Error returns the line, the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Why)
}

// fields parses the fields of a line in order and keeps the first error.
type fields struct {
	unread []string // fields that were not parsed yet
	line   int      // counted from 1
	err    error    // the first error; nil: none
}

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = &FieldError{f.line, name, why}
	}
}

// text returns the next field; empty if it has no value.
func (f *fields) text(name string) string {
	if len(f.unread) == 0 {
		f.fail(name, "is missing")
		return ""
	}
	part := f.unread[0]
	f.unread = f.unread[1:]
	if part == absent {
		return ""
	}
	return part
}

// required returns the next field, which must have a value.
func (f *fields) required(name string) string {
	s := f.text(name)
	if s == "" {
		f.fail(name, "has no value")
	}
	return s
}

// int parses an integer; 0 without a value.
func (f *fields) int(name string) int64 {
	s := f.text(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(name, fmt.Sprintf("%q is not an integer", s))
	}
	return n
}

// natural parses an integer from 0 to maximum. The field must have a value.
func (f *fields) natural(name string, maximum int64) int64 {
	s := f.required(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maximum {
		f.fail(name, fmt.Sprintf("%q is not an integer from 0 to %d", s, maximum))
	}
	return n
}

func (f *fields) controller() Controller { return Controller(f.natural("controller", maxIndex)) }
func (f *fields) id() uint32             { return uint32(f.natural("msg_id", 1<<32-1)) }
func (f *fields) attempt() int           { return int(f.natural("go", maxIndex)) }

// time parses a time in ns, which must not be negative; 0 without a value.
func (f *fields) time(name string) int64 {
	n := f.int(name)
	if n < 0 {
		f.fail(name, "is negative")
	}
	return n
}

// float parses a number of at most maxFloat in magnitude; 0 without a value.
func (f *fields) float(name string) float64 {
	s := f.text(name)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > maxFloat || x < -maxFloat {
		f.fail(name, fmt.Sprintf("%q is not a number from -1e300 to 1e300", s))
	}
	return x
}

// bool parses 0 or 1; false without a value.
func (f *fields) bool(name string) bool {
	s := f.text(name)
	if s != "" && s != "0" && s != "1" {
		f.fail(name, fmt.Sprintf("%q is neither 0 nor 1", s))
	}
	return s == "1"
}

// floats parses numbers separated by commas; nil without a value.
func (f *fields) floats(name string) []float64 {
	s := f.text(name)
	if s == "" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(s, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || x != x {
			f.fail(name, fmt.Sprintf("%q is not a list of numbers", s))
		}
		row = append(row, x)
	}
	return row
}

// options parses all remaining fields as key=value.
func (f *fields) options() Options {
	o := make(Options, len(f.unread))
	for _, pair := range f.unread {
		name, value, found := strings.Cut(pair, "=")
		if !found {
			f.fail("options", fmt.Sprintf("%q has no =", pair))
		}
		o[name] = value
	}
	return o
}
