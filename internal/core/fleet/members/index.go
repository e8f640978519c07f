package members

import (
	"cmp"
	"slices"
)

// index holds the entries of a Table in lists sorted by ID, so that no event scans or sorts the
// whole table. A map would not do, as it has no order and the same inputs must give the same
// messages. This controller's own entry is in the list all and in no other.
type index struct {
	all      []*entry
	active   []*entry // alive or suspect
	alive    []*entry
	suspects []*entry
	dead     []*entry
	absent   []*entry // dead or left
}

// lists returns the lists that hold the entries of a state.
func (x *index) lists(s State) []*[]*entry {
	switch s {
	case Alive:
		return []*[]*entry{&x.active, &x.alive}
	case Suspect:
		return []*[]*entry{&x.active, &x.suspects}
	case Dead:
		return []*[]*entry{&x.absent, &x.dead}
	default:
		return []*[]*entry{&x.absent}
	}
}

// add inserts the entry of another controller.
func (x *index) add(e *entry) {
	insertEntry(&x.all, e)
	for _, list := range x.lists(e.State) {
		insertEntry(list, e)
	}
}

// remove removes the entry of another controller.
func (x *index) remove(e *entry) {
	removeEntry(&x.all, e.ID)
	for _, list := range x.lists(e.State) {
		removeEntry(list, e.ID)
	}
}

// move moves an entry from the lists of its previous state to those of its state.
func (x *index) move(e *entry, previous State) {
	if e.State == previous {
		return
	}
	for _, list := range x.lists(previous) {
		removeEntry(list, e.ID)
	}
	for _, list := range x.lists(e.State) {
		insertEntry(list, e)
	}
}

// findEntry returns the index of an ID in a sorted list, or the index at which to insert it, and
// whether it was found.
func findEntry(list []*entry, id ID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e *entry, id ID) int {
		return cmp.Compare(e.ID, id)
	})
}

// hasEntry reports whether a sorted list contains the entry of an ID.
func hasEntry(list []*entry, id ID) bool {
	_, found := findEntry(list, id)
	return found
}

// insertEntry inserts an entry into a sorted list, unless the list already has one of its ID.
func insertEntry(list *[]*entry, e *entry) {
	if i, found := findEntry(*list, e.ID); !found {
		*list = slices.Insert(*list, i, e)
	}
}

// removeEntry removes the entry of an ID from a sorted list, if there is one.
func removeEntry(list *[]*entry, id ID) {
	if i, found := findEntry(*list, id); found {
		*list = slices.Delete(*list, i, i+1)
	}
}
