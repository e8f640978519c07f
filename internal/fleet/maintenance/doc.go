// Package maintenance takes engines out of service, has the work on them done, and brings them
// back: the job of the maintenance lease.
//
// The lease holder decides with internal/core/fleet/maintenance, one step of one engine at a time.
// Every controller, the holder too, holds the engines that the holder announces: it sends nothing
// new there, and confirms when nothing of its own still runs there.
//
// # Durability
//
// Plans, tasks and their steps (agreedState) are agreed on through the quorum. The holder proposes
// a state and acts on it once it was agreed on, so the next holder goes on where this one stopped.
// A new holder reads the agreed state before anything else. The list of engines to hold is an
// effect with the lease's fencing token: a former holder changes nothing. It, and the
// confirmations, are not stored; they are repeated.
//
// A program of the installation is run with the sequence number of its task, at least once: a
// holder that stops before the end of a step is agreed on leaves it to the next to run the program
// again, with the same number.
//
// # Goroutines
//
// The methods of job.Job, SendRequest and all state of the lease belong to the session's goroutine
// and never wait. Job's mutex guards what two kinds of goroutines of the job's own leave for them:
// at most one at a time asks the loop what it knows of the engines (within engineTimeout), and one
// for each task runs a program (within Block.Within). Close ends both and waits. SetBlock may be
// called from any goroutine.
//
// # Bounds
//
// Requests of operators wait for the holder's next step, maxPendingRequests at most: one more is
// answered at once with an error. A controller that has as many requests without an answer drops
// them, as their callers have given up. A state over lease.MaxStateBytes is logged, not proposed.
package maintenance
