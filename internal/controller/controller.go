// Package controller is the loop of the daemon: one goroutine that owns the decision module. What clients, engines
// and the feed tell becomes the module's events, and its actions are carried out in order. It decides nothing.
package controller

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/core/spacing"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/memory"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// Clock tells the time in milliseconds since 1970, only forward.
type Clock func() float64

// SystemClock is the system's time at start, carried on by its monotonic clock.
func SystemClock() Clock {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e6
	return func() float64 { return base + float64(time.Since(start))/1e6 }
}

// Engines is what carries out what concerns engines. None of its methods blocks.
type Engines interface {
	List(addresses []engines.Address, whole bool)
	Expire(expired bool)
	Send(cmd *request.Query, number router.AttemptID, to router.EngineID, within, begin time.Duration)
	Cancel(cmd *request.Query, number router.AttemptID, to router.EngineID)
	Probe(id router.EngineID)
	Close()
}

// command is one that the module holds, with where its sends went.
type command struct {
	*request.Query
	epoch rules.Epoch
	keyed bool
	over  bool // it has its final answer
	sends []router.EngineID
	open  int // sends without an outcome
}

// Loop is the goroutine's state.
type Loop struct {
	module  *router.Router
	engines Engines
	clock   Clock
	inbox   chan any
	queue   chan clients.Taken // of commands, apart: what engines and the feed tell is never behind them
	refused atomic.Int64       // commands that found the queue full
	freed   bool               // a key, in this step

	counts   Counts
	events   []router.Event
	commands map[router.QueryID]*command
	ids      map[string]router.QueryID // of commands that the module holds, by the clients' ids
	serial   router.QueryID
	epochs   rules.Epochs // by which keys are given
	trains   spacing.Trains
	wake     *time.Timer
	restore  func(list []router.Endpoint) router.Statistics // nil: nothing is remembered, or it was put in
	listed   map[router.EngineID]router.Endpoint            // nil: nobody may remember something later, or hold engines
	dials    map[router.EngineID]string                     // where they are
	held     map[router.EngineID]bool                       // taken for draining, whatever the list says
}

// Counts are what the loop has seen and done.
type Counts struct {
	Taken, Answered, Shed, Failed, Left, Duplicate int64
	Refused                                        int64 // shed as too many waited to be looked at; not taken
	Open                                           int64 // now
	Sends, Cancels, Probes, News                   int64
	Ends                                           [router.Withdrawn + 1]int64
}

var outcomes = [...]string{"answered", "errored", "full", "timed_out", "refused", "reset", "cancelled", "not_sent", "withdrawn"}

// LogValue prints the counts.
func (c Counts) LogValue() slog.Value {
	var ends []slog.Attr
	for o, n := range c.Ends {
		ends = append(ends, slog.Int64(outcomes[o], n))
	}
	return slog.GroupValue(slog.Int64("taken", c.Taken), slog.Int64("answered", c.Answered), slog.Int64("shed", c.Shed),
		slog.Int64("failed", c.Failed), slog.Int64("left", c.Left), slog.Int64("duplicate", c.Duplicate),
		slog.Int64("refused", c.Refused),
		slog.Int64("open", c.Open), slog.Int64("sends", c.Sends), slog.Int64("cancels", c.Cancels),
		slog.Int64("probes", c.Probes), slog.Int64("news", c.News), slog.Attr{Key: "ends", Value: slog.GroupValue(ends...)})
}

// New makes a loop; Post and Offer are how others reach it. SetEngines completes it, as engines post to the loop.
// inbox bounds what waits of the one as of the other. rest is that of an order key after a doubtful outcome, in ms.
func New(module *router.Router, clock Clock, inbox int, rest float64) *Loop {
	wake := time.NewTimer(time.Hour)
	return &Loop{module: module, clock: clock, inbox: make(chan any, inbox), queue: make(chan clients.Taken, inbox), wake: wake,
		epochs:   rules.Epochs{Rest: rest},
		commands: map[router.QueryID]*command{}, ids: map[string]router.QueryID{}}
}

// SetEngines hands over what carries out actions, before Run.
func (l *Loop) SetEngines(e Engines) { l.engines = e }

// Post hands an event to the loop; it blocks while the inbox is full, and so slows its caller's connection alone.
func (l *Loop) Post(event any) { l.inbox <- event }

// Offer hands a command to the loop, or tells that too many wait already: then it was not taken, and its client may be
// told so at once. It never blocks.
func (l *Loop) Offer(taken clients.Taken) bool {
	select {
	case l.queue <- taken:
		return true
	default:
		l.refused.Add(1)
		return false
	}
}

