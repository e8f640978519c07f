package config

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// relaysOf returns the members that collect reports, as many as the square root of all. It is the
// same on all controllers that believe the same members alive.
func relaysOf(ids []members.ID) []members.ID {
	count := int(math.Ceil(math.Sqrt(float64(len(ids)))))
	return highestHashes(ids, "", count)
}

// relaysInOrder returns the relays in the order in which this controller tries them.
func (r *Replica) relaysInOrder() []members.ID {
	r.refreshAlive()
	return highestHashes(r.alive.relays, r.options.Self, len(r.alive.relays))
}

// hashedMember is a member with a hash of its name.
type hashedMember struct {
	id   members.ID
	hash uint64
}

// highestHashes returns the members that have the highest hashes of name and salt; the highest
// first.
func highestHashes(ids []members.ID, salt members.ID, count int) []members.ID {
	list := make([]hashedMember, len(ids))
	for i, id := range ids {
		list[i] = hashedMember{id: id, hash: mixedHash(id, salt)}
	}
	slices.SortFunc(list, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	count = min(count, len(list))
	top := make([]members.ID, 0, count)
	for _, m := range list[:count] {
		top = append(top, m.id)
	}
	return top
}

// mixedHash returns a hash of two names. With FNV alone, names that differ in their last byte would
// have hashes that are close to each other.
func mixedHash(id, salt members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(salt))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
