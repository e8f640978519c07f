package lease

import (
	"maps"
	"slices"
)

// Client tracks the leases offered to this controller, and until when it may act under each by its
// own steady clock. It is not safe for concurrent use.
type Client struct {
	self     Holder
	timing   Timing
	held     map[Name]*heldLease
	sequence uint64             // of the last renewal
	sentAt   map[uint64]float64 // ms, when a renewal was sent, by its sequence
	renewAt  float64            // ms

	// Grants that began and ended since the last TakeChanges.
	began []Grant
	ended []Grant
}

// heldLease is a lease that was offered to this controller.
type heldLease struct {
	token     Token
	expiresAt float64 // ms, before which it may begin an effect; 0: no renewal was confirmed yet
	began     bool    // a renewal was confirmed in time; TakeChanges has reported the start, or will
}

// NewClient returns the client of one run of a controller, which holds nothing.
func NewClient(self Holder, t Timing) *Client {
	return &Client{self: self, timing: t, held: map[Name]*heldLease{}, sentAt: map[uint64]float64{}}
}

// AcceptOffer handles a leader's message that this controller was assigned a lease. The controller
// may not act yet, as it does not know how long the message took: it requests a renewal, and its
// hold time counts from when it sent that request.
func (c *Client) AcceptOffer(now float64, grant Grant) {
	lease := c.held[grant.Name]
	if lease != nil && lease.token >= grant.Token || lease == nil && len(c.held) >= maxLeases {
		return
	}
	if lease != nil {
		c.endGrant(grant.Name)
	}
	c.held[grant.Name] = &heldLease{token: grant.Token}
	c.renewAt = now
}

// Renewal returns the renewal to send if one is due, else nil.
func (c *Client) Renewal(now float64) *Renew {
	c.expire(now)
	if len(c.held) == 0 || now < c.renewAt {
		return nil
	}
	c.renewAt = now + c.timing.RenewInterval()
	c.sequence++
	for sequence, at := range c.sentAt {
		if now-at > c.timing.Duration {
			delete(c.sentAt, sequence)
		}
	}
	c.sentAt[c.sequence] = now
	renewal := &Renew{Holder: c.self, Sequence: c.sequence}
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		renewal.Grants = append(renewal.Grants, Grant{name, c.held[name].token})
	}
	return renewal
}

// RenewNow makes the next renewal due at once. It is called if the last one was sent to a
// controller that does not lead.
func (c *Client) RenewNow(now float64) { c.renewAt = min(c.renewAt, now) }

// ConfirmRenewal handles the answer to a renewal, with the grants that the quorum found valid. The
// holder may act for the hold time from when it sent the renewal, however late the answer comes.
// The caller passes the grants that are not valid to Revoke.
func (c *Client) ConfirmRenewal(now float64, sequence uint64, valid []Grant) {
	sentAt, ok := c.sentAt[sequence]
	if !ok {
		return
	}
	delete(c.sentAt, sequence)
	for _, grant := range valid {
		lease := c.held[grant.Name]
		if lease == nil || lease.token != grant.Token {
			continue
		}
		lease.expiresAt = max(lease.expiresAt, sentAt+c.timing.HoldTime())
		if !lease.began && now < lease.expiresAt {
			lease.began = true
			c.began = append(c.began, grant)
		}
	}
}

// Revoke ends a grant that is no longer valid.
func (c *Client) Revoke(grant Grant) {
	if lease := c.held[grant.Name]; lease != nil && lease.token == grant.Token {
		c.endGrant(grant.Name)
	}
}

// CanAct reports whether this controller may begin an effect under a lease now. It returns the
// fencing token, and the time in ms by which the effect has to be done.
func (c *Client) CanAct(now float64, name Name) (token Token, until float64, ok bool) {
	lease := c.held[name]
	if lease == nil || now >= lease.expiresAt {
		return 0, 0, false
	}
	return lease.token, lease.expiresAt, true
}

// Release ends a lease at once and returns the release to send, or nil if the lease is not held.
// Failed is set if the controller could not run the lease's job.
func (c *Client) Release(name Name, failed bool) *Release {
	lease := c.held[name]
	if lease == nil {
		return nil
	}
	grant := Grant{name, lease.token}
	c.endGrant(name)
	return &Release{Holder: c.self, Grant: grant, Failed: failed}
}

// Held returns the grants under which this controller may act now, sorted by name.
func (c *Client) Held(now float64) (held []Grant) {
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		if token, _, ok := c.CanAct(now, name); ok {
			held = append(held, Grant{name, token})
		}
	}
	return held
}

// TakeChanges returns the grants that began and ended since the last call.
func (c *Client) TakeChanges(now float64) (began, ended []Grant) {
	c.expire(now)
	began, ended = c.began, c.ended
	c.began, c.ended = nil, nil
	return began, ended
}

// Next returns the latest time at which Renewal or TakeChanges has to be called, in ms.
func (c *Client) Next(now float64) float64 {
	if len(c.held) == 0 {
		return now + c.timing.Duration
	}
	next := max(now, c.renewAt)
	for _, lease := range c.held {
		if lease.began {
			next = min(next, max(now, lease.expiresAt))
		}
	}
	return next
}

// expire ends the leases that were not renewed in time. A lease that was offered and never renewed
// stays: the quorum may be unavailable and confirm a later renewal.
func (c *Client) expire(now float64) {
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		if lease := c.held[name]; lease.began && now >= lease.expiresAt {
			c.endGrant(name)
		}
	}
}

// endGrant removes a lease and, if it began, reports its grant as ended.
func (c *Client) endGrant(name Name) {
	lease := c.held[name]
	delete(c.held, name)
	if lease.began {
		c.ended = append(c.ended, Grant{name, lease.token})
	}
}
