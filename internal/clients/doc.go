// Package clients serves client connections: it accepts them, keeps their sessions and cancel keys,
// parses what they send into queries and writes the answers. It makes no routing decisions and does
// not know the engines.
//
// # Contract
//
// Serve accepts connections and serves each on a goroutine of its own. That goroutine owns its
// session, except for the fields that are marked as guarded by a mutex. A query is passed on by
// offer, which never blocks; a query that offer does not accept is rejected at once. A client's
// disconnect is passed on by report, which may block the goroutine of that session and no other.
//
// While a query is open its session keeps reading, to detect that the client disconnects. The
// answer ends that read by moving the read deadline into the past. Messages that the client has
// pipelined stay in the buffer and are handled after the answer; the next one counts as read at the
// time when data was first seen behind the open query.
//
// A query is parsed, is open from the call of execute until its answer is written, and is released
// after that. It gets exactly one answer; if its client disconnects first, ClientDisconnected is
// reported instead.
//
// # Bounds
//
// There are at most ClientConnections sessions. When that limit is reached, a new connection evicts
// the session that has been idle for the longest time. If no session is idle, the new connection is
// read up to its start-up message, so that a client can still cancel a query, and then gets an
// error. At most ClosingConnections connections are being rejected or closed at a time; further
// ones are closed at once. A message, and the data pipelined behind an open query, take
// ClientMessageBytes at most; beyond that the session ends with an error. Each wait for a client is
// bounded by a duration in limits.Limits.
//
// # Closing a session
//
// Every session is closed in the same way (discardInput, endSession): its write side is shut down,
// further input is read and discarded within ClientCloseTimeout and ClientDrainBytes, and then the
// connection is closed. Closing a connection with unread input would reset it, and the client could
// lose an answer that it has not read yet.
package clients
