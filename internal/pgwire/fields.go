package pgwire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Names of the fields on the wire, as clients write them into the comment before a statement.
const (
	FieldClassName         = "verb"
	fieldID                = "txn"
	FieldTenant            = "team"
	FieldIdempotencyKey    = "unique"
	fieldOrderingKey       = "item"
	fieldTimeout           = "limit"  // ms
	fieldEstimatedWork     = "cpu"    // ms
	fieldEstimatedMemoryMB = "est_mb" // MB

	// Used in errors only:

	fieldComment   = "comment"
	FieldStatement = "statement"
)

const (
	// maxMilliseconds is the largest value of a field in ms, over eleven days.
	maxMilliseconds = 1e9
	// maxMegabytes is the largest value of a field in MB, ten terabytes.
	maxMegabytes = 1e7
	// maxLabels is the number of labels of a query that are kept.
	maxLabels = 16
	// maxLabelBytes bounds the name and the value of a label; a label that exceeds it is dropped.
	maxLabelBytes = 128
	// maxWordBytes bounds a value that is forwarded to engines.
	maxWordBytes = 128
	// idDigits is the number of hexadecimal digits of a query's id.
	idDigits = 16
)

// whitespace may surround the comment and the statement.
const whitespace = " \t\r\n"

// FieldError is the error of a query with an invalid or missing field.
type FieldError struct {
	Field   string // name on the wire
	Why     string
	Missing bool // the field is missing
}

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Why) }

func invalid(field, why string) *FieldError { return &FieldError{Field: field, Why: why} }
func missing(field, why string) *FieldError {
	return &FieldError{Field: field, Why: why, Missing: true}
}

// Fields are the fields in the comment before a statement. Absent numbers are 0, absent texts
// empty.
type Fields struct {
	ClassName         string
	ID                string
	Tenant            string
	IdempotencyKey    string
	OrderingKey       string
	TimeoutMS         float64 // the client's timeout
	EstimatedWorkMS   float64 // on one thread
	EstimatedMemoryMB float64
	Statement         []byte  // the text after the comment, a slice of the query
	Labels            []Label // in the order of the comment
}

// Label is a field whose name the protocol does not define. Operators' rules may read it.
type Label struct{ Name, Value string }

// ParseQuery parses the fields in the comment at the beginning of a query. Its error is a
// *FieldError.
func ParseQuery(query []byte) (Fields, error) {
	rest := bytes.TrimLeft(query, whitespace)
	if !bytes.HasPrefix(rest, []byte("/*")) {
		return Fields{}, missing(fieldComment, "the query does not begin with its fields")
	}
	comment, statement, closed := bytes.Cut(rest[2:], []byte("*/"))
	if !closed {
		return Fields{}, invalid(fieldComment, "has no end")
	}
	f := Fields{Statement: bytes.TrimLeft(statement, whitespace)}
	if len(bytes.TrimRight(f.Statement, whitespace+";")) == 0 {
		return f, missing(FieldStatement, "is empty")
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(strings.TrimSpace(string(comment)), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || seen[name] {
			return f, invalid(fieldComment, fmt.Sprintf("%q is no field of its own", pair))
		}
		seen[name] = true
		if err := f.set(name, value); err != nil {
			return f, err
		}
	}
	switch {
	case f.ClassName == "":
		return f, missing(FieldClassName, "is missing")
	case f.ID == "":
		return f, missing(fieldID, "is missing")
	case !seen[fieldTimeout]:
		return f, missing(fieldTimeout, "is missing")
	}
	return f, nil
}

// set parses one field. A field with an unknown name becomes a label, so that a client may be newer
// than its gateway.
func (f *Fields) set(name, value string) (err error) {
	switch name {
	case FieldClassName:
		f.ClassName = value
		err = checkWord(name, value, true)
	case fieldID:
		f.ID = value
		if len(value) != idDigits || strings.Trim(value, "0123456789abcdefABCDEF") != "" {
			err = invalid(name, "is not of 16 hex digits")
		}
	case FieldTenant:
		f.Tenant = value
	case FieldIdempotencyKey:
		f.IdempotencyKey = value
		err = checkWord(name, value, false)
	case fieldOrderingKey:
		f.OrderingKey = value
		err = checkWord(name, value, true)
	case fieldTimeout:
		f.TimeoutMS, err = parseNumber(name, value, maxMilliseconds)
	case fieldEstimatedWork:
		f.EstimatedWorkMS, err = parseNumber(name, value, maxMilliseconds)
	case fieldEstimatedMemoryMB:
		f.EstimatedMemoryMB, err = parseNumber(name, value, maxMegabytes)
	default:
		if len(f.Labels) < maxLabels && len(name) <= maxLabelBytes && len(value) <= maxLabelBytes {
			f.Labels = append(f.Labels, Label{Name: name, Value: value})
		}
	}
	return err
}

// checkWord checks that a value can be forwarded in the list of fields of a request to an engine:
// it must not contain a separator of that list, a blank, a control character or one outside ASCII.
func checkWord(name, value string, mayBeEmpty bool) error {
	isSeparator := func(c rune) bool { return c <= ' ' || c >= 0x7f || c == ',' || c == '=' }
	if len(value) > maxWordBytes || strings.IndexFunc(value, isSeparator) >= 0 ||
		value == "" && !mayBeEmpty {
		return invalid(name, "is no word")
	}
	return nil
}

// parseNumber parses a number from 0 to maximum.
func parseNumber(name, value string, maximum float64) (float64, error) {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > maximum {
		return 0, invalid(name, fmt.Sprintf("%.40q is no number from 0 to %g", value, maximum))
	}
	return x, nil
}
