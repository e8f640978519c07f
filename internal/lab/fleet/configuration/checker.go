// Package configuration checks histories of a fleet's configuration: the versions that controllers applied and their folders
// stored, the results that operators received, and the counts of statuses, each recorded when it happened. The same checker
// serves fleets in virtual time and fleets of processes. It depends on nothing of how versions are agreed on or distributed.
package configuration

import (
	"fmt"
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
)

// Incarnation is one run of a controller's process.
type Incarnation struct {
	Controller members.ID
	Run        uint64
}

func (i Incarnation) String() string { return fmt.Sprintf("%s/%x", i.Controller, i.Run) }

// Folder is the state that a controller stores. A folder that is emptied or replaced by an older copy has a new generation,
// and counts as another folder.
type Folder struct {
	Controller members.ID
	Generation int
}

func (f Folder) String() string { return fmt.Sprintf("folder %d of %s", f.Generation, f.Controller) }

// Proposal is one put or rollback of an operator. Its reason is unique and identifies it.
type Proposal struct {
	Reason string
	Expect uint64
	Hash   config.Hash
}

// application records that an incarnation applied a version.
type application struct {
	run    uint64
	number uint64
	at     float64
}

// proposalState is the result of a proposal as the fleet reported it.
type proposalState struct {
	proposal  Proposal
	concluded bool
	result    config.Result
	number    uint64
}

// Checker checks what happens to a configuration, which it is given in the order of time, and keeps the first violation.
// Times are in ms.
type Checker struct {
	Broken string // the first violation; empty: none

	RunsUnknown bool // the runs in a status are numbered otherwise than those of incarnations, and are not compared

	Applications int
	Proposals    int
	Agreed       int
	Lost         int
	Refused      int
	Unanswered   int
	Statuses     int

	controllers     []members.ID
	hashes          map[uint64]config.Hash
	reasons         map[uint64]string      // of agreed versions, by number
	numbers         map[string]uint64      // of agreed versions, by reason
	appliedInRun    map[Incarnation]uint64 // the version that a run applied last
	appliedOnFolder map[Folder]uint64      // the version that was last applied on a folder
	applications    map[members.ID][]application
	proposals       map[string]*proposalState
	newest          config.Version
	lastSeen        map[members.ID]float64 // when a controller was last known to run
	down            map[members.ID]bool
}

// NewChecker returns a checker for a fleet of these controllers.
func NewChecker(controllers []members.ID) *Checker {
	return &Checker{
		controllers:     slices.Sorted(slices.Values(controllers)),
		hashes:          map[uint64]config.Hash{},
		reasons:         map[uint64]string{},
		numbers:         map[string]uint64{},
		appliedInRun:    map[Incarnation]uint64{},
		appliedOnFolder: map[Folder]uint64{},
		applications:    map[members.ID][]application{},
		proposals:       map[string]*proposalState{},
		lastSeen:        map[members.ID]float64{},
		down:            map[members.ID]bool{},
	}
}

// fail records a violation, if it is the first.
func (c *Checker) fail(now float64, format string, args ...any) {
	if c.Broken == "" {
		c.Broken = fmt.Sprintf("%.1f ms: ", now) + fmt.Sprintf(format, args...)
	}
}

// identify checks that a version number stands for the same document always and everywhere.
func (c *Checker) identify(now float64, source string, number uint64, hash config.Hash) {
	if number == 0 {
		return
	}
	if known, ok := c.hashes[number]; ok && known != hash {
		c.fail(now, "%s: version %d is document %.8s, and was %.8s elsewhere", source, number, hash, known)
		return
	}
	c.hashes[number] = hash
}

// Started records the start of a process, with the version that its folder has in force; number 0: none.
func (c *Checker) Started(now float64, who Incarnation, folder Folder, current config.Version) {
	c.lastSeen[who.Controller], c.down[who.Controller] = now, false
	if current.Number < c.appliedOnFolder[folder] {
		c.fail(now, "%s starts with version %d on %s, where version %d was in force", who, current.Number, folder, c.appliedOnFolder[folder])
	}
	if current.Number > 0 {
		c.apply(now, who, folder, current)
	}
}

// Ended records the end of a controller's process.
func (c *Checker) Ended(now float64, controller members.ID) {
	c.lastSeen[controller], c.down[controller] = now, true
}

// Applied records that a process applied a version.
func (c *Checker) Applied(now float64, who Incarnation, folder Folder, v config.Version) {
	c.lastSeen[who.Controller] = now
	c.apply(now, who, folder, v)
}

func (c *Checker) apply(now float64, who Incarnation, folder Folder, v config.Version) {
	c.Applications++
	c.identify(now, who.String(), v.Number, v.Hash)
	if before := c.appliedInRun[who]; v.Number < before {
		c.fail(now, "%s applied version %d after version %d", who, v.Number, before)
	}
	if before := c.appliedOnFolder[folder]; v.Number < before {
		c.fail(now, "%s applied version %d on %s, where version %d was in force", who, v.Number, folder, before)
	}
	c.appliedInRun[who], c.appliedOnFolder[folder] = v.Number, v.Number
	c.applications[who.Controller] = append(c.applications[who.Controller], application{who.Run, v.Number, now})
}

