// Package checker verifies that controllers keep the seven rules. It uses only the events that were
// delivered to controllers and the actions that they took, over all controllers together, relies on
// nothing that a controller reports of itself, and shares no code with the decision module but the
// types of its interface. Nothing of the daemon imports it.
//
// A simulation reports what happens, in the order of virtual time: starts and ends of controllers
// (incarnation.go), the real state of engines, the events of each step (events.go) and then its
// actions (actions.go). Each attempt is checked against every rule that it can break (attempts.go).
package checker

import (
	"fmt"

	"mintkeel/router"
)

// Rule is one of the seven rules, or Contract.
type Rule int

const (
	// Contract is the contract of the module's interface, beside the seven rules: a controller names
	// only queries, attempts and engines that it was given, and does only what the settings allow.
	Contract Rule = iota
	// FinalAnswer is rule 1: each query gets one final answer, before its client timeout.
	FinalAnswer
	// SingleEffect is rule 2: no effect happens twice.
	SingleEffect
	// Draining is rule 3: draining engines get nothing new.
	Draining
	// SlowStart is rule 4: warming engines are not overloaded.
	SlowStart
	// Ordering is rule 5: queries with the same ordering key run one at a time, in order.
	Ordering
	// Placement is rule 6: queries stay on the machine kinds and zones that are configured for them.
	Placement
	// RetryBudget is rule 7: retries stay within their budget.
	RetryBudget
)

var ruleNames = [...]string{
	Contract:     "contract",
	FinalAnswer:  "final answer",
	SingleEffect: "single effect",
	Draining:     "draining",
	SlowStart:    "slow start",
	Ordering:     "ordering",
	Placement:    "placement",
	RetryBudget:  "retry budget",
}

func (rule Rule) String() string { return ruleNames[rule] }

// Settings are the settings that all controllers share.
type Settings struct {
	Kinds        []router.MachineKind
	Classes      []router.QueryClass
	Capabilities router.Capabilities
	Limits       router.SafetyLimits
}

// Breach is a single violation of a rule.
type Breach struct {
	Rule       Rule
	At         float64 // ms
	Controller int
	Reason     string
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %v, at %.1f ms by controller %d: %s", b.Rule, b.At, b.Controller, b.Reason)
}

const (
	// maxBreaches bounds the breaches that are kept: a faulty module causes thousands, and the first
	// ones show the fault.
	maxBreaches = 50
	// tolerance, in ms or a count, absorbs rounding differences between the checker's sums and the
	// module's.
	tolerance = 1e-6
	// defaultCores is the number of cores assumed for an engine whose machine kind is unknown.
	defaultCores = 8.0
)

// Checker checks the steps of all controllers of a simulation. It is not safe for concurrent use.
// Times are in ms, by one clock for all controllers.
type Checker struct {
	settings     Settings
	incarnations map[int]*incarnation // running controllers, by number
	// startWork is the work that all controllers together started on a warming engine.
	startWork map[engineProcess][]timedWork
	drainedAt map[router.EngineID][]float64 // ms, when an engine really began to drain or ended
	startedAt map[router.EngineID][]float64 // ms, when a process of an engine really started
	breaches  []Breach
	counts    map[Rule]int

	Queries           int
	Attempts          int
	Retries           int // of the attempts
	SlowStartAttempts int // of the attempts, those on warming engines
	Rejections        int
	Failures          int
}

// engineProcess is one process that runs under an engine's ID.
type engineProcess struct {
	engine    router.EngineID
	startedAt float64 // ms
}

// timedWork is work in ms on one thread, started at a time in ms.
type timedWork struct{ at, work float64 }

// New returns a checker for controllers with the given settings.
func New(settings Settings) *Checker {
	return &Checker{
		settings:     settings,
		incarnations: map[int]*incarnation{},
		startWork:    map[engineProcess][]timedWork{},
		drainedAt:    map[router.EngineID][]float64{},
		startedAt:    map[router.EngineID][]float64{},
		counts:       map[Rule]int{},
	}
}

// Breaches returns the first breaches, up to maxBreaches; Count counts all of them.
func (ch *Checker) Breaches() []Breach { return ch.breaches }

// Count returns how often a rule was broken.
func (ch *Checker) Count(rule Rule) int { return ch.counts[rule] }

// EngineDraining records that an engine begins to drain or ends, whether or not controllers have
// been notified.
func (ch *Checker) EngineDraining(engine router.EngineID, now float64) {
	ch.drainedAt[engine] = append(ch.drainedAt[engine], now)
}

// EngineStarted records that a process starts under an engine's ID.
func (ch *Checker) EngineStarted(engine router.EngineID, now float64) {
	ch.startedAt[engine] = append(ch.startedAt[engine], now)
}

// engineStartedSince reports whether a process started under an engine's ID at or after a time.
func (ch *Checker) engineStartedSince(engine router.EngineID, since float64) bool {
	for _, at := range ch.startedAt[engine] {
		if at >= since {
			return true
		}
	}
	return false
}

func (ch *Checker) breach(rule Rule, now float64, controller int, reason string, args ...any) {
	ch.counts[rule]++
	if len(ch.breaches) < maxBreaches {
		ch.breaches = append(ch.breaches, Breach{
			Rule:       rule,
			At:         now,
			Controller: controller,
			Reason:     fmt.Sprintf(reason, args...),
		})
	}
}
