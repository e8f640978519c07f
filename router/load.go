package router

const (
	reportHalfLife      = 1000.0  // ms, of reported utilization
	othersHalfLife      = 5000.0  // ms, of the queries of other controllers in flight on an engine
	reportMaxAge        = 4000.0  // ms after which a load report is ignored
	maxUtilization      = 2.0     // busy cores over all cores; a report of more is ignored
	maxInflightPerCore  = 100.0   // queries; a report of more is ignored
	slowdownLifeFactor  = 4.0     // slowdownHalfLife, in mean intervals between own queries per engine
	maxSlowdownHalfLife = 10000.0 // ms
	negligibleQueryRate = 1e-9    // queries per ms; avoids a division by 0
)

// plausible reports whether an engine can have this load. Reports that are not plausible are
// ignored.
func (l *LoadReport) plausible(e *engine) bool {
	return l.Utilization <= maxUtilization && l.Inflight <= maxInflightPerCore*e.cores
}

// recordReport records the load report of an engine; nil: there is none.
func (r *Router) recordReport(e *engine, report *LoadReport) {
	if report == nil || !report.plausible(e) {
		return
	}
	e.reportedAt = r.now
	e.memoryGranted = max(0, report.Memory)
	if report.Utilization >= 0 {
		e.utilization.add(r.now, report.Utilization, 1)
	}
	if report.Disk >= 0 {
		e.disk.add(r.now, report.Disk, 1)
	}
	if report.Inflight >= 0 {
		r.recordInflight(e, report.Inflight)
	}
	r.updateBounds(e)
}

// recordInflight records how many queries of all controllers an engine has in flight, to learn its
// load by other controllers and this controller's share of the traffic.
func (r *Router) recordInflight(e *engine, inflight float64) {
	others := max(0, inflight-float64(e.attempts))
	e.othersInflight.capWeight(r.now, 1)
	e.othersInflight.add(r.now, others, 1)
	r.traffic.othersPerCore.add(r.now, others, e.cores)
	if r.concurrency.readyCores > 0 {
		ownPart := float64(r.concurrency.attempts) * e.cores / r.concurrency.readyCores
		r.traffic.share.add(r.now, ownPart, inflight)
	}
}

// engineLoad is the load of an engine: the larger of its reported utilization and disk use; if it
// reports no utilization, the queries in flight per core; without a recent report, an estimate of
// that from this controller's own attempts and its share of the traffic.
func (r *Router) engineLoad(e *engine) float64 {
	if e.reportedAt == 0 || r.now-e.reportedAt > reportMaxAge {
		return float64(e.attempts) / e.cores / r.trafficShare()
	}
	if e.utilization.weight > 0 {
		return max(e.utilization.mean(r.now, 0, 0), e.disk.mean(r.now, 0, 0))
	}
	return (float64(e.attempts) + e.othersInflight.mean(r.now, 0, 0)) / e.cores
}

// slowdownHalfLife is the half-life in ms of an engine's slowdown: long enough for several own
// queries per engine, within bounds.
func (r *Router) slowdownHalfLife() float64 {
	queryRate := r.traffic.queryRate.rate(r.now) + negligibleQueryRate
	wanted := slowdownLifeFactor * float64(len(r.engineList)) / queryRate
	return min(maxSlowdownHalfLife, max(reportHalfLife, wanted))
}
