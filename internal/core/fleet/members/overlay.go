package members

import "hash/fnv"

// rings is the number of rings on which the members are ordered, each by a different hash of their
// IDs. Each controller probes its successor on every ring. Each member is thus probed by about ten
// controllers, a random subset of the fleet, and the graph of probes is an expander: gossip spreads
// over it about as fast as with probes of all members. The edges are few and stable, so their
// connections stay open and an ack takes one round trip instead of several. The topology is that of
// Rapid (USENIX ATC 2018).
const rings = 10

// ringHash returns the hash of an ID from which its positions on all rings are derived.
func ringHash(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// ringPosition returns the entry's position on a ring: the 64-bit finalizer of SplitMix64 over its
// hash and the ring's number.
func (e *entry) ringPosition(ring int) uint64 {
	x := e.ringHash + uint64(ring+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// probeTargets returns the members that this controller probes, sorted by ID: its successors on all
// rings, or all active members if there are no more of them than rings.
func (t *Table) probeTargets() []*entry {
	if len(t.index.active) <= rings {
		return t.index.active
	}
	var list []*entry
	for ring := range rings {
		next := t.successor(ring)
		if !hasEntry(list, next.ID) {
			insertEntry(&list, next)
		}
	}
	return list
}

// successor returns the active member that follows this controller on a ring. There must be at
// least one other active member.
func (t *Table) successor(ring int) *entry {
	own := t.self.ringPosition(ring)
	next := t.index.active[0]
	shortest := next.ringPosition(ring) - own
	for _, e := range t.index.active[1:] {
		distance := e.ringPosition(ring) - own
		if distance < shortest {
			next = e
			shortest = distance
		}
	}
	return next
}
