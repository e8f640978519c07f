package router

import "testing"

// A client may claim any estimate and timeout, and a load report or progress message may be garbled. None of
// these changes what is decided for other queries.
func TestImplausibleFiguresAreIgnored(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.step(newQuery(1))
	before := tr.r.classes[0].firstTryTimeout
	ev := newQuery(2)
	ev.TimeLeft = 1e12
	ev.EstimatedWork = 1e12
	if tr.step(ev); tr.r.classes[0].firstTryTimeout > before {
		t.Errorf("first tries are thought to leave %g ms", tr.r.classes[0].firstTryTimeout)
	}
	if demand := tr.r.tableGroups[7].demand.sum; demand > 2*lookupClass.ClientTimeout {
		t.Errorf("a demand of %g", demand)
	}
	e := tr.r.engines["a"]
	for _, l := range []LoadReport{{Inflight: 1e9, Utilization: 0.5}, {Inflight: 3, Utilization: 1e9}} {
		if tr.r.recordReport(e, &l); e.reportedAt > 0 {
			t.Errorf("a report of %+v counts", l)
		}
	}
	tr.r.classes[0].bestUnitTime = 10
	for _, level := range []float64{-1, 1e9} {
		if tr.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: level}); e.slowdown.weight > 0 {
			t.Errorf("a progress message of %g done counts", level)
		}
	}
}
