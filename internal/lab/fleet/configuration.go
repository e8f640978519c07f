package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/lab/fleet/configuration"
)

// errDiskFull is the error of a store while the disk is full.
var errDiskFull = errors.New("no space left on device")

// errBusy is the transient error of an apply that succeeds when it is retried.
var errBusy = errors.New("busy")

// checkShare is the time for checking a document, as a share of the time for applying it.
const checkShare = 0.5

// configDisk is the part of a controller's folder that stores its configuration. It is replaced and never modified, so that
// copies of the folder can share it.
type configDisk struct {
	current   config.Version
	documents map[config.Hash][]byte
}

func (d configDisk) with(hash config.Hash, document []byte) configDisk {
	next := configDisk{d.current, maps.Clone(d.documents)}
	if next.documents == nil {
		next.documents = map[config.Hash][]byte{}
	}
	next.documents[hash] = document
	return next
}

func (d configDisk) without(remove []config.Hash) configDisk {
	next := configDisk{d.current, maps.Clone(d.documents)}
	for _, hash := range remove {
		delete(next.documents, hash)
	}
	return next
}

// configMachine is a controller's part of the fleet's configuration.
type configMachine struct {
	disk             configDisk
	folderGeneration int            // incremented when the folder is emptied or an older copy is restored
	inForce          config.Version // of this run
	refs             uint64         // the last reference given to a request of this run
	pending          map[uint64]configPending
	applyMS          float64 // typical duration of applying a version; each one is drawn around it
}

// configPending is a request of an operator to a controller that has no result yet.
type configPending struct {
	reason    string // of a proposal
	rollback  uint64 // the version to roll back to, whose document is being fetched
	expect    uint64
	status    func(config.Answer)
	concluded func(config.ProposalResult) // nil: the result goes to the checker only
}

// configWorld is a world's part of the fleet's configuration.
type configWorld struct {
	checker      *configuration.Checker
	documents    map[config.Hash][]byte // every document that was ever proposed
	proposals    int
	corruptUntil float64 // until when some chunks are corrupted in transit
	replayUntil  float64 // until when old messages are delivered again
	replays      []configReplay
	healedAt     float64 // when a process was last started: the effect of the last fault is over then

	times         ConfigurationTimes
	observed      func(machine int, number uint64, started bool)
	killAtVersion uint64  // the version at which the leader is killed; 0: none
	killDowntime  float64 // ms until it is started again
}

type configReplay struct {
	from, to int
	run      uint64 // of the sender
	message  config.Message
}

const (
	maxReplays     = 400
	replayInterval = 700.0
	settleBound    = 19000.0 // ms within which operators are promised that a version is in force
)

func newConfigWorld(nodes []*machine) *configWorld {
	var ids []members.ID
	for _, m := range nodes {
		ids = append(ids, m.id)
	}
	return &configWorld{checker: configuration.NewChecker(ids), documents: map[config.Hash][]byte{}, observed: func(int, uint64, bool) {}}
}

// Configuration returns the checker of the fleet's configuration, or nil where the plan has none.
func (w *World) Configuration() *configuration.Checker {
	if w.config == nil {
		return nil
	}
	return w.config.checker
}

// checkDocument decides whether a machine can use a document: it refuses documents that name this machine or all machines.
func (m *machine) checkDocument(document []byte) error {
	if bytes.Contains(document, []byte("refused-by-all")) || bytes.Contains(document, fmt.Appendf(nil, "refused-by-%s;", m.id)) {
		return fmt.Errorf("%s can't use this document", m.id)
	}
	return nil
}

// loadConfig resets the configuration of a new run to the state that its folder stores.
func (w *World) loadConfig(m *machine) *node.FleetConfig {
	if w.config == nil {
		return nil
	}
	disk := m.config.disk
	if w.plan.Mutant == "old kept" && m.restarts%2 == 1 { // starts with an older version than the folder stores
		disk = m.config.olderDisk(m.copies, disk)
	}
	m.config.inForce = disk.current
	m.config.pending = map[uint64]configPending{}
	return &node.FleetConfig{Stored: config.StoredState{Current: disk.current, Documents: maps.Clone(disk.documents)}}
}

// olderDisk returns the latest copy with a lower version than the folder's, or the folder's own if there is none.
func (c *configMachine) olderDisk(copies []folderCopy, disk configDisk) configDisk {
	for i := len(copies) - 1; i >= 0; i-- {
		if copies[i].config.current.Number < disk.current.Number {
			return copies[i].config
		}
	}
	return disk
}

func (m *machine) incarnation() configuration.Incarnation {
	return configuration.Incarnation{Controller: m.id, Run: m.run}
}

