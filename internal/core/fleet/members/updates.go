package members

import (
	"cmp"
	"slices"
)

// updates is the queue of entries whose news is passed on with messages, the ones sent least often first.
type updates struct {
	queue []*entry // sorted by sent
}

// add puts an entry behind those that were sent as often as it is taken to have been.
func (u *updates) add(e *entry, sent int) {
	u.remove(e)
	e.queued, e.sent = true, sent
	u.queue = slices.Insert(u.queue, u.after(0, sent), e)
}

// remove takes an entry out.
func (u *updates) remove(e *entry) {
	if !e.queued {
		return
	}
	e.queued = false
	if i := slices.Index(u.queue, e); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	}
}

// after is the first place from one on whose entry was sent more often than a count.
func (u *updates) after(from, sent int) int {
	i, _ := slices.BinarySearchFunc(u.queue[from:], sent+1, func(e *entry, sent int) int { return cmp.Compare(e.sent, sent) })
	return from + i
}

// take appends the news of entries to a list until it has room no more, and counts them as sent. Entries sent limit times
// leave the queue.
func (u *updates) take(list []Member, room, limit int, skip func(*entry) bool) []Member {
	var taken []int
	for i, e := range u.queue {
		if len(list) >= room {
			break
		}
		if !skip(e) {
			list = append(list, e.Member)
			taken = append(taken, i)
		}
	}
	for _, i := range slices.Backward(taken) {
		u.advance(i)
	}
	for n := len(u.queue); n > 0 && u.queue[n-1].sent >= limit; n-- {
		u.queue[n-1].queued = false
		u.queue = u.queue[:n-1]
	}
	return list
}

// advance counts the entry at a place as sent once more and moves it ahead of those that were sent as often.
func (u *updates) advance(i int) {
	e := u.queue[i]
	to := u.after(i, e.sent)
	e.sent++
	copy(u.queue[i:], u.queue[i+1:to])
	u.queue[to-1] = e
}
