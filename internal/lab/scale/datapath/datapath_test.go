package datapath

import (
	"bufio"
	"bytes"
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/discovery"
	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
	"mintkeel/router"
)

func TestChoose(t *testing.T) {
	for only, want := range map[string]int{"": len(sections), "datapath": len(sections), "discovery": 1,
		"datapath/talk, reconnects": 2, "membership": 0, "talk,talk": 1, "membership,datapath": len(sections)} {
		if got := choose(only); len(got) != want {
			t.Errorf("choose(%q) returns %d sections, want %d", only, len(got), want)
		}
	}
}

// Each row needs at least four sizes for a meaningful line, and each replacement needs an engine of its own.
func TestPlans(t *testing.T) {
	for name, p := range map[string]plan{"full": fullPlan(), "quick": quickPlan()} {
		for what, n := range map[string]int{"rates": len(p.rates), "engines": len(p.engines), "connections": len(p.connections),
			"busy": len(p.busy), "reconnects": len(p.reconnects), "listed": len(p.listed), "peers": len(p.peers),
			"steps": len(p.stepEngines), "replaced": len(p.replacedRates)} {
			if n < 4 {
				t.Errorf("%s plan: %d sizes of %s, want at least 4", name, n, what)
			}
		}
		if p.replacedRepeats > replacedEngines {
			t.Errorf("%s plan: %d replacements with only %d engines", name, p.replacedRepeats, replacedEngines)
		}
	}
}

func TestTargets(t *testing.T) {
	rows := atTargets(slope.Row{Condition: "idle"}, targetsFor(1000, 1110, 1500)...)
	if len(rows) != 3 || rows[1].Target != 1110 || rows[2].Target != 1500 ||
		rows[2].Condition != "idle, a region is gone" {
		t.Errorf("rows at three targets: %+v", rows)
	}
	if rows := atTargets(slope.Row{}, targetsFor(1, 2, 3)...); rows[0].Condition != "all are there" {
		t.Error(rows[0].Condition)
	}
	if fit, left := splitByDescriptorLimit([]int{1, clientLimit(), clientLimit() + 1}); len(fit) != 2 || len(left) != 1 {
		t.Error(fit, left)
	}
}

// The discovery frames that the rig writes are read back by the daemon's reader.
func TestFrame(t *testing.T) {
	facts, err := deploymentFacts()
	if err != nil {
		t.Fatal(err)
	}
	b := frame(7, frameChange, 2, 5, router.Draining)
	news, fresh, err := discovery.ReadFrame(bufio.NewReader(bytes.NewReader(b)), len(b), &facts.Names)
	if err != nil || !fresh || news.Number != 7 || news.Complete || len(news.Endpoints) != 3 {
		t.Fatalf("frame 7 with three engines is read as %+v, fresh %v, error %v", news, fresh, err)
	}
	if e := news.Endpoints[0]; e.Engine != "s-00000003" || e.State != router.Draining || e.Zone != "east" {
		t.Errorf("first engine %+v, want s-00000003, draining, in zone east", e)
	}
	if n := len(frame(1, frameWhole, 0, engineCount, router.Ready)); n != headerBytes+recordBytes*engineCount {
		t.Error(n)
	}
}

func TestSteps(t *testing.T) {
	if got := summarizeSteps([]float64{4, 1, 2, 3, 10}); got != (stepCosts{4, 3, 10}) {
		t.Error(got)
	}
	if got := summarizeSteps(nil); got != (stepCosts{}) {
		t.Error(got)
	}
	if got := coreShare(10); math.Abs(got-0.02463) > 1e-9 {
		t.Error(got)
	}
}

func TestWireBytes(t *testing.T) {
	traffic := standin.Traffic{Pings: 2, PingBytes: 10, Replies: 2, ReplyBytes: 90, Opened: 1, Queries: 5, AnswerBytes: 1000}
	if got := wireBytes(traffic, 2); got != (100+2*3*52+7*52)/2.0 {
		t.Error(got)
	}
}

