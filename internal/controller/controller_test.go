package controller

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/memory"
	"mintkeel/internal/request"
	"mintkeel/match"
	"mintkeel/router"
)

// hands are engines that note what they are told.
type hands struct {
	sent      chan *request.Query
	cancelled chan router.AttemptID
	begins    chan time.Duration // nil: not noted
}

func (h *hands) List([]engines.Address, bool) {}
func (h *hands) Expire(bool)                  {}
func (h *hands) Send(cmd *request.Query, _ router.AttemptID, _ router.EngineID, _, begin time.Duration) {
	if h.begins != nil {
		h.begins <- begin
	}
	h.sent <- cmd
}
func (h *hands) Cancel(_ *request.Query, number router.AttemptID, _ router.EngineID) {
	h.cancelled <- number
}
func (h *hands) Probe(router.EngineID) {}
func (h *hands) Close()                {}

// owned are engines that none but one goroutine may use, as those of package engines are.
type owned struct {
	*hands
	uses int
}

func (o *owned) List([]engines.Address, bool) { o.uses++ }
func (o *owned) Close()                       { o.uses++ }

// The end of the connections to engines meets news of the list: both are the loop's, one after the other. The race detector
// tells if they are not.
func TestCloseMeetsNews(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, nil, nil, nil, router.Capabilities{}, router.SafetyLimits{})
	l := New(module, SystemClock(), 10, 0)
	o := &owned{hands: &hands{}}
	l.SetEngines(o)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	told := make(chan bool)
	go func() {
		for i := range 100 {
			if l.Post(discovery.Update{}); i == 50 {
				close(told)
			}
		}
	}()
	<-told
	l.Close()
	l.Counts() // it goes on
}

func newLoop(t *testing.T) (*Loop, *hands) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1}}, nil, router.Capabilities{Cancel: true, MaxAttempts: 3},
		router.SafetyLimits{EventInterval: 5, SlowStartCapacity: 0.3, SlowStartTime: 1000, SlowStartOverload: 4, SlowStartWindow: 1000})
	h := &hands{sent: make(chan *request.Query, 10), cancelled: make(chan router.AttemptID, 10)}
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(h)
	l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e"}}}}, true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l, h
}

func fromClient(id string) *request.Query {
	return &request.Query{ID: id, Tenant: -1, Read: time.Now(), Left: 5 * time.Second}
}

// However many commands wait, what engines tell is not behind them, one too many is refused at once, and none that was
// taken goes without its answer.
func TestQueue(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1}}, nil, router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{EventInterval: 5})
	h := &hands{sent: make(chan *request.Query, 10000), cancelled: make(chan router.AttemptID, 10)}
	l := New(module, SystemClock(), 1000, 0)
	l.SetEngines(h)
	l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e"}}}}, true)
	answers := make(chan request.Verdict, 2000)
	offered := 0
	for i := range 1200 {
		cmd := fromClient(fmt.Sprint("c", i))
		cmd.Left = 400 * time.Millisecond
		cmd.OnAnswer(func() { answers <- cmd.Answer().Verdict })
		if l.Offer(clients.Taken{Query: cmd}) {
			offered++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.Post(Stop{Within: time.Hour}) // behind a thousand commands by time, but not one of them
	asked := make(chan Counts, 1)
	l.Post(ask{asked}) // before it runs: however slow the machine is, it stands behind no more than one step
	go l.Run(ctx)
	first := <-asked
	if offered != 1000 || first.Refused != 200 || first.Taken > stepMost {
		t.Errorf("%d were offered, counts %+v", offered, first)
	}
	for range offered {
		select {
		case <-answers:
		case <-time.After(10 * time.Second):
			t.Fatalf("an answer is missing: %+v", l.Counts())
		}
	}
}

// By when a send must have gone out is handed on: the first at any time, a repeat of what may have run while engines know
// it as one.
func TestBegin(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1, Effect: router.Deduplicated, DeduplicationWindow: 3600e3}}, nil,
		router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{})
	h := &hands{sent: make(chan *request.Query, 10), cancelled: make(chan router.AttemptID, 10), begins: make(chan time.Duration, 10)}
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(h)
	l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e"}}, {Endpoint: router.Endpoint{Engine: "f"}}}}, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	cmd := fromClient("c")
	cmd.Left = time.Minute
	l.Offer(clients.Taken{Query: cmd})
	if begin := <-h.begins; begin != 0 {
		t.Errorf("the first within %v", begin)
	}
	<-h.sent
	l.Post(engines.Ended{Query: cmd, Outcome: router.ConnectionReset})
	if begin := <-h.begins; begin <= 50*time.Minute || begin >= time.Hour {
		t.Errorf("the repeat within %v", begin)
	}
}

