package maintenance

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// confirmation is the last confirmation from a controller about the engines that it holds.
type confirmation struct {
	serial     uint64            // of the announcement that it answers
	stopped    []router.EngineID // engines on which none of the controller's attempts run any more
	receivedAt float64           // ms
}

// enginesToHold returns the engines that no controller may send new attempts to, sorted.
func (j *Job) enginesToHold() (engines []router.EngineID) {
	for _, t := range j.agreed.Tasks {
		if t.Step >= core.Draining && t.Step <= core.Returning || t.Step == core.Missing {
			engines = append(engines, router.EngineID(t.Engine))
		}
	}
	slices.Sort(engines)
	return engines
}

// announce sends the engines to hold to every controller. It is repeated, so that a controller that
// missed an announcement, or has just started, gets the next one. Members that are believed dead
// get it too, as they may be cut off in one direction only.
func (j *Job) announce(jobContext job.Context) {
	data, err := cbor.Marshal(holdEffect{Serial: j.serial, Engines: j.enginesToHold()})
	if err != nil {
		return
	}
	for _, m := range jobContext.Members() {
		if m.State <= members.Suspect || m.State == members.Dead {
			j.effectID++
			jobContext.TryEffect(Lease, m.ID, j.effectID, data)
		}
	}
}

// EffectReceived handles an announcement of the engines to hold, which has passed the fencing
// check. It ignores one that is older than the last under the same fencing token.
func (j *Job) EffectReceived(_ job.Context, from members.ID, effect node.Effect) {
	if effect.Grant.Name != Lease {
		return
	}
	var announced holdEffect
	if err := frames.Decoder.Unmarshal(effect.Data, &announced); err != nil {
		return
	}
	token := effect.Grant.Token
	if token == j.heldToken && announced.Serial < j.held.Serial {
		return
	}
	if !slices.Equal(announced.Engines, j.held.Engines) || token != j.heldToken {
		j.setToHold(announced.Engines)
		j.host.Log.Info("maintenance: holds", "engines", len(announced.Engines), "token", uint64(token),
			"serial", announced.Serial)
	}
	j.held = announced
	j.heldToken = token
	j.heldFrom = from
	j.refreshEngines()
}

// setToHold sets the engines that the loop is to hold, and discards its last report on the engines,
// which predates the change.
func (j *Job) setToHold(engines []router.EngineID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.holdChanges++
	j.toHold = engines
	j.engines = nil
}

// confirm reports to the lease holder on which of the held engines none of this controller's
// attempts run any more. It sends nothing until the loop has reported the engines after the last
// change of the held set.
func (j *Job) confirm(jobContext job.Context) {
	j.mu.Lock()
	changed := j.holdChanges != j.appliedHold
	engines := j.engines
	j.mu.Unlock()
	if changed {
		j.refreshEngines()
	}
	if j.heldFrom == "" || len(j.held.Engines) == 0 || jobContext.Now() < j.nextConfirmAt {
		return
	}
	j.nextConfirmAt = jobContext.Now() + stepInterval
	j.refreshEngines()
	if engines == nil {
		return
	}
	answer := message{Token: uint64(j.heldToken), Serial: j.held.Serial}
	for _, id := range j.held.Engines {
		inUse := slices.ContainsFunc(engines, func(e router.EngineStatus) bool {
			return e.Engine == id && (e.State == router.Ready || e.Attempts > 0)
		})
		if !inUse {
			answer.Stopped = append(answer.Stopped, id)
		}
	}
	sendMessage(jobContext, j.heldFrom, answer)
}

// unconfirmed returns the controllers that may still send attempts to an engine, as far as the
// lease holder knows: every known member without a current confirmation, except for those that shut
// down and those that an operator excluded.
func (j *Job) unconfirmed(jobContext job.Context, engine core.EngineID) (controllers []string) {
	for _, m := range jobContext.Members() {
		if m.State == members.Left || m.Run == 0 || slices.Contains(j.agreed.Excluded, m.ID) {
			continue
		}
		last, ok := j.confirmations[m.ID]
		expired := jobContext.Now()-last.receivedAt > confirmationLifetime
		if !ok || expired || !slices.Contains(last.stopped, router.EngineID(engine)) {
			controllers = append(controllers, string(m.ID))
		}
	}
	return controllers
}
