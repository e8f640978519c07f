// Package engines manages the connections to engines: it sends attempts, collects their results and
// reports the outcome of each. It makes no routing decisions.
//
// # Contract
//
// One goroutine, the controller's loop, calls the methods of a Pool. None of them blocks: they lock
// a connection's mutex, which is never held during I/O, and queue what is to be written for the
// connection's own goroutine. That goroutine dials, reads and writes, and reports events through
// the function given to New, which may block it. It holds no lock while it reports, so a full event
// queue of the loop slows down that connection alone. A method of the Pool that has an event to
// report does so on a new goroutine, as the loop must not wait for space in its own event queue.
//
// Each StartAttempt is answered by exactly one AttemptEnded, whatever happens to the connection,
// and each CheckHealth by exactly one HealthCheckEnded.
//
// # How an attempt ends
//
// An engine runs an attempt only after it has received the whole request. So an attempt may have
// run if the connection accepted its last byte, and never ran otherwise. The outcomes follow from
// that:
//
//	Succeeded        all pages of the result were received
//	EngineFull       the engine answered that it is full, and had not reported progress
//	NotSent          no connection was available, or the engine answered that the attempt's time was
//	                 over on arrival, and had not reported progress
//	Withdrawn        withdrawn before it was written: it was cancelled or past its time, its query
//	                 was answered, the engine drains, is gone or has lost its address, or the
//	                 endpoint list expired
//	Errored          the engine answered an error, for the query or for a page; or it answered that
//	                 it did not run the attempt although it had reported progress
//	ConnectFailed    the connection was not established, or was lost before it accepted the last byte
//	ConnectionReset  the connection was lost after that, or was closed because of a malformed answer
//	TimedOut         the deadline passed, and after that the engine confirmed the cancel, PingTimeout
//	                 passed or the connection ended
//	Cancelled        the same after CancelAttempt, unless the engine ended the attempt first
//
// A query's id is sent over a connection at most once, so that a late answer to an attempt that was
// given up can't be taken for the answer to a later attempt. The outcome of an attempt that was
// given up is reported only after the engine has answered a ping that follows the cancel, or after
// PingTimeout. So a retry doesn't reach its engine before the cancel has reached the previous one,
// unless that engine is silent for PingTimeout.
//
// # Limits
//
// The pool has at most EngineConnections connections. Attempts share a connection only if no other
// may be opened, because a connection that breaks ends all of its attempts. limits.Limits bounds
// the bytes that wait to be written to a connection and the size of a result. If a connection's
// queue is full, the attempt goes over another connection or ends as NotSent. A result above its
// limit counts as malformed.
package engines