func (m *machine) configFolder() configuration.Folder {
	return configuration.Folder{Controller: m.id, Generation: m.config.folderGeneration}
}

// configStarted reports to the checker which version a process has in force at its start.
func (w *World) configStarted(m *machine) {
	if w.config == nil {
		return
	}
	w.config.checker.Started(w.now, m.incarnation(), m.configFolder(), m.config.inForce)
	w.config.observed(m.number, m.config.inForce.Number, true)
	w.config.healedAt = w.now
}

// configEnded reports the end of a process to the checker.
func (w *World) configEnded(m *machine) {
	if w.config != nil {
		w.config.checker.Ended(w.now, m.id)
	}
}

// handleConfigOutput carries out the requests of a replica of the configuration, and passes on its results.
func (w *World) handleConfigOutput(m *machine, out config.Output) {
	if w.config == nil {
		return
	}
	if out.Check != nil {
		w.checkConfig(m, m.run, out.Check)
	}
	if out.Store != nil {
		w.storeConfig(m, m.run, out.Store)
	}
	if out.Apply != nil {
		w.applyConfig(m, m.run, out.Apply)
	}
	for _, o := range out.ProposalResults {
		w.proposalConcluded(m, o)
	}
	for _, a := range out.QueryResults {
		if request, ok := m.config.pending[a.Ref]; ok && request.status != nil {
			delete(m.config.pending, a.Ref)
			if a.From == m.id && a.Answer.Status != nil { // a status from another machine is checked when it is sent
				w.config.checker.StatusMade(w.now, w.mutateStatus(a.Answer.Status), knownRuns(m))
			}
			request.status(a.Answer)
		}
	}
	for _, d := range out.DocumentResults {
		if request, ok := m.config.pending[d.Ref]; ok && request.rollback > 0 {
			delete(m.config.pending, d.Ref)
			w.rollBackTo(m, request, d.Document)
		}
	}
}

// checkConfig has a machine check a document, which takes a part of the time for applying it.
func (w *World) checkConfig(m *machine, run uint64, c *config.CheckRequest) {
	w.at(w.now+checkShare*m.config.applyMS, func() {
		if m.run != run || m.core == nil {
			return
		}
		w.deliver(m, func() {
			m.core.WithConfig(w.local(m), func(r *config.Replica) { r.Checked(w.local(m), c.Hash, m.checkDocument(c.Document)) })
		})
	})
}

// storeConfig makes a store request of a replica durable in two steps: first the document, then the rest. A process that
// ends in between leaves the first step done.
func (w *World) storeConfig(m *machine, run uint64, s *config.StoreRequest) {
	duration := m.diskMS * (0.5 + w.rng.Float64())
	running := func() bool { return m.run == run && m.core != nil }
	answer := func(err error) {
		w.deliver(m, func() { m.core.WithConfig(w.local(m), func(r *config.Replica) { r.Stored(w.local(m), err) }) })
	}
	w.at(w.now+duration/2, func() {
		if running() && w.now >= m.diskFullUntil && s.Document != nil && w.plan.Mutant != "skip store" {
			m.config.disk = m.config.disk.with(s.Hash, slices.Clone(s.Document))
		}
	})
	w.at(w.now+duration, func() {
		if !running() {
			return
		}
		if w.now < m.diskFullUntil {
			answer(errDiskFull)
			return
		}
		if w.plan.Mutant != "skip store" {
			w.writeConfig(m, s)
		}
		answer(nil)
	})
}

// writeConfig does the second step of a store request, and then keeps a copy of the folder.
func (w *World) writeConfig(m *machine, s *config.StoreRequest) {
	disk := &m.config.disk
	if s.Document != nil && disk.documents[s.Hash] == nil {
		*disk = disk.with(s.Hash, slices.Clone(s.Document)) // the disk was full at the first step
	}
	if s.Current != nil {
		switch {
		case s.Current.Number == 0 && m.config.inForce.Number > 0:
			w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s makes no version current while %d is in force", w.now, m.id, m.config.inForce.Number)
		case s.Current.Number > 0 && disk.documents[s.Current.Hash] == nil:
			w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s makes version %d current without its document", w.now, m.id, s.Current.Number)
		}
		disk.current = *s.Current
	}
	if len(s.Remove) > 0 {
		*disk = disk.without(s.Remove)
	}
	w.keepCopy(m)
}

