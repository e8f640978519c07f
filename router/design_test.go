package router

import (
	"fmt"
	"slices"
	"testing"
)

func TestPack(t *testing.T) {
	for _, c := range []struct {
		name  string
		sizes []float64
		room  float64
		want  [][]TableGroup
	}{
		{"best fit decreasing", []float64{5, 4, 3, 6}, 10, [][]TableGroup{{3, 1}, {0, 2}}},
		{"an oversized group alone", []float64{12, 1, 2}, 10, [][]TableGroup{{0}, {2, 1}}},
		{"ties by id", []float64{6, 6}, 10, [][]TableGroup{{0}, {1}}},
	} {
		groups, size := []*tableGroup{}, map[*tableGroup]float64{}
		for i, s := range c.sizes {
			groups = append(groups, &tableGroup{id: TableGroup(i)})
			size[groups[i]] = s
		}
		var got [][]TableGroup
		for _, bin := range bestFitDecreasing(groups, size, c.room) {
			var ids []TableGroup
			for _, g := range bin {
				ids = append(ids, g.id)
			}
			got = append(got, ids)
		}
		if !slices.EqualFunc(got, c.want, slices.Equal[[]TableGroup]) {
			t.Errorf("%s: packed %v, not %v", c.name, got, c.want)
		}
	}
}

// The period's decisions: the move and its margin, the fast solve, merge and split.
func TestRebalance(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts []int
		packs  []int
		loads  []float64
		want   []int
	}{
		{"moves from the lowest future load", []int{2, 6, 2}, nil, []float64{0.20, 0.25, 0.5}, []int{2, 5, 3}},
		{"keeps still within the margin", []int{2, 2}, nil, []float64{0.49, 0.20}, []int{2, 2}},
		{"moves at the margin", []int{2, 2}, nil, []float64{0.51, 0.20}, []int{3, 1}},
		{"solves at once after a swing", []int{3, 7}, nil, []float64{0.70, 0.10}, []int{7, 3}},
		{"merges two that underuse lone engines", []int{1, 1, 1}, nil, []float64{0.1, 0.2, 0.9}, []int{1, 2}},
		{"does not merge what is used", []int{1, 1, 1}, nil, []float64{0.3, 0.2, 0.9}, []int{1, 1, 1}},
		{"splits the shared one that is busiest", []int{1, 3}, []int{2, 1}, []float64{0.9, 0.3}, []int{1, 2, 1}},
	} {
		d := newDesk(t, lookup, loose, tight)
		var entries []Endpoint
		for i := range 10 {
			entries = append(entries, engineAt(EngineID(rune('a'+i)), 0, "z", 1))
		}
		d.step(EndpointsUpdated{Endpoints: entries[:sum(c.counts)]})
		free := d.r.readyEngines(0)
		for i, n := range c.counts {
			pool := &enginePool{engines: slices.Clone(free[:n]), targetCount: n}
			free = free[n:]
			for j := range max(1, append(c.packs, make([]int, 9)...)[i]) {
				g := &tableGroup{id: TableGroup(10*i + j), demand: decayedMean{halfLife: 1000}, pools: []*enginePool{pool, nil}}
				pool.packs = append(pool.packs, []*tableGroup{g})
			}
			for _, e := range pool.engines {
				e.reportedAt = d.r.now
				e.utilization.add(d.r.now, c.loads[i], 1)
			}
			d.r.pools.byKind[0] = append(d.r.pools.byKind[0], pool)
		}
		d.r.rebalance(0)
		var got []int
		for _, pool := range d.r.pools.byKind[0] {
			got = append(got, len(pool.engines))
			for _, g := range pool.tableGroups() {
				if g.pools[0] != pool {
					t.Errorf("%s: group %d does not know its owner", c.name, g.id)
				}
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: engines %v, not %v", c.name, got, c.want)
		}
	}
}

func TestBound(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  float64
		wider bool
		less  bool
	}{{"near best", 110, true, false}, {"between", 240, false, false}, {"far", 900, false, true}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		e, class := d.r.engines["a"], d.r.classes[0]
		class.bestUnitTime = 100
		cmd := &query{class: class}
		e.slowdown.add(d.r.now, 20*c.took/100, 20)
		for range 40 {
			e.threads = d.r.threadLimit(e)
			d.r.now += 100
			d.r.learnFromSuccess(cmd, e, AttemptEnded{Outcome: Succeeded, Elapsed: c.took})
		}
		if (e.threadsPerCore > initialThreadsPerCore) != c.wider || (e.threadsPerCore < initialThreadsPerCore) != c.less || e.threadsPerCore > maxThreadsPerCore {
			t.Errorf("%s: width became %g", c.name, e.threadsPerCore)
		}
	}
}

