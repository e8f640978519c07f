package fleet

import (
	"mintkeel/internal/core/fleet/members"
)

// MembershipMeasurements are the cost of membership for a controller, and its rates of error.
type MembershipMeasurements struct {
	BytesPerSecond         float64 // sent by one controller, on average
	TicksPerSecond         float64 // calls of Tick at one controller, on average
	FalseSuspicionsPerHour float64 // suspicions of members that ran, as one controller learns of them
	FalseDeathsPerHour     float64 // the same of members declared dead
	DetectionMS            float64 // from a death until all controllers knew of it, in steps of 250; at least 300,000 if not all did
}

// MeasureMembers runs a fleet in virtual time: 20 s and 20 ms for each node to converge, then long ms at rest, or with
// a share of the messages lost (0 to 1) and with pauses, each second one node for 0.2 to 3 s; then 60 s of rest, and
// one node is killed.
func MeasureMembers(seed int64, nodes int, loss float64, pauses bool, duration float64) (c MembershipMeasurements) {
	p := Plan{Seed: seed, Nodes: nodes, Voters: 3, Lease: 10000, Membership: members.DefaultConfig()}
	w := NewWorld(p)
	converged := 20000 + 20*float64(nodes)
	w.Run(converged)
	if loss > 0 {
		w.drop, w.dropUntil = loss, converged+duration
	}
	if pauses {
		for at := converged; at < converged+duration; at += 1000 {
			w.at(at, func() { m := w.nodes[w.rng.Intn(nodes)]; m.pausedUntil = w.now + 200 + 2800*w.rng.Float64() })
		}
	}
	w.MembershipBytes, w.Ticks, w.FalseSuspicions, w.FalseDeaths = 0, 0, 0, 0
	w.Run(converged + duration)
	seconds := duration / 1000
	c = MembershipMeasurements{BytesPerSecond: float64(w.MembershipBytes) / seconds / float64(nodes), TicksPerSecond: float64(w.Ticks) / seconds / float64(nodes),
		FalseSuspicionsPerHour: float64(w.FalseSuspicions) / seconds * 3600, FalseDeathsPerHour: float64(w.FalseDeaths) / seconds * 3600}
	w.Run(w.now + 60000)
	dead := w.nodes[nodes-1]
	w.stop(dead)
	began := w.now
	for w.now < began+300000 {
		w.Run(w.now + 250)
		unaware := 0
		for _, m := range w.nodes {
			if m.core != nil {
				if about, ok := m.core.Table().Lookup(dead.id); ok && about.State <= members.Suspect {
					unaware++
				}
			}
		}
		if unaware == 0 {
			break
		}
	}
	c.DetectionMS = w.now - began
	return c
}
