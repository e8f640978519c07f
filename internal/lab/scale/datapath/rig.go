package datapath

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/standin"
)

// clientLimit returns how many client connections a daemon serves with this machine's descriptor limit; see package limits.
func clientLimit() int { return daemon.DescriptorLimit() * 21 / 40 }

// rig is a daemon with emulated engines, a discovery service and client sessions.
type rig struct {
	engines  []*standin.Engine
	feed     *standin.Feed
	daemon   *daemon.Process
	sessions chan *standin.Client // idle sessions, the longest idle first
	rng      *rand.Rand
	cancel   context.CancelFunc

	mu           sync.Mutex
	firstQueries outcomes // of the first query of each session
}

// daemonName is the daemon's name as a controller.
const daemonName = "n1"

// maxSessions bounds the idle sessions of a rig.
const maxSessions = 1 << 14

func (b *bench) open(ctx context.Context, engines int) (*rig, error) {
	return b.openWith(ctx, engines, true)
}

// openWith is open with health probes allowed or not.
func (b *bench) openWith(ctx context.Context, engines int, probes bool) (*rig, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{sessions: make(chan *standin.Client, maxSessions), rng: rand.New(rand.NewSource(b.seed)), cancel: cancel}
	err := r.start(ctx, b, engines, probes)
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(ctx context.Context, b *bench, engines int, probes bool) (err error) {
	for i := range engines {
		e, err := daemon.NewEngine(i+1, b.seed)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
	}
	if r.feed, err = standin.NewFeed(ctx); err != nil {
		return err
	}
	dir, err := os.MkdirTemp(b.dir, "rig")
	if err != nil {
		return err
	}
	r.daemon, err = daemon.Start(ctx, daemon.Options{Binary: b.mintkeel, Folder: dir, Name: daemonName, DiscoveryAddr: r.feed.Addr,
		Engines: r.engines, Controllers: controllers, Seed: b.seed, Probes: probes})
	return err
}

func (r *rig) close() {
	for len(r.sessions) > 0 {
		(<-r.sessions).Close()
	}
	if r.daemon != nil {
		r.daemon.Stop()
	}
	r.cancel()
	for _, e := range r.engines {
		e.Close()
	}
}

// traffic returns the sum of all engines' traffic counts.
func (r *rig) traffic() (sum standin.Traffic) {
	for _, e := range r.engines {
		t := e.Traffic()
		sum.Queries += t.Queries
		sum.QueryBytes += t.QueryBytes
		sum.Pings += t.Pings
		sum.PingBytes += t.PingBytes
		sum.Cancels += t.Cancels
		sum.CancelBytes += t.CancelBytes
		sum.Answers += t.Answers
		sum.AnswerBytes += t.AnswerBytes
		sum.ReportBytes += t.ReportBytes
		sum.Replies += t.Replies
		sum.ReplyBytes += t.ReplyBytes
		sum.Opened += t.Opened
		sum.Open += t.Open
		sum.MostOpen = max(sum.MostOpen, t.MostOpen)
		sum.Unrecognized += t.Unrecognized
	}
	return sum
}

// statement is a query as a client sends it.
type statement struct {
	id, class, fields, text string
}

// The work of an ordinary statement at its engine, and the number of table groups.
const (
	usualWork   = 20.0 // ms
	tableGroups = 300
)

func (r *rig) statement(class string, work float64) statement {
	s := statement{id: fmt.Sprintf("%016x", r.rng.Uint64()), class: class}
	s.fields = fmt.Sprintf("verb=%s,txn=%s,cpu=%.1f", class, s.id, work*(0.7+0.6*r.rng.Float64()))
	if class == daemon.LoadClass {
		s.fields += ",unique=u" + s.id
	}
	s.text = fmt.Sprintf("SELECT WORK(%.3f) FROM sales_%d.orders", work, r.rng.Intn(tableGroups))
	return s
}

func (r *rig) drawUsual() statement {
	return r.statement(daemon.LookupClass, usualWork*(0.5+r.rng.Float64()))
}

// workers is the number of sessions that are opened or kept alive at a time.
const workers = 64

// inParallel calls f with each number below n, at most workers calls at a time, and returns the first error.
func inParallel(n int, f func(i int) error) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	next := make(chan int)
	for range min(n, workers) {
		group.Go(func() {
			for i := range next {
				if err := f(i); err != nil {
					mu.Lock()
					if first == nil {
						first = err
					}
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	group.Wait()
	return first
}

// connect opens sessions until there are n. It sends a first query on each, without which the daemon would close it.
func (r *rig) connect(ctx context.Context, n int) error {
	missing := n - len(r.sessions)
	first := make([]statement, max(0, missing))
	for i := range first {
		first[i] = r.statement(daemon.LookupClass, 1)
	}
	return inParallel(len(first), func(i int) error {
		c, err := standin.Dial(ctx, r.daemon.Addr, daemon.Deadline)
		if err != nil {
			return err
		}
		began := time.Now()
		verdict, err := c.Query(first[i].fields, first[i].text, daemon.Deadline)
		if err != nil {
			c.Close()
			return err
		}
		r.sessions <- c
		r.mu.Lock()
		defer r.mu.Unlock()
		r.firstQueries.add(verdict, time.Since(began))
		return nil
	})
}

// keepAlive sends a message on each idle session, because the daemon closes sessions that are silent for 5 s. It returns
// how many had been closed.
func (r *rig) keepAlive() (ended int) {
	var mu sync.Mutex
	inParallel(len(r.sessions), func(int) error {
		c := <-r.sessions
		if c.Sync(daemon.Deadline) == nil {
			r.sessions <- c
			return nil
		}
		c.Close()
		mu.Lock()
		defer mu.Unlock()
		ended++
		return nil
	})
	return ended
}

// outcomes counts the answers to clients during a time under load.
type outcomes struct {
	queries, answered, rejected, failed, lost int
	answerTimes                               []float64 // ms, of the answered queries; sorted by measureLoad
}

// quantile returns a quantile of the answer times in ms.
func (s outcomes) quantile(q float64) float64 { return quantile(s.answerTimes, q) }

func (s outcomes) String() string {
	text := fmt.Sprintf("%d of %d answered", s.answered, s.queries)
	for _, other := range []struct {
		count int
		word  string
	}{{s.rejected, "rejected"}, {s.failed, "failed"}, {s.lost, "without an answer"}} {
		if other.count > 0 {
			text += fmt.Sprintf(", %d %s", other.count, other.word)
		}
	}
	return text
}

// add counts the answer to a query.
func (s *outcomes) add(verdict standin.Verdict, took time.Duration) {
	s.queries++
	switch verdict {
	case standin.Answered:
		s.answered++
		s.answerTimes = append(s.answerTimes, float64(took)/1e6)
	case standin.Shed:
		s.rejected++
	case standin.Failed:
		s.failed++
	case standin.Lost:
		s.lost++
	}
}

// measureLoad sends statements at random times with a mean rate for a duration, each on the session that was idle for the
// longest time, and waits for all answers.
func (r *rig) measureLoad(ctx context.Context, rate float64, duration time.Duration, draw func() statement) outcomes {
	var out outcomes
	r.runLoad(ctx, rate, duration, draw, func(_ statement, verdict standin.Verdict, took time.Duration) { out.add(verdict, took) })
	slices.Sort(out.answerTimes)
	return out
}

// runLoad is measureLoad with a function that is called with each answer, one call at a time.
func (r *rig) runLoad(ctx context.Context, rate float64, duration time.Duration, draw func() statement,
	answered func(s statement, verdict standin.Verdict, took time.Duration)) {
	var group sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for at := 0.0; ctx.Err() == nil; {
		at += r.rng.ExpFloat64() / rate
		if at > duration.Seconds() {
			break
		}
		s := draw()
		time.Sleep(time.Until(began.Add(time.Duration(at * 1e9))))
		group.Go(func() {
			verdict, took := r.query(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			answered(s, verdict, took)
		})
	}
	group.Wait()
}

// query sends one statement and waits for its answer, on an idle session or, if there is none, a new one.
func (r *rig) query(ctx context.Context, s statement) (standin.Verdict, time.Duration) {
	began := time.Now()
	var c *standin.Client
	select {
	case c = <-r.sessions:
	default:
		var err error
		if c, err = standin.Dial(ctx, r.daemon.Addr, daemon.Deadline); err != nil {
			return standin.Lost, time.Since(began)
		}
	}
	verdict, err := c.Query(s.fields, s.text, daemon.Deadline)
	took := time.Since(began)
	if err != nil {
		c.Close()
		return standin.Lost, took
	}
	select {
	case r.sessions <- c:
	default:
		c.Close()
	}
	return verdict, took
}

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
