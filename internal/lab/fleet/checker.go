package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Checker looks at what receivers wrote down, and finds what may not be.
type Checker struct {
	Broken string // what broke first; empty: nothing

	highest map[string]map[lease.Name]lease.Token // by receiver
	holders map[lease.Grant]int                   // whose effects were accepted under a token, by controller
	acting  map[lease.Name]map[uint64]lease.Token // runs that act, by their own account: for times alone
	Free    map[lease.Name][]float64              // ms without a holder, each time
	freeAt  map[lease.Name]float64
	Overlap int // times that two acted at once, of which one was refused by its token
	Effects int
	Late    int // effects that an endpoint saw after its holder had stopped

	handed map[lease.Name]map[uint64]string // what was handed on, by its serial
	last   map[lease.Name]uint64
	Handed int
}

// NewChecker has seen nothing.
func NewChecker() *Checker {
	return &Checker{highest: map[string]map[lease.Name]lease.Token{}, holders: map[lease.Grant]int{},
		acting: map[lease.Name]map[uint64]lease.Token{}, Free: map[lease.Name][]float64{},
		freeAt: map[lease.Name]float64{}, handed: map[lease.Name]map[uint64]string{}, last: map[lease.Name]uint64{}}
}

// handedOn checks what a holder was told of the state that holders hand on: of each serial there is one, for all of them.
func (j *Checker) handedOn(h node.Checkpoint, now float64) {
	j.Handed++
	by := j.handed[h.Grant.Name]
	if by == nil {
		by = map[uint64]string{}
		j.handed[h.Grant.Name] = by
	}
	if was, ok := by[h.Serial]; ok && was != string(h.Data) {
		j.fail(now, "%s has two states of serial %d: %q and %q", h.Grant.Name, h.Serial, was, h.Data)
	}
	by[h.Serial] = string(h.Data)
	j.last[h.Grant.Name] = max(j.last[h.Grant.Name], h.Serial)
}

func (j *Checker) fail(now float64, format string, args ...any) {
	if j.Broken == "" {
		j.Broken = fmt.Sprintf("%.1f ms: ", now) + fmt.Sprintf(format, args...)
	}
}

// effectAccepted checks an effect that a receiver accepted: of one token there is one holder, and none follows a later one's.
func (j *Checker) effectAccepted(receiver string, from int, e node.Effect, now float64) {
	j.Effects++
	seen := j.highest[receiver]
	if seen == nil {
		seen = map[lease.Name]lease.Token{}
		j.highest[receiver] = seen
	}
	if e.Grant.Token < seen[e.Grant.Name] {
		j.fail(now, "%s accepted an effect of %s of token %d from n%d after one of token %d", receiver, e.Grant.Name, e.Grant.Token,
			from, seen[e.Grant.Name])
	}
	seen[e.Grant.Name] = max(seen[e.Grant.Name], e.Grant.Token)
	if was, ok := j.holders[e.Grant]; ok && was != from {
		j.fail(now, "%s had effects of n%d and n%d under token %d", e.Grant.Name, was, from, e.Grant.Token)
	}
	j.holders[e.Grant] = from
}

func (j *Checker) began(run uint64, c lease.Grant, now float64) {
	acting := j.acting[c.Name]
	if acting == nil {
		acting = map[uint64]lease.Token{}
		j.acting[c.Name] = acting
	}
	for _, e := range acting {
		if e == c.Token {
			j.fail(now, "two runs act for %s under token %d", c.Name, c.Token)
		}
		j.Overlap++
	}
	if len(acting) == 0 {
		j.Free[c.Name] = append(j.Free[c.Name], now-j.freeAt[c.Name])
	}
	acting[run] = c.Token
}

func (j *Checker) ended(run uint64, c lease.Grant, now float64) {
	if acting := j.acting[c.Name]; acting != nil {
		if _, ok := acting[run]; ok {
			if delete(acting, run); len(acting) == 0 {
				j.freeAt[c.Name] = now
			}
		}
	}
}

func (j *Checker) runEnded(run uint64, now float64) {
	for w, acting := range j.acting {
		if e, ok := acting[run]; ok {
			j.ended(run, lease.Grant{Name: w, Token: e}, now)
		}
	}
}

func (j *Checker) effectBegun(run uint64, c lease.Grant, _ float64) {
	if _, ok := j.acting[c.Name][run]; !ok {
		j.Late++
	}
}

// Shrink leaves out faults as long as the history still breaks, and returns the shortest script found and what breaks.
func Shrink(p Plan) (Plan, string) {
	why := NewWorld(p).Play()
	for size := max(1, len(p.Script)/2); size >= 1; {
		shorter := false
		for i := 0; i+size <= len(p.Script); {
			try := p
			try.Script = append(append(Script{}, p.Script[:i]...), p.Script[i+size:]...)
			if broken := NewWorld(try).Play(); broken != "" {
				p, why, shorter = try, broken, true
				continue
			}
			i++
		}
		if !shorter || size > len(p.Script) {
			size /= 2
		}
	}
	return p, why
}
