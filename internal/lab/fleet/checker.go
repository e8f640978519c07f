package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
)

// Checker looks at what receivers wrote down, and finds what may not be.
type Checker struct {
	Broken string // what broke first; empty: nothing

	highest     map[string]map[lease.Name]lease.Token // by receiver
	holders     map[lease.Grant]int                   // whose effects were accepted under a token, by controller
	acting      map[lease.Name]map[uint64]lease.Token // runs that act, by their own account: for times alone
	Vacancies   map[lease.Name][]float64              // ms without a holder, each time
	vacantSince map[lease.Name]float64
	Overlaps    int // times that two acted at once, of which one was refused by its token
	Effects     int
	LateEffects int // effects that an endpoint saw after its holder had stopped

	checkpoints  map[lease.Name]map[uint64]string // what was handed on, by its serial
	latestSerial map[lease.Name]uint64
	Checkpoints  int
}

// NewChecker has seen nothing.
func NewChecker() *Checker {
	return &Checker{highest: map[string]map[lease.Name]lease.Token{}, holders: map[lease.Grant]int{},
		acting: map[lease.Name]map[uint64]lease.Token{}, Vacancies: map[lease.Name][]float64{},
		vacantSince: map[lease.Name]float64{}, checkpoints: map[lease.Name]map[uint64]string{}, latestSerial: map[lease.Name]uint64{}}
}

// checkpointReceived checks what a holder was told of the state that holders hand on: of each serial there is one, for all of them.
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

// effectAccepted checks an effect that a receiver accepted: of one token there is one holder, and none follows a later one's.
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

// Shrink leaves out faults as long as the history still breaks, and returns the shortest script found and what breaks.
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
