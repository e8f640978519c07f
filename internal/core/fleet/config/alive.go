package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// aliveInterval is the time in ms for which the list of alive members is reused.
const aliveInterval = 1000.0

// aliveMembers is the list of alive members, this controller among them, at most aliveInterval old.
type aliveMembers struct {
	refreshedAt float64      // ms
	ids         []members.ID // sorted
	relays      []members.ID // those of ids that collect reports
}

// refreshAlive lists the alive members again, at most once in aliveInterval.
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

// drawAlive returns count random alive members other than this controller, or all if there are
// fewer.
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
