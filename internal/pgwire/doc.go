// Package pgwire parses and writes the messages of the PostgreSQL protocol 3.0 that a gateway
// needs, and the fields that the platform's clients put into a comment ahead of a statement. It has
// no state and does no I/O beyond a bufio.Reader.
//
// Parsers work on bytes that the reader holds and take nothing until a message is whole, so a read
// that is ended early can go on later. Slices that they return are good until the reader is used
// again.
//
// The names on the wire are mapped to the glossary's terms here alone: error codes in codes.go,
// types of messages in message.go and answers.go, and the fields of a query in fields.go.
package pgwire
