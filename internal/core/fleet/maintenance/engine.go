package maintenance

import (
	"cmp"
	"slices"
	"strings"
)

type (
	// EngineID is the name of an engine, as the endpoint list has it.
	EngineID string
	// Zone is the name of a zone, as the endpoint list has it.
	Zone string
	// Kind is the name of a kind of engine, as the settings have it.
	Kind string
	// Group is the number of a table group, as the settings have it.
	Group int64
	// PlanID names a plan.
	PlanID string
)

// Engine is the present state of an engine.
type Engine struct {
	ID        EngineID
	Zone      Zone
	Kind      Kind
	Cores     float64
	Ready     bool    // in the endpoint list, and not draining
	StartedAt float64 // ms since 1970, when its process started; 0: long ago
	WarmAt    float64 // ms since 1970, until when it is warming up
	Load      float64 // share of its cores in use
	Groups    []HostedGroup
}

// HostedGroup is a table group that an engine serves.
type HostedGroup struct {
	Group        Group
	Demand       float64 // cores of work by queries for the group on this engine
	WarmReplicas int     // other engines that are ready and warm and have the group cached
}

// Requirement is the capacity needed by query classes that may run only on some kinds of engines.
type Requirement struct {
	Kinds []Kind
	Cores float64
}

// sortedByID returns the engines in the order of their IDs, as lists come in any order.
func sortedByID(fleet []Engine) []Engine {
	sorted := slices.Clone(fleet)
	slices.SortFunc(sorted, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// findEngine returns the engine with an ID.
func findEngine(fleet []Engine, id EngineID) (Engine, bool) {
	for _, e := range fleet {
		if e.ID == id {
			return e, true
		}
	}
	return Engine{}, false
}

// hasWarmReplicas reports whether each table group of an engine is warm on another engine too.
func hasWarmReplicas(e Engine) bool {
	alone := func(g HostedGroup) bool { return g.WarmReplicas == 0 }
	return !slices.ContainsFunc(e.Groups, alone)
}

// joinKinds returns a list of kinds as text for operators.
func joinKinds(list []Kind) string {
	texts := make([]string, len(list))
	for i, k := range list {
		texts[i] = string(k)
	}
	return strings.Join(texts, " and ")
}
