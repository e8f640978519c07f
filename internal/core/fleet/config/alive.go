package config

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// aliveInterval is how long a list of the members that are alive is used, in ms.
const aliveInterval = 1000.0

// hintTime is how long another's word on who leads is believed, in ms.
const hintTime = 5000.0

// aliveMembers is the list of members that are alive, this one among them, as of a short time ago.
type aliveMembers struct {
	refreshedAt float64
	ids         []members.ID
	relays      []members.ID // of which these collect reports
}

// leaderHint is another's word on who leads the quorum.
type leaderHint struct {
	leader   members.ID
	until    float64
	replaces members.ID // what the environment said then
}

// refreshAlive looks at all members, at most each second.
func (r *Replica) refreshAlive() {
	if r.now < r.alive.refreshedAt+aliveInterval {
		return
	}
	r.alive.refreshedAt = r.now
	r.alive.ids = r.alive.ids[:0]
	for _, m := range r.env.Members() {
		if m.State == members.Alive {
			r.alive.ids = append(r.alive.ids, m.ID)
		}
	}
	if !slices.IsSorted(r.alive.ids) {
		slices.Sort(r.alive.ids)
	}
	r.alive.relays = relaysOf(r.alive.ids)
}

// drawAlive draws some members other than this one.
func (r *Replica) drawAlive(count int) (picked []members.ID) {
	r.refreshAlive()
	ids := r.alive.ids
	if len(ids) <= count+1 {
		for _, id := range ids {
			if id != r.options.Self {
				picked = append(picked, id)
			}
		}
		return picked
	}
	for len(picked) < count {
		id := ids[r.rng.Intn(len(ids))]
		if id != r.options.Self && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

// hashedMember is a member with a number drawn from its name.
type hashedMember struct {
	id   members.ID
	hash uint64
}

// relaysOf are the members that collect reports: as many as the root of all, the same ones wherever the same are alive.
func relaysOf(ids []members.ID) []members.ID {
	count := int(math.Ceil(math.Sqrt(float64(len(ids)))))
	return highestHashes(ids, "", count)
}

// highestHashes are those members whose names, mixed with a salt, give the highestHashes numbers; the highestHashes first.
func highestHashes(ids []members.ID, salt members.ID, count int) []members.ID {
	list := make([]hashedMember, len(ids))
	for i, id := range ids {
		list[i] = hashedMember{id, mixedHash(id, salt)}
	}
	slices.SortFunc(list, func(a, b hashedMember) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id)) })
	top := make([]members.ID, 0, min(count, len(list)))
	for _, x := range list[:min(count, len(list))] {
		top = append(top, x.id)
	}
	return top
}

// mixedHash draws a number from two names. FNV alone leaves names that differ in their last byte close to each other.
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

// relaysInOrder are the relays in the order in which this one turns to them.
func (r *Replica) relaysInOrder() []members.ID {
	r.refreshAlive()
	return highestHashes(r.alive.relays, r.options.Self, len(r.alive.relays))
}

// leader is whom this one takes for the quorum's leader; empty: it knows none.
func (r *Replica) leader() members.ID {
	if r.env.Leads() {
		return r.options.Self
	}
	told := r.env.Leader()
	if r.hint.leader != "" && r.now < r.hint.until && told == r.hint.replaces {
		return r.hint.leader
	}
	return told
}

// hintLeader takes in who leads by the word of one that was asked and does not lead.
func (r *Replica) hintLeader(from, leader members.ID) {
	if leader == "" || leader == from || leader == r.options.Self || from != r.leader() {
		return
	}
	if _, known := r.env.Member(leader); known {
		r.hint = leaderHint{leader: leader, until: r.now + hintTime, replaces: r.env.Leader()}
	}
}

// updateLeader sees that another leads now.
func (r *Replica) updateLeader() {
	if leads := r.env.Leads(); leads != r.leads {
		r.leads = leads
		r.leadsChangedAt = r.now
	}
	if leader := r.leader(); leader != r.reports.leader {
		r.reports.leader = leader
		r.reportToNewLeader()
	}
}