// applyConfig has a machine apply a version, which takes a while and is refused as busy at times.
func (w *World) applyConfig(m *machine, run uint64, a *config.ApplyRequest) {
	duration := m.config.applyMS * (0.1 + 2*w.rng.Float64())
	busy := w.rng.Float64() < w.plan.Busy
	w.at(w.now+duration, func() {
		if m.run != run || m.core == nil {
			return
		}
		w.deliver(m, func() {
			var err error
			if busy {
				err = errBusy
			} else {
				w.versionApplied(m, a.Version, a.Document)
			}
			m.core.WithConfig(w.local(m), func(r *config.Replica) { r.Applied(w.local(m), err, busy) })
		})
	})
}

// versionApplied records that a process has applied a version, and checks that it may.
func (w *World) versionApplied(m *machine, v config.Version, document []byte) {
	if w.plan.Mutant == "old apply" && m.config.inForce.Number > 1 && w.rng.Intn(10) == 0 {
		v.Number--
		v.Hash, _ = w.config.checker.Version(v.Number)
	}
	w.trace("n%d applies version %d", m.number, v.Number)
	if config.HashOf(document) != v.Hash {
		w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s applies version %d with another document", w.now, m.id, v.Number)
	}
	if err := m.checkDocument(document); err != nil {
		w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s applies version %d, which it can't use", w.now, m.id, v.Number)
	}
	w.config.checker.Applied(w.now, m.incarnation(), m.configFolder(), v)
	m.config.inForce = v
	w.config.observed(m.number, v.Number, false)
}

// interceptConfig handles a message about the configuration as it is sent: a status is checked, some chunks are corrupted,
// and some messages are recorded for replay.
func (w *World) interceptConfig(from *machine, to int, message *node.Message) {
	if w.config == nil || message.Config == nil {
		return
	}
	if a := message.Config.Answer; a != nil && a.Status != nil {
		w.config.checker.StatusMade(w.now, w.mutateStatus(a.Status), knownRuns(from))
	}
	if w.now < w.config.corruptUntil && message.Config.Chunk != nil && w.rng.Intn(3) == 0 {
		message.Config = corrupted(w.rng, message.Config)
	}
	if w.now < w.config.replayUntil && len(w.config.replays) < maxReplays && w.rng.Intn(4) == 0 {
		w.config.replays = append(w.config.replays, configReplay{from.number, to, from.run, *message.Config})
	}
}

// knownRuns returns the runs of all members as a machine knows them.
func knownRuns(m *machine) map[members.ID]uint64 {
	runs := map[members.ID]uint64{}
	for _, about := range m.core.Members() {
		runs[about.ID] = about.Run
	}
	return runs
}

// mutateStatus counts one controller too many as in force if the plan's mutant is "count twice".
func (w *World) mutateStatus(s *config.Status) *config.Status {
	if w.plan.Mutant != "count twice" {
		return s
	}
	changed := *s
	changed.InForce++
	return &changed
}

// corrupted returns a copy of a message with one bit of its chunk flipped.
func corrupted(rng *rand.Rand, m *config.Message) *config.Message {
	changed, chunk := *m, *m.Chunk
	chunk.Data = slices.Clone(chunk.Data)
	if len(chunk.Data) > 0 {
		chunk.Data[rng.Intn(len(chunk.Data))] ^= 1
	}
	changed.Chunk = &chunk
	return &changed
}

// replay delivers recorded messages again until replayUntil, also those of earlier runs of their senders.
func (w *World) replay() {
	if w.now >= w.config.replayUntil {
		w.config.replays = nil
		return
	}
	for range min(10, len(w.config.replays)) {
		old := w.config.replays[w.rng.Intn(len(w.config.replays))]
		target, from := w.nodes[old.to], w.nodes[old.from]
		if target.core == nil || w.isBlocked(old.from, old.to) {
			continue
		}
		message := old.message
		if from.run != old.run {
			message.HoldReply = nil // a confirmation that a folder stores a document is bound to its run's connection
		}
		w.deliver(target, func() { target.core.Receive(w.local(target), from.id, &node.Message{Config: &message}) })
	}
	w.at(w.now+replayInterval, w.replay)
}

// document makes a document of a size in bytes: refused by one machine, by all (refusedBy is their number), or by none
// (refusedBy is negative).
func (w *World) document(size, refusedBy int) []byte {
	w.config.proposals++
	text := fmt.Sprintf("# configuration %d of seed %d\n", w.config.proposals, w.plan.Seed)
	switch {
	case refusedBy == len(w.nodes):
		text += "refused-by-all\n"
	case refusedBy >= 0 && refusedBy < len(w.nodes):
		text += fmt.Sprintf("refused-by-%s;\n", w.nodes[refusedBy].id)
	}
	document := []byte(text)
	for len(document) < size {
		document = append(document, document[:min(len(document), size-len(document))]...)
	}
	return document
}

