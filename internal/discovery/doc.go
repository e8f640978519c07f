// Package discovery watches the endpoint list of engines, and reads what the configuration holds of
// it at start.
//
// # Contract
//
// A Watcher's Follow runs on a goroutine of its own until its context ends. It reports every update
// once and in order by the function given to NewWatcher, which may block it. SetAddress may be
// called by any goroutine and waits for no I/O.
//
// The updates are numbered. A connection begins with the number of the last update that is known,
// and carries the updates after it; while nothing changes, a frame that says so comes about once a
// second. After a connection that breaks, falls silent, is malformed or skips a number another is
// opened from the last update, at the earliest DiscoveryRetryDelay after the one before was.
//
// # Expiry
//
// A drain must not go unnoticed for longer than the rules allow. So the list expires when nothing
// was received for EndpointListExpiry, or EndpointListExpiry after the address changed, or
// EndpointListExpiryDisconnected after a connection broke, whichever comes first. That is reported
// once, as an update with ExpiredFor. The next frame that is received, also one without changes, is
// reported as an update too and ends the expiry.
package discovery
