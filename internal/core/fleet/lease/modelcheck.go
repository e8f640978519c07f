package lease

import (
	"fmt"
	"maps"
	"slices"
)

// What follows is for a model checker, which explores all orders of events: copies to branch on, and keys by which it
// recognizes a state that it has seen.

// Copy is a manager that shares nothing with this one.
func (m *Manager) Copy() *Manager {
	copied := *m
	copied.renewedAt = maps.Clone(m.renewedAt)
	copied.backoffUntil = maps.Clone(m.backoffUntil)
	copied.pending = maps.Clone(m.pending)
	copied.unconfirmed = maps.Clone(m.unconfirmed)
	return &copied
}

// AppendKey adds everything by which this manager will decide.
func (m *Manager) AppendKey(b []byte, state *State) []byte {
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		b = fmt.Append(b, m.Until(name), m.unconfirmed[name])
	}
	return b
}

// Copy is a client that shares nothing with this one.
func (c *Client) Copy() *Client {
	copied := *c
	copied.sentAt = maps.Clone(c.sentAt)
	copied.held = make(map[Name]*heldLease, len(c.held))
	for name, lease := range c.held {
		own := *lease
		copied.held[name] = &own
	}
	copied.began, copied.ended = slices.Clone(c.began), slices.Clone(c.ended)
	return &copied
}

// SentAt is when the renewal of a sequence was sent, in ms; 0: it is not waited for.
func (c *Client) SentAt(sequence uint64) float64 { return c.sentAt[sequence] }

// AppendKey adds everything by which this client will act, but for the renewals that are on their way: two clients with
// the same key and the same renewals act alike.
func (c *Client) AppendKey(b []byte) []byte {
	b = fmt.Append(b, c.self.Run, c.renewAt)
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		lease := c.held[name]
		b = fmt.Append(b, name, lease.token, lease.until, lease.reported)
	}
	return b
}
