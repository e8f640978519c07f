package router

// EngineStatus is what a controller knows of an engine just now, for those who plan by it: nothing is
// decided here.
type EngineStatus struct {
	Engine      EngineID
	State       EngineState
	ListedState EngineState // what the list tells, where somebody holds the engine otherwise
	Zone        Zone
	Kind        KindID
	StartedAt   float64
	WarmAt      float64 // from when it counts as warm
	Cores       float64
	Load        float64 // as the design's
	Attempts    int     // own sends out
	Tables      []TableStatus
}

// TableStatus is a table group that an engine's owner has.
type TableStatus struct {
	Tables       TableGroup
	Demand       float64 // of this controller there, work on one thread for each ms
	OtherEngines int     // other ready engines of that owner
}

// EngineStatuses tells of all engines, in the order of the list. It changes nothing.
func (r *Router) EngineStatuses() []EngineStatus {
	list := make([]EngineStatus, 0, len(r.engineList))
	for _, e := range r.engineList {
		now := EngineStatus{Engine: e.id, State: e.state, ListedState: e.state, Zone: e.zone, Kind: e.kind, StartedAt: e.startedAt, Cores: e.cores, Attempts: e.attempts}
		if e.startedAt > 0 {
			now.WarmAt = e.startedAt + r.limits.SlowStartTime
		}
		if e.reportedAt > 0 && r.now-e.reportedAt <= reportMaxAge {
			now.Load = r.engineLoad(e)
		}
		if pool := e.pool; pool != nil && e.state == Ready {
			for _, g := range pool.tableGroups() {
				now.Tables = append(now.Tables, TableStatus{g.id, g.demand.rate(r.now) / float64(max(1, len(pool.engines))), len(pool.engines) - 1})
			}
		}
		list = append(list, now)
	}
	return list
}