// The outcome of queries in flight is derived from the reads of the engines and the answers to the clients.
func TestJudge(t *testing.T) {
	g := newQueryLog()
	end := time.Now()
	for _, q := range []struct {
		id, class string
		begun     int
		verdict   standin.Verdict
		after     time.Duration
	}{{"a", daemon.LookupClass, 2, standin.Answered, time.Second}, {"b", daemon.WriteClass, 1, standin.Failed, 2 * time.Second},
		{"c", daemon.WriteClass, 2, standin.Answered, -time.Second}} {
		g.recordQuery(statement{id: q.id, class: q.class})
		g.reads[q.id] = q.begun
		g.answered[q.id], g.verdicts[q.id] = end.Add(q.after), q.verdict
	}
	g.recordQuery(statement{id: "d", class: daemon.LoadClass}) // never answered
	into := map[string]*inFlightOutcome{}
	g.addOutcomes([]string{"a", "b", "c", "d"}, end, into)
	if o := into[daemon.LookupClass]; !slices.Equal(o.took, []float64{1000}) || o.repeated != 1 || o.verdicts[standin.Answered] != 1 {
		t.Errorf("lookups: %+v, want one answered after 1000 ms and repeated", o)
	}
	if o := into[daemon.WriteClass]; !slices.Equal(o.took, []float64{2000, 0}) || o.repeated != 1 || o.verdicts[standin.Failed] != 1 {
		t.Errorf("writes: %+v, want times 2000 and 0 ms, one repeated and one failed", o)
	}
	if o := into[daemon.LoadClass]; o.verdicts[standin.Lost] != 1 {
		t.Errorf("loads: %+v, want one without an answer", o)
	}
	if got := g.repeatedWrites(); got != 1 {
		t.Errorf("%d repeated non-idempotent queries, want 1", got)
	}
	rows := addOutcome(nil, effectClasses[2], "x", 50, into[daemon.WriteClass])
	rows = addOutcome(rows, effectClasses[2], "x", 100, nil)
	if len(rows) != 3 || len(rows[2].Points) != 1 || rows[2].Points[0].Value != 2000 ||
		!strings.Contains(rows[0].Note, "2 in flight, 1 answered, 1 failed, 1 begun twice") {
		t.Errorf("rows of the writes' outcome: %+v", rows)
	}
}

// All sections run with a real daemon at small sizes and measure complete rows.
func TestMeasure(t *testing.T) {
	if testing.Short() {
		t.Skip("starts daemons as processes")
	}
	const moment = 40 * time.Millisecond
	small := []int{1, 2, 3, 4}
	p := plan{settle: moment, window: moment, rates: []float64{50, 60, 70, 80}, rateEngines: 4, engines: small, engineRate: 50,
		connections: []int{20, 40, 60, 80}, connectionRate: 50, busy: []int{2, 4, 6, 8}, busyWork: moment, reconnects: []int{10, 20, 30, 40},
		listed: []int{3, 6, 9, 12}, listRepeats: 3, parallel: 4, gaps: small, gapsWindow: moment, probed: small, peers: small, peersSettle: moment, peersWindow: moment, peersParallel: 4,
		stepEngines: small, stepsWithin: time.Millisecond, replacedRates: []float64{100}, replacedRepeats: 1,
		replacedBefore: moment, replacedAfter: moment, hangReportDelay: 3 * moment}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	rows, err := measure(ctx, Options{Seed: 1}, p)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) < 65 {
		t.Errorf("%d rows, want at least 65", len(rows))
	}
	for _, r := range rows {
		few := len(r.Points) < 4 && !strings.HasPrefix(r.Cost, "engine replaced") // only one rate is measured, with few queries in flight
		if few || r.Target == 0 || r.Unit == "" || r.Method == "" {
			t.Errorf("row with too few points or without target, unit or method: %+v", r)
		}
	}
}
