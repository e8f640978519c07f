package control

import (
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
)

// Status answers a request. For a request about the fleet it is the state of the fleet as this
// controller knows it. Maintenance and Config answer the requests of these actions. Error is why a
// request failed. Operators' tools read the JSON names; see doc.go.
type Status struct {
	Fleet      string `json:"fleet"`
	Generation uint64 `json:"generation"`
	Self       string `json:"self"`

	// HealthScore is the local health score of this controller, from 0 (healthy) to 8.
	HealthScore int `json:"slow"`

	Members []MemberStatus `json:"members"`
	Leases  []LeaseStatus  `json:"works"`

	// Agreed reports whether this controller votes. If so, Leases are the state that it has applied
	// from the committed log; otherwise they are what it last received from a leader.
	Agreed bool `json:"own"`

	Holds  []string     `json:"holds"` // leases that this controller holds
	Quorum QuorumStatus `json:"council"`
	Error  string       `json:"error,omitempty"`

	Maintenance *maintenance.Status   `json:"maintenance,omitempty"`
	Config      *configuration.Answer `json:"config,omitempty"`
}

// MemberStatus is the state of one member in this controller's view.
type MemberStatus struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	State       string `json:"state"`       // alive, suspect, gone or left
	Incarnation uint64 `json:"incarnation"` // incremented by the member to refute suspicions
	Willing     bool   `json:"willing"`     // accepts leases
	Run         string `json:"run"`         // random number drawn at each process start, hexadecimal
}

// LeaseStatus is the state of one lease.
type LeaseStatus struct {
	Lease     string `json:"work"`
	Token     uint64 `json:"epoch"`
	Holder    string `json:"owner"`            // empty if there is none
	Run       string `json:"run,omitempty"`    // of the holder, hexadecimal
	Preferred string `json:"wanted,omitempty"` // next holder by an operator's command; empty if none
}

// QuorumStatus is the state of the quorum as this controller knows it.
type QuorumStatus struct {
	Role    string              `json:"standing"`
	Reason  string              `json:"why,omitempty"`
	Leader  string              `json:"leader"` // empty if none is known
	Term    uint64              `json:"term"`
	Record  uint64              `json:"record"` // serial number of the last durable record
	Members []IncarnationStatus `json:"members"`
}

// IncarnationStatus is one incarnation of a quorum member: the member together with one disk.
type IncarnationStatus struct {
	Name  string `json:"name"`
	Disk  string `json:"disk"`  // random number drawn when the disk was first used, hexadecimal
	Votes bool   `json:"votes"` // false for a learner
}