// SetRestore hands over, before Run and before any news, who tells what is still believed of an earlier run, once the
// first engines of a list are there to be known by it.
func (l *Loop) SetRestore(restore func(list []router.Endpoint) router.Statistics) {
	l.restore = restore
}

// newRules is posted by SetRules.
type newRules struct {
	set   *rules.Set
	reply chan bool
}

// SetRules has keys given by these rules from now on, and reports whether they are: not while too many sets that came
// before have commands open. Before Run it must not be called.
func (l *Loop) SetRules(set *rules.Set) bool {
	reply := make(chan bool, 1)
	l.Post(newRules{set, reply})
	return <-reply
}

// rekey puts rules in force: who is held or out stands in the turn of its new key too.
func (l *Loop) rekey(set *rules.Set) bool {
	ok, rekey := l.epochs.Begin(l.clock(), set, len(l.commands))
	if !rekey {
		return ok
	}
	for _, id := range slices.Sorted(maps.Keys(l.commands)) { // in one order, for the same events
		if c := l.commands[id]; c.Described != nil {
			if key := l.epochs.Key(c.Described); key != "" {
				l.events = append(l.events, router.OrderingKeyAdded{ID: id, Key: key})
			}
		}
	}
	return true
}

// learned is posted by Learned.
type learned struct {
	from  router.Cursor
	most  int
	reply chan memory.Part
}

// Learned takes out a part of what the module has learned, of most records at most, which is the slice of the loop's
// time that it costs. Its error is that of ctx, also if the loop has ended.
func (l *Loop) Learned(ctx context.Context, from router.Cursor, most int) (memory.Part, error) {
	reply := make(chan memory.Part, 1)
	select {
	case l.inbox <- learned{from, most, reply}:
	case <-ctx.Done():
		return memory.Part{}, ctx.Err()
	}
	select {
	case part := <-reply:
		return part, nil
	case <-ctx.Done():
		return memory.Part{}, ctx.Err()
	}
}

// Remembered is what came to be known of an earlier time, or from others, while this controller runs: Believe tells what of
// it holds with the engines that there are.
type Remembered struct {
	Believe func(list []router.Endpoint) router.Statistics
}

// KeepList has the loop keep the list, for a Remembered that may come. It is called before Run and before any news.
func (l *Loop) KeepList() {
	l.listed, l.dials = map[router.EngineID]router.Endpoint{}, map[router.EngineID]string{}
}

// Hold has these engines, and no others, taken for draining whatever the list says of them: they are to be taken out, or are.
// It needs KeepList. The rules on drains hold from when the loop takes it in.
type Hold struct{ Engines []router.EngineID }

