// Package engines keeps the connections to engines: it sends attempts, gathers their results and
// reports how each one ended. It decides nothing.
//
// # Contract
//
// One goroutine, the controller's loop, calls the methods of a Pool. None of them waits: they lock
// a connection's mutex, which is held for no I/O, and leave what is to be written to the
// connection's own goroutine. That goroutine dials, reads and writes, and reports events by the
// function given to New, which may block it. It holds no lock then, so a full inbox of the loop
// slows down that connection alone. Where a method of the Pool itself has something to report it
// does so on a new goroutine, as the loop must not wait for room in its own inbox.
//
// Each StartAttempt is answered by exactly one AttemptEnded, whatever happens to the connection,
// and each CheckHealth by exactly one HealthCheckEnded.
//
// # How an attempt ends
//
// An engine runs what it has received whole. So an attempt may have run if the last byte of it was
// taken by the connection, and never ran if not. From that follows the outcome:
//
//	Succeeded        all pages of the result are in
//	EngineFull       the engine said so, and had not reported progress
//	NotSent          no connection was to be had, or the engine said that the attempt had ended
//	                 before it came, and had not reported progress
//	Withdrawn        given up before it was written: its query was answered or its time over, the
//	                 engine drains, the endpoint list expired
//	Errored          the engine answered an error, for the query or for a page; or it said that it
//	                 never ran the attempt though it had reported progress
//	ConnectFailed    the connection did not come up, or was lost before the last byte was taken
//	ConnectionReset  the connection was lost after that, or was closed for an answer that is
//	                 malformed
//	TimedOut         its deadline passed, and the engine has confirmed the cancel, or PingTimeout has
//	                 passed
//	Cancelled        the same after CancelAttempt, unless the engine ended it first in another way
//
// A query's id goes over one connection at most once, so that a late answer to an attempt that was
// given up can't pass for that of the next one. The outcome of an attempt that is given up comes
// only when the engine has answered a ping that follows the cancel, or PingTimeout has passed. So a
// retry can't reach its engine before the cancel has reached the other one.
//
// # Bounds
//
// The pool holds EngineConnections connections at most. Attempts share one only where there may be
// no other: a connection that breaks takes all of its attempts with it. What waits to be written to
// a connection, and what a result holds, is bounded by limits.Limits; at a bound the attempt goes
// over another connection, or ends as NotSent.
package engines
