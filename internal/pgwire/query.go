package pgwire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// FieldError names the field of a query that can't be used; Missing tells that it isn't there.
type FieldError struct {
	Field, Why string
	Missing    bool
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Why) }

// Fields are what stands in the comment ahead of a statement. Numbers that are absent are 0.
type Fields struct {
	Verb, ID, Team, Unique, Item string
	LimitMS, CPU, EstMB          float64
	Statement                    []byte // what follows the comment, in the query's bytes
	Labels                       []Label
}

// Label is a field of a name that the protocol does not know. Operators' rules may read it.
type Label struct{ Name, Text string }

// mostLabels of a query are kept, of so many bytes each.
const mostLabels, mostLabel = 16, 128

// ParseQuery takes a query's fields from the comment that it begins with.
func ParseQuery(query []byte) (Fields, error) {
	var f Fields
	rest := bytes.TrimLeft(query, " \t\r\n")
	if !bytes.HasPrefix(rest, []byte("/*")) {
		return f, &FieldError{"comment", "the query does not begin with its fields", true}
	}
	list, statement, closed := bytes.Cut(rest[2:], []byte("*/"))
	if !closed {
		return f, &FieldError{"comment", "has no end", false}
	}
	f.Statement = bytes.TrimLeft(statement, " \t\r\n")
	if len(bytes.TrimRight(f.Statement, " \t\r\n;")) == 0 {
		return f, &FieldError{"statement", "is empty", true}
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(strings.TrimSpace(string(list)), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || seen[name] {
			return f, &FieldError{"comment", fmt.Sprintf("%q is no field of its own", pair), false}
		}
		seen[name] = true
		if err := f.set(name, value); err != nil {
			return f, err
		}
	}
	for _, need := range []struct{ name, value string }{{"verb", f.Verb}, {"txn", f.ID}} {
		if need.value == "" {
			return f, &FieldError{need.name, "is missing", true}
		}
	}
	if !seen["limit"] {
		return f, &FieldError{"limit", "is missing", true}
	}
	return f, nil
}

// set files one field. Names that aren't known are passed over, so that a client may be newer than its gateway.
func (f *Fields) set(name, value string) (err error) {
	switch name {
	case "verb":
		if f.Verb = value; !plain(value) {
			err = &FieldError{name, "is no word", false}
		}
	case "txn":
		if f.ID = value; len(value) != 16 || strings.Trim(value, "0123456789abcdefABCDEF") != "" {
			err = &FieldError{name, "is not of 16 hex digits", false}
		}
	case "team":
		f.Team = value
	case "unique":
		f.Unique = value
		if value == "" || !plain(value) {
			err = &FieldError{name, "is no word", false}
		}
	case "item":
		f.Item = value
		if value != "" && !plain(value) {
			err = &FieldError{name, "is no word", false}
		}
	case "limit":
		f.LimitMS, err = number(name, value, mostMS)
	case "cpu":
		f.CPU, err = number(name, value, mostMS)
	case "est_mb":
		f.EstMB, err = number(name, value, mostMB)
	default:
		if len(f.Labels) < mostLabels && len(name) <= mostLabel && len(value) <= mostLabel {
			f.Labels = append(f.Labels, Label{name, value})
		}
	}
	return err
}

// plain tells that a value can go on in an engine's list of fields.
func plain(value string) bool {
	return len(value) <= 128 && strings.IndexFunc(value, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || c == ',' || c == '='
	}) < 0
}

const mostMS, mostMB = 1e9, 1e7 // past these no command means it: eleven days, ten terabytes

func number(name, value string, most float64) (float64, error) {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > most {
		return 0, &FieldError{name, fmt.Sprintf("%.40q is no number from 0 to %g", value, most), false}
	}
	return x, nil
}

// A token is a name, perhaps quoted, or a single sign.
type token struct {
	text   string // a name in the case that it stands for; else the sign
	name   bool
	quoted bool
}

