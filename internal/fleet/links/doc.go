// Package links sends messages between the controllers of a fleet. Messages to a controller go over
// one connection in one direction, which is open only while it is needed.
//
// Delivery is not guaranteed: a message that can't be sent in time is dropped, which the protocols
// above treat as loss. The messages to one controller that arrive do so in the order of Send.
//
// # Goroutines
//
// Send never blocks; one goroutine calls it. Each peer has a goroutine that connects and writes
// (writeQueued), and one that waits for the end of its connection. Each incoming connection has a
// goroutine that reads and calls the function given to New, which must return quickly, as it blocks
// this connection. Links.mu guards the tables of peers and incoming connections. Every goroutine
// ends with its connection, and every connection ends at a deadline or with Close, which waits for
// all goroutines.
//
// # Bounds
//
// The type Bounds defines all limits. What happens at each:
//
//   - QueueMessages, QueueBytes: a message that does not fit into the queue is dropped.
//   - MaxPeers: the peer with the longest time since its last Send is closed for a new one.
//   - MaxIncoming: the connection that has been idle for the longest time, and for at least
//     EvictAfter, is closed for a new one. If there is none, the new one is refused, and its sender
//     backs off up to MaxRetryInterval.
//   - ReceiveRate: a connection whose sender exceeds it is read more slowly.
//   - MinFrameRate: a connection on which a frame arrives more slowly is closed.
//
// # Restarts and foreign connections
//
// A sender notices that its connection has ended and opens another one for the next message, so
// that it writes nothing to a former incarnation of the peer. A new connection from a sender ends
// its earlier ones, and messages of a former incarnation that are still in transit are dropped.
// Connections that are not yet authenticated as members of the fleet may displace at most a quarter
// of the incoming connections. One that fails to authenticate is closed without an answer, counted
// and logged.
package links
