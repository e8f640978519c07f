// Package pgwire parses and writes the messages of the PostgreSQL protocol 3.0 that a gateway
// needs, and parses the fields that the platform's clients put into a comment before a statement.
// It has no state and does no I/O except through a bufio.Reader.
//
// Parsers work on the reader's buffer and consume nothing until it holds a complete message, so an
// interrupted read can be repeated without loss. Slices that they return are valid until the next
// call on the reader.
//
// This package alone maps the names on the wire to the terms of the glossary: error codes in
// codes.go, types of messages in message.go and answers.go, and the fields of a query in fields.go.
package pgwire
