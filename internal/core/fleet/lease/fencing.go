package lease

import "maps"

// FencingCheck is the receivers' side: the highest fencing token seen of each lease.
type FencingCheck struct{ seen map[Name]Token }

// NewFencingCheck begins from the tokens that were persisted; nil: none.
func NewFencingCheck(persisted map[Name]Token) *FencingCheck {
	f := &FencingCheck{seen: map[Name]Token{}}
	maps.Copy(f.seen, persisted)
	return f
}

// Pass tells whether an effect with a fencing token may be accepted, and whether the token is new here: where effects
// last, it has to be durable before the effect is.
func (f *FencingCheck) Pass(name Name, token Token) (ok, risen bool) {
	highest, known := f.seen[name]
	if token == 0 || token < highest || !known && len(f.seen) >= maxLeases {
		return false, false
	}
	if token > highest {
		f.seen[name] = token
	}
	return true, token > highest
}

// Seen is the highest fencing token seen of each lease.
func (f *FencingCheck) Seen() map[Name]Token { return maps.Clone(f.seen) }

// Raise takes in that a fencing token is in use elsewhere: effects with lower ones are refused from now on.
func (f *FencingCheck) Raise(name Name, token Token) {
	if _, known := f.seen[name]; known || len(f.seen) < maxLeases {
		f.seen[name] = max(f.seen[name], token)
	}
}
