package fleet

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Renewals records the renewals of leases that the quorum confirmed: the run that sent each one, its fencing tokens, and when
// it was sent and confirmed. For each lease they must be linearizable as operations on a register that holds a token with its
// run, where only a higher token may replace it: some order of them is legal, in which none that was confirmed before another
// was sent comes after it.
type Renewals struct {
	sent map[requestID]float64 // ms
	ops  []porcupine.Operation
	ids  map[uint64]int // by run: its client ID for porcupine, which needs small numbers
}

type requestID struct{ run, sequence uint64 }

type renewal struct {
	lease lease.Name
	token lease.Token
	run   uint64
}

// NewRenewals returns a record without renewals.
func NewRenewals() *Renewals { return &Renewals{sent: map[requestID]float64{}, ids: map[uint64]int{}} }

// Sent records that a run sent a renewal; a repeated one counts from its first time.
func (p *Renewals) Sent(run uint64, r *lease.Renew, now float64) {
	if k := (requestID{run, r.Sequence}); p.sent[k] == 0 {
		p.sent[k] = now
	}
}

// Answered records the response to a renewal; a response that is delivered twice counts once.
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

// Check returns a violation if the renewals are not linearizable, or could not be checked in time; empty: none.
func (p *Renewals) Check() string {
	switch porcupine.CheckOperationsTimeout(registerModel, p.ops, 20*time.Second) {
	case porcupine.Ok:
		return ""
	case porcupine.Unknown:
		return fmt.Sprintf("the %d confirmed renewals could not be checked for linearizability in time", len(p.ops))
	}
	return fmt.Sprintf("the %d confirmed renewals are not linearizable", len(p.ops))
}
