package pgwire

import (
	"strconv"
	"strings"
)

// stagingSchema is the name, without the number, of schemas whose number is not a table group.
const stagingSchema = "staging"

// tableKeywords are the keywords that may precede the name of a table.
var tableKeywords = map[string]bool{
	"from":     true,
	"join":     true,
	"into":     true,
	"update":   true,
	"table":    true,
	"using":    true,
	"copy":     true,
	"only":     true,
	"truncate": true,
}

// Table is a table that a statement reads or writes.
type Table struct {
	Group        int64 // the number after the last underscore in the schema's name
	Schema, Name string
}

// FindTable returns the table of a statement: the first qualified name with a table group that
// follows one of tableKeywords or, if there is none, the first one anywhere, which could be the
// name of a column.
func FindTable(statement []byte) (table Table, found bool) {
	tokens := tokenize(statement)
	for i := 0; i+2 < len(tokens); i++ {
		schema, dot, name := tokens[i], tokens[i+1], tokens[i+2]
		if !schema.isName || dot.text != "." || dot.isName || !name.isName {
			continue
		}
		if i > 0 && tokens[i-1].text == "." {
			continue
		}
		group, ok := tableGroup(schema.text)
		if !ok {
			continue
		}
		candidate := Table{Group: group, Schema: schema.text, Name: name.text}
		if i > 0 && tokens[i-1].isName && !tokens[i-1].quoted && tableKeywords[tokens[i-1].text] {
			return candidate, true
		}
		if !found {
			table = candidate
			found = true
		}
	}
	return table, found
}

// tableGroup returns the number after the last underscore in a schema's name.
func tableGroup(schema string) (group int64, ok bool) {
	at := strings.LastIndexByte(schema, '_')
	if at < 1 || schema[:at] == stagingSchema {
		return 0, false
	}
	n, err := strconv.ParseUint(schema[at+1:], 10, 62)
	return int64(n), err == nil
}
