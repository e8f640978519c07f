// Package hollow runs controllers of a fleet without clients and without the decision module: the services of
// internal/fleet with membership, quorum, leases and the statistics digest, over TCP on loopback. Many controllers share a
// process; fleets are spread over child processes, which read requests from their standard input and exit when it is closed.
// The package measures the traffic and the resource usage of each controller.
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
	Leases      int           `json:"leases"`       // leases without a task, in addition to the digest's
	OneHolder   bool          `json:"one_holder"`   // only the first ordinary controller accepts leases
	Configured  bool          `json:"configured"`   // controllers take their configuration from the fleet
	Digest      bool          `json:"digest"`       // the statistics digest is one of the leases
	Engines     int           `json:"engines"`      // engines in the statistics of each controller
	TableGroups int           `json:"table_groups"` // table groups in the statistics of each controller
	Network     Network       `json:"network"`
	Loss        float64       `json:"loss"` // share of the segments that the network loses
}

// Network is the part of the loopback network that a fleet uses. Each controller has an address of its own, so that neither
// the listeners nor the connections of a fleet use up ports that another program on the machine needs.
type Network struct {
	Octet uint8  `json:"octet"` // second octet of the addresses
	Port  uint16 `json:"port"`  // port of all listeners
}

// NewNetwork returns the network of the fleet with the given number in this process.
func NewNetwork(number int) Network {
	const firstPort, processes = 2048, 155 // these keep the listen ports below the source ports
	pid := os.Getpid()
	return Network{Octet: uint8(16 + pid%224), Port: uint16(firstPort + pid/224%processes*fleetsPerProcess + number%fleetsPerProcess)}
}

// fleetsPerProcess is the number of fleets of a process that have ports of their own.
const fleetsPerProcess = 64

// fleet returns the fleet's number among those of its process.
func (n Network) fleet() int { return int(n.Port) % fleetsPerProcess }

const addressesPerOctet = 250

// address returns the listen address of a controller.
func (n Network) address(number int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{127, n.Octet, byte(number / addressesPerOctet), byte(1 + number%addressesPerOctet)})
	return netip.AddrPortFrom(addr, n.Port)
}

// number returns the number of the controller that listens at an address, or -1 if there is none.
func (n Network) number(addr string) int {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().Is4() {
		return -1
	}
	octets := a.Addr().As4()
	return int(octets[2])*addressesPerOctet + int(octets[3]) - 1
}

// name returns the member ID of a controller.
func name(number int) members.ID { return members.ID(fmt.Sprintf("n%d", number)) }

// willing reports whether a controller accepts leases. Voters do not, unless all controllers are voters, so that the costs of
// the roles can be told apart.
func (s Spec) willing(number int) bool {
	return number == s.Voters || number > s.Voters && !s.OneHolder || s.Voters == s.Controllers
}

// leases returns the names of all leases of the fleet except the digest's.
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
		return fmt.Errorf("%d controllers with %d voters: fewer controllers than voters, or too many controllers", s.Controllers, s.Voters)
	case s.Voters != 1 && s.Voters != 3 && s.Voters != 5 && s.Voters != 7:
		return fmt.Errorf("%d voters, want 1, 3, 5 or 7", s.Voters)
	case s.LeaseTime < 100*time.Millisecond:
		return fmt.Errorf("lease time %v is below 100ms", s.LeaseTime)
	}
	return nil
}
