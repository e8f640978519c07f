// Package links carries messages between the controllers of a fleet: one way, over a connection to
// each controller that something is sent to, which is open only while it is needed.
//
// It promises nothing: a message that does not go within its time is dropped, which the protocols
// above take as loss. Messages to one controller that arrive do so in the order of Send.
//
// # Goroutines
//
// Send never waits and is for one goroutine. A peer has a goroutine that connects and writes
// (writeQueued), and one that waits for the end of its connection. Each incoming connection has a
// goroutine that reads and calls the function given to New, which must not wait long: it holds up
// this one connection. The table of peers and of incoming connections is guarded by Links.mu. Every
// goroutine ends with its connection, and every connection with a deadline or with Close, which
// waits for all.
//
// # Bounds
//
// Bounds has them all. What happens at each:
//
//   - QueueMessages, QueueBytes: a message that finds no room is dropped.
//   - MaxPeers: the peer that was sent nothing for the longest time is closed for a new one.
//   - MaxIncoming: the connection that has been idle for the longest time, and for EvictAfter at
//     least, is closed for a new one; if there is none the new one is refused. Its sender backs
//     off, up to MaxRetryInterval.
//   - ReceiveRate: a sender that sends more is read no faster.
//   - MinFrameRate: a frame that comes slower ends its connection.
//
// # Restarts and strangers
//
// A sender notices that its connection has ended and opens another for the next message, so that
// nothing is written to a former incarnation of the peer. A later connection of one sender ends its
// earlier ones: what a former incarnation has on its way is not handed over any more. Connections
// that have not proved that they are of the fleet may take the place of a quarter of the incoming
// connections at most; one that fails to is closed without a word, counted and logged.
package links
