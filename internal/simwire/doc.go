// Package simwire reads and writes the lines of the simulator's wire. A line is a list of fields
// separated by tabs, of which the first is the name of the message. The package handles only the
// syntax; cmd/mintkeel-sim maps values to those of the module. The names of messages and fields on
// the wire are mapped to the terms of the glossary in parse.go.
//
// The simulator sends messages in batches, one for each clock time at which something happens. The
// answer to a batch consists of the resulting actions and an end line. Times are in nanoseconds.
package simwire