// Proposed records a proposal of an operator.
func (c *Checker) Proposed(p Proposal) {
	c.Proposals++
	c.proposals[p.Reason] = &proposalState{proposal: p}
}

// Concluded records the result of a proposal that the operator received.
func (c *Checker) Concluded(now float64, reason string, o config.ProposalResult) {
	state := c.proposals[reason]
	if state == nil {
		c.fail(now, "a result of %q, which nobody proposed", reason)
		return
	}
	if state.concluded && (state.result != o.Result || state.number != o.Version.Number) {
		c.fail(now, "%q was reported as %v and %v", reason, state.result, o.Result)
	}
	state.concluded, state.result, state.number = true, o.Result, o.Version.Number
	switch o.Result {
	case config.Committed:
		c.Agreed++
		c.concludedAgreed(now, state, o.Version)
	case config.Conflict:
		c.Lost++
	case config.Rejected:
		c.Refused++
	default:
		c.Unanswered++
	}
	if number, ok := c.numbers[reason]; ok {
		c.contradict(now, state, number)
	}
}

// concludedAgreed checks the result of an agreed proposal: its version follows the expected one, so that of two proposals
// with the same expected version at most one is agreed on.
func (c *Checker) concludedAgreed(now float64, state *proposalState, v config.Version) {
	p := state.proposal
	if v.Number != p.Expect+1 {
		c.fail(now, "%q expected version %d and was reported as version %d", p.Reason, p.Expect, v.Number)
	}
	if v.Hash != p.Hash {
		c.fail(now, "%q is document %.8s and was reported as %.8s", p.Reason, p.Hash, v.Hash)
	}
	c.recordAgreed(now, "a result", v, p.Reason)
}

// contradict checks a proposal that is in the history against the result that its operator received.
func (c *Checker) contradict(now float64, state *proposalState, number uint64) {
	switch {
	case !state.concluded || state.result == config.Unknown:
	case state.result == config.Conflict || state.result == config.Rejected:
		c.fail(now, "%q was reported as lost or refused and is version %d", state.proposal.Reason, number)
	case state.number != number:
		c.fail(now, "%q was reported as version %d and is version %d", state.proposal.Reason, state.number, number)
	}
}

// History records the agreed versions of a voter, or those in a leader's answer.
func (c *Checker) History(now float64, source string, versions []config.Version) {
	for i, v := range versions {
		if i > 0 && v.Number != versions[i-1].Number+1 {
			c.fail(now, "%s: version %d follows version %d", source, v.Number, versions[i-1].Number)
		}
		if v.Number > c.newest.Number || c.reasons[v.Number] != v.Reason || c.hashes[v.Number] != v.Hash {
			c.recordAgreed(now, source, v, v.Reason)
		}
	}
}

func (c *Checker) recordAgreed(now float64, source string, v config.Version, reason string) {
	c.identify(now, source, v.Number, v.Hash)
	if known, ok := c.reasons[v.Number]; ok && known != reason {
		c.fail(now, "%s: version %d is %q and was %q", source, v.Number, reason, known)
	}
	if known, ok := c.numbers[reason]; ok && known != v.Number {
		c.fail(now, "%s: %q is version %d and was version %d", source, reason, v.Number, known)
	}
	c.reasons[v.Number], c.numbers[reason] = reason, v.Number
	if v.Number > c.newest.Number {
		c.newest = v
	}
	state := c.proposals[reason]
	if state == nil {
		c.fail(now, "%s: version %d is %q, which nobody proposed", source, v.Number, reason)
		return
	}
	if v.Hash != state.proposal.Hash {
		c.fail(now, "%s: version %d is not the document of %q", source, v.Number, reason)
	}
	if v.Number != state.proposal.Expect+1 {
		c.fail(now, "%s: %q expected version %d and is version %d", source, reason, state.proposal.Expect, v.Number)
	}
	c.contradict(now, state, v.Number)
}

// Newest returns the newest version that is known to be agreed on; number 0: none.
func (c *Checker) Newest() config.Version { return c.newest }

// Version returns the hash of an agreed version.
func (c *Checker) Version(number uint64) (config.Hash, bool) {
	_, agreed := c.reasons[number]
	return c.hashes[number], agreed
}

// Survived checks that a history still has what was agreed on: the newest version, and those before it that a history of
// config.MaxHistory versions keeps.
func (c *Checker) Survived(now float64, source string, versions []config.Version) {
	c.History(now, source, versions)
	held := map[uint64]bool{}
	for _, v := range versions {
		held[v.Number] = true
	}
	for _, number := range slices.Sorted(maps.Keys(c.reasons)) {
		if number+config.MaxHistory > c.newest.Number && !held[number] {
			c.fail(now, "%s: version %d was agreed on and is lost", source, number)
		}
	}
}

// HasApplied reports whether any incarnation of a controller had applied a version by a time.
func (c *Checker) HasApplied(controller members.ID, number uint64, by float64) bool {
	return slices.ContainsFunc(c.applications[controller], func(a application) bool { return a.number == number && a.at <= by })
}

// runApplied reports whether one incarnation of a controller had applied a version by a time.
func (c *Checker) runApplied(controller members.ID, run, number uint64, by float64) bool {
	return slices.ContainsFunc(c.applications[controller], func(a application) bool {
		return (a.run == run || c.RunsUnknown) && a.number == number && a.at <= by
	})
}
