package router

import "testing"

// A client may claim any estimate and timeout, and a load report or progress message may be
// corrupt. None of these changes what is decided for other queries.
func TestImplausibleFiguresAreIgnored(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.step(newQuery(1))
	before := tr.r.classes[0].firstTryTimeout
	ev := newQuery(2)
	ev.TimeLeft = 1e12
	ev.EstimatedWork = 1e12
	if tr.step(ev); tr.r.classes[0].firstTryTimeout > before {
		t.Errorf("a claimed time of 1e12 ms raised firstTryTimeout to %g ms", tr.r.classes[0].firstTryTimeout)
	}
	if demand := tr.r.tableGroups[7].demand.sum; demand > 2*lookupClass.ClientTimeout {
		t.Errorf("a claimed estimate of 1e12 ms raised the demand to %g, want at most 2 client timeouts", demand)
	}
	e := tr.r.engines["a"]
	for _, l := range []LoadReport{{Inflight: 1e9, Utilization: 0.5}, {Inflight: 3, Utilization: 1e9}} {
		if tr.r.recordReport(e, &l); e.reportedAt > 0 {
			t.Errorf("the load report %+v was recorded, want it ignored", l)
		}
	}
	tr.r.classes[0].bestUnitTime = 10
	for _, level := range []float64{-1, 1e9} {
		if tr.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: level}); e.slowdown.weight > 0 {
			t.Errorf("a progress message with a share of %g was recorded, want it ignored", level)
		}
	}
}