// The next command of a key goes as soon as the one before is over, not when the module next looks round: 200 of one key,
// each answered at once, would take ten seconds.
func TestKeyComesFree(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1, Ordered: true, LateBenefit: 1}}, nil, router.Capabilities{MaxAttempts: 3},
		router.SafetyLimits{})
	h := &hands{sent: make(chan *request.Query, 1000), cancelled: make(chan router.AttemptID, 10)}
	l := New(module, SystemClock(), 1000, 0)
	l.SetEngines(h)
	l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e"}}}}, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for i := range 200 {
		cmd := fromClient(fmt.Sprint("c", i))
		cmd.Key, cmd.Left = "k", time.Minute
		l.Offer(clients.Taken{Query: cmd})
	}
	began := time.Now()
	for i := range 200 {
		cmd := <-h.sent
		if cmd.ID != fmt.Sprint("c", i) {
			t.Fatalf("%s went as number %d", cmd.ID, i)
		}
		l.Post(engines.Ended{Query: cmd})
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("took %v", took)
	}
}

// A command's life as the loop sees it, for each way in which it ends: it is answered once and then forgotten.
// Commands of a key that come as close as clients write them may have waited for one another there: the last of them must
// have its answer as long ahead of the time that it names as the first came ahead of it, though all name the same.
func TestLineAtTheClient(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 1000, ClientTimeout: 5000, LateBenefit: 1, Threads: 1, Ordered: true}}, nil, router.Capabilities{Cancel: true, MaxAttempts: 3},
		router.SafetyLimits{EventInterval: 5})
	const left, apart = 2000 * time.Millisecond, 50 * time.Millisecond
	now := time.Now()
	since := func() float64 { return float64(time.Since(now)) / 1e6 }
	h := &hands{sent: make(chan *request.Query, 100), cancelled: make(chan router.AttemptID, 100)}
	l := New(module, since, 100, 0)
	l.SetEngines(h)
	l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e"}}}}, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan time.Duration, 1)
	for i := range 20 { // all but the last are told to have been read earlier
		cmd := fromClient(fmt.Sprint("c", i))
		cmd.Key, cmd.Estimate, cmd.Left, cmd.Read = "k", 1, left, now.Add(-time.Duration(19-i)*apart)
		if i == 19 {
			cmd.OnAnswer(func() { answered <- time.Since(now) })
		}
		l.Offer(clients.Taken{Query: cmd})
	}
	go l.Run(ctx)
	if took := <-answered; took > left-19*apart || took < left-19*apart-200*time.Millisecond {
		t.Errorf("the last had its answer after %v, want just before %v", took, left-19*apart)
	}
}

