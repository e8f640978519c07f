package maintenance

import (
	"slices"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// view is what the decisions of internal/core/fleet/maintenance are made from.
func (j *Job) view(jobContext job.Context) core.View {
	engines := j.currentEngines()
	v := core.View{
		Now:          j.now(),
		Tasks:        j.agreed.Tasks,
		Plans:        j.agreed.Plans,
		DrainsListed: j.block.Load().List,
	}
	if len(engines) == 0 {
		v.StaleReason = "the engines have not been looked at yet"
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
			v.StaleReason = string(m.ID) + " does not answer just now"
		}
	}
	return v
}

// kindName is the name of a machine kind; empty: it is not known.
func (j *Job) kindName(kind router.KindID) string {
	if int(kind) < 0 || int(kind) >= len(j.host.Kinds) {
		return ""
	}
	return j.host.Kinds[kind]
}

// viewEngine is an engine as decisions see it. One that maintenance itself holds is ready again
// once the endpoint list has it so, as the loop has it drain for as long as it is held.
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

// lostEngines are the known engines that are missing and that nobody took out, until they count as
// left for good.
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

// presumedRemoved reports whether an engine has been missing for so long that it does not count as lost
// any more.
func (j *Job) presumedRemoved(id core.EngineID, now float64) bool {
	return j.engineLostSince[id] > 0 && now >= j.engineLostSince[id]+lostEngineTimeout
}

// knownEngines are the engines that there should be: all that were ever ready while there were
// plans, but for those that left for good.
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

// requirement is the capacity that a query class bound to these machine kinds may need: all that is
// in use there, as it is not known which class uses it.
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

// listedState is the state that the endpoint list gives an engine, whether or not this controller
// holds it.
func (j *Job) listedState(id core.EngineID) router.EngineState {
	for _, e := range j.currentEngines() {
		if core.EngineID(e.Engine) == id {
			return e.ListedState
		}
	}
	return router.Gone
}
