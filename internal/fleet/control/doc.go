// Package control is the operators' socket of a controller: a Unix socket in the fleet's folder, on
// which each connection carries one request and one answer, both a line of JSON. The commands
// `mintkeel fleet`, `maintenance` and `config` use it. Whoever may open the folder may use it; the
// folder is made for its owner alone.
//
// The service that answers stands behind Handler. Serve runs until its listener is closed, with one
// goroutine for each connection, maxConnections at most: one more is closed at once, without an
// answer. A connection has socketTimeout to send its request, and the longest time of the request
// to be answered; it is closed when the context ends. A request longer than its kind may be is
// answered with an error, and nothing is done.
//
// The JSON names are in service with operators' scripts and stay as they are; the Go names beside
// them are the terms of docs/GLOSSARY.md.
package control
