package router

const (
	reportHalfLife      = 1000.0  // ms, of reported utilization
	othersHalfLife      = 5000.0  // ms, of what others are reported to have in flight on an engine
	slowdownLifeFactor  = 4.0     // half-life of an engine's slowdown, in mean times between own queries for it
	maxSlowdownHalfLife = 10000.0 // ms
	reportMaxAge        = 4000.0  // ms after which a load report no longer counts
	maxUtilization      = 2.0     // busy cores over all cores; a report of more is not believed
	maxInflightPerCore  = 100.0   // queries; a report of more is not believed
)

// plausible tells whether a report may be true: figures that no engine can mean change nothing.
func (l *LoadReport) plausible(e *engine) bool {
	return l.Utilization <= maxUtilization && l.Inflight <= maxInflightPerCore*e.cores
}

// recordReport files a load recordReport.
func (r *Router) recordReport(e *engine, l *LoadReport) {
	if l == nil || !l.plausible(e) {
		return
	}
	e.reportedAt, e.memoryGranted = r.now, max(0, l.Memory)
	if l.Utilization >= 0 {
		e.utilization.add(r.now, l.Utilization, 1)
	}
	if l.Disk >= 0 {
		e.disk.add(r.now, l.Disk, 1)
	}
	if l.Inflight >= 0 {
		e.othersInflight.capWeight(r.now, 1)
		e.othersInflight.add(r.now, max(0, l.Inflight-float64(e.attempts)), 1)
		r.traffic.othersPerCore.add(r.now, max(0, l.Inflight-float64(e.attempts)), e.cores)
		if r.concurrency.readyCores > 0 {
			r.traffic.share.add(r.now, float64(r.concurrency.attempts)*e.cores/r.concurrency.readyCores, l.Inflight)
		}
	}
	r.updateBounds(e)
}

// engineLoad is the design's, with its fallbacks in order.
func (r *Router) engineLoad(e *engine) float64 {
	if e.reportedAt == 0 || r.now-e.reportedAt > reportMaxAge {
		return float64(e.attempts) / e.cores / r.trafficShare()
	}
	if e.utilization.weight > 0 {
		return max(e.utilization.mean(r.now, 0, 0), e.disk.mean(r.now, 0, 0))
	}
	return (float64(e.attempts) + e.othersInflight.mean(r.now, 0, 0)) / e.cores
}
