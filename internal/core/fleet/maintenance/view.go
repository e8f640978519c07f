package maintenance

import "slices"

// View is the input of a decision.
type View struct {
	Now          float64 // ms since 1970
	Engines      []Engine
	Lost         []Engine // missing from the endpoint list without having been taken out
	Tasks        []Task
	Plans        []Plan
	Requirements []Requirement
	// ReconnectStorm: many clients are reconnecting, or controllers are coming back. No caller sets it
	// yet.
	ReconnectStorm bool
	// DrainsListed: the endpoint list marks engines that are taken out as draining, so that one it
	// lists as ready is back.
	DrainsListed bool
	// StaleReason is why the view may be incomplete, as text for operators; empty: it is complete.
	StaleReason string
}

// Limits are the margins that Decide keeps. DefaultLimits has the defaults.
type Limits struct {
	// MaxLoad is the mean load of the remaining engines above which none is taken out. Default
	// 0.75; 0: none is taken out under any load.
	MaxLoad float64
	// CapacityFactor times the cores of a Requirement must remain. Default 1.2; 0: requirements
	// don't count.
	CapacityFactor float64
	// PrepareTimeout is the longest time in ms for which other engines load an engine's table groups
	// before it is drained. Default 30000; 0: they are not waited for.
	PrepareTimeout float64
	// ReturnTimeout is the time in ms after its work after which an engine that is not back counts as
	// missing. Default 600000; 0: at once.
	ReturnTimeout float64
	// WaitForWarm: no engine is taken out while one that is back is still cold. Default true.
	WaitForWarm bool
}

// DefaultLimits returns the defaults of Limits.
func DefaultLimits() Limits {
	return Limits{
		MaxLoad:        0.75,
		CapacityFactor: 1.2,
		PrepareTimeout: 30000,
		ReturnTimeout:  600000,
		WaitForWarm:    true,
	}
}

// hasTask reports whether an engine has an unfinished task, or a finished one of this version of a
// plan.
func (v View) hasTask(id EngineID, p Plan) bool {
	return slices.ContainsFunc(v.Tasks, func(t Task) bool {
		doneByPlan := t.Plan == p.ID && t.Sequence >= uint64(p.Version)
		return t.Engine == id && (t.Step != Done || doneByPlan)
	})
}

// unavailable returns the engines that are taken out or lost, except one.
func (v View) unavailable(except EngineID) (list []Engine) {
	for _, t := range v.Tasks {
		if t.Step.reducesCapacity() && t.Engine != except {
			list = append(list, Engine{ID: t.Engine, Zone: t.Zone, Kind: t.Kind, Cores: t.Cores})
		}
	}
	for _, e := range v.Lost {
		if !slices.ContainsFunc(list, func(o Engine) bool { return o.ID == e.ID }) && e.ID != except {
			list = append(list, e)
		}
	}
	return list
}