func TestEnds(t *testing.T) {
	rows := [][]byte{[]byte("a\tb\tc\n")}
	for _, c := range []struct {
		name   string
		tell   func(l *Loop, h *hands, cmd *request.Query)
		want   request.Verdict
		counts Counts
	}{
		{"answered", func(l *Loop, _ *hands, cmd *request.Query) {
			l.Post(engines.Ended{Query: cmd, Pages: rows})
		}, request.Succeeded, Counts{Taken: 1, Answered: 1, Sends: 1}},
		{"resent, then answered", func(l *Loop, h *hands, cmd *request.Query) {
			l.Post(engines.Ended{Query: cmd, Outcome: router.ConnectionReset})
			<-h.sent
			l.Post(engines.Ended{Query: cmd, Send: 1, Pages: rows})
		}, request.Succeeded, Counts{Taken: 1, Answered: 1, Sends: 2}},
		{"all its sends spent", func(l *Loop, h *hands, cmd *request.Query) {
			for i := range 3 {
				if l.Post(engines.Ended{Query: cmd, Send: router.AttemptID(i), Outcome: router.ConnectionReset}); i < 2 {
					<-h.sent
				}
			}
		}, request.Rejected, Counts{Taken: 1, Shed: 1, Sends: 3}},
		{"its client left", func(l *Loop, h *hands, cmd *request.Query) {
			cmd.Finish(request.Answer{Verdict: request.Disconnected})
			l.Post(clients.Gone{Query: cmd})
			<-h.cancelled
			l.Post(engines.Ended{Query: cmd, Outcome: router.Cancelled})
			l.Post(engines.Ended{Query: cmd, Pages: rows}) // none such any more
		}, request.Disconnected, Counts{Taken: 1, Left: 1, Sends: 1, Cancels: 1}},
		{"its client left as the answer came", func(l *Loop, _ *hands, cmd *request.Query) {
			cmd.Finish(request.Answer{Verdict: request.Disconnected})
			l.Post(engines.Ended{Query: cmd, Pages: rows})
			l.Post(clients.Gone{Query: cmd})
		}, request.Disconnected, Counts{Taken: 1, Sends: 1}},
		{"the controller ends", func(l *Loop, h *hands, cmd *request.Query) {
			l.Post(Stop{Within: 30 * time.Millisecond})
			<-h.cancelled
			l.Post(engines.Ended{Query: cmd, Outcome: router.Succeeded, Pages: rows}) // too late
		}, request.Rejected, Counts{Taken: 1, Shed: 1, Sends: 1, Cancels: 1}},
	} {
		l, h := newLoop(t)
		cmd := fromClient("c")
		done := make(chan struct{})
		cmd.OnAnswer(func() { close(done) })
		l.Post(clients.Taken{Query: cmd})
		<-h.sent
		c.tell(l, h, cmd)
		<-done
		got := l.Counts()
		if got.Ends, got.News = [router.Withdrawn + 1]int64{}, 0; got != c.counts || cmd.Answer().Verdict != c.want {
			t.Errorf("%s: %+v, verdict %d", c.name, got, cmd.Answer().Verdict)
		}
		again := fromClient("c") // its id is free again
		l.Post(clients.Taken{Query: again})
		if taken := l.Counts().Taken; taken != 2 {
			t.Errorf("%s: is not forgotten", c.name)
		}
	}
}

// An id that is open can't be told from its first command by engines, so the second fails; a client that had left
// before its command came here has nothing sent.
func TestNotTaken(t *testing.T) {
	l, h := newLoop(t)
	l.Post(clients.Taken{Query: fromClient("c")})
	<-h.sent
	second, left := fromClient("c"), fromClient("d")
	l.Post(clients.Taken{Query: second})
	left.Finish(request.Answer{Verdict: request.Disconnected})
	l.Post(clients.Gone{Query: left})
	l.Post(clients.Taken{Query: left})
	if c := l.Counts(); c.Taken != 1 || c.Duplicate != 1 || second.Answer().Verdict != request.Failed || len(h.sent) > 0 {
		t.Errorf("%+v", c)
	}
}

// What was learned is taken out in parts through the loop, and nobody who asks waits for one that has ended. What is
// remembered is put in once, with the first engines of a list.
func TestMemory(t *testing.T) {
	l, _ := newLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	engines, parts := 0, 0
	for part := (memory.Part{More: true}); part.More; parts++ {
		var err error
		if part, err = l.Learned(ctx, part.Next, 1); err != nil || part.Learned.Len() > 1 {
			t.Fatal(part, err)
		}
		engines += len(part.Learned.Engines)
	}
	if engines != 1 || parts < 3 {
		t.Errorf("%d engines in %d parts", engines, parts)
	}
	ended := New(nil, SystemClock(), 0, 0)
	soon, stop := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer stop()
	if _, err := ended.Learned(soon, router.Cursor{}, 1); err == nil {
		t.Error("a loop that does not run has told something")
	}
	fresh := New(router.New(1, router.Identity{}, nil, nil, nil, router.Capabilities{}, router.SafetyLimits{}), SystemClock(), 1, 0)
	fresh.SetEngines(&hands{})
	asked := 0
	fresh.SetRestore(func(list []router.Endpoint) router.Statistics {
		if asked++; len(list) != 1 {
			t.Errorf("asked with %d engines", len(list))
		}
		return router.Statistics{}
	})
	for _, entries := range [][]discovery.Entry{nil, {{Endpoint: router.Endpoint{Engine: "e"}}}, {{}}} {
		fresh.News(discovery.Update{Entries: entries}, true)
	}
	if _, recalled := fresh.events[2].(router.StatisticsRestored); asked != 1 || len(fresh.events) != 4 || !recalled {
		t.Errorf("asked %d times: %v", asked, fresh.events)
	}
}

