package lease

import "maps"

// FencingCheck rejects effects of former holders, by the highest fencing token seen of each lease.
// An effect is an action that a holder of a lease asks another process to carry out; the check runs
// on the receiver.
type FencingCheck struct {
	highest map[Name]Token
}

// NewFencingCheck returns a check that begins with the tokens that the caller has stored, if any.
func NewFencingCheck(stored map[Name]Token) *FencingCheck {
	f := &FencingCheck{highest: map[Name]Token{}}
	maps.Copy(f.highest, stored)
	return f
}

// Admit reports whether an effect with a fencing token may be accepted, and whether the token is
// new here; it records a new one. Token 0 is rejected, and so is an effect of an unknown lease once
// maxLeases are known. If effects are durable, a new token must be durable before the effect is, or
// an older holder's effect could be accepted after a restart.
func (f *FencingCheck) Admit(name Name, token Token) (ok, isNew bool) {
	highest, known := f.highest[name]
	if token == 0 || token < highest || !known && len(f.highest) >= maxLeases {
		return false, false
	}
	isNew = token > highest
	if isNew {
		f.highest[name] = token
	}
	return true, isNew
}

// Seen returns the highest fencing token seen of each lease.
func (f *FencingCheck) Seen() map[Name]Token { return maps.Clone(f.highest) }

// Raise records that a fencing token is in use elsewhere: effects with lower ones are rejected from
// now on. It does nothing for an unknown lease once maxLeases are known.
func (f *FencingCheck) Raise(name Name, token Token) {
	if _, known := f.highest[name]; known || len(f.highest) < maxLeases {
		f.highest[name] = max(f.highest[name], token)
	}
}
