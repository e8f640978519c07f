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

// How an engine is replaced.
const (
	replacedEngines = 4
	replacedWork    = 100.0                  // ms
	endedTold       = 300 * time.Millisecond // until the list tells, where the process ended
)

// ending is a way in which an engine goes.
type ending struct {
	name string
	told time.Duration // until the list tells of its end and of the one in its place
	end  func(e *standin.Engine) (running []string)
}

func (b *bench) endings() []ending {
	return []ending{
		{"process ends", endedTold, func(e *standin.Engine) []string {
			running := e.Running()
			e.Close()
			return running
		}},
		{"engine hangs", b.hungTold, (*standin.Engine).Hang},
	}
}

// effectClass is a class of queries by what running one again does.
type effectClass struct{ class, effect string }

var effectClasses = []effectClass{{daemon.LookupClass, "idempotent"}, {daemon.LoadClass, "deduplicated"}, {daemon.WriteClass, "non-idempotent"}}

// register is what engines and clients wrote down of each query.
type register struct {
	mu       sync.Mutex
	classes  map[string]string    // by query
	begun    map[string]int       // how many engines' reads of it there were
	at       map[string][]int     // engines that read it
	answered map[string]time.Time // when its client was told
	verdicts map[string]standin.Verdict
}

func newRegister() *register {
	return &register{classes: map[string]string{}, begun: map[string]int{}, at: map[string][]int{},
		answered: map[string]time.Time{}, verdicts: map[string]standin.Verdict{}}
}

// watch has an engine's reads registered under its number.
func (g *register) watch(e *standin.Engine, number int) {
	e.Watch(func(id string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.begun[id]++
		g.at[id] = append(g.at[id], number)
	})
}

func (g *register) asked(s statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.classes[s.id] = s.class
}

func (g *register) told(s statement, verdict standin.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered[s.id], g.verdicts[s.id] = time.Now(), verdict
}

