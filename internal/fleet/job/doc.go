// Package job defines the interfaces between the fleet service and the jobs of leases.
//
// Each lease has a job of which the fleet runs one instance at a time: the lease holder does the
// work, and the other controllers participate through messages. The service (internal/fleet)
// implements Context; the statistics digest (internal/fleet/sharedstatistics) and maintenance
// (internal/fleet/maintenance) implement Job.
//
// # Goroutines
//
// The goroutine of the service's session calls every method of Job except Close, one at a time, so
// the state that these methods use needs no lock. They must not block: while one runs, this
// controller neither answers other controllers nor renews its leases. Longer work runs in
// goroutines of the job, which leave their results for the next Tick and end with Close. A Context
// may be used only during the call that received it.
//
// # Fencing
//
// Before each effect a job checks that the lease is held, with CanAct or by the result of TryEffect
// or ProposeState, and does not reuse an earlier answer. LeaseAcquired and LeaseLost report changes
// of the holder, but a lease may expire between two calls. Each effect carries the fencing token of
// the lease, and a receiver rejects an effect with an older token than it has seen.
//
// # Durability and loss
//
// State that a job passes to ProposeState is committed by the quorum, so a majority stores it,
// before StateReceived reports it. A job acts on a state only after that report. Messages and
// effects may be lost without notice, so a job repeats those that matter.
package job