// Held commands leave earliest client timeout first, and one may run where this controller has none.
func TestRelease(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 1, "z", 1))
	d.r.engines["a"].threadsPerCore = 0.01
	if to := sent(d.step(command1(1)), 1); to != "a" {
		t.Fatal("an idle engine was not given its one command")
	}
	early, late := command1(3), command1(2)
	early.TimeLeft = 4000
	if actions := d.step(late, early); sent(actions, 2)+sent(actions, 3) != "" {
		t.Fatal("a full engine was sent more")
	}
	if actions := d.step(outcome(1, 0, Succeeded)); sent(actions, 3) != "a" || sent(actions, 2) != "" {
		t.Error("the later client timeout left first")
	}
}

// Found on tacoma-east: loads of one table group stood still behind each other on the engine they leaned to.
func TestLoadsSpread(t *testing.T) {
	p := lookup
	p.LocksTables = true
	d := newDesk(t, p, loose, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
	actions := d.step(command1(1), command1(2))
	if sent(actions, 1) == sent(actions, 2) {
		t.Error("two loads of a table group went to one engine while another was idle")
	}
}

// Found on a recorded day of tacoma-east, whose traffic met on two table groups: loads held them on every
// engine, and lookups stood still behind them everywhere, at their owner's engines while others were free.
func TestCrowdedTables(t *testing.T) {
	load, waits := lookup, lookup
	load.LocksTables, waits.WaitsForTables = true, true
	for _, c := range []struct {
		name    string
		engines int
		most    int // that loads hold
	}{{"two thirds", 6, 4}, {"one engine", 1, 1}} {
		var entries []Endpoint
		for i := range c.engines {
			entries = append(entries, engineAt(EngineID(fmt.Sprint("e", i)), 0, "z", 1))
		}
		d := newDesk(t, load, loose, tight, entries...)
		d.more(waits)
		held := map[EngineID]int{}
		for id := range QueryID(2 * c.engines) {
			held[sent(d.step(command1(id)), id)]++
		}
		if len(held) != c.most || held[""] > 0 {
			t.Errorf("%s: loads are at %v", c.name, held)
		}
		for _, pool := range d.r.tableGroups[7].pools { // the owner has one engine, and loads hold the tables there
			if pool != nil {
				pool.engines = []*engine{d.r.engines[d.r.queries[0].attempts[0].engine.id]}
			}
		}
		ev := command1(100)
		ev.Class = 1
		if to := sent(d.step(ev), 100); held[to] > 0 && c.most < c.engines || to == "" {
			t.Errorf("%s: who waits for tables went to %q", c.name, to)
		}
	}
}

// Found on tacoma-east: a few commands of the heavy tail took the engines that many ordinary ones needed.
func TestTooLarge(t *testing.T) {
	for _, c := range []struct {
		estimate, sizeCap float64
		sheds             int
	}{{100, minSizeLimit, 0}, {600, minSizeLimit, 1}, {600, maxSizeLimit, 0}, {6000, maxSizeLimit, 1}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.r.classes[0].work.add(d.now, 100*1000, 1000)
		d.r.admission.sizeLimit = c.sizeCap
		ev := command1(1)
		ev.EstimatedWork = c.estimate
		if s, _ := answers(d.step(ev), 1); s != c.sheds {
			t.Errorf("%+v: shed %d", c, s)
		}
	}
}

// A bad plan is cancelled and sent again; a command that is truly large, or has no estimate, is left to run.
func TestBadPlan(t *testing.T) {
	for _, c := range []struct {
		estimate, done float64
		cancels        bool
	}{{200, 0.05, true}, {200, 0.8, false}, {3000, 0.15, false}, {0, 0.05, false}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		ev := command1(1)
		ev.EstimatedWork = c.estimate
		d.step(ev)
		d.wait(500)
		actions := d.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: c.done})
		if got := cancels(actions); got != c.cancels {
			t.Errorf("%+v: cancelled: %v", c, got)
		}
	}
}

