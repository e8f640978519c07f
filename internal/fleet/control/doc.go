// Package control implements the operators' socket of a controller: a Unix socket in the fleet's
// folder, on which each connection carries one request and one answer, each a line of JSON. The
// commands `mintkeel fleet`, `maintenance` and `config` use it. The permissions of the folder,
// which only its owner can open, control who may use the socket.
//
// The service implements Handler, which answers the requests. Serve runs until its listener is
// closed, with one goroutine for each connection. It accepts at most maxConnections connections and
// closes further ones at once without an answer. A connection has socketTimeout to send its request
// and is closed when the context ends. The time to answer is bounded by the request's maximum
// duration. A request that exceeds the size limit of its kind gets an error and has no effect.
//
// Operators' scripts depend on the JSON names, so those never change; the Go names next to them are
// the terms of docs/GLOSSARY.md.
package control
