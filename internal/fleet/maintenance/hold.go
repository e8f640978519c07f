package maintenance

import (
	"encoding/json"
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
	serial  uint64
	stopped []router.EngineID
	at      float64 // ms
}

// enginesToHold are the engines that controllers are to send nothing to, sorted.
func (j *Job) enginesToHold() (list []router.EngineID) {
	for _, t := range j.agreed.Tasks {
		if t.Step >= core.Draining && t.Step <= core.Returning || t.Step == core.Missing {
			list = append(list, router.EngineID(t.Engine))
		}
	}
	slices.Sort(list)
	return list
}

// announce sends every controller the engines to hold, again and again: one that missed an announcement, or starts, gets
// the next.
func (j *Job) announce(jobContext job.Context) {
	data, err := cbor.Marshal(holdEffect{j.serial, j.enginesToHold()})
	if err != nil {
		return
	}
	for _, m := range jobContext.Members() {
		if m.State <= members.Suspect || m.State == members.Dead { // one that is gone may be cut off one way alone
			j.effectID++
			jobContext.TryEffect(Lease, m.ID, j.effectID, data)
		}
	}
}

// EffectReceived takes in which engines this controller is to hold, from the latest holder of the lease.
func (j *Job) EffectReceived(_ job.Context, from members.ID, e node.Effect) {
	if e.Grant.Name != Lease {
		return
	}
	var effect holdEffect
	if err := frames.Decoder.Unmarshal(e.Data, &effect); err != nil {
		return
	}
	if e.Grant.Token == j.heldToken && effect.Serial < j.held.Serial {
		return
	}
	if !slices.Equal(effect.Engines, j.held.Engines) || e.Grant.Token != j.heldToken {
		j.mu.Lock()
		j.holdChanges++
		j.toHold, j.engines = effect.Engines, nil
		j.mu.Unlock()
		j.host.Log.Info("maintenance: holds", "engines", len(effect.Engines), "token", uint64(e.Grant.Token), "serial", effect.Serial)
	}
	j.held, j.heldToken, j.heldFrom = effect, e.Grant.Token, from
	j.refreshEngines()
}

// confirm tells the holder of the lease which of the held engines this controller has stopped sending to, with nothing of
// its own still running there.
func (j *Job) confirm(jobContext job.Context) {
	j.mu.Lock()
	changed, engines := j.holdChanges != j.appliedHold, j.engines
	j.mu.Unlock()
	if changed {
		j.refreshEngines()
	}
	if j.heldFrom == "" || len(j.held.Engines) == 0 || jobContext.Now() < j.confirmAt {
		return
	}
	j.confirmAt = jobContext.Now() + stepInterval
	j.refreshEngines()
	if engines == nil {
		return
	}
	m := message{Token: uint64(j.heldToken), Serial: j.held.Serial}
	for _, id := range j.held.Engines {
		inUse := slices.ContainsFunc(engines, func(e router.EngineStatus) bool {
			return e.Engine == id && (e.State == router.Ready || e.Attempts > 0)
		})
		if !inUse {
			m.Stopped = append(m.Stopped, id)
		}
	}
	sendMessage(jobContext, j.heldFrom, m)
}

// unconfirmed are the controllers that may still send to an engine, for all that the holder knows: each that it ever heard
// of, but for those that said that they end and those that an operator does without.
func (j *Job) unconfirmed(jobContext job.Context, id core.EngineID) (list []string) {
	for _, m := range jobContext.Members() {
		if m.State == members.Left || m.Run == 0 || slices.Contains(j.agreed.Without, m.ID) {
			continue
		}
		c, ok := j.confirmations[m.ID]
		if !ok || jobContext.Now()-c.at > confirmationLifetime || !slices.Contains(c.stopped, router.EngineID(id)) {
			list = append(list, string(m.ID))
		}
	}
	return list
}

// sendMessage sends a message to the job of another controller.
func sendMessage(jobContext job.Context, to members.ID, m message) {
	m.Kind = messageKind
	if data, err := cbor.Marshal(m); err == nil {
		jobContext.SendMessage(to, data)
	}
}

// MessageReceived takes in a request, an answer or a confirmation; it is false for a message of another job.
func (j *Job) MessageReceived(jobContext job.Context, from members.ID, data []byte) bool {
	var m message
	if err := frames.Decoder.Unmarshal(data, &m); err != nil || m.Kind != messageKind {
		return false
	}
	switch {
	case m.Request != nil:
		j.receiveRequest(jobContext, from, m.Request)
	case m.Answer != nil:
		var s Status
		if reply := j.replies[m.Answer.Ref]; reply != nil && json.Unmarshal(m.Answer.JSON, &s) == nil {
			delete(j.replies, m.Answer.Ref)
			reply <- s
		}
	case j.holdsLease && m.Token == uint64(j.grant.Token):
		j.confirmations[from] = confirmation{m.Serial, m.Stopped, jobContext.Now()}
	}
	return true
}
