package lease

import (
	"maps"
	"slices"
)

// State is the replicated state of all leases. The zero value has no leases. It is not safe
// for concurrent use.
type State struct {
	Leases map[Name]*Lease
}

// Copy returns a deep copy.
func (s *State) Copy() *State {
	copied := &State{Leases: make(map[Name]*Lease, len(s.Leases))}
	for name, lease := range s.Leases {
		own := *lease
		copied.Leases[name] = &own
	}
	return copied
}

// List returns all leases, sorted by name.
func (s *State) List() []Lease {
	list := make([]Lease, 0, len(s.Leases))
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		list = append(list, *s.Leases[name])
	}
	return list
}

// Restore replaces the state by the leases of a snapshot.
func (s *State) Restore(list []Lease) {
	s.Leases = make(map[Name]*Lease, len(list))
	for _, lease := range list {
		s.Leases[lease.Name] = &lease
	}
}

// Apply applies a committed command, and returns the leases that it changed, renewed or read. It is
// deterministic: the same commands in the same order give the same state on all voters. A command
// whose conditions no longer hold changes nothing.
func (s *State) Apply(c Command) (changed []Name) {
	switch {
	case c.Declare != nil:
		return s.declare(c.Declare.Names)
	case c.Assign != nil:
		return s.assign(c.Assign)
	case c.Renew != nil:
		return s.renew(c.Renew)
	case c.Release != nil:
		return s.release(c.Release)
	case c.StoreState != nil:
		return s.storeState(c.StoreState)
	case c.LoadState != nil:
		if s.heldBy(c.LoadState.Holder, c.LoadState.Grant) != nil {
			return []Name{c.LoadState.Grant.Name}
		}
	case c.Prefer != nil:
		return s.prefer(c.Prefer)
	}
	return nil
}

// declare sets which leases exist. A lease that is no longer declared is retired and keeps its
// fencing token: if it is declared again, its token rises from there, and effects of its former
// holders stay fenced.
func (s *State) declare(declared []Name) (changed []Name) {
	if s.Leases == nil {
		s.Leases = map[Name]*Lease{}
	}
	for _, name := range declared {
		lease := s.Leases[name]
		if lease == nil && len(s.Leases) < maxLeases && name != "" && len(name) <= maxNameBytes {
			s.Leases[name] = &Lease{Name: name}
			changed = append(changed, name)
		} else if lease != nil && lease.Retired {
			lease.Retired = false
			changed = append(changed, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		lease := s.Leases[name]
		if !lease.Retired && !slices.Contains(declared, name) {
			lease.Retired = true
			lease.Preferred = ""
			changed = append(changed, name)
		}
	}
	return changed
}

// assign assigns a lease to a holder, with the next fencing token.
func (s *State) assign(c *Assign) []Name {
	lease := s.Leases[c.Name]
	if lease == nil || lease.Retired || lease.Revision != c.Revision || c.To.ID == "" {
		return nil
	}
	lease.Token++
	lease.Holder = c.To
	lease.Revision++
	if lease.Preferred == lease.Holder.ID {
		lease.Preferred = ""
	}
	return []Name{lease.Name}
}

// renew renews the grants that the holder still holds.
func (s *State) renew(c *Renew) (renewed []Name) {
	for _, grant := range c.Grants {
		if lease := s.heldBy(c.Holder, grant); lease != nil {
			lease.Revision++
			renewed = append(renewed, lease.Name)
		}
	}
	return renewed
}

// release ends a holder's grant, if the holder still holds it.
func (s *State) release(c *Release) []Name {
	lease := s.heldBy(c.Holder, c.Grant)
	if lease == nil {
		return nil
	}
	lease.Holder = Holder{}
	lease.Revision++
	return []Name{lease.Name}
}

// storeState replaces the job's state that is stored with a lease, if the holder still holds the
// lease and the serial follows the stored one.
func (s *State) storeState(c *StoreState) []Name {
	lease := s.heldBy(c.Holder, c.Grant)
	if lease == nil || c.Serial != lease.Serial+1 || len(c.Data) > MaxStateBytes {
		return nil
	}
	lease.Serial = c.Serial
	lease.State = c.Data
	return []Name{lease.Name}
}

// prefer sets the preferred next holder, unless that member already holds the lease.
func (s *State) prefer(c *Prefer) []Name {
	lease := s.Leases[c.Name]
	if lease == nil || lease.Retired || lease.Holder.ID == c.To || len(c.To) > maxNameBytes {
		return nil
	}
	lease.Preferred = c.To
	return []Name{lease.Name}
}

// heldBy returns the lease of a grant if the holder holds it under the grant's token, else nil.
func (s *State) heldBy(holder Holder, grant Grant) *Lease {
	lease := s.Leases[grant.Name]
	if lease == nil || lease.Holder != holder || lease.Token != grant.Token || holder.ID == "" {
		return nil
	}
	return lease
}
