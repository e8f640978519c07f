package members

import "slices"

// relay is a ping made in another's place.
type relay struct {
	ping  uint32 // sequence number of the ping made
	asker ID
	seq   uint32 // of the asker's request
	about ID
	until float64
}

// relays are the pings made in others' places, both lists by until. An answer that comes too late to spare the asker a Nack
// is passed on all the same: over a new connection to a far member it takes several round trips.
type relays struct {
	waiting []relay
	late    []relay
}

func (r *relays) len() int { return len(r.waiting) + len(r.late) }

// answered takes out the relay that an answer belongs to.
func (r *relays) answered(ping uint32, about ID) (found relay, ok bool) {
	for _, list := range []*[]relay{&r.waiting, &r.late} {
		i := slices.IndexFunc(*list, func(r relay) bool { return r.ping == ping && r.about == about })
		if i >= 0 {
			found = (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			return found, true
		}
	}
	return relay{}, false
}

// expired are the relays whose askers are due a Nack; for so long after it an answer is still waited for.
func (r *relays) expired(now, longer float64) (due []relay) {
	for len(r.late) > 0 && now >= r.late[0].until {
		r.late = r.late[1:]
	}
	for len(r.waiting) > 0 && now >= r.waiting[0].until {
		due = append(due, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	for _, one := range due {
		one.until += longer
		r.late = append(r.late, one)
	}
	return due
}
