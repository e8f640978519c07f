// Package hollow runs controllers of a fleet without clients and without the decision module: the services of
// internal/fleet with membership, quorum, leases and the statistics digest, over TCP on loopback. Many share a process;
// larger fleets are spread over child processes, which are told what to do on their standard input and end with it. The
// package measures what each controller sends, receives and spends.
package hollow

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Spec is a fleet of hollow controllers. Controllers have numbers from 0; the first ones are the voters.
type Spec struct {
	Controllers int           `json:"controllers"`
	Voters      int           `json:"voters"` // 1, 3, 5 or 7
	LeaseTime   time.Duration `json:"lease_time"`
	Leases      int           `json:"leases"`       // leases on nothing, beside the digest's
	OneHolder   bool          `json:"one_holder"`   // the first ordinary controller alone takes leases on
	Configured  bool          `json:"configured"`   // controllers take their configuration from the fleet
	Digest      bool          `json:"digest"`       // the statistics digest is one of the leases
	Engines     int           `json:"engines"`      // that each controller has statistics of
	TableGroups int           `json:"table_groups"` // that each controller has statistics of
	Network     Network       `json:"network"`
	Loss        float64       `json:"loss"` // share of the segments that are lost on the way
}

// Network is the part of the loopback network that a fleet has for itself. Each controller has an address of its own, so
// that neither the listeners nor the connections of one fleet use up ports that another program on the machine may want.
type Network struct {
	Octet uint8  `json:"octet"` // the second of the addresses
	Port  uint16 `json:"port"`  // of all listeners
}

// NewNetwork is the network of the fleet of this number in this process.
func NewNetwork(number int) Network {
	const firstPort, processes = 2048, 155 // below the source ports
	pid := os.Getpid()
	return Network{Octet: uint8(16 + pid%224), Port: uint16(firstPort + pid/224%processes*fleetsPerProcess + number%fleetsPerProcess)}
}

// fleetsPerProcess is how many fleets of a process have ports of their own.
const fleetsPerProcess = 64

// fleet is the fleet's number among those of its process.
func (n Network) fleet() int { return int(n.Port) % fleetsPerProcess }

const addressesPerOctet = 250

// address is where a controller listens.
func (n Network) address(number int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{127, n.Octet, byte(number / addressesPerOctet), byte(1 + number%addressesPerOctet)})
	return netip.AddrPortFrom(addr, n.Port)
}

// number is the controller that listens at an address; -1: none does.
func (n Network) number(addr string) int {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().Is4() {
		return -1
	}
	octets := a.Addr().As4()
	return int(octets[2])*addressesPerOctet + int(octets[3]) - 1
}

// name is a controller's name.
func name(number int) members.ID { return members.ID(fmt.Sprintf("n%d", number)) }

// willing tells whether a controller takes leases on. Voters do not, so that the costs of each role are told apart.
func (s Spec) willing(number int) bool {
	return number == s.Voters || number > s.Voters && !s.OneHolder || s.Voters == s.Controllers
}

// leases are the names of all leases of the fleet but the digest's.
func (s Spec) leases() []lease.Name {
	names := make([]lease.Name, 0, s.Leases)
	for i := range s.Leases {
		names = append(names, lease.Name(fmt.Sprintf("lease-%02d", i)))
	}
	return names
}

func (s Spec) check() error {
	const mostControllers = 100 * addressesPerOctet
	switch {
	case s.Controllers < s.Voters || s.Controllers > mostControllers:
		return fmt.Errorf("%d controllers with %d voters", s.Controllers, s.Voters)
	case s.Voters != 1 && s.Voters != 3 && s.Voters != 5 && s.Voters != 7:
		return fmt.Errorf("%d voters: 1, 3, 5 or 7 are possible", s.Voters)
	case s.LeaseTime < 100*time.Millisecond:
		return fmt.Errorf("leases of %v", s.LeaseTime)
	}
	return nil
}
