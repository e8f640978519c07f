package job

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

// Job does the work of a lease. Every job is notified of every lease and ignores all but its own.
type Job interface {
	// LeaseAcquired reports that this controller has acquired a lease.
	LeaseAcquired(c Context, grant lease.Grant)
	// LeaseLost reports that this controller no longer holds a lease.
	LeaseLost(grant lease.Grant)
	// Tick is called about every 100 ms; now is the value of Context.Now.
	Tick(c Context, now float64)
	// EffectReceived reports an effect of a lease holder that passed the fencing check here.
	EffectReceived(c Context, from members.ID, effect node.Effect)
	// EffectResponseReceived reports whether the receiver accepted an effect of this controller.
	EffectResponseReceived(response node.EffectResponse)
	// MessageReceived handles a message from another controller's job. It returns false for a message
	// of another kind of job, which the service then offers to the next job.
	MessageReceived(c Context, from members.ID, data []byte) bool
	// StateReceived reports the committed state of a lease, after ProposeState or RequestState.
	StateReceived(c Context, state node.Checkpoint)
	// Close ends the job's goroutines and waits for them. It is called after the session has ended.
	Close()
}

// Context is the part of the service that a job may use.
type Context interface {
	// Self returns the ID of this controller.
	Self() members.ID
	// TryEffect sends an effect of a lease to a controller. It returns false, and sends nothing, if
	// this controller does not hold the lease.
	TryEffect(name lease.Name, to members.ID, id uint64, data []byte) bool
	// SendMessage sends a message to another controller's job. It may be lost.
	SendMessage(to members.ID, data []byte)
	// CanAct reports whether this controller holds a lease now, and returns its fencing token.
	CanAct(name lease.Name) (lease.Token, bool)
	// Release gives up a lease, so that another controller can acquire it. Failed means that this
	// controller could not run the lease's job.
	Release(name lease.Name, failed bool)
	// ProposeState proposes the state of a lease to the quorum. It returns false if this controller
	// does not hold the lease.
	ProposeState(name lease.Name, serial uint64, data []byte) bool
	// RequestState requests the committed state of a lease. It returns false if this controller does
	// not hold the lease.
	RequestState(name lease.Name) bool
	// Members returns all members that this controller knows of, in every state.
	Members() []members.Member
	// Voters returns the voters of the quorum, as far as this controller knows.
	Voters() []members.ID
	// Now returns the monotonic clock in ms.
	Now() float64
}
