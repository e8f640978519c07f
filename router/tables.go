package router

import (
	"cmp"
	"maps"
	"slices"
)

// The books of table groups and of the engines that own them. Nothing is decided here.

// tableGroup is a group of tables with its learned demand.
type tableGroup struct {
	id      TableGroup
	asked   float64   // when it was last named
	open    int       // commands on it in the books
	hot     bool      // it was said to be
	known   bool      // commands on it have been answered; else any stranger may have named it
	demand  decay     // work asked for
	held    decay     // memory times time, of this controller's sends
	homes   []*owner  // by kind
	holders []*engine // on which loads may hold it
}

// owner is a pack, or several packs that share as merged, with the engines of one kind that it owns.
type owner struct {
	packs   [][]*tableGroup
	engines []*engine
	want    int     // how many it is to have
	asks    float64 // its demand, when counts were last made
	spare   spare
}

func (o *owner) groups() []*tableGroup { return slices.Concat(o.packs...) }

func byGroup(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }

// groupOf is the table group of an id; a new one finds its owners.
func (r *Router) groupOf(id TableGroup) *tableGroup {
	g := r.tables[id]
	if g == nil {
		g = &tableGroup{id: id, demand: decay{life: demandLife}, held: decay{life: demandLife},
			homes: make([]*owner, len(r.kinds))}
		r.tables[id], r.groups = g, insert(r.groups, g, byGroup)
		for k := range r.owners {
			r.join(k, g)
		}
	}
	return g
}

// demand is the work asked of an owner's groups, for each millisecond.
func (r *Router) demand(o *owner) float64 {
	sum := 1e-9
	for _, pack := range o.packs {
		for _, g := range pack {
			if sum += g.demand.rate(r.now); g.hot {
				sum += (hotWeight - 1) * g.demand.rate(r.now)
			}
		}
	}
	return sum
}

// mean is an owner's load: that of its engines, on average.
func (r *Router) mean(o *owner) (sum float64) {
	for _, e := range o.engines {
		sum += r.load(e) / float64(len(o.engines))
	}
	return sum
}

// forgetTables drops table groups that nobody has named since then, or since the later time if no command on
// them was ever answered, and that have no command open, with all that is kept by them.
func (r *Router) forgetTables(since, strange float64) {
	for _, e := range r.order {
		maps.DeleteFunc(e.heldUntil, func(_ *tableGroup, until float64) bool { return r.now >= until })
	}
	for _, g := range r.groups {
		g.release(r.now)
	}
	gone := func(g *tableGroup) bool {
		return g.open == 0 && (g.asked < since || !g.known && g.asked < strange)
	}
	r.groups = slices.DeleteFunc(r.groups, gone)
	for _, o := range slices.Concat(r.owners...) {
		for i := range o.packs {
			o.packs[i] = slices.DeleteFunc(o.packs[i], gone)
		}
	}
	maps.DeleteFunc(r.tables, func(_ TableGroup, g *tableGroup) bool { return gone(g) })
}
