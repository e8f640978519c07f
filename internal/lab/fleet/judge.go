package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/works"
)

// Judge believes what receivers wrote down.
type Judge struct {
	Broken string // what broke first; empty: nothing

	highest map[string]map[works.Work]works.Epoch // by receiver
	owner   map[works.Claim]int                   // who had effects in an epoch
	owning  map[works.Work]map[uint64]works.Epoch // runs that act, by their own account: for times alone
	lastAct map[works.Work]float64
	Free    map[works.Work][]float64 // ms without an owner, each time
	freeAt  map[works.Work]float64
	Overlap int // times that two acted at once, of which one was refused by its epoch
	Effects int
	Late    int // effects that an endpoint saw after its owner had stopped

	handed map[works.Work]map[uint64]string // what was handed on, by its serial
	last   map[works.Work]uint64
	Handed int
}

// NewJudge has seen nothing.
func NewJudge() *Judge {
	return &Judge{highest: map[string]map[works.Work]works.Epoch{}, owner: map[works.Claim]int{},
		owning: map[works.Work]map[uint64]works.Epoch{}, lastAct: map[works.Work]float64{}, Free: map[works.Work][]float64{},
		freeAt: map[works.Work]float64{}, handed: map[works.Work]map[uint64]string{}, last: map[works.Work]uint64{}}
}

// handedOn judges what an owner was told of the state that owners hand on: of each serial there is one, for all of them.
func (j *Judge) handedOn(h node.Handed, now float64) {
	j.Handed++
	by := j.handed[h.Claim.Work]
	if by == nil {
		by = map[uint64]string{}
		j.handed[h.Claim.Work] = by
	}
	if was, ok := by[h.Serial]; ok && was != string(h.Data) {
		j.fail(now, "%s has two states of serial %d: %q and %q", h.Claim.Work, h.Serial, was, h.Data)
	}
	by[h.Serial] = string(h.Data)
	j.last[h.Claim.Work] = max(j.last[h.Claim.Work], h.Serial)
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
		seen = map[works.Work]works.Epoch{}
		j.highest[receiver] = seen
	}
	if e.Claim.Epoch < seen[e.Claim.Work] {
		j.fail(now, "%s took an effect of %s of epoch %d from n%d after one of epoch %d", receiver, e.Claim.Work, e.Claim.Epoch,
			from, seen[e.Claim.Work])
	}
	seen[e.Claim.Work] = max(seen[e.Claim.Work], e.Claim.Epoch)
	if was, ok := j.owner[e.Claim]; ok && was != from {
		j.fail(now, "%s had effects of n%d and n%d in epoch %d", e.Claim.Work, was, from, e.Claim.Epoch)
	}
	j.owner[e.Claim] = from
}

func (j *Judge) began(run uint64, number int, c works.Claim, now float64) {
	acting := j.owning[c.Work]
	if acting == nil {
		acting = map[uint64]works.Epoch{}
		j.owning[c.Work] = acting
	}
	for _, e := range acting {
		if e == c.Epoch {
			j.fail(now, "two runs act for %s in epoch %d", c.Work, c.Epoch)
		}
		j.Overlap++
	}
	if len(acting) == 0 {
		j.Free[c.Work] = append(j.Free[c.Work], now-j.freeAt[c.Work])
	}
	acting[run] = c.Epoch
}

func (j *Judge) ended(run uint64, c works.Claim, now float64) {
	if acting := j.owning[c.Work]; acting != nil {
		if _, ok := acting[run]; ok {
			if delete(acting, run); len(acting) == 0 {
				j.freeAt[c.Work] = now
			}
		}
	}
}

func (j *Judge) gone(run uint64, now float64) {
	for w, acting := range j.owning {
		if e, ok := acting[run]; ok {
			j.ended(run, works.Claim{Work: w, Epoch: e}, now)
		}
	}
}

func (j *Judge) struck(run uint64, c works.Claim, _ float64) {
	if _, ok := j.owning[c.Work][run]; !ok {
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
