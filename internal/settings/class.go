package settings

import "mintkeel/router"

// Values of the settings effect and dedup_scope: the effect of running a query twice, and the
// engines that share idempotency keys.
var (
	effects = map[string]router.RepeatEffect{
		"free":        router.Idempotent,
		"guarded":     router.Deduplicated,
		"single_shot": router.NonIdempotent,
	}
	scopes = map[string]router.DeduplicationScope{
		"all":  router.ScopeAll,
		"zone": router.ScopeZone,
		"cell": router.ScopeCell,
	}
)

// class reads the i-th query class, whose keys begin with prefix.
func (p *parser) class(prefix string, i int, names *Names) router.QueryClass {
	effect, scope := p.repeatEffect(prefix)
	return router.QueryClass{
		Effect:              effect,
		Scope:               scope,
		DeduplicationWindow: p.milliseconds(prefix + "repeat_window_ns"),
		Ordered:             p.bool(prefix + "in_order"),
		LatencyObjective:    p.milliseconds(prefix + "promise_ns"),
		ObjectivePerWork:    p.float(prefix + "aim_stretch"),
		ClientTimeout:       p.milliseconds(prefix + "hard_limit_ns"),
		LateBenefit:         p.float(prefix + "late_worth"),
		Threads:             max(1, p.floatItem("family_info.width_by_class", i)),
		LocksTables:         p.item("family_info.holds_tables", i) == "true",
		WaitsForTables:      p.item("family_info.class_waits", i) == "true",
		Kinds:               p.classKinds(prefix+"bound_to", names),
		Zones:               p.classZones(prefix + "failure_domains_allowed"),
	}
}

// repeatEffect reads the effect of running a query twice. The scope is required only for
// deduplicated queries.
func (p *parser) repeatEffect(prefix string) (router.RepeatEffect, router.DeduplicationScope) {
	effect, known := effects[p.values[prefix+"effect"]]
	if !known {
		p.fail(prefix+"effect", "is not known")
	}
	scope, known := scopes[p.values[prefix+"dedup_scope"]]
	if !known && effect == router.Deduplicated {
		p.fail(prefix+"dedup_scope", "is not known")
	}
	return effect, scope
}

// classKinds reads the machine kinds that may run a class; nil: any. Names of kinds that the
// settings don't have are ignored, so a list of only such names allows no kind.
func (p *parser) classKinds(key string, names *Names) []router.KindID {
	if !p.has(key) {
		return nil
	}
	kinds := []router.KindID{}
	for _, name := range p.list(key) {
		if kind, known := names.MachineKinds[name]; known {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// classZones reads the zones that may run a class; nil: any.
func (p *parser) classZones(key string) []router.Zone {
	if !p.has(key) {
		return nil
	}
	zones := []router.Zone{}
	for _, name := range p.list(key) {
		zones = append(zones, router.Zone(name))
	}
	return zones
}