// tokens splits a statement, leaving out what strings and comments hold.
func tokens(s []byte) (list []token) {
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == '\'':
			escapes := len(list) > 0 && list[len(list)-1].name && list[len(list)-1].text == "e" && i > 0 && s[i-1]|0x20 == 'e'
			i = skipQuoted(s, i, '\'', escapes)
			list = append(list, token{text: "'"})
		case c == '"':
			next := skipQuoted(s, i, '"', false)
			inner := strings.ReplaceAll(string(s[i+1:max(i+1, next-1)]), `""`, `"`)
			list, i = append(list, token{inner, true, true}), next
		case c == '-' && i+1 < len(s) && s[i+1] == '-':
			for i < len(s) && s[i] != '\n' {
				i++
			}
		case c == '/' && i+1 < len(s) && s[i+1] == '*':
			i = skipComment(s, i)
		case c == '$' && dollarTag(s[i:]) > 0:
			tag := s[i : i+dollarTag(s[i:])]
			body := s[i+len(tag):]
			if at := bytes.Index(body, tag); at >= 0 {
				i += at + 2*len(tag)
			} else {
				i = len(s)
			}
			list = append(list, token{text: "'"})
		case letter(c):
			from := i
			for i < len(s) && (letter(s[i]) || s[i] >= '0' && s[i] <= '9' || s[i] == '$') {
				i++
			}
			list = append(list, token{strings.ToLower(string(s[from:i])), true, false})
		case c >= '0' && c <= '9':
			for i < len(s) && (letter(s[i]) || s[i] >= '0' && s[i] <= '9' || s[i] == '.') {
				i++
			}
			list = append(list, token{text: "0"})
		default:
			if i++; c > ' ' {
				list = append(list, token{text: string(rune(c))})
			}
		}
	}
	return list
}

func letter(c byte) bool { return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c >= 0x80 }

func skipQuoted(s []byte, i int, mark byte, escapes bool) int {
	for i++; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == mark && i+1 < len(s) && s[i+1] == mark:
			i++
		case s[i] == mark:
			return i + 1
		}
	}
	return len(s)
}

// skipComment passes a comment, which may hold others.
func skipComment(s []byte, i int) int {
	for depth := 0; i < len(s); i++ {
		if i+1 < len(s) && s[i] == '/' && s[i+1] == '*' {
			depth, i = depth+1, i+1
		} else if i+1 < len(s) && s[i] == '*' && s[i+1] == '/' {
			if depth, i = depth-1, i+1; depth == 0 {
				return i + 1
			}
		}
	}
	return len(s)
}

// dollarTag is the length of the mark that opens a dollar-quoted string, or 0.
func dollarTag(s []byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] == '$' {
			return i + 1
		}
		if !letter(s[i]) && (i == 1 || s[i] < '0' || s[i] > '9') {
			return 0
		}
	}
	return 0
}

// beforeTable are the words that a table's name follows.
var beforeTable = map[string]bool{"from": true, "join": true, "into": true, "update": true, "table": true,
	"using": true, "copy": true, "only": true, "truncate": true}

// Table is what a statement reads or writes.
type Table struct {
	Group        int64 // the number behind the underscore in the schema's name
	Schema, Name string
}

// TableOf is the table of a statement. What stands where a table does goes first; a qualified name elsewhere, which
// could be a column's, only if none does.
func TableOf(statement []byte) (Table, bool) {
	list := tokens(statement)
	var spare Table
	found := false
	for i := 0; i+2 < len(list); i++ {
		if !list[i].name || list[i+1].text != "." || list[i+1].name || !list[i+2].name || i > 0 && list[i-1].text == "." {
			continue
		}
		group, numbered := groupOf(list[i].text)
		if !numbered {
			continue
		}
		table := Table{group, list[i].text, list[i+2].text}
		if i > 0 && list[i-1].name && !list[i-1].quoted && beforeTable[list[i-1].text] {
			return table, true
		}
		if !found {
			spare, found = table, true
		}
	}
	return spare, found
}

func groupOf(schema string) (int64, bool) {
	at := strings.LastIndexByte(schema, '_')
	if at < 1 || strings.HasPrefix(schema, "staging") && schema[:at] == "staging" {
		return 0, false
	}
	group, err := strconv.ParseUint(schema[at+1:], 10, 62)
	return int64(group), err == nil
}
