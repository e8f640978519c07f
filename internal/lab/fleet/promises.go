package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Renewals are what owners were told by the council: each renewal from when it was sent until its answer came, by whom, of
// which epochs. They have to be linearizable: there is one order of them, in which none that was answered before another was
// asked comes after it, that one register could have given, which holds an epoch with its owner, and only ever a higher one.
type Renewals struct {
	sent map[requestID]float64
	ops  []porcupine.Operation
	ids  map[uint64]int // runs, as the checker wants small numbers
}

type requestID struct{ run, sequence uint64 }

type renewal struct {
	lease lease.Name
	token lease.Token
	run   uint64
}

// NewRenewals has heard nothing.
func NewRenewals() *Renewals { return &Renewals{sent: map[requestID]float64{}, ids: map[uint64]int{}} }

// Sent takes in that a run asked.
func (p *Renewals) Sent(run uint64, r *lease.Renew, now float64) {
	if k := (requestID{run, r.Sequence}); p.sent[k] == 0 {
		p.sent[k] = now
	}
}

// Answered takes in what it was told, once for each that it asked: an answer that comes twice is one promise.
func (p *Renewals) Answered(run uint64, response *node.RenewResponse, now float64) {
	k := requestID{run, response.Sequence}
	at, ok := p.sent[k]
	if !ok || response.Sequence == 0 {
		return
	}
	delete(p.sent, k)
	if p.ids[run] == 0 {
		p.ids[run] = len(p.ids) + 1
	}
	for _, c := range response.Valid {
		p.ops = append(p.ops, porcupine.Operation{ClientId: p.ids[run], Input: renewal{c.Name, c.Token, run}, Call: int64(at * 1e3),
			Output: true, Return: int64(now * 1e3)})
	}
}

type register struct {
	token lease.Token
	run   uint64
}

var registerModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[lease.Name]int{}
		for _, op := range ops {
			w := op.Input.(renewal).lease
			if _, ok := by[w]; !ok {
				by[w] = len(parts)
				parts = append(parts, nil)
			}
			parts[by[w]] = append(parts[by[w]], op)
		}
		return parts
	},
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		s, r := state.(register), input.(renewal)
		if r.token < s.token || r.token == s.token && r.run != s.run {
			return false, s
		}
		return true, register{r.token, r.run}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Check tells what is wrong with the promises; empty: nothing.
func (p *Renewals) Check() string {
	switch porcupine.CheckOperationsTimeout(registerModel, p.ops, 20*time.Second) {
	case porcupine.Ok:
		return ""
	case porcupine.Unknown:
		return fmt.Sprintf("the %d promises of the council could not be checked in time", len(p.ops))
	}
	return fmt.Sprintf("the %d promises of the council have no order that one register could have given", len(p.ops))
}
