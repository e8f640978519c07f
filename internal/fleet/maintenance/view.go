package maintenance

import (
	"slices"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// view returns the input for the decisions of internal/core/fleet/maintenance.
func (j *Job) view(jobContext job.Context) core.View {
	engines := j.currentEngines()
	v := core.View{
		Now:          j.now(),
		Tasks:        j.agreed.Tasks,
		Plans:        j.agreed.Plans,
		DrainsListed: j.block.Load().List,
	}
	if len(engines) == 0 {
		v.StaleReason = "the state of the engines is not known yet"
	}
	for _, e := range engines {
		if e.State != router.Gone {
			v.Engines = append(v.Engines, j.viewEngine(e))
		}
	}
	v.Lost = j.lostEngines(v)
	for _, kinds := range j.host.Bounds {
		v.Requirements = append(v.Requirements, j.requirement(kinds, v.Engines))
	}
	for _, m := range jobContext.Members() {
		if m.State == members.Suspect {
			v.StaleReason = string(m.ID) + " does not answer at the moment"
		}
	}
	return v
}

// kindName returns the name of a machine kind; "" if it is unknown.
func (j *Job) kindName(kind router.KindID) string {
	if int(kind) < 0 || int(kind) >= len(j.host.Kinds) {
		return ""
	}
	return j.host.Kinds[kind]
}

// viewEngine returns an engine for the view. The readiness of an engine that maintenance holds
// comes from the endpoint list, as the loop reports it as draining for as long as it is held.
func (j *Job) viewEngine(e router.EngineStatus) core.Engine {
	viewed := core.Engine{
		ID:        core.EngineID(e.Engine),
		Zone:      core.Zone(e.Zone),
		Kind:      core.Kind(j.kindName(e.Kind)),
		Cores:     e.Cores,
		Ready:     e.State == router.Ready,
		StartedAt: e.StartedAt,
		WarmAt:    e.WarmAt,
		Load:      min(1, e.Load),
	}
	if slices.Contains(j.held.Engines, e.Engine) {
		viewed.Ready = e.ListedState == router.Ready
	}
	for _, t := range e.Tables {
		viewed.Groups = append(viewed.Groups, core.HostedGroup{
			Group:        core.Group(t.Tables),
			Demand:       t.Demand,
			WarmReplicas: t.OtherEngines,
		})
	}
	return viewed
}

// lostEngines returns the known engines that are not ready although no task took them out, until
// they are presumed removed.
func (j *Job) lostEngines(v core.View) (lost []core.Engine) {
	for _, id := range j.agreed.Known {
		ready := slices.ContainsFunc(v.Engines, func(e core.Engine) bool { return e.ID == id && e.Ready })
		takenOut := slices.ContainsFunc(v.Tasks, func(t core.Task) bool {
			return t.Engine == id && t.Step != core.Done
		})
		if ready || takenOut {
			delete(j.engineLostSince, id)
			continue
		}
		if j.engineLostSince[id] == 0 {
			j.engineLostSince[id] = v.Now
		}
		if !j.presumedRemoved(id, v.Now) {
			lost = append(lost, core.Engine{ID: id})
		}
	}
	return lost
}

// presumedRemoved reports whether an engine has been missing for lostEngineTimeout, after which it
// no longer counts as lost.
func (j *Job) presumedRemoved(id core.EngineID, now float64) bool {
	return j.engineLostSince[id] > 0 && now >= j.engineLostSince[id]+lostEngineTimeout
}

// knownEngines returns the engines that are expected to exist: all that were ready while there were
// plans, except for those presumed removed.
func (j *Job) knownEngines(v core.View) []core.EngineID {
	known := slices.DeleteFunc(slices.Clone(j.agreed.Known), func(id core.EngineID) bool {
		return j.presumedRemoved(id, v.Now)
	})
	for _, e := range v.Engines {
		if e.Ready && !slices.Contains(known, e.ID) && len(known) < maxKnownEngines {
			known = append(known, e.ID)
		}
	}
	slices.Sort(known)
	return known
}

// requirement returns the capacity that a query class bound to these machine kinds may need: all
// capacity in use there, as it is not known which class uses it.
func (j *Job) requirement(kinds []router.KindID, engines []core.Engine) core.Requirement {
	required := core.Requirement{}
	for _, kind := range kinds {
		if int(kind) >= 0 && int(kind) < len(j.host.Kinds) {
			required.Kinds = append(required.Kinds, core.Kind(j.host.Kinds[kind]))
		}
	}
	for _, e := range engines {
		if slices.Contains(required.Kinds, e.Kind) {
			required.Cores += e.Load * e.Cores
		}
	}
	return required
}

// listedState returns the state of an engine in the endpoint list, whether or not this controller
// holds the engine.
func (j *Job) listedState(id core.EngineID) router.EngineState {
	for _, e := range j.currentEngines() {
		if core.EngineID(e.Engine) == id {
			return e.ListedState
		}
	}
	return router.Gone
}
