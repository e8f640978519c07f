package pgwire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Names of the fields on the wire, as clients write them into the comment ahead of a statement.
const (
	FieldClassName         = "verb"
	fieldID                = "txn"
	FieldTenant            = "team"
	FieldIdempotencyKey    = "unique"
	fieldOrderingKey       = "item"
	fieldTimeout           = "limit"  // ms
	fieldEstimatedWork     = "cpu"    // ms
	fieldEstimatedMemoryMB = "est_mb" // MB

	// Errors name these as fields too.

	fieldComment   = "comment"
	FieldStatement = "statement"
)

const (
	// maxMilliseconds is the largest time in a field, over eleven days.
	maxMilliseconds = 1e9
	// maxMegabytes is the largest size in a field, ten terabytes.
	maxMegabytes = 1e7
	// maxLabels is how many labels of a query are kept.
	maxLabels = 16
	// maxLabelBytes is the length of the longest name or value of a label; longer ones are dropped.
	maxLabelBytes = 128
	// maxWordBytes is the length of the longest value that goes on to engines.
	maxWordBytes = 128
	// idDigits is the length of a query's id, in hexadecimal digits.
	idDigits = 16
)

// whitespace may stand around the comment and the statement.
const whitespace = " \t\r\n"

// FieldError says that a field of a query can't be used.
type FieldError struct {
	Field   string // its name on the wire
	Why     string
	Missing bool // the field is not there
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Why) }

func invalid(field, why string) *FieldError { return &FieldError{Field: field, Why: why} }
func missing(field, why string) *FieldError {
	return &FieldError{Field: field, Why: why, Missing: true}
}

// Fields are the fields in the comment ahead of a statement. Absent numbers are 0, texts are empty.
type Fields struct {
	ClassName         string
	ID                string
	Tenant            string
	IdempotencyKey    string
	OrderingKey       string
	TimeoutMS         float64 // the client's
	EstimatedWorkMS   float64 // on one thread
	EstimatedMemoryMB float64
	Statement         []byte  // what follows the comment, in the query's bytes
	Labels            []Label // in their order
}

// Label is a field with a name that the protocol does not know. Operators' rules may read it.
type Label struct{ Name, Value string }

// ParseQuery reads a query's fields from the comment that it begins with, or returns a *FieldError.
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

// set reads one field. A field with an unknown name becomes a label, so that a client may be newer
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

// checkWord checks that a value can go on in an engine's list of fields.
func checkWord(name, value string, mayBeEmpty bool) error {
	isSeparator := func(c rune) bool { return c <= ' ' || c >= 0x7f || c == ',' || c == '=' }
	if len(value) > maxWordBytes || strings.IndexFunc(value, isSeparator) >= 0 ||
		value == "" && !mayBeEmpty {
		return invalid(name, "is no word")
	}
	return nil
}

// parseNumber reads a number from 0 to a bound.
func parseNumber(name, value string, maximum float64) (float64, error) {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > maximum {
		return 0, invalid(name, fmt.Sprintf("%.40q is no number from 0 to %g", value, maximum))
	}
	return x, nil
}
