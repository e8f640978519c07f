package fleet

import (
	"mintkeel/internal/core/fleet/members"
)

// Costs are what membership costs a controller, and how often it is wrong.
type Costs struct {
	Bytes, Wakes float64 // a second, sent by one controller; wake-ups of its clock
	False        float64 // suspicions of one that ran, an hour, of the whole fleet
	Gone         float64 // the same, taken to be gone
	Known        float64 // ms until all knew that one had been killed
}

// MeasureMembers runs a fleet in virtual time: some seconds to find itself, then so many ms at rest or under loss and
// pauses, then one is killed.
func MeasureMembers(seed int64, nodes int, loss float64, pauses bool, long float64) (c Costs) {
	p := Plan{Seed: seed, Nodes: nodes, Voters: 3, Lease: 10000, Pace: members.DefaultConfig()}
	w := NewWorld(p)
	warm := 20000 + 20*float64(nodes)
	w.Run(warm)
	if loss > 0 {
		w.drop, w.dropTo = loss, warm+long
	}
	if pauses {
		for at := warm; at < warm+long; at += 1000 {
			w.at(at, func() { m := w.nodes[w.rng.Intn(nodes)]; m.paused = w.now + 200 + 2800*w.rng.Float64() })
		}
	}
	w.TalkBytes, w.Wakes, w.False, w.FalseGone = 0, 0, 0, 0
	w.Run(warm + long)
	seconds := long / 1000
	c = Costs{Bytes: float64(w.TalkBytes) / seconds / float64(nodes), Wakes: float64(w.Wakes) / seconds / float64(nodes),
		False: float64(w.False) / seconds * 3600, Gone: float64(w.FalseGone) / seconds * 3600}
	w.Run(w.now + 60000)
	dead := w.nodes[nodes-1]
	w.stop(dead)
	began := w.now
	for w.now < began+300000 {
		w.Run(w.now + 250)
		unknowing := 0
		for _, m := range w.nodes {
			if m.core != nil {
				if about, ok := m.core.Table().Lookup(dead.id); ok && about.State <= members.Suspect {
					unknowing++
				}
			}
		}
		if unknowing == 0 {
			break
		}
	}
	c.Known = w.now - began
	return c
}
