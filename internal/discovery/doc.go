// Package discovery watches the endpoint list of engines, and reads the initial list from the
// configuration.
//
// # Contract
//
// Watcher.Follow runs on a goroutine of its own until its context ends. It reports every update
// once and in order by the function passed to NewWatcher, which may block it. SetAddress may be
// called by any goroutine and does no blocking I/O.
//
// Updates are numbered. On each connection the watcher first sends the number of the last update
// that it knows, and then receives the updates after it. While nothing changes, discovery sends a
// frame that says so about once a second. After a connection breaks, falls silent, sends a
// malformed frame or skips a number, the watcher opens another one from the last update, at the
// earliest DiscoveryRetryDelay after it opened the one before.
//
// # Expiry
//
// A drain must not go unnoticed for longer than the rules allow. Therefore the list expires when
// nothing was received for EndpointListExpiry, or EndpointListExpiry after the address changed, or
// EndpointListExpiryDisconnected after a connection broke, whichever comes first. The expiry is
// reported once, as an update with ExpiredFor. The next frame that is received, even one without
// changes, is reported as an update and ends the expiry.
package discovery