// knownVersion returns the number that an operator at a controller takes for the newest version.
func (w *World) knownVersion(m *machine) uint64 {
	return max(m.config.inForce.Number, w.config.checker.Newest().Number)
}

// put has an operator propose a document at a controller.
func (w *World) put(m *machine, expect uint64, document []byte) {
	if m.core == nil || w.now < m.pausedUntil {
		return
	}
	if m.checkDocument(document) != nil {
		return // the operator's command refuses it before it is proposed
	}
	w.propose(m, expect, document, 0)
}

func (w *World) propose(m *machine, expect uint64, document []byte, rollback uint64) {
	w.config.proposals++
	reason := fmt.Sprintf("change %d", w.config.proposals)
	hash := config.HashOf(document)
	w.config.documents[hash] = document
	w.config.checker.Proposed(configuration.Proposal{Reason: reason, Expect: expect, Hash: hash})
	v := config.Version{Hash: hash, Size: len(document), Author: "operator", Reason: reason, Time: int64(w.now), RollbackOf: rollback}
	w.deliver(m, func() {
		m.config.refs++
		ref := m.config.refs
		m.config.pending[ref] = configPending{reason: reason}
		w.trace("n%d is asked to propose %s of %d bytes after version %d", m.number, reason, len(document), expect)
		m.core.WithConfig(w.local(m), func(r *config.Replica) { r.Propose(w.local(m), ref, document, expect, v) })
	})
}

func (w *World) proposalConcluded(m *machine, o config.ProposalResult) {
	request, ok := m.config.pending[o.Ref]
	if !ok || request.reason == "" {
		w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s reports the result of request %d, which is unknown or has its result already", w.now, m.id, o.Ref)
		return
	}
	delete(m.config.pending, o.Ref)
	if w.plan.Mutant == "tell agreed" && o.Result == config.Conflict {
		o.Result = config.Committed
	}
	if w.plan.Mutant == "tell lost" && o.Result == config.Committed {
		o.Result = config.Conflict
	}
	w.trace("n%d reports that %s is %s: version %d, %s", m.number, request.reason, resultNames[o.Result], o.Version.Number, o.Reason)
	w.config.checker.Concluded(w.now, request.reason, o)
	if request.concluded != nil {
		request.concluded(o)
	}
}

var resultNames = [...]string{"not known", "agreed", "lost", "refused"}

// rollBack has an operator roll back to an older version, whose document is fetched first.
func (w *World) rollBack(m *machine, back int) {
	newest := w.config.checker.Newest().Number
	if m.core == nil || w.now < m.pausedUntil || newest < 2 {
		return
	}
	number := newest - min(newest-1, uint64(1+back))
	hash, ok := w.config.checker.Version(number)
	if !ok {
		return
	}
	w.deliver(m, func() {
		m.config.refs++
		ref := m.config.refs
		m.config.pending[ref] = configPending{rollback: number, expect: newest}
		m.core.WithConfig(w.local(m), func(r *config.Replica) { r.FetchDocument(w.local(m), ref, hash) })
	})
}

func (w *World) rollBackTo(m *machine, request configPending, document []byte) {
	if document == nil {
		return
	}
	if hash, _ := w.config.checker.Version(request.rollback); config.HashOf(document) != hash {
		w.config.checker.Broken = fmt.Sprintf("%.1f ms: %s was given another document of version %d", w.now, m.id, request.rollback)
		return
	}
	if m.checkDocument(document) == nil {
		w.propose(m, request.expect, document, request.rollback)
	}
}

// askStatus has an operator ask a controller where the newest version is in force.
func (w *World) askStatus(m *machine, answered func(config.Answer)) {
	if m.core == nil || w.now < m.pausedUntil {
		return
	}
	w.deliver(m, func() {
		m.config.refs++
		ref := m.config.refs
		m.config.pending[ref] = configPending{status: answered}
		m.core.WithConfig(w.local(m), func(r *config.Replica) { r.Query(w.local(m), ref, config.QueryStatus) })
	})
}

// checkHistories passes the agreed versions of each voter to the checker.
func (w *World) checkHistories() {
	for _, m := range w.nodes {
		if state := w.configState(m); state != nil {
			w.config.checker.History(w.now, string(m.id), state.Versions)
		}
	}
}

// configState returns the agreed state of the configuration at a voter, or nil for a machine that does not vote.
func (w *World) configState(m *machine) *config.State {
	if m.core == nil {
		return nil
	}
	if role, _ := m.core.Quorum().Role(); role != quorum.Voter {
		return nil
	}
	return m.core.Quorum().ConfigState()
}
