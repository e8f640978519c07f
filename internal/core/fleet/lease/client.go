package lease

import (
	"maps"
	"slices"
)

// Client is a holder's side: what this controller may still do, by its own steady clock.
type Client struct {
	self     Holder
	terms    Terms
	held     map[Name]*heldLease
	sequence uint64             // of the last renewal
	sentAt   map[uint64]float64 // ms, when a renewal was sent, by its sequence
	renewAt  float64            // ms
	began    []Grant
	ended    []Grant
}

// heldLease is a lease that this controller was offered.
type heldLease struct {
	token    Token
	until    float64 // ms, before which it may begin an effect; 0: not yet
	reported bool    // it has begun, and Turns says so
}

// NewClient is for one incarnation of a controller.
func NewClient(self Holder, t Terms) *Client {
	return &Client{self: self, terms: t, held: map[Name]*heldLease{}, sentAt: map[uint64]float64{}}
}

// Offered takes in that this controller is said to hold a lease. It may not act on that: how long the message took is not
// known. It asks for a renewal, and counts from when it asked.
func (c *Client) Offered(now float64, grant Grant) {
	lease := c.held[grant.Name]
	if lease != nil && lease.token >= grant.Token || lease == nil && len(c.held) >= maxLeases {
		return
	}
	if lease != nil {
		c.drop(grant.Name)
	}
	c.held[grant.Name] = &heldLease{token: grant.Token}
	c.renewAt = now
}

// Renewal is the next renewal, if one is due; nil: none.
func (c *Client) Renewal(now float64) *Renew {
	c.expire(now)
	if len(c.held) == 0 || now < c.renewAt {
		return nil
	}
	c.renewAt = now + c.terms.RenewEach()
	c.sequence++
	for sequence, at := range c.sentAt {
		if now-at > c.terms.Lease {
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

// Hurry has the next renewal sent at once, as the last one went to a controller that does not lead.
func (c *Client) Hurry(now float64) { c.renewAt = min(c.renewAt, now) }

// Renewed takes in what was agreed upon a renewal: the grants that are valid. Of a grant that the renewal named and that
// is not among them, this controller is no longer the holder, which Refused takes in.
func (c *Client) Renewed(now float64, sequence uint64, valid []Grant) {
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
		lease.until = max(lease.until, sentAt+c.terms.HoldsFor())
		if !lease.reported && now < lease.until {
			lease.reported = true
			c.began = append(c.began, grant)
		}
	}
}

// Refused takes in that a grant is not valid.
func (c *Client) Refused(grant Grant) {
	if lease := c.held[grant.Name]; lease != nil && lease.token == grant.Token {
		c.drop(grant.Name)
	}
}

// CanAct tells whether this controller may begin an effect of a lease now, with which fencing token, and until when, in
// ms, it has to be done.
func (c *Client) CanAct(now float64, name Name) (token Token, until float64, ok bool) {
	lease := c.held[name]
	if lease == nil || now >= lease.until {
		return 0, 0, false
	}
	return lease.token, lease.until, true
}

// GiveUp stops a lease at once and returns the release that is to be sent, nil if the lease is not held.
func (c *Client) GiveUp(name Name, failed bool) *Release {
	lease := c.held[name]
	if lease == nil {
		return nil
	}
	grant := Grant{name, lease.token}
	c.drop(name)
	return &Release{Holder: c.self, Grant: grant, Failed: failed}
}

// Held are the grants under which this controller may act now, in the order of their names.
func (c *Client) Held(now float64) (held []Grant) {
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		if token, _, ok := c.CanAct(now, name); ok {
			held = append(held, Grant{name, token})
		}
	}
	return held
}

// Turns hands over which leases began and ended since the last call.
func (c *Client) Turns(now float64) (began, ended []Grant) {
	c.expire(now)
	began, ended = c.began, c.ended
	c.began, c.ended = nil, nil
	return began, ended
}

// Next is when Renewal or Turns is to be called at the latest, in ms.
func (c *Client) Next(now float64) float64 {
	if len(c.held) == 0 {
		return now + c.terms.Lease
	}
	next := max(now, c.renewAt)
	for _, lease := range c.held {
		if lease.reported {
			next = min(next, max(now, lease.until))
		}
	}
	return next
}

// expire drops the leases that were not renewed in time. One that was never renewed is kept: the quorum may be away.
func (c *Client) expire(now float64) {
	for _, name := range slices.Sorted(maps.Keys(c.held)) {
		if lease := c.held[name]; lease.reported && now >= lease.until {
			c.drop(name)
		}
	}
}

// drop ends a lease.
func (c *Client) drop(name Name) {
	lease := c.held[name]
	delete(c.held, name)
	if lease.reported {
		c.ended = append(c.ended, Grant{name, lease.token})
	}
}
