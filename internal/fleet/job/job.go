package job

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

// Job does the work of a lease. Every job is called for every lease, and ignores all but its own.
type Job interface {
	// LeaseAcquired reports a lease that this controller holds from now on.
	LeaseAcquired(c Context, grant lease.Grant)
	// LeaseLost reports a lease that this controller holds no more.
	LeaseLost(grant lease.Grant)
	// Tick is called about each 100 ms; now is Context.Now.
	Tick(c Context, now float64)
	// EffectReceived reports an effect of a lease holder that passed the fencing check here.
	EffectReceived(c Context, from members.ID, effect node.Effect)
	// EffectResponseReceived reports whether the receiver accepted an effect of this controller.
	EffectResponseReceived(response node.EffectResponse)
	// MessageReceived takes in a message of another controller's job. It is false for a message of
	// another kind of job, which is then offered to the next one.
	MessageReceived(c Context, from members.ID, data []byte) bool
	// StateReceived reports the agreed state of a lease, after ProposeState or RequestState.
	StateReceived(c Context, state node.Checkpoint)
	// Close ends the job's goroutines and waits for them. The session has ended before.
	Close()
}

// Context is what a job may do through the service.
type Context interface {
	// Self is this controller.
	Self() members.ID
	// TryEffect sends an effect of a lease to a controller. It is false where the lease is not held:
	// nothing was sent.
	TryEffect(name lease.Name, to members.ID, id uint64, data []byte) bool
	// SendMessage sends a message to another controller's job. It may be lost.
	SendMessage(to members.ID, data []byte)
	// CanAct reports whether this controller holds a lease now, and its fencing token.
	CanAct(name lease.Name) (lease.Token, bool)
	// Release gives a lease up to another controller; failed: this one can't do its job.
	Release(name lease.Name, failed bool)
	// ProposeState has the state of a lease agreed on. It is false where the lease is not held.
	ProposeState(name lease.Name, serial uint64, data []byte) bool
	// RequestState asks for the agreed state of a lease. It is false where the lease is not held.
	RequestState(name lease.Name) bool
	// Members are all members that this controller knows of, in every state.
	Members() []members.Member
	// Voters are the members of the quorum, as far as this controller knows.
	Voters() []members.ID
	// Now is the steady clock in ms.
	Now() float64
}