// An engine that does next to nothing well gets trial sends until it does again. Found on a recorded day of
// tacoma-east: one that loses three answers of ten goes on, as the others can't do its work too.
func TestHealth(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	e := d.r.engines["a"]
	for i, c := range []struct{ good, well bool }{{false, true}, {false, true}, {false, true}, {false, true},
		{false, true}, {false, false}, {true, false}, {true, false}, {true, true}} {
		if e.recordOutcome(d.now, c.good); e.healthy() != c.well {
			t.Errorf("after outcome %d: well %v", i, e.healthy())
		}
	}
	e.resetStatistics()
	for i := range 100 {
		if e.recordOutcome(d.now, d.r.rng.Float64() > 0.3); !e.healthy() {
			t.Fatalf("left out after %d outcomes, of which seven in ten are good", i)
		}
	}
}

// Found on tacoma-east on sockets: engines that lost the answers of lookups alone got no loads and reports
// either. A profile that fails twice in a row rests; one that does well is served where the others fail.
func TestOneProfileFails(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.more(lookup)
	id := QueryID(0)
	try := func(p ClassID, o Outcome) bool {
		id++
		ev := command1(id)
		ev.Class = p
		if sent(d.step(ev), id) == "" {
			d.step(ClientDisconnected{ID: id})
			return false
		}
		d.step(outcome(id, 0, o), ClientDisconnected{ID: id})
		return true
	}
	try(1, Succeeded)
	for i, want := range []bool{true, true, false} {
		if got := try(0, ConnectionReset); got != want {
			t.Errorf("send %d of the profile that fails went out: %v", i, got)
		}
	}
	for range outlierWindow {
		d.r.engines["a"].recordOutcome(d.now, false)
	}
	if d.r.engines["a"].healthy() || !try(1, Succeeded) || !try(1, Succeeded) {
		t.Error("the other profile is not served")
	}
	if try(1, ConnectionReset); try(1, Succeeded) {
		t.Error("the other profile is served, though it failed too")
	}
}

// Found on dundee-main: retries, nearer to their client timeout, went before first tries and made them late.
func TestLateRetryMakesRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  float64
		short bool
		sheds int
	}{{"a first try in a jam", 4000, true, 0}, {"a late retry in a jam", 2500, true, 1},
		{"at ease", 2500, false, 0}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		first, again := command1(1), command1(2)
		first.TimeLeft, again.TimeLeft = 4000, c.left
		d.step(first)
		if d.r.admission.overloadedUntil = 0; c.short {
			d.r.admission.overloadedUntil = d.now + overloadDuration
		}
		if s, _ := answers(d.step(again), 2); s != c.sheds {
			t.Errorf("%s: shed %d", c.name, s)
		}
	}
}

// Found on dundee-main: by its mean run time, one slow answer shut a profile out for good.
func TestOneSlowAnswerShutsNobodyOut(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.r.classes[0].bestUnitTime = 100
	d.r.classes[0].logSlowdown.add(d.now, 3, 1)
	cmd := &query{class: d.r.classes[0], arrivedAt: d.now, firstTriedAt: d.now, deadline: d.now + 5000}
	if by := d.r.shedDeadline(cmd); by < d.now+minQueueShare*lookup.LatencyObjective {
		t.Errorf("given up %g ms after it came", by-d.now)
	}
}

// Found on dundee-main: clients that all leave less time were taken for retries, and shed with engines idle.
func TestShorterPatienceIsNoJam(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	sheds := 0
	for id := range QueryID(1000) {
		ev := command1(id)
		if id > 200 {
			ev.TimeLeft = 2500
		}
		s, _ := answers(append(d.step(ev), d.step(outcome(id, 0, Succeeded))...), id)
		sheds += s
	}
	if sheds > 0 {
		t.Errorf("%d commands were shed by an idle engine", sheds)
	}
}

// Found on trapani-sosta, and on tacoma-east for want of connections: an engine that can't take a command was
// sent it again at once, until no send was left.
func TestFullEngineRests(t *testing.T) {
	for _, o := range []Outcome{EngineFull, NotSent} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(command1(1))
		if actions := d.step(outcome(1, 0, o)); sent(actions, 1) != "" {
			t.Errorf("outcome %d: sent again at once", o)
		}
		if actions := append(d.wait(minClassBackoff/2), d.wait(minClassBackoff)...); sent(actions, 1) != "a" {
			t.Errorf("outcome %d: not sent again after the rest", o)
		}
	}
}

