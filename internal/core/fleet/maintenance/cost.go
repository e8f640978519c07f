package maintenance

// The costs of taking an engine out, in cores.
const (
	// noReplicaCost is for each core of demand for a table group that no other engine has warm.
	noReplicaCost = 1.0
	// oneReplicaCost is for each core of demand for a table group that one other engine has warm.
	oneReplicaCost = 0.3
	// sameZoneCost is for each core in use, for each engine that is unavailable in the same zone.
	sameZoneCost = 0.5
	// sizeCost is for each core: a small engine leaves more capacity and is warm again sooner.
	sizeCost = 0.02
	// minCostedLoad is the lowest load that is assumed for sameZoneCost.
	minCostedLoad = 0.1
)

// removalCost returns the cost of taking an engine out now, in cores of work that would find cold
// caches or less capacity.
func (v View) removalCost(e Engine) float64 {
	cost := sizeCost * e.Cores
	for _, g := range e.Groups {
		switch g.WarmReplicas {
		case 0:
			cost += noReplicaCost * g.Demand
		case 1:
			cost += oneReplicaCost * g.Demand
		}
	}
	for _, other := range v.unavailable(e.ID) {
		if other.Zone == e.Zone {
			cost += sameZoneCost * e.Cores * max(e.Load, minCostedLoad)
		}
	}
	return cost
}
