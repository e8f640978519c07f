package config

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// relaysOf returns the members that collect reports: the square root of the number of members,
// rounded up. All controllers that consider the same members alive choose the same relays.
func relaysOf(ids []members.ID) []members.ID {
	count := int(math.Ceil(math.Sqrt(float64(len(ids)))))
	return rendezvousOrder(ids, "", count)
}

// relaysInOrder returns the relays in the order in which this controller tries them.
func (r *Replica) relaysInOrder() []members.ID {
	r.refreshAlive()
	return rendezvousOrder(r.alive.relays, r.options.Self, len(r.alive.relays))
}

// rankedMember is a member with the hash that it is ranked by.
type rankedMember struct {
	id   members.ID
	hash uint64
}

// rendezvousOrder returns the count members with the highest hashes of name and salt, the highest
// first (rendezvous hashing): without one member the order of the others stays the same.
func rendezvousOrder(ids []members.ID, salt members.ID, count int) []members.ID {
	list := make([]rankedMember, len(ids))
	for i, id := range ids {
		list[i] = rankedMember{id: id, hash: rendezvousHash(id, salt)}
	}
	slices.SortFunc(list, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	count = min(count, len(list))
	top := make([]members.ID, 0, count)
	for _, m := range list[:count] {
		top = append(top, m.id)
	}
	return top
}

// rendezvousHash returns a hash of two names. FNV alone would give close hashes to names that
// differ only in their last byte, so the bits of its hash are mixed.
func rendezvousHash(id, salt members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(salt))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
