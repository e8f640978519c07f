// Package discovery watches the endpoint list of engines, and reads what the configuration holds of
// it at start.
//
// # Contract
//
// A Watcher's Follow runs on a goroutine of its own until its context ends. It reports every update
// once and in order by the function given to NewWatcher, which may block it. SetAddress may be
// called by any goroutine and waits for no I/O.
//
// The updates are numbered. A connection is opened with the number of the last update that is
// known, and carries what comes after it; an unchanged list is repeated about once a second. A
// connection that breaks, falls silent, is malformed or skips a number is opened again from the
// last update, DiscoveryRetryDelay after it was opened at the earliest.
//
// # Expiry
//
// A drain must not go unnoticed for longer than the rules allow. So the list expires when nothing
// was received for EndpointListExpiry, or EndpointListExpiry after the address changed, or
// EndpointListExpiryDisconnected after a connection broke, whichever comes first. That is reported
// once, as an update with ExpiredFor; the next thing that is received, be it that nothing has
// changed, is reported too and ends it.
package discovery
