package control

import (
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
)

// Status answers a request. To a request about the fleet it is how the fleet stands as this
// controller knows it; Maintenance and Config answer requests about these; Error says why a request
// failed. The names in JSON are those that operators' tools read: doc.go says more.
type Status struct {
	Fleet      string `json:"fleet"`
	Generation uint64 `json:"generation"`
	Self       string `json:"self"`

	// HealthScore is that of this controller itself, from 0 (it keeps up) to 8.
	HealthScore int `json:"slow"`

	Members []MemberStatus `json:"members"`
	Leases  []LeaseStatus  `json:"works"`

	// Agreed: this controller votes, and Leases are what it has applied of the agreed log. Else they
	// are what it last heard from a leader.
	Agreed bool `json:"own"`

	Holds  []string     `json:"holds"` // leases that this controller holds
	Quorum QuorumStatus `json:"council"`
	Error  string       `json:"error,omitempty"`

	Maintenance *maintenance.Status   `json:"maintenance,omitempty"`
	Config      *configuration.Answer `json:"config,omitempty"`
}

// MemberStatus is one member, as this controller believes it to be.
type MemberStatus struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	State       string `json:"state"`       // alive, suspect, gone or left
	Incarnation uint64 `json:"incarnation"` // by which it refutes suspicions
	Willing     bool   `json:"willing"`     // offers to hold leases
	Run         string `json:"run"`         // number drawn at each start of the process, hexadecimal
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Lease     string `json:"work"`
	Token     uint64 `json:"epoch"`
	Holder    string `json:"owner"`            // empty: none
	Run       string `json:"run,omitempty"`    // of the holder, hexadecimal
	Preferred string `json:"wanted,omitempty"` // next holder by an operator's command; empty: none
}

// QuorumStatus is the quorum, as this controller knows it.
type QuorumStatus struct {
	Role    string              `json:"standing"`
	Reason  string              `json:"why,omitempty"`
	Leader  string              `json:"leader"` // empty: none is known
	Term    uint64              `json:"term"`
	Record  uint64              `json:"record"` // serial number of the last durable record
	Members []IncarnationStatus `json:"members"`
}

// IncarnationStatus is a member of the quorum, as one that has kept all its promises on one disk.
type IncarnationStatus struct {
	Name  string `json:"name"`
	Disk  string `json:"disk"`  // number drawn when the disk was first used, hexadecimal
	Votes bool   `json:"votes"` // else it is a learner
}
