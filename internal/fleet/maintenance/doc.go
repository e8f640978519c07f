// Package maintenance implements the job of the maintenance lease: it takes engines out of service,
// has the work on them done, and returns them to service.
//
// The lease holder decides on one step of one engine at a time, with the rules of
// internal/core/fleet/maintenance. Every controller, including the holder, holds the engines that
// the holder announces: it sends them no new attempts, and confirms once none of its own attempts
// still run there.
//
// # Durability
//
// Plans, tasks and their steps (agreedState) are committed by the quorum. The holder proposes a
// state and acts on it only once it is committed, so the next holder can continue from it. A new
// holder reads the committed state before anything else. The list of engines to hold is an effect
// with the lease's fencing token, so a former holder can't change it. The list and the
// confirmations are not stored; they are repeated.
//
// A program of the installation receives the sequence number of its task and runs at least once: if
// a holder stops before the end of a step is committed, the next holder runs the program again with
// the same number.
//
// # Goroutines
//
// The session's goroutine owns the methods of job.Job, SendRequest and all state of the lease; none
// of them blocks. The job has two kinds of goroutines, whose results are guarded by Job.mu: at most
// one at a time reads the state of the engines from the daemon's loop (within engineTimeout), and
// one for each task runs a program (within Block.Within). Close ends both kinds and waits for them.
// SetBlock is safe for concurrent use.
//
// # Bounds
//
// At most maxPendingRequests requests of operators wait for the holder's next step; further ones
// are answered at once with an error. A controller with that many unanswered requests of its own
// drops them, as their callers have timed out. A state over lease.MaxStateBytes is logged and not
// proposed.
package maintenance
