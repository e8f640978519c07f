package datapath

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// The measurement of an engine's replacement.
const (
	replacedEngines = 4
	replacedWork    = 100.0                  // ms
	exitReportDelay = 300 * time.Millisecond // delay until the list reports an engine whose process ended
)

// failureMode is a way in which an engine fails.
type failureMode struct {
	name        string
	reportDelay time.Duration // delay until the list reports the failed engine as gone and its replacement as ready
	fail        func(e *standin.Engine) (running []string)
}

func (b *bench) failureModes() []failureMode {
	return []failureMode{
		{"process ends", exitReportDelay, func(e *standin.Engine) []string {
			running := e.Running()
			e.Close()
			return running
		}},
		{"engine hangs", b.hangReportDelay, (*standin.Engine).Hang},
	}
}

// effectClass is a query class with the effect of running one of its queries again.
type effectClass struct{ class, effect string }

var effectClasses = []effectClass{{daemon.LookupClass, "idempotent"}, {daemon.LoadClass, "deduplicated"}, {daemon.WriteClass, "non-idempotent"}}

// queryLog records the reads of engines and the answers to clients for each query.
type queryLog struct {
	mu       sync.Mutex
	classes  map[string]string    // by query
	reads    map[string]int       // number of reads by engines
	engines  map[string][]int     // numbers of the engines that read it
	answered map[string]time.Time // time of the answer to the client
	verdicts map[string]standin.Verdict
}

func newQueryLog() *queryLog {
	return &queryLog{classes: map[string]string{}, reads: map[string]int{}, engines: map[string][]int{},
		answered: map[string]time.Time{}, verdicts: map[string]standin.Verdict{}}
}

// recordReads records each query that an engine reads under the engine's number.
func (g *queryLog) recordReads(e *standin.Engine, number int) {
	e.Watch(func(id string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reads[id]++
		g.engines[id] = append(g.engines[id], number)
	})
}

func (g *queryLog) recordQuery(s statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.classes[s.id] = s.class
}

func (g *queryLog) recordAnswer(s statement, verdict standin.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered[s.id], g.verdicts[s.id] = time.Now(), verdict
}

