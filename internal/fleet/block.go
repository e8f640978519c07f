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

// Block is the fleet block of the operator's file.
type Block struct {
	Name       string                // of the fleet
	Generation uint64                // distinguishes a rebuilt fleet from its predecessor
	Listen     string                // address and port that accept other controllers' connections
	Advertise  string                // address and port that other controllers connect to
	KeyFile    string                // absolute path
	Folder     string                // absolute path
	Voters     map[members.ID]string // initial voters of the quorum and their addresses
	Leases     []lease.Name          // sorted
	Lease      time.Duration         // duration of a lease that is not renewed
	Willing    bool                  // the controller accepts leases

	// Dial opens connections to other controllers; nil uses the system's dialer. The operator's file
	// can't set it. Measurements set it to give controllers on one machine their own addresses and to
	// count their bytes.
	Dial links.Dial
}

// Bounds of the block.
const (
	maxVoters       = 7 // more voters only slow down each commit
	maxLeases       = 64
	maxNameBytes    = 64
	maxAddressBytes = 256
)

// namePattern matches valid names of fleets, controllers and leases.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ReadBlock parses the fleet block and adds problems to the diagnostics.
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
		open.AddProblem("name", "may contain only letters, digits, '.', '_' and '-'")
	}
	checkAddress(open, "listen", read.Listen)
	checkAddress(open, "advertise", read.Advertise)

	read.Voters = readVoters(open)
	read.Leases = ReadLeases(open)
	return read
}

// checkAddress adds a problem if a field is set and its value is not an address.
func checkAddress(open *block.Block, field, address string) {
	if address == "" || !open.Has(field) {
		return
	}
	if problem := addressProblem(address); problem != "" {
		open.AddProblem(field, problem)
	}
}

// readVoters parses the council field: the voters of the quorum and their addresses.
func readVoters(open *block.Block) map[members.ID]string {
	council := open.StringMap("council", maxAddressBytes)
	count := len(council)
	switch {
	case !open.Has("council"):
		open.AddProblem("council", "is missing")
	case count != 1 && count != 3 && count != 5 && count != maxVoters:
		open.AddProblem("council", fmt.Sprintf(
			"has %d members: must have 1, 3, 5 or %d, as half of an even number is no majority", count,
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

// voterProblem returns what is wrong with a voter, or "" for a valid one. The parameter other names
// a voter with the same address, and is empty if there is none.
func voterProblem(name, address, other string) string {
	if !namePattern.MatchString(name) {
		return fmt.Sprintf("%.64q is not a valid controller name", name)
	}
	if problem := addressProblem(address); problem != "" {
		return fmt.Sprintf("%s: %s", name, problem)
	}
	if other != "" {
		return fmt.Sprintf("%s and %s have the same address", min(name, other), max(name, other))
	}
	return ""
}

// ReadLeases parses the works field of the fleet block: the names of the fleet's leases, sorted.
func ReadLeases(open *block.Block) []lease.Name {
	if !open.Has("works") {
		return []lease.Name{sharedstatistics.Lease}
	}
	var names []lease.Name
	for _, name := range open.Strings("works", maxLeases) {
		switch {
		case !namePattern.MatchString(name):
			open.AddProblem("works", fmt.Sprintf("%.64q is not a valid lease name", name))
		case slices.Contains(names, lease.Name(name)):
			open.AddProblem("works", name+" is listed twice")
		default:
			names = append(names, lease.Name(name))
		}
	}
	slices.Sort(names)
	return names
}

// addressProblem returns what is wrong with an address, or "" for a valid one.
func addressProblem(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return fmt.Sprintf("%.64q is no address", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%.64q: the host must be an IP address; host names are not resolved", address)
	}
	return ""
}

// Same reports whether two blocks differ at most in what may change at run time: the keys, and
// whether this controller accepts leases.
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
