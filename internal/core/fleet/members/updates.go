package members

import (
	"cmp"
	"slices"
)

// updates is the queue of the entries to gossip, those that were sent least often first.
type updates struct {
	queue []*entry // sorted by transmits
}

// add enqueues an entry that counts as sent transmits times, behind those that were sent equally
// often. An entry that is queued already is moved.
func (u *updates) add(e *entry, transmits int) {
	u.remove(e)
	e.queued = true
	e.transmits = transmits
	u.queue = slices.Insert(u.queue, u.indexAfter(0, transmits), e)
}

// remove removes an entry from the queue, if it is queued.
func (u *updates) remove(e *entry) {
	if !e.queued {
		return
	}
	e.queued = false
	if i := slices.Index(u.queue, e); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	}
}

// indexAfter returns the index of the first entry at or after from that was sent more often than
// transmits.
func (u *updates) indexAfter(from, transmits int) int {
	compare := func(e *entry, transmits int) int { return cmp.Compare(e.transmits, transmits) }
	i, _ := slices.BinarySearchFunc(u.queue[from:], transmits+1, compare)
	return from + i
}

// take appends queued updates to a list until the list has capacity entries, and counts them as
// sent. Entries for which skip returns true stay queued; those that were sent limit times are
// removed.
func (u *updates) take(list []Member, capacity, limit int, skip func(*entry) bool) []Member {
	var taken []int
	for i, e := range u.queue {
		if len(list) >= capacity {
			break
		}
		if !skip(e) {
			list = append(list, e.Member)
			taken = append(taken, i)
		}
	}
	for _, i := range slices.Backward(taken) {
		u.countTransmit(i)
	}
	for n := len(u.queue); n > 0 && u.queue[n-1].transmits >= limit; n-- {
		u.queue[n-1].queued = false
		u.queue = u.queue[:n-1]
	}
	return list
}

// countTransmit counts the entry at an index as sent once more, and moves it behind all entries
// that were sent as often as it was before.
func (u *updates) countTransmit(i int) {
	e := u.queue[i]
	end := u.indexAfter(i, e.transmits)
	e.transmits++
	copy(u.queue[i:], u.queue[i+1:end])
	u.queue[end-1] = e
}