// readAt returns the queries that an engine has read, sorted.
func (g *queryLog) readAt(number int) (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, engines := range g.engines {
		if slices.Contains(engines, number) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// inFlightOutcome sums up the queries of one class that were in flight at an engine when it failed.
type inFlightOutcome struct {
	took     []float64 // ms from the engine's failure to the answer to the client
	verdicts [standin.Lost + 1]int
	repeated int // queries that engines read more than once
}

func (o inFlightOutcome) String() string {
	text := fmt.Sprintf("%d in flight", len(o.took))
	for verdict, word := range []string{"answered", "rejected", "failed", "without an answer"} {
		if n := o.verdicts[verdict]; n > 0 {
			text += fmt.Sprintf(", %d %s", n, word)
		}
	}
	if o.repeated > 0 {
		text += fmt.Sprintf(", %d begun twice", o.repeated)
	}
	return text
}

// addOutcomes adds the outcomes of the queries that were in flight when an engine failed at end. A query without an answer
// counts as lost.
func (g *queryLog) addOutcomes(inFlight []string, end time.Time, into map[string]*inFlightOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range inFlight {
		o := into[g.classes[id]]
		if o == nil {
			o = &inFlightOutcome{}
			into[g.classes[id]] = o
		}
		at, told := g.answered[id]
		if !told {
			at = time.Now()
			g.verdicts[id] = standin.Lost
		}
		o.took = append(o.took, max(0, float64(at.Sub(end))/1e6))
		o.verdicts[g.verdicts[id]]++
		if g.reads[id] > 1 {
			o.repeated++
		}
	}
}

// repeatedWrites counts the non-idempotent queries, of all that were sent, that engines began more than once.
func (g *queryLog) repeatedWrites() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, begun := range g.reads {
		if begun > 1 && g.classes[id] == daemon.WriteClass {
			n++
		}
	}
	return n
}

var errRepeatedWrite = errors.New("engines began non-idempotent queries more than once")

// replacement measures the effect of an engine's replacement on queries in flight.
func (b *bench) replacement(ctx context.Context) (rows []slope.Row, err error) {
	endings := b.failureModes()
	byEnding := make([][]slope.Row, len(endings))
	err = inParallelLimited(len(endings), b.parallel, func(i int) (err error) {
		byEnding[i], err = b.replacementBy(ctx, endings[i])
		return err
	})
	return slices.Concat(byEnding...), err
}

// replacementBy measures one failure mode.
func (b *bench) replacementBy(ctx context.Context, mode failureMode) (rows []slope.Row, err error) {
	byClass := map[string][]slope.Row{}
	repeatedRow := slope.Row{Role: controllerRole, Cost: "engine replaced: non-idempotent queries begun twice", Unit: "queries",
		Per: "statements/s", Condition: mode.name, Method: methodSockets, Target: statementRate, Note: "must be none"}
	sum := 0
	for _, rate := range b.replacedRates {
		outcomes, repeated, err := b.replace(ctx, mode, rate)
		if err != nil {
			return rows, err
		}
		sum += repeated
		repeatedRow.Points = append(repeatedRow.Points, slope.Point{Size: rate, Value: float64(repeated)})
		for _, c := range effectClasses {
			byClass[c.class] = addOutcome(byClass[c.class], c, mode.name, rate, outcomes[c.class])
		}
	}
	for _, c := range effectClasses {
		rows = append(rows, byClass[c.class]...)
	}
	if rows = append(rows, repeatedRow); sum > 0 {
		return rows, fmt.Errorf("%s: %w: %d", mode.name, errRepeatedWrite, sum)
	}
	return rows, ctx.Err()
}

// addOutcome adds the outcome at one rate to the rows of a class: median, 99th percentile and maximum. It adds no point if
// no query was in flight.
func addOutcome(rows []slope.Row, c effectClass, condition string, rate float64, o *inFlightOutcome) []slope.Row {
	if o == nil {
		o = &inFlightOutcome{}
	}
	slices.Sort(o.took)
	for i, at := range []struct {
		name string
		q    float64
	}{{"median", 0.5}, {"99th", 0.99}, {"most", 1}} {
		if len(rows) <= i {
			rows = append(rows, slope.Row{Role: controllerRole, Unit: "ms", Per: "statements/s", Method: methodSockets,
				Cost:      fmt.Sprintf("engine replaced: %s until %s queries are answered", at.name, c.effect),
				Condition: condition, Target: statementRate, Budget: replacementBudget})
		}
		if len(o.took) > 0 {
			rows[i].Points = append(rows[i].Points, slope.Point{Size: rate, Value: quantile(o.took, at.q)})
		}
		if i == 0 {
			rows[i].Note = strings.TrimPrefix(fmt.Sprintf("%s; at %g/s %v", rows[i].Note, rate, o), "; ")
		}
	}
	return rows
}

// replace makes engines fail one after another under load and replaces each by a new one.
func (b *bench) replace(ctx context.Context, mode failureMode, rate float64) (map[string]*inFlightOutcome, int, error) {
	r, err := b.open(ctx, replacedEngines)
	if err != nil {
		return nil, 0, err
	}
	defer r.close()
	if err := r.connect(ctx, sessionsFor(rate)); err != nil {
		return nil, 0, err
	}
	g := newQueryLog()
	for i, e := range r.engines {
		g.recordReads(e, i+1)
	}
	outcomes := map[string]*inFlightOutcome{}
	for i := range b.replacedRepeats {
		inFlight, end, err := b.replaceOne(ctx, r, g, i+1, mode, rate)
		if err != nil {
			return nil, 0, err
		}
		g.addOutcomes(inFlight, end, outcomes)
	}
	return outcomes, g.repeatedWrites(), nil
}

// replaceOne makes the engine with the given number fail under load and returns the queries that were in flight there:
// those that ran, and those that it read after its failure.
func (b *bench) replaceOne(ctx context.Context, r *rig, g *queryLog, number int, mode failureMode, rate float64) (inFlight []string,
	end time.Time, err error) {
	loadDone := make(chan bool)
	go func() {
		defer close(loadDone)
		draw := func() statement {
			s := r.drawMixed()
			g.recordQuery(s)
			return s
		}
		r.runLoad(ctx, rate, b.replacedBefore+mode.reportDelay+b.replacedAfter, draw, func(s statement, verdict standin.Verdict, _ time.Duration) {
			g.recordAnswer(s, verdict)
		})
	}()
	time.Sleep(b.replacedBefore)
	old := r.engines[number-1]
	before := g.readAt(number)
	end = time.Now()
	inFlight = mode.fail(old)
	time.Sleep(mode.reportDelay)
	replaced, err := daemon.NewEngine(replacedEngines+number, b.seed)
	if err == nil {
		g.recordReads(replaced, replacedEngines+number)
		err = errors.Join(r.feed.Publish(uint32(number), old.Addr, standin.Gone, 0),
			r.feed.Publish(uint32(replacedEngines+number), replaced.Addr, standin.Ready, uint64(time.Now().UnixMilli())))
		r.engines = append(r.engines, replaced)
	}
	<-loadDone
	for _, id := range g.readAt(number) {
		if !slices.Contains(before, id) && !slices.Contains(inFlight, id) {
			inFlight = append(inFlight, id)
		}
	}
	return inFlight, end, err
}

// drawMixed draws a statement: on average three of five are lookups, one is a load and one is a write.
func (r *rig) drawMixed() statement {
	work := replacedWork * (0.5 + r.rng.Float64())
	switch r.rng.Intn(5) {
	case 0:
		return r.statement(daemon.LoadClass, work)
	case 1:
		return r.statement(daemon.WriteClass, work)
	}
	return r.statement(daemon.LookupClass, work)
}
