package fleet

import (
	"fmt"
	"maps"
	"net"

	"regexp"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/links"
	"mintkeel/internal/fleet/sharedstatistics"
	"mintkeel/internal/operator/block"
)

// Block is the block fleet of the operator's file.
type Block struct {
	Name       string                // of the fleet
	Generation uint64                // keeps a rebuilt fleet apart from the one before
	Listen     string                // address and port for other controllers
	Advertise  string                // address and port at which others reach it
	KeyFile    string                // absolute path
	Folder     string                // absolute path
	Voters     map[members.ID]string // first members of the quorum, and where they listen
	Leases     []lease.Name          // sorted
	Lease      time.Duration         // of a lease that is not renewed
	Willing    bool                  // it takes on leases

	// Dial opens connections to other controllers; nil: the system does. No file sets it: measurements
	// do, so that controllers on one machine have addresses of their own and their bytes are counted.
	Dial links.Dial
}

// Bounds of the block.
const (
	maxVoters       = 7 // more only make each agreement slower
	maxLeases       = 64
	maxNameBytes    = 64
	maxAddressBytes = 256
)

// namePattern is the form of names of fleets, controllers and leases.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ReadBlock reads the block fleet. Problems go to the diagnostics.
func ReadBlock(b *hcl.Block, diagnostics *block.Diagnostics) *Block {
	open := block.Open(b, diagnostics, "name", "generation", "listen", "advertise", "key_file",
		"folder", "council", "works", "lease", "willing")
	read := &Block{
		Name:       open.String("name", "", true, maxNameBytes),
		Generation: uint64(open.Int("generation", 1, 1, 1_000_000_000)),
		Listen:     open.String("listen", "", true, maxAddressBytes),
		KeyFile:    open.AbsolutePath("key_file", true),
		Folder:     open.AbsolutePath("folder", true),
		Lease:      open.Duration("lease", 10*time.Second, time.Second, 10*time.Minute),
		Willing:    open.Bool("willing", true),
	}
	read.Advertise = open.String("advertise", read.Listen, false, maxAddressBytes)
	if read.Name != "" && !namePattern.MatchString(read.Name) {
		open.AddProblem("name", "holds other than letters, digits, '.', '_' and '-'")
	}
	checkAddress(open, "listen", read.Listen)
	checkAddress(open, "advertise", read.Advertise)

	read.Voters = readVoters(open)
	read.Leases = ReadLeases(open)
	return read
}

// checkAddress notes a field that is set and is no address.
func checkAddress(open *block.Block, field, address string) {
	if address == "" || !open.Has(field) {
		return
	}
	if problem := addressProblem(address); problem != "" {
		open.AddProblem(field, problem)
	}
}

// readVoters reads the field council: the voters of the quorum and their addresses.
func readVoters(open *block.Block) map[members.ID]string {
	council := open.StringMap("council", maxAddressBytes)
	count := len(council)
	switch {
	case !open.Has("council"):
		open.AddProblem("council", "is missing")
	case count != 1 && count != 3 && count != 5 && count != maxVoters:
		open.AddProblem("council", fmt.Sprintf(
			"has %d members: 1, 3, 5 or %d are possible, as half of an even number decides nothing", count,
			maxVoters))
	}
	voters := map[members.ID]string{}
	byAddress := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(council)) {
		address := council[name]
		if problem := voterProblem(name, address, byAddress[address]); problem != "" {
			open.AddProblem("council", problem)
		}
		byAddress[address] = name
		voters[members.ID(name)] = address
	}
	return voters
}

// voterProblem is what is wrong with a voter; empty: nothing. The other is one with the same
// address; empty: there is none.
func voterProblem(name, address, other string) string {
	if !namePattern.MatchString(name) {
		return fmt.Sprintf("%.64q is no name of a controller", name)
	}
	if problem := addressProblem(address); problem != "" {
		return fmt.Sprintf("%s: %s", name, problem)
	}
	if other != "" {
		return fmt.Sprintf("%s and %s have the same address", min(name, other), max(name, other))
	}
	return ""
}

// ReadLeases reads the field works of the block fleet: the names of the fleet's leases, sorted.
func ReadLeases(open *block.Block) []lease.Name {
	if !open.Has("works") {
		return []lease.Name{sharedstatistics.Lease}
	}
	var names []lease.Name
	for _, name := range open.Strings("works", maxLeases) {
		switch {
		case !namePattern.MatchString(name):
			open.AddProblem("works", fmt.Sprintf("%.64q is no name of a lease", name))
		case slices.Contains(names, lease.Name(name)):
			open.AddProblem("works", name+" stands there twice")
		default:
			names = append(names, lease.Name(name))
		}
	}
	slices.Sort(names)
	return names
}

// addressProblem is what is wrong with an address; empty: nothing.
func addressProblem(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return fmt.Sprintf("%.64q is no address", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%.64q: names are not looked up", address)
	}
	return ""
}

// Same reports whether two blocks differ at most in what may change while running: the keys, and
// whether this controller takes on leases.
func (b *Block) Same(other *Block) bool {
	if b == nil || other == nil {
		return b == other
	}
	return b.Name == other.Name &&
		b.Generation == other.Generation &&
		b.Listen == other.Listen &&
		b.Advertise == other.Advertise &&
		b.Folder == other.Folder &&
		b.Lease == other.Lease &&
		slices.Equal(b.Leases, other.Leases) &&
		maps.Equal(b.Voters, other.Voters)
}
