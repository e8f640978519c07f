package fleet

import (
	"fmt"
	"maps"
	"net"
	"path/filepath"
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
	Name       string // of the fleet
	Generation uint64
	Listen     string
	Advertise  string // where others reach it
	KeyFile    string
	Folder     string
	Voters     map[members.ID]string // its members and where they listen
	Leases     []lease.Name
	Lease      time.Duration
	Willing    bool // it takes on leases

	// Dial opens connections to other controllers; nil: the system does. No file sets it. Controllers that share a machine
	// in a measurement have addresses of their own by it, and their bytes counted.
	Dial links.Dial
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// maxVoters is how many the quorum may have: more only make each agreement dearer.
const maxVoters = 7

// ReadBlock reads the block fleet.
func ReadBlock(b *hcl.Block, sheet *block.Diagnostics) *Block {
	open := block.Open(b, sheet, "name", "generation", "listen", "advertise", "key_file", "folder", "council", "works", "lease",
		"willing")
	read := &Block{Name: open.String("name", "", true, 64), Generation: uint64(open.Int("generation", 1, 1, 1_000_000_000)),
		Listen: open.String("listen", "", true, 256), KeyFile: open.String("key_file", "", true, 4096),
		Folder: open.String("folder", "", true, 4096), Lease: open.Duration("lease", 10*time.Second, time.Second, 10*time.Minute),
		Willing: open.Bool("willing", true), Voters: map[members.ID]string{}}
	read.Advertise = open.String("advertise", read.Listen, false, 256)
	if read.Name != "" && !nameForm.MatchString(read.Name) {
		open.AddProblem("name", "holds other than letters, digits, '.', '_' and '-'")
	}
	for _, address := range []struct{ field, text string }{{"listen", read.Listen}, {"advertise", read.Advertise}} {
		if why := addressWrong(address.text); address.text != "" && why != "" && open.Has(address.field) {
			open.AddProblem(address.field, why)
		}
	}
	for _, path := range []struct{ field, text string }{{"key_file", read.KeyFile}, {"folder", read.Folder}} {
		if path.text != "" && !filepath.IsAbs(path.text) {
			open.AddProblem(path.field, "is no absolute path")
		}
	}
	council := open.StringMap("council", 256)
	if !open.Has("council") {
		open.AddProblem("council", "is missing")
	} else if n := len(council); n != 1 && n != 3 && n != 5 && n != maxVoters {
		open.AddProblem("council", fmt.Sprintf("has %d members: 1, 3, 5 or %d are possible, as half of an even number decides nothing", n,
			maxVoters))
	}
	seen := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(council)) {
		addr := council[name]
		if !nameForm.MatchString(name) {
			open.AddProblem("council", fmt.Sprintf("%.64q is no name of a controller", name))
		} else if why := addressWrong(addr); why != "" {
			open.AddProblem("council", fmt.Sprintf("%s: %s", name, why))
		} else if other := seen[addr]; other != "" {
			open.AddProblem("council", fmt.Sprintf("%s and %s have the same address", min(name, other), max(name, other)))
		}
		seen[addr] = name
		read.Voters[members.ID(name)] = addr
	}
	read.Leases = ReadLeases(open)
	return read
}

// ReadLeases reads the field works of the block fleet: the names of the fleet's leases, sorted.
func ReadLeases(open *block.Block) []lease.Name {
	if !open.Has("works") {
		return []lease.Name{sharedstatistics.Lease}
	}
	var names []lease.Name
	for _, w := range open.Strings("works", 64) {
		if !nameForm.MatchString(w) {
			open.AddProblem("works", fmt.Sprintf("%.64q is no name of a lease", w))
		} else if slices.Contains(names, lease.Name(w)) {
			open.AddProblem("works", w+" stands there twice")
		} else {
			names = append(names, lease.Name(w))
		}
	}
	slices.Sort(names)
	return names
}

func addressWrong(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return fmt.Sprintf("%.64q is no address", addr)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%.64q: names are not looked up", addr)
	}
	return ""
}

// Same tells whether two blocks mean the same fleet in the same way, but for what may change while running.
func (b *Block) Same(o *Block) bool {
	if b == nil || o == nil {
		return b == o
	}
	if len(b.Voters) != len(o.Voters) || b.Name != o.Name || b.Generation != o.Generation || b.Listen != o.Listen ||
		b.Advertise != o.Advertise || b.Folder != o.Folder || b.Lease != o.Lease || !slices.Equal(b.Leases, o.Leases) {
		return false
	}
	for id, addr := range b.Voters {
		if o.Voters[id] != addr {
			return false
		}
	}
	return true
}
