package config

import "mintkeel/internal/core/fleet/members"

// Replica is one controller's part. It is for one goroutine; times are milliseconds of a steady clock.
type Replica struct {
	facts Facts
	env   Environment
}

// New begins with what the folder holds. Kept.Current is in force already: the caller applied it before.
func New(f Facts, env Environment, kept Kept, now float64) *Replica {
	return &Replica{facts: f, env: env}
}

// Receive takes in a message of a member of this fleet and generation.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {}

// Tick takes in that time has passed.
func (r *Replica) Tick(now float64) {}

// Next is when Tick is to be called at the latest.
func (r *Replica) Next() float64 { return 0 }

// Agreed takes in that the quorum's state may have changed.
func (r *Replica) Agreed(now float64) {}

// Propose asks for a document to become the next version after expect. The caller has checked it. The outcome comes
// within proposeTimeout.
func (r *Replica) Propose(now float64, ref uint64, document []byte, expect uint64, v Version) {}

// Ask puts a question to the leader, or to voters; its answer comes within queryTimeout, or never.
func (r *Replica) Ask(now float64, ref uint64, kind QueryKind) {}

// FetchDocument looks for a document here and at voters.
func (r *Replica) FetchDocument(now float64, ref uint64, h Hash) {}

// Stored answers a StoreRequest.
func (r *Replica) Stored(now float64, err error) {}

// Applied answers an ApplyRequest. A retryable error is tried again; any other leaves the version refused here.
func (r *Replica) Applied(now float64, err error, retryable bool) {}

// Summary is what rides on membership's messages; nil: there is nothing to tell.
func (r *Replica) Summary() *Summary { return nil }

// Readiness tells whether this one knows the latest version.
func (r *Replica) Readiness() Readiness { return Readiness{} }

// Current is the version in force here.
func (r *Replica) Current() Version { return Version{} }

// Counts are since the start.
func (r *Replica) Counts() Counts { return Counts{} }

// Take hands over what is to be done.
func (r *Replica) Take() Output { return Output{} }
