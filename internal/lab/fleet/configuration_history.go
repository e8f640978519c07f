package fleet

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

const (
	historyInterval = 500.0   // ms between checks of the voters' agreed versions
	statusSlack     = 15000.0 // ms more than settleBound until a status reports what is in force
	minOperations   = 8       // least number of operators' requests in a short history; less than twice as many are drawn
)

// ConfigurationPlan returns a plan of a fleet with a configuration. Its script of faults and operators' changes is drawn
// from a seed.
func ConfigurationPlan(seed int64, nodes, faults int) Plan {
	rng := rand.New(rand.NewSource(seed))
	p := Plan{Seed: seed, Nodes: nodes, Voters: 3, Leases: 1, Lease: 4000, Membership: members.DefaultConfig(), Settle: 90000, Config: true, Busy: 0.05}
	if nodes >= 5 && rng.Intn(2) == 0 {
		p.Voters = 5
	}
	within := 30000.0
	if rng.Intn(4) == 0 { // long enough for unneeded documents to be removed
		within = 110000
	}
	p.Script = DrawScript(rng, nodes, p.Voters, faults, within)
	p.Script = append(p.Script, drawOperations(rng, nodes, within)...)
	if nodes > p.Voters && rng.Intn(4) == 0 {
		p.Script = replaceVoter(rng, p, within)
	}
	slices.SortStableFunc(p.Script, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// drawOperations draws operators' requests and the faults that concern the configuration.
func drawOperations(rng *rand.Rand, nodes int, within float64) (s Script) {
	for range (minOperations + rng.Intn(minOperations)) * int(1+within/60000) {
		f := Fault{At: 2000 + rng.Float64()*(within+3000), A: rng.Intn(nodes), B: rng.Intn(nodes), N: -1}
		switch kind := rng.Intn(20); {
		case kind < 9:
			f.Kind = Put
		case kind < 12:
			f.Kind = PutTwice
		case kind < 14:
			f.Kind = RollBack
		case kind < 17:
			f.Kind = AskStatus
		case kind < 18:
			f.Kind, f.For = KillLeader, 100+rng.Float64()*5000
		case kind < 19:
			f.Kind, f.For = Corrupt, 1000+rng.Float64()*10000
		default:
			f.Kind, f.For = Replay, 2000+rng.Float64()*15000
		}
		if rng.Intn(3) == 0 {
			f.N = rng.Intn(nodes + 1) // the node that refuses the document; nodes: all refuse it
		}
		f.Amount = drawSize(rng)
		s = append(s, f)
	}
	return s
}

// drawSize draws a document's size in bytes: most are small, few have the maximum size or are too large.
func drawSize(rng *rand.Rand) float64 {
	switch kind := rng.Intn(40); {
	case kind < 24:
		return float64(1 + rng.Intn(2000))
	case kind < 34:
		return float64(1 + rng.Intn(100_000))
	case kind < 38:
		return float64(1 + rng.Intn(400_000))
	case kind < 39:
		return config.MaxDocument
	}
	return config.MaxDocument + 1
}

// replaceVoter adds to a script that an operator replaces a voter by another controller. The new voter's faults are changed
// so that it loses no folder: together with a folder lost by a former voter, a majority of the disks could be lost.
func replaceVoter(rng *rand.Rand, p Plan, within float64) Script {
	f := Fault{At: 3000 + rng.Float64()*within, Kind: ReplaceVoter, A: rng.Intn(p.Voters), B: p.Voters + rng.Intn(p.Nodes-p.Voters)}
	s := slices.Clone(p.Script)
	for i := range s {
		lost := s[i].Kind == EmptyFolder || s[i].Kind == OldCopy || s[i].Kind == DiskFull
		if lost && s[i].A == f.B {
			s[i].Kind, s[i].For = Kill, min(s[i].For, 5000)
		}
	}
	return append(s, f)
}

// configFault runs the script's entries that concern the configuration.
func (w *World) configFault(f Fault) {
	if w.config == nil {
		return
	}
	m := w.nodes[f.A%len(w.nodes)]
	switch f.Kind {
	case Put:
		expect := w.knownVersion(m)
		if f.B%7 == 0 && expect > 0 {
			expect-- // an operator who has not seen the newest version
		}
		w.put(m, expect, w.document(int(f.Amount), f.N))
	case PutTwice:
		expect := w.knownVersion(m)
		w.put(m, expect, w.document(int(f.Amount), f.N))
		w.put(w.nodes[f.B%len(w.nodes)], expect, w.document(int(f.Amount/2), -1))
	case RollBack:
		w.rollBack(m, f.B%4)
	case AskStatus:
		w.askStatus(m, func(config.Answer) {})
	case KillLeader:
		if lead := w.leader(); lead != nil {
			w.restart(lead, f.For)
		}
	case ReplaceVoter:
		if m := w.leader(); m != nil && w.now >= m.pausedUntil {
			w.deliver(m, func() { m.core.ReplaceVoter(w.local(m), w.nodes[f.A].id, w.nodes[f.B].id) })
		}
	case Corrupt:
		w.config.corruptUntil = max(w.config.corruptUntil, w.now+f.For)
	case Replay:
		playing := w.now < w.config.replayUntil
		if w.config.replayUntil = max(w.config.replayUntil, w.now+f.For); !playing {
			w.at(w.now+replayInterval, w.replay)
		}
	}
}

// leader returns the machine that leads the quorum, or nil if none does. A former leader may not know of its successor yet,
// so the one with the highest term counts.
func (w *World) leader() (leader *machine) {
	for _, m := range w.nodes {
		if m.core == nil || !m.core.Quorum().Leads() {
			continue
		}
		if leader == nil || m.core.Quorum().Term() > leader.core.Quorum().Term() {
			leader = m
		}
	}
	return leader
}

// watchHistories checks the voters' agreed versions at intervals, for ever.
func (w *World) watchHistories() {
	w.checkHistories()
	w.at(w.now+historyInterval, w.watchHistories)
}

// playConfiguration plays the plan of a fleet with a configuration, and returns the first violation; empty: none.
func (w *World) playConfiguration() string {
	w.at(0, w.watchHistories)
	w.Run(w.plan.Script.End())
	if w.majorityLost {
		return cmp.Or(w.playWithoutMajority(), w.firstBreak())
	}
	for _, step := range []func() string{w.catchUp, w.settleQuorum, w.putAfterFaults, w.statusAfterFaults, w.historySurvived} {
		if why := step(); why != "" {
			return why
		}
		if why := w.firstBreak(); why != "" {
			return why
		}
	}
	return w.Renewals.Check()
}

// firstBreak returns the violation found by either checker; empty: none.
func (w *World) firstBreak() string {
	if w.Checker.Broken != "" {
		return w.Checker.Broken
	}
	return w.config.checker.Broken
}

// catchUp waits until the newest version is in force wherever it can be.
func (w *World) catchUp() string {
	healed := func() float64 { return max(w.config.healedAt, w.plan.Script.End()) }
	why := w.until(func() float64 { return healed() + settleBound }, w.notInForce)
	w.config.times.CatchUp = w.now - healed()
	if why != "" {
		return fmt.Sprintf("%.0f s after the last heal: %s", settleBound/1000, why)
	}
	return ""
}

// settleQuorum waits until the quorum has a leader and its full number of voters, as it promises without an operator.
func (w *World) settleQuorum() string {
	end := w.now + w.plan.Settle
	if why := w.until(func() float64 { return end }, w.quorumUnsettled); why != "" {
		return fmt.Sprintf("%.0f s after the last heal: %s", w.plan.Settle/1000, why)
	}
	return ""
}

// quorumUnsettled returns what the quorum lacks; empty: nothing. It counts voters, as a replaced voter does not vote again.
func (w *World) quorumUnsettled() string {
	leader := w.leader()
	if leader == nil {
		return "nobody leads"
	}
	voting := 0
	for _, m := range w.nodes {
		if m.core == nil {
			return fmt.Sprintf("n%d does not run", m.number)
		}
		if role, _ := m.core.Quorum().Role(); role == quorum.Voter {
			voting++
		}
	}
	if voting < w.plan.Voters {
		return fmt.Sprintf("%d of %d vote", voting, w.plan.Voters)
	}
	return ""
}

// putAfterFaults has an operator put one more version after all faults, and waits until it is in force.
func (w *World) putAfterFaults() string {
	m := w.nodes[w.rng.Intn(len(w.nodes))]
	before := w.config.checker.Newest().Number
	began := w.now
	tried := 0.0
	why := w.until(func() float64 { return began + settleBound }, func() string {
		w.checkHistories()
		if newest := w.config.checker.Newest(); newest.Number > before && newest.Time >= int64(began) {
			return w.notInForce()
		}
		if w.now >= tried {
			tried = w.now + 6000
			w.put(m, w.config.checker.Newest().Number, w.document(4096, -1))
		}
		return "a version put after all faults is not agreed on"
	})
	w.config.times.AfterPut = w.now - began
	if why != "" {
		return fmt.Sprintf("%.0f s after a put: %s", settleBound/1000, why)
	}
	return ""
}

// statusAfterFaults asks for the status until it is correct: all controllers have the newest version in force or refuse it.
func (w *World) statusAfterFaults() string {
	began, last := w.now, "no status was answered"
	asked := 0.0
	why := w.until(func() float64 { return began + settleBound + statusSlack }, func() string {
		if last != "" && w.now >= asked {
			asked = w.now + 1000
			w.askStatus(w.nodes[w.rng.Intn(len(w.nodes))], func(a config.Answer) {
				if a.Status != nil {
					last = w.statusMismatch(a.Status)
				}
			})
		}
		return last
	})
	w.config.times.AfterStatus = w.now - began
	if why != "" {
		return fmt.Sprintf("%.0f s after all was in force: %s", (settleBound+statusSlack)/1000, why)
	}
	return ""
}

// statusMismatch returns where a status differs from the real state; empty: nowhere.
func (w *World) statusMismatch(s *config.Status) string {
	newest := w.config.checker.Newest()
	able := 0
	for _, m := range w.nodes {
		if m.checkDocument(w.config.documents[newest.Hash]) == nil {
			able++
		}
	}
	if s.Latest.Number != newest.Number || s.Members != len(w.nodes) || s.InForce != able || len(s.Rejected) != len(w.nodes)-able {
		return fmt.Sprintf("a status reports version %d in force at %d of %d, %d refused, %d behind, %d not heard; want version %d at %d of %d",
			s.Latest.Number, s.InForce, s.Members, len(s.Rejected), len(s.Behind), len(s.Unreachable), newest.Number, able, len(w.nodes))
	}
	return ""
}

// historySurvived checks, once a leader has caught up with the log, that it still has every version that was agreed on.
func (w *World) historySurvived() string {
	end := w.now + settleBound
	why := w.until(func() float64 { return end }, func() string {
		if lead := w.leader(); lead == nil || !lead.core.Quorum().LeadsCaughtUp() {
			return "no leader has caught up with what was agreed on"
		}
		return ""
	})
	if lead := w.leader(); why == "" && lead != nil {
		if state := w.configState(lead); state != nil {
			w.config.checker.Survived(w.now, string(lead.id), state.Versions)
		}
	}
	return why
}

// notInForce returns a machine at which the newest version is not in force though it can use it; empty: there is none.
func (w *World) notInForce() string {
	newest := w.config.checker.Newest()
	document := w.config.documents[newest.Hash]
	for _, m := range w.nodes {
		if m.core == nil {
			return fmt.Sprintf("n%d does not run", m.number)
		}
		if newest.Number > 0 && m.config.inForce.Number != newest.Number && m.checkDocument(document) == nil {
			return fmt.Sprintf("n%d has version %d in force, version %d is agreed on", m.number, m.config.inForce.Number, newest.Number)
		}
	}
	return ""
}

// until plays until nothing is missing, or something is broken; it returns what is still missing at the end of the time.
func (w *World) until(end func() float64, missing func() string) string {
	const step = 100.0
	for {
		why := missing()
		if why == "" || w.firstBreak() != "" {
			return ""
		}
		if w.now >= end() {
			return why
		}
		w.Run(w.now + step)
	}
}

// ConfigurationTimes are durations in ms after the last fault of a history.
type ConfigurationTimes struct {
	CatchUp     float64 // from the end of the last fault until the newest version was in force wherever it can be
	AfterPut    float64 // from a put after that until its version was in force wherever it can be
	AfterStatus float64 // from then until a status reported it
}

// ConfigurationTimes returns how long versions took to be in force after the last fault.
func (w *World) ConfigurationTimes() ConfigurationTimes {
	return w.config.times
}

// ShrinkConfiguration shrinks a plan with a configuration, and describes the violation with the shortest script.
func ShrinkConfiguration(p Plan) string {
	short, why := Shrink(p)
	return fmt.Sprintf("seed %d, %d controllers, %d of them voters: %s\n%v", p.Seed, p.Nodes, p.Voters, why, short.Script)
}
