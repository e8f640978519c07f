package members

import "hash/fnv"

// rings is in how many rings the members are ordered, each by another hash of their ids. Each controller pings its successor
// in every ring, so each member is pinged by some ten controllers, which together are a random subset of the fleet, and the
// graph of who pings whom is an expander: news spreads over it about as fast as by pings of all. The paths are few and
// used again and again, so their connections stay open, and an answer takes one round trip in place of several. The
// topology is that of Rapid (USENIX ATC 2018).
const rings = 10

// positionOf is an id's hash, from which its places in all rings follow.
func positionOf(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// place is where an entry stands in a ring: a finalizer of 64 bits over its hash and the ring's number.
func (e *entry) place(ring int) uint64 {
	x := e.position + uint64(ring+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// subjects are the members that this controller pings: its successors in all rings, or all where there are no more than
// rings.
func (t *Table) subjects() []*entry {
	if len(t.index.active) <= rings {
		return t.index.active
	}
	var list []*entry
	for ring := range rings {
		if next := t.successor(ring); !hasEntry(list, next.ID) {
			insertEntry(&list, next)
		}
	}
	return list
}

// successor is the active member next to this controller in a ring; there must be one.
func (t *Table) successor(ring int) *entry {
	own := t.self.place(ring)
	next := t.index.active[0]
	least := next.place(ring) - own
	for _, e := range t.index.active[1:] {
		if distance := e.place(ring) - own; distance < least {
			next, least = e, distance
		}
	}
	return next
}