// hold brings what is held to that.
func (l *Loop) hold(wanted []router.EngineID) {
	var entries []router.Endpoint
	var addresses []engines.Address
	held := map[router.EngineID]bool{}
	for _, id := range wanted {
		held[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(l.listed)) {
		if e := l.listed[id]; held[id] != l.held[id] && e.State == router.Ready {
			if held[id] {
				e.State = router.Draining
			}
			entries = append(entries, e)
			addresses = append(addresses, engines.Address{Engine: id, Dial: l.dials[id], State: e.State})
		}
	}
	if l.held = held; len(entries) > 0 {
		l.engines.List(addresses, false)
		l.events = append(l.events, router.EndpointsUpdated{Endpoints: entries})
	}
}

// now is posted by EnginesNow.
type now struct{ reply chan []router.EngineStatus }

// EnginesNow is what the module knows of the engines; its error is that of ctx.
func (l *Loop) EnginesNow(ctx context.Context) ([]router.EngineStatus, error) {
	reply := make(chan []router.EngineStatus, 1)
	select {
	case l.inbox <- now{reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case list := <-reply:
		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closing is posted by Close.
type closing struct{ done chan struct{} }

// Close ends all connections to engines, by the loop's own goroutine, as news of the list may come in that moment. The
// loop goes on, so that it can still be asked for its counts.
func (l *Loop) Close() {
	done := make(chan struct{})
	l.Post(closing{done})
	<-done
}

// ask is posted by Counts.
type ask struct{ reply chan Counts }

// Stop tells the loop that all must be answered within this long.
type Stop struct{ Within time.Duration }

// Counts asks for the counts so far.
func (l *Loop) Counts() Counts {
	reply := make(chan Counts, 1)
	l.Post(ask{reply})
	return <-reply
}

// stepMost is how many commands one step takes in: what it costs to look at them is some milliseconds. After a step with
// stepMore sends or more the module may have more of them to let go, and does so before it is given new ones: so what
// can't be decided in time waits in the queue, where it is seen to wait.
const stepMost, stepMore = 512, 64

// Run takes events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for more := l.step(); ; more = l.step() { // the first actions need no event
		if more {
			l.events = append(l.events, router.TimerFired{})
			drain(l, l.inbox, cap(l.inbox))
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.take(event)
		case taken := <-l.queue:
			l.take(taken)
		case <-l.wake.C:
			l.events = append(l.events, router.TimerFired{})
		}
		drain(l, l.inbox, cap(l.inbox)) // what else is there belongs to the same step,
		drain(l, l.queue, stepMost)     // but not all that waits to be decided: answers and timeouts must not wait for it
	}
}

// drain takes what is there, up to a number.
func drain[T any](l *Loop, from chan T, most int) {
	for range most {
		select {
		case event := <-from:
			l.take(event)
		default:
			return
		}
	}
}

// take turns what others tell into the module's events.
func (l *Loop) take(event any) {
	switch ev := event.(type) {
	case clients.Taken:
		l.taken(ev.Query)
	case clients.Gone:
		if c := l.commands[ev.Query.Number]; c != nil && c.Query == ev.Query {
			l.counts.Left++
			c.over = true
			l.events = append(l.events, router.ClientDisconnected{ID: c.Number})
			l.forget(c)
		}
	case engines.Ended:
		l.ended(ev)
	case engines.Noted:
		if l.commands[ev.Query.Number] != nil {
			l.events = append(l.events, router.AttemptProgress{ID: ev.Query.Number, Attempt: ev.Send, Kind: ev.What,
				Value: ev.Level})
		}
	case engines.Probed:
		l.events = append(l.events, router.HealthCheckEnded{Engine: ev.Engine, Outcome: ev.Outcome, Load: ev.Load})
	case discovery.Update:
		l.News(ev, false)
	case Stop:
		l.events = append(l.events, router.ShutdownStarted{Within: float64(ev.Within) / 1e6})
	case closing:
		l.engines.Close()
		close(ev.done)
	case newRules:
		ev.reply <- l.rekey(ev.set)
	case learned:
		var part memory.Part
		part.Learned, part.Next, part.More = l.module.Statistics(ev.from, ev.most)
		ev.reply <- part
	case Hold:
		l.hold(ev.Engines)
	case now:
		list := l.module.EngineStatuses()
		for i := range list {
			if told, ok := l.listed[list[i].Engine]; ok {
				list[i].ListedState = told.State
			}
		}
		ev.reply <- list
	case Remembered:
		list := slices.Collect(maps.Values(l.listed))
		slices.SortFunc(list, func(a, b router.Endpoint) int { return cmp.Compare(a.Engine, b.Engine) })
		l.events = append(l.events, router.StatisticsRestored{Statistics: ev.Believe(list)})
	case ask:
		counts := l.counts
		counts.Refused = l.refused.Load()
		for _, c := range l.commands {
			if !c.over {
				counts.Open++
			}
		}
		ev.reply <- counts
	}
}

// taken files a command. One whose id is open already is not told from that by engines, so it fails at once.
func (l *Loop) taken(cmd *request.Query) {
	if _, open := l.ids[cmd.ID]; open {
		l.counts.Duplicate++
		cmd.Finish(request.Answer{Verdict: request.Failed})
		return
	}
	if cmd.Answer().Verdict != request.None { // its client was gone before it came here
		return
	}
	for l.serial++; l.serial == 0 || l.commands[l.serial] != nil; {
		l.serial++
	}
	cmd.Number = l.serial
	c := &command{Query: cmd}
	key, also := cmd.Key, []router.OrderingKey(nil)
	if cmd.Described != nil {
		c.epoch, key, also = l.epochs.Take(l.clock(), cmd.Described)
	}
	c.keyed = key != "" || len(also) > 0
	l.commands[cmd.Number], l.ids[cmd.ID] = c, cmd.Number
	l.counts.Taken++
	waited, lined := time.Since(cmd.Read), time.Duration(0)
	if cmd.Key != "" {
		lined = l.trains.Came(cmd.Key, cmd.Read, cmd.First, cmd.Patience)
	}
	l.events = append(l.events, router.QueryArrived{ID: cmd.Number, Tenant: cmd.Tenant, Class: cmd.Profile,
		Tables: cmd.Tables, Key: key, MoreKeys: also, TimeLeft: float64(cmd.Left-waited) / 1e6, InboxWait: float64(waited) / 1e6, ClientQueueTime: float64(lined) / 1e6,
		EstimatedWork: cmd.Estimate, EstimatedMemoryMB: cmd.NeedMB, Kinds: cmd.Kinds, Zones: cmd.Zones, Hot: cmd.Hot, EstimateCap: cmd.Most})
}

func (l *Loop) ended(ev engines.Ended) {
	c := l.commands[ev.Query.Number]
	if c == nil || int(ev.Send) >= len(c.sends) {
		return
	}
	c.open--
	l.counts.Ends[ev.Outcome]++
	if ev.Outcome == router.Succeeded && !c.over {
		l.finish(c, request.Answer{Verdict: request.Succeeded, Pages: ev.Pages})
	}
	l.events = append(l.events, router.AttemptEnded{ID: c.Number, Attempt: ev.Send, Outcome: ev.Outcome, QueryDone: c.over,
		Elapsed: float64(ev.Took) / 1e6, Load: ev.Load})
	l.freed = l.freed || c.over && c.open == 0 && c.keyed
	l.forget(c)
}

// finish gives a command its final answer.
func (l *Loop) finish(c *command, a request.Answer) {
	if c.over = true; !c.Finish(a) {
		return
	}
	switch a.Verdict {
	case request.Succeeded:
		l.counts.Answered++
	case request.Rejected:
		l.counts.Shed++
	case request.Failed:
		l.counts.Failed++
	}
}

// forget drops a command that is over and has no send without an outcome.
func (l *Loop) forget(c *command) {
	if c.over && c.open == 0 {
		if c.Described != nil {
			l.epochs.Over(l.clock(), c.epoch)
		}
		delete(l.commands, c.Number)
		delete(l.ids, c.ID)
	}
}

// News takes in what the feed tells, first where engines are and then what the module decides by it. Before Run,
// cached tells that it was known at start.
func (l *Loop) News(news discovery.Update, cached bool) {
	l.counts.News++
	listed := router.EndpointsUpdated{Complete: news.Whole, Cached: cached, ExpiredFor: float64(news.Expired) / 1e6}
	var addresses []engines.Address
	told := make([]router.Endpoint, 0, len(news.Entries))
	for _, e := range news.Entries {
		if told = append(told, e.Endpoint); l.held[e.Engine] && e.State == router.Ready {
			e.State = router.Draining
		}
		listed.Endpoints = append(listed.Endpoints, e.Endpoint)
		addresses = append(addresses, engines.Address{Engine: e.Engine, Dial: e.Dial, State: e.State})
	}
	l.engines.List(addresses, news.Whole)
	l.engines.Expire(news.Expired > 0)
	l.events = append(l.events, listed)
	if l.listed != nil {
		if news.Whole {
			clear(l.listed)
			clear(l.dials)
		}
		for i, e := range told {
			l.dials[e.Engine] = news.Entries[i].Dial
			if l.listed[e.Engine] = e; e.State == router.Gone {
				delete(l.listed, e.Engine)
				delete(l.dials, e.Engine)
			}
		}
	}
	if l.restore != nil && len(listed.Endpoints) > 0 {
		l.events = append(l.events, router.StatisticsRestored{Statistics: l.restore(listed.Endpoints)})
		l.restore = nil
	}
}

// step has the module decide, carries its actions out in order and tells whether there may be more to do at once: it
// has sent many, or a key has come free for its next command, which the module sees at its next step.
func (l *Loop) step() (more bool) {
	now := l.clock()
	actions := l.module.Step(now, l.events)
	sends := 0
	more, l.freed = l.freed, false
	clear(l.events)
	l.events = l.events[:0]
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			c := l.commands[a.ID] // the module sends only what it was given and has not ended
			c.sends, c.open = append(c.sends, a.Engine), c.open+1
			l.counts.Sends++
			sends++
			begin := time.Duration(0)
			if a.StartBy > 0 { // by now at the latest, if not by a time to come
				begin = max(1, duration(a.StartBy-now))
			}
			l.engines.Send(c.Query, router.AttemptID(len(c.sends)-1), a.Engine, duration(a.Deadline-now), begin)
		case router.CancelAttempt:
			if c := l.commands[a.ID]; c != nil && int(a.Attempt) < len(c.sends) {
				l.counts.Cancels++
				l.engines.Cancel(c.Query, a.Attempt, c.sends[a.Attempt])
			}
		case router.Reject:
			l.end(a.ID, request.Answer{Verdict: request.Rejected, After: duration(a.RetryAfter)})
		case router.Fail:
			l.end(a.ID, request.Answer{Verdict: request.Failed})
		case router.CheckHealth:
			l.counts.Probes++
			l.engines.Probe(a.Engine)
		case router.SetTimer:
			l.wake.Reset(max(0, duration(a.After)))
		case router.Subscribe: // the feed is followed at all times
		}
	}
	return more || sends >= stepMore
}

// end gives a command the module's final answer. The command is kept until its sends have their outcomes, and
// actions that follow in the same step may still name it.
func (l *Loop) end(id router.QueryID, a request.Answer) {
	if c := l.commands[id]; c != nil && !c.over {
		l.finish(c, a)
		l.forget(c)
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
