// Package clients serves the connections of clients: it accepts them, keeps their sessions and
// cancel keys, turns what they send into queries and writes the answers. It decides nothing, and
// knows nothing of engines.
//
// # Contract
//
// Serve accepts connections, each served by a goroutine of its own, which owns its session except
// for the fields that are marked as guarded by a mutex. A query is handed over by offer, which
// never blocks; if it is not accepted the client gets a rejection at once. That a client has gone
// is handed over by report, which may block the session's goroutine and no other.
//
// While a query is open its session goes on reading, so that it notices if its client disconnects.
// The answer ends that read by moving the read deadline into the past. What the client has sent
// ahead (pipelined) stays in the buffer and is handled after the answer; the time at which it came
// is recorded.
//
// A query is read, open from execute until its answer is written, and then forgotten. It gets
// exactly one answer; if its client disconnects first, ClientDisconnected is reported instead.
//
// # Bounds
//
// There are at most ClientConnections sessions. Past that the one that has been idle for the
// longest time is closed. If none is idle, a new connection is read as far as its start-up message,
// so that a client may still cancel, and then gets an error. Of such connections, and of sessions
// that are being closed, there are ClosingConnections at most; further ones are closed at once. A
// message, and what is sent behind an open query, hold ClientMessageBytes at most; past that the
// session ends with an error. Each wait for a client is bounded by a time in limits.Limits.
//
// # The end of a session
//
// All sessions end in one way (beginClose, leave): the write side is closed, what still comes is
// read and dropped within ClientCloseTimeout and ClientDrainBytes, then the connection is closed.
// Closing it with unread bytes would reset it, and a client could lose an answer that it has not
// read yet.
package clients