// While rules change, no command is sent that shares a key, under any set that has commands open, with one that came
// before it or is out; and all are sent in the end. Random sets, reloads, commands and outcomes.
func TestRekey(t *testing.T) {
	facts := rules.Facts{Names: []string{"load"}, Profiles: []router.QueryClass{{Ordered: true}}}
	sources := []string{"", `"s/" + label("store")`, `"b/" + label("brand")`, `"one" + profile`, `"x/" + part(label("store"), "-", 0)`}
	sends, shared, refused := 0, 0, 0
	for seed := range int64(24) {
		rng := rand.New(rand.NewSource(seed))
		h := &hands{sent: make(chan *request.Query, 1000), cancelled: make(chan router.AttemptID, 1000)}
		now := 1e6
		module := router.New(seed, router.Identity{Controllers: 1}, nil, []router.QueryClass{{Ordered: true, LatencyObjective: 1e6, ClientTimeout: 1e7,
			Threads: 1, LateBenefit: 1}}, nil, router.Capabilities{MaxAttempts: 1}, router.SafetyLimits{OrderingCooldown: 20})
		l := New(module, func() float64 { return now }, 0, 20)
		l.SetEngines(h)
		l.News(discovery.Update{Whole: true, Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: "e", Kind: -1}}}}, true)
		var active []*rules.Set // that were in force since the oldest command that is open came
		var open, out []*request.Query
		var resting []*request.Query // they are over, and a send of theirs may still run
		rests := map[*request.Query]float64{}
		since := map[*request.Query]int{} // place in active
		var scratch rules.Scratch
		key := func(s *rules.Set, c *request.Query) router.OrderingKey { return s.Key(c.Described, &scratch) }
		active = append(active, nil)
		check := func(c *request.Query) {
			sends++
			oldest := len(active) - 1
			for _, o := range open {
				oldest = min(oldest, since[o])
			}
			resting = slices.DeleteFunc(resting, func(o *request.Query) bool { return now >= rests[o] })
			for _, o := range resting {
				oldest = min(oldest, since[o])
			}
			for _, o := range resting {
				for _, s := range active[since[o]:] {
					if key(s, o) == key(s, c) && key(s, c) != "" {
						t.Fatalf("seed %d: %s is sent while %s may still run under key %q", seed, c.ID, o.ID, key(s, c))
					}
				}
			}
			ahead := true
			for _, o := range open {
				if o == c {
					ahead = false
					continue
				}
				for _, s := range active[oldest:] {
					if key(s, o) != key(s, c) || key(s, c) == "" {
						continue
					}
					if shared++; ahead || slices.Contains(out, o) {
						t.Fatalf("seed %d: %s is sent, and %s shares key %q", seed, c.ID, o.ID, key(s, c))
					}
				}
			}
			out = append(out, c)
		}
		step := func() {
			now += float64(rng.Intn(30))
			for l.step(); ; {
				select {
				case c := <-h.sent:
					check(c)
					continue
				default:
				}
				return
			}
		}
		end := func(at int) {
			c := out[at]
			out = slices.Delete(out, at, at+1)
			outcome := []router.Outcome{router.Succeeded, router.Succeeded, router.ConnectionReset, router.EngineFull}[rng.Intn(4)]
			l.take(engines.Ended{Query: c, Outcome: outcome, Pages: [][]byte{nil}})
			if outcome == router.ConnectionReset {
				resting, rests[c] = append(resting, c), now+20
			}
			open = slices.DeleteFunc(open, func(o *request.Query) bool { return o == c })
			if c.Answer().Verdict == request.None { // it had its only send; its answer comes with the step
				now++
			}
		}
		for i := range 300 {
			switch x := rng.Intn(10); {
			case x < 5:
				store, brand := fmt.Sprintf("%d-%d", rng.Intn(2), rng.Intn(3)), fmt.Sprint(rng.Intn(3))
				cmd := &request.Query{ID: fmt.Sprint("c", i), Tenant: -1, Read: time.Now(), Left: time.Hour,
					Described: &rules.Command{Labels: []match.Label{{Name: "store", Text: store}, {Name: "brand", Text: brand}},
						Key: router.OrderingKey([]string{"", "k", "s/0-0"}[rng.Intn(3)])}}
				cmd.Key = cmd.Described.Key
				open, since[cmd] = append(open, cmd), len(active)-1
				l.take(clients.Taken{Query: cmd})
			case x < 9 && len(out) > 0:
				end(rng.Intn(len(out)))
			case x == 9:
				var set *rules.Set
				if source := sources[rng.Intn(len(sources))]; source != "" {
					var problems []rules.Problem
					if set, problems = rules.Compile([]rules.Given{{Name: "r", Key: source}}, facts, match.Usual()); problems != nil {
						t.Fatal(problems)
					}
				}
				if l.rekey(set) {
					active = append(active, set)
				} else {
					refused++
				}
			}
			step()
		}
		for n := 0; len(open) > 0 && n < 20000; n++ {
			if len(out) > 0 {
				end(0)
			}
			step()
		}
		now += 100
		if l.rekey(nil); len(open) > 0 || len(l.commands) > 0 || l.epochs.Followed() != 1 {
			t.Fatalf("seed %d: %d commands are left, %d sets are followed", seed, len(open), l.epochs.Followed())
		}
	}
	if sends < 2000 || shared < 50 {
		t.Errorf("%d sends, %d shared keys, %d reloads refused", sends, shared, refused)
	}
}

