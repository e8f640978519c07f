// Package job has the interfaces between the fleet service and the jobs of leases.
//
// A lease names a job of which the fleet runs one instance at a time: the controller that holds the
// lease does the work, and the others take part through messages. The service (internal/fleet)
// implements Context; the statistics digest (internal/fleet/sharedstatistics) and maintenance
// (internal/fleet/maintenance) implement Job.
//
// # Goroutines
//
// The goroutine of the service's session calls every method of Job but Close, one at a time, so the
// state that these methods touch needs no lock. They must not wait: while one runs, this controller
// neither answers other controllers nor renews its leases. Whatever takes time runs in goroutines
// of the job, which hand their results over to the next Tick and end with Close. A Context may be
// used only within the call that was given it.
//
// # Fencing
//
// A job checks with CanAct, or by the result of TryEffect and ProposeState, that the lease is held
// before each effect; it does not remember the answer. Began and Ended report a change of the
// holder, but a lease may run out between two calls. Each effect carries the fencing token of the
// lease, and a receiver drops one with an older token than it has seen.
//
// # Durability and loss
//
// State that a job passes to ProposeState is agreed on by the quorum, and stored by a majority,
// before StateReceived reports it: a job acts on a state once it was reported. Messages and effects
// may be lost, and nothing reports it; a job repeats what matters.
package job