// readAt are the queries that an engine read.
func (g *register) readAt(number int) (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, engines := range g.at {
		if slices.Contains(engines, number) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// outcome is what became of queries of one class that were in flight at engines that went.
type outcome struct {
	took     []float64 // ms from the engine's end to what their clients were told
	verdicts [standin.Lost + 1]int
	again    int // that more than one engine began
}

func (o outcome) String() string {
	text := fmt.Sprintf("%d in flight", len(o.took))
	for verdict, word := range []string{"answered", "rejected", "failed", "without an answer"} {
		if n := o.verdicts[verdict]; n > 0 {
			text += fmt.Sprintf(", %d %s", n, word)
		}
	}
	if o.again > 0 {
		text += fmt.Sprintf(", %d begun twice", o.again)
	}
	return text
}

// judge takes up what became of the queries that were in flight when an engine went.
func (g *register) judge(inFlight []string, end time.Time, into map[string]*outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range inFlight {
		o := into[g.classes[id]]
		if o == nil {
			o = &outcome{}
			into[g.classes[id]] = o
		}
		at, told := g.answered[id]
		if !told {
			at = time.Now()
			g.verdicts[id] = standin.Lost
		}
		o.took = append(o.took, max(0, float64(at.Sub(end))/1e6))
		o.verdicts[g.verdicts[id]]++
		if g.begun[id] > 1 {
			o.again++
		}
	}
}

// twice counts the non-idempotent queries that engines began more than once, of all that were asked.
func (g *register) twice() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, begun := range g.begun {
		if begun > 1 && g.classes[id] == daemon.WriteClass {
			n++
		}
	}
	return n
}

var errTwice = errors.New("engines began a non-idempotent query more than once")

// replacement measures what queries in flight see of an engine that is replaced.
func (b *bench) replacement(ctx context.Context) (rows []slope.Row, err error) {
	endings := b.endings()
	byEnding := make([][]slope.Row, len(endings))
	err = sideBySide(len(endings), b.beside, func(i int) (err error) {
		byEnding[i], err = b.replacementBy(ctx, endings[i])
		return err
	})
	return slices.Concat(byEnding...), err
}

// replacementBy measures one way in which engines go.
func (b *bench) replacementBy(ctx context.Context, way ending) (rows []slope.Row, err error) {
	byClass := map[string][]slope.Row{}
	double := slope.Row{Role: controllerRole, Cost: "engine replaced: non-idempotent queries begun twice", Unit: "queries",
		Per: "statements/s", Condition: way.name, Method: methodSockets, Target: statementRate, Note: "must be none"}
	sum := 0
	for _, rate := range b.replacedRates {
		outcomes, twice, err := b.replace(ctx, way, rate)
		if err != nil {
			return rows, err
		}
		sum += twice
		double.Points = append(double.Points, slope.Point{Size: rate, Value: float64(twice)})
		for _, c := range effectClasses {
			byClass[c.class] = addOutcome(byClass[c.class], c, way.name, rate, outcomes[c.class])
		}
	}
	for _, c := range effectClasses {
		rows = append(rows, byClass[c.class]...)
	}
	if rows = append(rows, double); sum > 0 {
		return rows, fmt.Errorf("%s: %w: %d", way.name, errTwice, sum)
	}
	return rows, ctx.Err()
}

// addOutcome adds a rate's outcome to the rows of a class: median, 99th and most; no point where nothing was in flight.
func addOutcome(rows []slope.Row, c effectClass, condition string, rate float64, o *outcome) []slope.Row {
	if o == nil {
		o = &outcome{}
	}
	slices.Sort(o.took)
	for i, at := range []struct {
		name string
		q    float64
	}{{"median", 0.5}, {"99th", 0.99}, {"most", 1}} {
		if len(rows) <= i {
			rows = append(rows, slope.Row{Role: controllerRole, Unit: "ms", Per: "statements/s", Method: methodSockets,
				Cost:      fmt.Sprintf("engine replaced: %s until %s queries are answered", at.name, c.effect),
				Condition: condition, Target: statementRate, Budget: replacedWithin})
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

// replace has engines go one after another under load, each with another in its place.
func (b *bench) replace(ctx context.Context, way ending, rate float64) (map[string]*outcome, int, error) {
	r, err := b.open(ctx, replacedEngines)
	if err != nil {
		return nil, 0, err
	}
	defer r.close()
	if err := r.connect(ctx, sessionsFor(rate)); err != nil {
		return nil, 0, err
	}
	g := newRegister()
	for i, e := range r.engines {
		g.watch(e, i+1)
	}
	outcomes := map[string]*outcome{}
	for i := range b.replacedRepeats {
		inFlight, end, err := b.replaceOne(ctx, r, g, i+1, way, rate)
		if err != nil {
			return nil, 0, err
		}
		g.judge(inFlight, end, outcomes)
	}
	return outcomes, g.twice(), nil
}

// replaceOne has the engine of a number go under load, and tells which queries were in flight there: those that ran,
// and those that it read after its end.
func (b *bench) replaceOne(ctx context.Context, r *rig, g *register, number int, way ending, rate float64) (inFlight []string,
	end time.Time, err error) {
	over := make(chan bool)
	go func() {
		defer close(over)
		draw := func() statement {
			s := r.mixed()
			g.asked(s)
			return s
		}
		r.drive(ctx, rate, b.replacedBefore+way.told+b.replacedAfter, draw, func(s statement, verdict standin.Verdict, _ time.Duration) {
			g.told(s, verdict)
		})
	}()
	time.Sleep(b.replacedBefore)
	old := r.engines[number-1]
	before := g.readAt(number)
	end = time.Now()
	inFlight = way.end(old)
	time.Sleep(way.told)
	replaced, err := daemon.NewEngine(replacedEngines+number, b.seed)
	if err == nil {
		g.watch(replaced, replacedEngines+number)
		err = errors.Join(r.feed.Publish(uint32(number), old.Addr, standin.Gone, 0),
			r.feed.Publish(uint32(replacedEngines+number), replaced.Addr, standin.Ready, uint64(time.Now().UnixMilli())))
		r.engines = append(r.engines, replaced)
	}
	<-over
	for _, id := range g.readAt(number) {
		if !slices.Contains(before, id) && !slices.Contains(inFlight, id) {
			inFlight = append(inFlight, id)
		}
	}
	return inFlight, end, err
}

// mixed draws a statement of one of the classes: three of five are lookups.
func (r *rig) mixed() statement {
	work := replacedWork * (0.5 + r.rng.Float64())
	switch r.rng.Intn(5) {
	case 0:
		return r.statement(daemon.LoadClass, work)
	case 1:
		return r.statement(daemon.WriteClass, work)
	}
	return r.statement(daemon.LookupClass, work)
}