// listing are engines that also note what the list tells of them.
type listing struct {
	hands
	states map[router.EngineID]engines.Address
}

func (l *listing) List(list []engines.Address, _ bool) {
	for _, a := range list {
		l.states[a.Engine] = a
	}
}

// An engine that is held gets nothing, whatever the list says meanwhile; when it is let go, it is as the list has it by then,
// for the module and for the connections.
func TestHold(t *testing.T) {
	module := router.New(1, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}},
		[]router.QueryClass{{LatencyObjective: 1000, ClientTimeout: 5000, Threads: 1}}, nil, router.Capabilities{MaxAttempts: 3}, router.SafetyLimits{})
	h := &listing{hands: hands{sent: make(chan *request.Query, 10), cancelled: make(chan router.AttemptID, 10)}, states: map[router.EngineID]engines.Address{}}
	l := New(module, SystemClock(), 10, 0)
	l.SetEngines(h)
	l.KeepList()
	entry := func(id router.EngineID, s router.EngineState, since float64, dial string) discovery.Update {
		return discovery.Update{Entries: []discovery.Entry{{Endpoint: router.Endpoint{Engine: id, State: s, StartedAt: since}, Dial: dial}}}
	}
	state := func(id router.EngineID) (now router.EngineStatus) {
		l.step()
		for _, e := range module.EngineStatuses() {
			if e.Engine == id {
				now = e
			}
		}
		return now
	}
	l.News(entry("a", router.Ready, 0, "there"), true)
	l.News(entry("b", router.Ready, 0, "elsewhere"), true)
	l.take(Hold{[]router.EngineID{"a"}})
	if state("a").State != router.Draining || h.states["a"].State != router.Draining || state("b").State != router.Ready {
		t.Error("it is not held, or another is")
	}
	l.News(entry("a", router.Draining, 0, "there"), false)
	l.News(entry("a", router.Ready, 77, "a new place"), false) // it is back, and still held
	if state("a").State != router.Draining || h.states["a"].State != router.Draining {
		t.Error("the list lets it go")
	}
	l.take(Hold{[]router.EngineID{"a", "b"}})
	l.take(Hold{[]router.EngineID{"b"}})
	if e := state("a"); e.State != router.Ready || e.StartedAt != 77 || h.states["a"] != (engines.Address{Engine: "a", Dial: "a new place", State: router.Ready}) {
		t.Errorf("let go: %+v, %+v", e, h.states["a"])
	}
	l.News(entry("b", router.Gone, 0, "elsewhere"), false)
	l.take(Hold{nil})
	if state("b").State == router.Ready || h.states["b"].State == router.Ready {
		t.Error("one that is gone is let go and is there")
	}
}
