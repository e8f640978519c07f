package control

import (
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
)

// Status is what a controller knows of its fleet. What it can't know it does not report as known: Members
// are what it believes, and Leases are what the quorum agreed on only if Own is set, and may be late
// otherwise.
type Status struct {
	Fleet      string         `json:"fleet"`
	Generation uint64         `json:"generation"`
	Self       string         `json:"self"`
	Slow       int            `json:"slow"` // health score of this controller itself; 0: it keeps up
	Members    []MemberStatus `json:"members"`
	Leases     []LeaseStatus  `json:"works"`
	Own        bool           `json:"own"`   // Leases are what the quorum agreed on
	Holds      []string       `json:"holds"` // leases that this controller holds
	Quorum     QuorumStatus   `json:"council"`
	Error      string         `json:"error,omitempty"`

	Maintenance *maintenance.Status   `json:"maintenance,omitempty"`
	Config      *configuration.Answer `json:"config,omitempty"`
}

// MemberStatus is one member, as this controller believes it to be.
type MemberStatus struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Willing     bool   `json:"willing"` // takes on leases
	Run         string `json:"run"`     // hexadecimal
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Lease     string `json:"work"`
	Token     uint64 `json:"epoch"`
	Holder    string `json:"owner"`         // empty: none
	Run       string `json:"run,omitempty"` // of the holder, hexadecimal
	Preferred string `json:"wanted,omitempty"`
}

// QuorumStatus is the quorum, as this controller knows it.
type QuorumStatus struct {
	Role    string              `json:"standing"`
	Reason  string              `json:"why,omitempty"`
	Leader  string              `json:"leader"` // empty: none is known
	Term    uint64              `json:"term"`
	Record  uint64              `json:"record"` // last durable record
	Members []IncarnationStatus `json:"members"`
}

// IncarnationStatus is a member of the quorum with its disk.
type IncarnationStatus struct {
	Name  string `json:"name"`
	Disk  string `json:"disk"` // hexadecimal
	Votes bool   `json:"votes"`
}
