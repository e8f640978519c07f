// Package discovery watches the endpoint list of engines, and reads the initial list from the
// configuration.
//
// # Contract
//
// Watcher.Follow runs on a goroutine of its own until its context ends. It passes every update
// once and in order to the function given to NewWatcher, which may block. SetAddress may be called
// by any goroutine and does no blocking I/O.
//
// Updates are numbered. On each connection the watcher first sends the number of the last update
// that it knows, and then receives the updates after it. While nothing changes, discovery sends a
// frame that says so about once a second. After a connection breaks, falls silent, sends a
// malformed frame, or skips a number without sending the complete list, the watcher opens another
// connection and continues after the last update that it knows. It opens connections at least
// DiscoveryRetryDelay apart.
//
// # Expiry
//
// The time for which an engine may drain unnoticed must stay limited. Therefore the list expires
// EndpointListExpiry after the start, the last current frame or a change of the address, or
// EndpointListExpiryDisconnected after a connection ended otherwise than by silence, whichever
// comes first. A frame is current unless its number is lower than that of the last known update.
// The expiry is reported once, as an update with ExpiredFor. The next current frame, even one
// without changes, is reported as an update and ends the expiry.
//
// Silence and expiry count only once the connection was found to hold nothing: frames that came
// while the process had no turn are handled first.
package discovery
