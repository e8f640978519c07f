package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/node"
)

// Traffic is what one machine has sent and received, in bytes; frames count 40 bytes more than their content.
type Traffic struct {
	Sent, Received             float64 // of all messages
	ConfigSent, ConfigReceived float64 // of which for the configuration, the summaries that ride on membership's among them
}

// frameBytes is what a frame adds to a message.
const frameBytes = 40

// Observe has every version told that comes into force at a machine, and what is in force when its process starts: number
// 0 is none.
func (w *World) Observe(observed func(machine int, number uint64, started bool)) {
	w.config.observed = observed
}

// Runs tells whether a machine's process runs now.
func (w *World) Runs(machine int) bool { return w.nodes[machine].core != nil }

// PutDocument has an operator propose a document of some bytes at a machine that runs, after the newest version that voters hold.
// Ended is told how that went, and not at all if the machine's process ends before.
func (w *World) PutDocument(machine, size int, ended func(config.ProposalResult)) {
	w.checkHistories()
	m := w.nodes[machine]
	w.put(m, w.knownVersion(m), w.document(size, -1))
	if asked, ok := m.config.pending[m.config.refs]; ok {
		asked.concluded = ended
		m.config.pending[m.config.refs] = asked
	}
}

// Leader is the number of a machine that leads the quorum; below 0: none does.
func (w *World) Leader() int {
	if m := w.leader(); m != nil {
		return m.number
	}
	return -1
}

// After does something after some ms.
func (w *World) After(duration float64, do func()) { w.at(w.now+duration, do) }

// Restart ends a machine's process, and begins it anew some ms later.
func (w *World) Restart(machine int, after float64) { w.restart(w.nodes[machine], after) }

// Replace does the same, with an empty folder.
func (w *World) Replace(machine int, after float64) {
	m := w.nodes[machine]
	w.restart(m, after)
	m.records, m.copies = nil, nil
	m.config.disk = configDisk{}
	m.config.folderGeneration++
}

// KillLeaderAt ends the leader's process at the very moment at which it sees that a version was agreed on, before
// anything that follows from it is sent; it starts again some ms later.
func (w *World) KillLeaderAt(number uint64, after float64) {
	w.config.killAtVersion, w.config.killDowntime = number, after
}

// killLeaderDue ends the process of a leader that is to be killed now, and tells whether it did.
func (w *World) killLeaderDue(m *machine) bool {
	if w.config == nil || w.config.killAtVersion == 0 || !m.core.Quorum().Leads() || m.core.Quorum().ConfigState().Newest() < w.config.killAtVersion {
		return false
	}
	w.config.killAtVersion = 0
	w.restart(m, w.config.killDowntime)
	return true
}

// CutOff has nothing get between some machines and the others for some ms.
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

// DropMessages has a share of all messages lost for some ms.
func (w *World) DropMessages(share, duration float64) { w.drop, w.dropUntil = share, w.now+duration }

// CountTraffic has the bytes of each machine counted from now on.
func (w *World) CountTraffic() { w.traffic = make([]Traffic, len(w.nodes)) }

// Traffic is what a machine has sent and received since CountTraffic.
func (w *World) Traffic(machine int) Traffic { return w.traffic[machine] }

// countSent counts a message that was sent.
func (w *World) countSent(from, to int, m *node.Message, bytes int) {
	if w.traffic == nil {
		return
	}
	size := float64(bytes + frameBytes)
	configBytes := 0.0
	if m.Config != nil {
		configBytes = size
		if m.Members != nil { // the summary alone
			data, _ := cbor.Marshal(m.Config)
			configBytes = float64(len(data) + 1)
		}
	}
	w.traffic[from].Sent += size
	w.traffic[from].ConfigSent += configBytes
	w.traffic[to].Received += size
	w.traffic[to].ConfigReceived += configBytes
}
