package router

// EngineStatus is the current view that a controller has of an engine, for capacity planning and
// operators. No decision depends on it.
type EngineStatus struct {
	Engine      EngineID
	State       EngineState // as the controller uses it
	ListedState EngineState // in the endpoint list; differs from State if an override is in force
	Zone        Zone
	Kind        KindID
	StartedAt   float64 // ms, of its process; -Inf: long ago
	WarmAt      float64 // ms, from when it counts as warm; 0: it started long ago
	Cores       float64
	Load        float64 // by its load reports, see engineLoad; 0: no recent report
	Attempts    int     // awaited attempts of this controller
	Tables      []TableStatus
}

// TableStatus is a table group that an engine's pool serves.
type TableStatus struct {
	Tables       TableGroup
	Demand       float64 // at this controller, per engine of the pool: ms on one thread per ms
	OtherEngines int     // number of other engines of the pool
}

// EngineStatuses returns the status of all engines, ordered by id. It changes nothing.
func (r *Router) EngineStatuses() []EngineStatus {
	list := make([]EngineStatus, 0, len(r.engineList))
	for _, e := range r.engineList {
		list = append(list, r.engineStatus(e))
	}
	return list
}

// engineStatus returns the status of one engine.
func (r *Router) engineStatus(e *engine) EngineStatus {
	status := EngineStatus{
		Engine:      e.id,
		State:       e.state,
		ListedState: e.state,
		Zone:        e.zone,
		Kind:        e.kind,
		StartedAt:   e.startedAt,
		Cores:       e.cores,
		Attempts:    e.attempts,
	}
	if e.startedAt > 0 {
		status.WarmAt = e.startedAt + r.limits.SlowStartTime
	}
	if e.reportedAt > 0 && r.now-e.reportedAt <= reportMaxAge {
		status.Load = r.engineLoad(e)
	}
	if e.state == Ready && e.pool != nil {
		status.Tables = e.pool.tableStatuses(r.now)
	}
	return status
}

// tableStatuses lists the table groups that a pool serves, for the status of one of its engines.
func (pool *enginePool) tableStatuses(now float64) []TableStatus {
	var list []TableStatus
	engines := len(pool.engines)
	for _, g := range pool.tableGroups() {
		list = append(list, TableStatus{
			Tables:       g.id,
			Demand:       g.demand.rate(now) / float64(max(1, engines)),
			OtherEngines: engines - 1,
		})
	}
	return list
}