// Found on tacoma-east on sockets: engines turned away nine tenths of the lookups for fifteen seconds, and
// took all else. Lookups went on being sent there, as who does little looks idle.
func TestProfileTurnedAway(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.more(lookup)
	offer := func(id QueryID, p ClassID) bool { // a command, which leaves if it isn't sent at once
		ev := command1(id)
		ev.Class = p
		to := sent(d.step(ev), id)
		if to == "" {
			d.step(ClientDisconnected{ID: id})
		}
		return to != ""
	}
	id, tries, taken := QueryID(0), 0, 0
	run := func(ms float64, takes bool) {
		for until := d.now + ms; d.now < until; d.wait(10) {
			if id++; offer(id, 0) {
				tries++
				if takes {
					taken++
					d.step(outcome(id, 0, Succeeded))
				} else {
					d.step(outcome(id, 0, EngineFull), ClientDisconnected{ID: id})
				}
			}
			if id++; !offer(id, 1) {
				t.Fatal("another profile rests too")
			}
			d.step(outcome(id, 0, Succeeded))
		}
	}
	if run(10000, false); tries > 14 || tries < 8 {
		t.Errorf("%d tries in 10 s at an engine that turns the profile away", tries)
	}
	if run(5000, true); taken < 100 {
		t.Errorf("%d commands in the 5 s after", taken)
	}
	burst := 0 // who left before the first was turned away does not make the rest longer
	for range 5 {
		if id++; offer(id, 0) {
			burst++
		}
	}
	for i := range QueryID(5) {
		d.step(outcome(id-i, 0, EngineFull), ClientDisconnected{ID: id - i})
	}
	if wait := d.r.engines["a"].classBackoff(d.r.classes[0]).wait; burst != 5 || wait != minClassBackoff {
		t.Errorf("after %d at once the rest is %g ms", burst, wait)
	}
}

// Found on tacoma-east on sockets: engines that erred on each report got all three sends of many, as they
// looked idle. Who failed on an engine goes to another, and an error on what that can do rests the profile
// where it was. Commands of strangers, on which all engines err, count against none.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		second     Outcome
		effect     RepeatEffect
		well, rest bool
	}{{Errored, Idempotent, true, false}, {Succeeded, Idempotent, true, true},
		{Errored, NonIdempotent, false, true}} {
		p := lookup
		p.Effect = c.effect
		d := newDesk(t, p, loose, tight, engineAt("a", 0, "z", 1))
		for id := range QueryID(outlierWindow) {
			d.step(command1(id), EndpointsUpdated{Endpoints: []Endpoint{{Engine: "b", State: Gone}}})
			b := engineAt("b", 0, "z", 1)
			actions := d.step(outcome(id, 0, Errored), EndpointsUpdated{Endpoints: []Endpoint{b}}, HealthCheckEnded{Engine: "b",
				Outcome: Succeeded, Load: &LoadReport{Inflight: 20, Utilization: 0.9, Memory: -1, Disk: -1}})
			if to := sent(actions, id); to != "b" && c.effect == Idempotent {
				t.Errorf("%+v: sent to %q after its send to a erred", c, to)
			}
			d.step(outcome(id, 1, c.second), ClientDisconnected{ID: id})
			d.step(outcome(id, 1, c.second), outcome(id, 2, c.second))
			d.wait(maxTrialWait)
		}
		if got := d.r.engines["a"].classBackoff(d.r.classes[0]).wait > 0; got != c.rest {
			t.Errorf("%+v: the profile rests: %v", c, got)
		}
		if got := d.r.engines["a"].healthy(); got != c.well {
			t.Errorf("%+v: well %v", c, got)
		}
	}
}

// What strangers claim, or a spoilt report or note tells, changes nothing that is decided of others.
func TestFiguresOfStrangers(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.step(command1(1))
	before := d.r.classes[0].firstTryTimeout
	ev := command1(2)
	ev.TimeLeft, ev.EstimatedWork = 1e12, 1e12
	if d.step(ev); d.r.classes[0].firstTryTimeout > before {
		t.Errorf("first tries are thought to leave %g ms", d.r.classes[0].firstTryTimeout)
	}
	if demand := d.r.tableGroups[7].demand.sum; demand > 2*lookup.ClientTimeout {
		t.Errorf("a demand of %g", demand)
	}
	e := d.r.engines["a"]
	for _, l := range []LoadReport{{Inflight: 1e9, Utilization: 0.5}, {Inflight: 3, Utilization: 1e9}} {
		if d.r.recordReport(e, &l); e.reportedAt > 0 {
			t.Errorf("a report of %+v counts", l)
		}
	}
	d.r.classes[0].bestUnitTime = 10
	for _, level := range []float64{-1, 1e9} {
		if d.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: level}); e.slowdown.weight > 0 {
			t.Errorf("a note of %g done counts", level)
		}
	}
}

