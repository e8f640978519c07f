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

// confirmation is what a controller last said of the engines that it holds.
type confirmation struct {
	serial     uint64            // of the announcement that it answers
	stopped    []router.EngineID // engines on which nothing of the controller's own runs any more
	receivedAt float64           // ms, when it was received
}

// enginesToHold are the engines to which no controller may send anything new, sorted.
func (j *Job) enginesToHold() (engines []router.EngineID) {
	for _, t := range j.agreed.Tasks {
		if t.Step >= core.Draining && t.Step <= core.Returning || t.Step == core.Missing {
			engines = append(engines, router.EngineID(t.Engine))
		}
	}
	slices.Sort(engines)
	return engines
}

// announce sends every controller the engines to hold. It is repeated, so that a controller that
// missed an announcement, or starts, gets the next. A member that is believed dead may be cut off
// in one direction alone and gets it too.
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

// EffectReceived takes in the engines to hold, from the latest holder of the lease.
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

// setToHold notes engines that the loop is to hold. What it said of the engines before does not
// count any more.
func (j *Job) setToHold(engines []router.EngineID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.holdChanges++
	j.toHold = engines
	j.engines = nil
}

// confirm reports to the holder of the lease on which of the held engines nothing of this
// controller's own runs any more. It sends nothing before the loop has answered after the last
// change of what is held.
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
	reply := message{Token: uint64(j.heldToken), Serial: j.held.Serial}
	for _, id := range j.held.Engines {
		inUse := slices.ContainsFunc(engines, func(e router.EngineStatus) bool {
			return e.Engine == id && (e.State == router.Ready || e.Attempts > 0)
		})
		if !inUse {
			reply.Stopped = append(reply.Stopped, id)
		}
	}
	sendMessage(jobContext, j.heldFrom, reply)
}

// unconfirmed are the controllers that may still send to an engine, as far as the lease holder
// knows: each member that it ever heard of, but for those that shut down and those that an operator
// had it wait for no more.
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
