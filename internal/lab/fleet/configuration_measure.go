package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/node"
)

// Traffic counts the bytes that one machine has sent and received, with frameBytes for each frame.
type Traffic struct {
	Sent, Received             float64 // of all messages
	ConfigSent, ConfigReceived float64 // of these for the configuration, with the summaries inside membership messages
}

// frameBytes is the overhead of a frame, in bytes.
const frameBytes = 40

// Observe calls observed for every version that comes into force at a machine, and for the version in force when its process
// starts; number 0 is none.
func (w *World) Observe(observed func(machine int, number uint64, started bool)) {
	w.config.observed = observed
}

// Runs reports whether a machine's process runs now.
func (w *World) Runs(machine int) bool { return w.nodes[machine].core != nil }

// PutDocument has an operator propose a document of size bytes at a machine that runs, after the newest version that the
// voters know. It calls ended with the result, unless the machine's process ends before.
func (w *World) PutDocument(machine, size int, ended func(config.ProposalResult)) {
	w.checkHistories()
	m := w.nodes[machine]
	w.put(m, w.knownVersion(m), w.document(size, -1))
	if asked, ok := m.config.pending[m.config.refs]; ok {
		asked.concluded = ended
		m.config.pending[m.config.refs] = asked
	}
}

// Leader returns the number of the machine that leads the quorum, or -1 if none does.
func (w *World) Leader() int {
	if m := w.leader(); m != nil {
		return m.number
	}
	return -1
}

// After calls do after a duration in ms.
func (w *World) After(duration float64, do func()) { w.at(w.now+duration, do) }

// Restart ends a machine's process, and starts it again after some ms.
func (w *World) Restart(machine int, after float64) { w.restart(w.nodes[machine], after) }

// Replace ends a machine's process, and starts it again after some ms with an empty folder.
func (w *World) Replace(machine int, after float64) {
	m := w.nodes[machine]
	w.restart(m, after)
	m.records, m.copies = nil, nil
	m.config.disk = configDisk{}
	m.config.folderGeneration++
}

// KillLeaderAt ends the leader's process as soon as the leader knows that a version was agreed on, before it sends anything
// about it; the process starts again after some ms.
func (w *World) KillLeaderAt(number uint64, after float64) {
	w.config.killAtVersion, w.config.killDowntime = number, after
}

// killLeaderDue ends the process of a leader for which KillLeaderAt is due, and reports whether it did.
func (w *World) killLeaderDue(m *machine) bool {
	if w.config == nil || w.config.killAtVersion == 0 || !m.core.Quorum().Leads() || m.core.Quorum().ConfigState().Newest() < w.config.killAtVersion {
		return false
	}
	w.config.killAtVersion = 0
	w.restart(m, w.config.killDowntime)
	return true
}

// CutOff blocks all messages between the machines inside and the others, in both directions, for a duration in ms.
func (w *World) CutOff(inside func(machine int) bool, duration float64) {
	until := w.now + duration
	for i := range w.nodes {
		for j := range w.nodes {
			if inside(i) != inside(j) {
				w.blocked[[2]int{i, j}] = max(w.blocked[[2]int{i, j}], until)
			}
		}
	}
}

// DropMessages loses a share of all messages for a duration in ms.
func (w *World) DropMessages(share, duration float64) { w.drop, w.dropUntil = share, w.now+duration }

// CountTraffic resets the counts of Traffic and counts the bytes of each machine from now on.
func (w *World) CountTraffic() { w.traffic = make([]Traffic, len(w.nodes)) }

// Traffic returns what a machine has sent and received since CountTraffic.
func (w *World) Traffic(machine int) Traffic { return w.traffic[machine] }

// countSent counts a message at its sender and its receiver when it is sent, also if it is lost afterwards.
func (w *World) countSent(from, to int, m *node.Message, bytes int) {
	if w.traffic == nil {
		return
	}
	size := float64(bytes + frameBytes)
	configBytes := 0.0
	if m.Config != nil {
		configBytes = size
		if m.Members != nil { // a membership message: only its summary counts for the configuration
			data, _ := cbor.Marshal(m.Config)
			configBytes = float64(len(data) + 1)
		}
	}
	w.traffic[from].Sent += size
	w.traffic[from].ConfigSent += configBytes
	w.traffic[to].Received += size
	w.traffic[to].ConfigReceived += configBytes
}