// Table groups go when nobody names them, those that strangers alone have named soon.
func TestTablesGo(t *testing.T) {
	load := lookup
	load.LocksTables = true
	d := newDesk(t, load, loose, tight, engineAt("a", 0, "z", 1))
	d.step(command1(1))
	d.step(AttemptProgress{ID: 1, Kind: ProgressWaitsForTables}, outcome(1, 0, Succeeded))
	for id := range QueryID(500) {
		ev := command1(1000 + id)
		ev.Tables = TableGroup(1000 + id)
		d.step(ev)
		d.step(AttemptProgress{ID: ev.ID, Kind: ProgressWaitsForTables}, outcome(ev.ID, 0, Errored), ClientDisconnected{ID: ev.ID})
		d.step(outcome(ev.ID, 1, Errored))
	}
	for _, c := range []struct {
		after float64
		least int
	}{{0, 1}, {2 * rebalanceInterval, 1}, {tableGroupMaxIdle, 0}} {
		d.wait(c.after)
		d.wait(rebalanceInterval)
		packed := 0
		for _, pool := range d.r.pools.byKind[0] {
			packed += len(pool.tableGroups())
		}
		if n := len(d.r.tableGroups); n < c.least || c.after > 0 && n > c.least || len(d.r.groupList) != n || packed != n {
			t.Errorf("after %g ms: %d groups, %d in order, %d packed", c.after, n, len(d.r.groupList), packed)
		}
	}
	if e := d.r.engines["a"]; len(e.tablesLockedUntil)+len(e.tableLocks) > 0 || len(d.r.queries) > 0 {
		t.Errorf("%d notes, %d loads and %d commands are kept", len(e.tablesLockedUntil), len(e.tableLocks), len(d.r.queries))
	}
}

// Found on tacoma-east: a tenant's surge past its share took the engines from the others.
func TestTenantPastItsShare(t *testing.T) {
	for _, c := range []struct {
		perSecond   float64
		jam         bool
		least, most int
	}{{100, true, 60, 120}, {100, false, 0, 0}, {5000, true, 0, 0}, {0, true, 0, 0}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.r.tenants = []*tenant{{Tenant: Tenant{QueriesPerSecond: c.perSecond}, queries: decayedMean{halfLife: tenantHalfLife}}}
		sheds := 0
		for id := range QueryID(3000) { // 500 a second, of which the last 100 count
			ev := command1(id)
			ev.Tenant = 0
			if c.jam {
				d.r.admission.overloadedUntil = d.now + overloadDuration
			}
			s, _ := answers(append(d.step(ev), d.step(outcome(id, 0, Succeeded))...), id)
			if id >= 2900 {
				sheds += s
			}
		}
		if sheds < c.least || sheds > c.most {
			t.Errorf("%+v: %d shed", c, sheds)
		}
	}
}

// A table group that is said to be hot has more engines from the packing on, before any load tells.
func TestHot(t *testing.T) {
	var engines [2]int
	for i, hot := range []bool{false, true} {
		var entries []Endpoint
		for n := range 8 {
			entries = append(entries, engineAt(EngineID(rune('a'+n)), 0, "z", 1))
		}
		d := newDesk(t, lookup, loose, tight, entries...)
		for id := range QueryID(80) {
			ev := command1(id)
			ev.Tables, ev.EstimatedMemoryMB = TableGroup(id%4), 500
			ev.Hot = hot && ev.Tables == 0
			d.step(ev)
			end := outcome(id, 0, Succeeded)
			end.Elapsed = 20000 // so that each group is a pack of its own
			d.step(end)
			d.wait(30)
		}
		engines[i] = len(d.r.groupList[0].pools[0].engines)
	}
	if engines[0] >= engines[1] || engines[1] < 3 {
		t.Errorf("%d engines, and %d if it is hot", engines[0], engines[1])
	}
}
