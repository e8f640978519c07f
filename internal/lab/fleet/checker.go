package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Checker checks the safety of leases from the records of the receivers of effects. It keeps the first violation.
type Checker struct {
	Broken string // the first violation; empty: none

	highest     map[string]map[lease.Name]lease.Token // the highest token that was accepted, by receiver
	holders     map[lease.Grant]int                   // the controller whose effects were accepted under a grant
	acting      map[lease.Name]map[uint64]lease.Token // runs that act as holders, as they report it: for durations only
	Vacancies   map[lease.Name][]float64              // ms without a holder, each time
	vacantSince map[lease.Name]float64
	Overlaps    int // times that two runs acted at once, of which one is refused by its token
	Effects     int
	LateEffects int // effects that reached an endpoint after their holder had stopped acting

	checkpoints  map[lease.Name]map[uint64]string // the state passed from holder to holder, by its serial
	latestSerial map[lease.Name]uint64
	Checkpoints  int
}

// NewChecker returns a checker without any records.
func NewChecker() *Checker {
	return &Checker{highest: map[string]map[lease.Name]lease.Token{}, holders: map[lease.Grant]int{},
		acting: map[lease.Name]map[uint64]lease.Token{}, Vacancies: map[lease.Name][]float64{},
		vacantSince: map[lease.Name]float64{}, checkpoints: map[lease.Name]map[uint64]string{}, latestSerial: map[lease.Name]uint64{}}
}

// checkpointReceived checks a state that a holder received from earlier holders: each serial stands for one state, at all
// holders.
func (ch *Checker) checkpointReceived(h node.Checkpoint, now float64) {
	ch.Checkpoints++
	states := ch.checkpoints[h.Grant.Name]
	if states == nil {
		states = map[uint64]string{}
		ch.checkpoints[h.Grant.Name] = states
	}
	if was, ok := states[h.Serial]; ok && was != string(h.Data) {
		ch.fail(now, "%s has two states of serial %d: %q and %q", h.Grant.Name, h.Serial, was, h.Data)
	}
	states[h.Serial] = string(h.Data)
	ch.latestSerial[h.Grant.Name] = max(ch.latestSerial[h.Grant.Name], h.Serial)
}

func (ch *Checker) fail(now float64, format string, args ...any) {
	if ch.Broken == "" {
		ch.Broken = fmt.Sprintf("%.1f ms: ", now) + fmt.Sprintf(format, args...)
	}
}

// effectAccepted checks an effect that a receiver accepted: a token has one holder, and a receiver accepts no effect of a
// lower token after one of a higher token.
func (ch *Checker) effectAccepted(receiver string, from int, e node.Effect, now float64) {
	ch.Effects++
	seen := ch.highest[receiver]
	if seen == nil {
		seen = map[lease.Name]lease.Token{}
		ch.highest[receiver] = seen
	}
	if e.Grant.Token < seen[e.Grant.Name] {
		ch.fail(now, "%s accepted an effect of %s of token %d from n%d after one of token %d", receiver, e.Grant.Name, e.Grant.Token,
			from, seen[e.Grant.Name])
	}
	seen[e.Grant.Name] = max(seen[e.Grant.Name], e.Grant.Token)
	if was, ok := ch.holders[e.Grant]; ok && was != from {
		ch.fail(now, "%s had effects of n%d and n%d under token %d", e.Grant.Name, was, from, e.Grant.Token)
	}
	ch.holders[e.Grant] = from
}

func (ch *Checker) holderStarted(run uint64, grant lease.Grant, now float64) {
	acting := ch.acting[grant.Name]
	if acting == nil {
		acting = map[uint64]lease.Token{}
		ch.acting[grant.Name] = acting
	}
	for _, token := range acting {
		if token == grant.Token {
			ch.fail(now, "two runs act for %s under token %d", grant.Name, grant.Token)
		}
		ch.Overlaps++
	}
	if len(acting) == 0 {
		ch.Vacancies[grant.Name] = append(ch.Vacancies[grant.Name], now-ch.vacantSince[grant.Name])
	}
	acting[run] = grant.Token
}

func (ch *Checker) holderStopped(run uint64, grant lease.Grant, now float64) {
	if acting := ch.acting[grant.Name]; acting != nil {
		if _, ok := acting[run]; ok {
			if delete(acting, run); len(acting) == 0 {
				ch.vacantSince[grant.Name] = now
			}
		}
	}
}

func (ch *Checker) runEnded(run uint64, now float64) {
	for name, acting := range ch.acting {
		if token, ok := acting[run]; ok {
			ch.holderStopped(run, lease.Grant{Name: name, Token: token}, now)
		}
	}
}

func (ch *Checker) effectArrived(run uint64, grant lease.Grant, _ float64) {
	if _, ok := ch.acting[grant.Name][run]; !ok {
		ch.LateEffects++
	}
}

// Shrink removes faults from a plan's script as long as the history still breaks, and returns the plan with the shortest
// script found and its violation.
func Shrink(p Plan) (Plan, string) {
	why := NewWorld(p).Play()
	for size := max(1, len(p.Script)/2); size >= 1; {
		shorter := false
		for i := 0; i+size <= len(p.Script); {
			candidate := p
			candidate.Script = append(append(Script{}, p.Script[:i]...), p.Script[i+size:]...)
			if broken := NewWorld(candidate).Play(); broken != "" {
				p, why, shorter = candidate, broken, true
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
