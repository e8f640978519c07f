package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Judge believes what receivers wrote down.
type Judge struct {
	Broken string // what broke first; empty: nothing

	highest map[string]map[lease.Name]lease.Token // by receiver
	owner   map[lease.Grant]int                   // who had effects in an epoch
	owning  map[lease.Name]map[uint64]lease.Token // runs that act, by their own account: for times alone
	lastAct map[lease.Name]float64
	Free    map[lease.Name][]float64 // ms without an owner, each time
	freeAt  map[lease.Name]float64
	Overlap int // times that two acted at once, of which one was refused by its epoch
	Effects int
	Late    int // effects that an endpoint saw after its owner had stopped

	handed map[lease.Name]map[uint64]string // what was handed on, by its serial
	last   map[lease.Name]uint64
	Handed int
}

// NewJudge has seen nothing.
func NewJudge() *Judge {
	return &Judge{highest: map[string]map[lease.Name]lease.Token{}, owner: map[lease.Grant]int{},
		owning: map[lease.Name]map[uint64]lease.Token{}, lastAct: map[lease.Name]float64{}, Free: map[lease.Name][]float64{},
		freeAt: map[lease.Name]float64{}, handed: map[lease.Name]map[uint64]string{}, last: map[lease.Name]uint64{}}
}

// handedOn judges what an owner was told of the state that owners hand on: of each serial there is one, for all of them.
func (j *Judge) handedOn(h node.Checkpoint, now float64) {
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

func (j *Judge) fail(now float64, format string, args ...any) {
	if j.Broken == "" {
		j.Broken = fmt.Sprintf("%.1f ms: ", now) + fmt.Sprintf(format, args...)
	}
}

// took judges an effect that a receiver took: of one epoch there is one owner, and none follows a later one's.
func (j *Judge) took(receiver string, from int, e node.Effect, now float64) {
	j.Effects++
	seen := j.highest[receiver]
	if seen == nil {
		seen = map[lease.Name]lease.Token{}
		j.highest[receiver] = seen
	}
	if e.Grant.Token < seen[e.Grant.Name] {
		j.fail(now, "%s took an effect of %s of epoch %d from n%d after one of epoch %d", receiver, e.Grant.Name, e.Grant.Token,
			from, seen[e.Grant.Name])
	}
	seen[e.Grant.Name] = max(seen[e.Grant.Name], e.Grant.Token)
	if was, ok := j.owner[e.Grant]; ok && was != from {
		j.fail(now, "%s had effects of n%d and n%d in epoch %d", e.Grant.Name, was, from, e.Grant.Token)
	}
	j.owner[e.Grant] = from
}

func (j *Judge) began(run uint64, number int, c lease.Grant, now float64) {
	acting := j.owning[c.Name]
	if acting == nil {
		acting = map[uint64]lease.Token{}
		j.owning[c.Name] = acting
	}
	for _, e := range acting {
		if e == c.Token {
			j.fail(now, "two runs act for %s in epoch %d", c.Name, c.Token)
		}
		j.Overlap++
	}
	if len(acting) == 0 {
		j.Free[c.Name] = append(j.Free[c.Name], now-j.freeAt[c.Name])
	}
	acting[run] = c.Token
}

func (j *Judge) ended(run uint64, c lease.Grant, now float64) {
	if acting := j.owning[c.Name]; acting != nil {
		if _, ok := acting[run]; ok {
			if delete(acting, run); len(acting) == 0 {
				j.freeAt[c.Name] = now
			}
		}
	}
}

func (j *Judge) gone(run uint64, now float64) {
	for w, acting := range j.owning {
		if e, ok := acting[run]; ok {
			j.ended(run, lease.Grant{Name: w, Token: e}, now)
		}
	}
}

func (j *Judge) struck(run uint64, c lease.Grant, _ float64) {
	if _, ok := j.owning[c.Name][run]; !ok {
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
