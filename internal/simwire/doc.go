// Package simwire reads and writes the lines of the simulator's wire: fields separated by tabs, the
// first of which names the message. It handles their form only; cmd/mintkeel-sim maps their values
// to those of the module. The names of messages and fields on the wire are mapped to the glossary's
// terms in parse.go.
//
// Messages come in batches, one for each clock time at which something happens, and each batch is
// answered by the actions that follow from it and an end line. Times are nanoseconds.
package simwire
