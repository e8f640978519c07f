package members

import (
	"cmp"
	"slices"
)

// index keeps the entries of a table in lists sorted by id, so that no event scans or sorts the whole table. A map alone
// has no order, and the same events must lead to the same messages. This controller's own entry is in all and nowhere else.
type index struct {
	all      []*entry
	active   []*entry // alive or suspect
	alive    []*entry
	suspects []*entry
	gone     []*entry
	absent   []*entry // gone or left
}

// lists are those that hold entries of a state.
func (x *index) lists(s State) []*[]*entry {
	switch s {
	case Alive:
		return []*[]*entry{&x.active, &x.alive}
	case Suspect:
		return []*[]*entry{&x.active, &x.suspects}
	case Gone:
		return []*[]*entry{&x.absent, &x.gone}
	default:
		return []*[]*entry{&x.absent}
	}
}

// add takes in an entry of another controller.
func (x *index) add(e *entry) {
	insertEntry(&x.all, e)
	for _, list := range x.lists(e.State) {
		insertEntry(list, e)
	}
}

// remove takes an entry of another controller out.
func (x *index) remove(e *entry) {
	removeEntry(&x.all, e.ID)
	for _, list := range x.lists(e.State) {
		removeEntry(list, e.ID)
	}
}

// move takes in that the state of an entry was another one.
func (x *index) move(e *entry, was State) {
	if e.State == was {
		return
	}
	for _, list := range x.lists(was) {
		removeEntry(list, e.ID)
	}
	for _, list := range x.lists(e.State) {
		insertEntry(list, e)
	}
}

func findEntry(list []*entry, id ID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e *entry, id ID) int { return cmp.Compare(e.ID, id) })
}

func hasEntry(list []*entry, id ID) bool {
	_, found := findEntry(list, id)
	return found
}

func insertEntry(list *[]*entry, e *entry) {
	if i, found := findEntry(*list, e.ID); !found {
		*list = slices.Insert(*list, i, e)
	}
}

func removeEntry(list *[]*entry, id ID) {
	if i, found := findEntry(*list, id); found {
		*list = slices.Delete(*list, i, i+1)
	}
}
