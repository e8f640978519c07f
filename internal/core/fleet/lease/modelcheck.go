package lease

import (
	"fmt"
	"maps"
	"slices"
)

// This file supports the model checker (internal/lab/fleet), which explores all orders of events:
// it copies a state to branch on, and derives keys by which a visited state is recognized.

// Copy returns a deep copy.
func (m *Manager) Copy() *Manager {
	copied := *m
	copied.renewedAt = maps.Clone(m.renewedAt)
	copied.backoffUntil = maps.Clone(m.backoffUntil)
	copied.pending = maps.Clone(m.pending)
	copied.unconfirmed = maps.Clone(m.unconfirmed)
	return &copied
}

// AppendKey appends all that this manager's decisions depend on.
func (m *Manager) AppendKey(b []byte, state *State) []byte {
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		b = fmt.Append(b, m.ReassignableAt(name), m.unconfirmed[name])
	}
	return b
}

// Copy returns a deep copy.
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

// SentAt returns when the renewal with a sequence number was sent, in ms; 0: it was answered, is
// unknown, or is too old.
func (c *Client) SentAt(sequence uint64) float64 { return c.sentAt[sequence] }

// AppendKey appends all that this client's actions depend on, except its unanswered renewals: two
// clients with the same key and the same unanswered renewals act alike.
func (c *Client) AppendKey(b []byte) []byte {
	b = fmt.Append(b, c.self.Run, c.renewAt)
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		lease := c.held[name]
		b = fmt.Append(b, name, lease.token, lease.expiresAt, lease.began)
	}
	return b
}
