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

// clientLimit is how many connections of clients a daemon with that limit serves: see package limits.
func clientLimit() int { return daemon.DescriptorLimit() * 21 / 40 }

// rig is a daemon with emulated engines, the feed and clients' sessions.
type rig struct {
	engines  []*standin.Engine
	feed     *standin.Feed
	daemon   *daemon.Process
	sessions chan *standin.Client // that are idle, the longest so first
	rng      *rand.Rand
	cancel   context.CancelFunc

	mu     sync.Mutex
	firsts service // what became of each session's first query
}

// daemonName is the daemon's, as a controller.
const daemonName = "n1"

// mostSessions bounds a rig's sessions.
const mostSessions = 1 << 14

func (b *bench) open(ctx context.Context, engines int) (*rig, error) {
	return b.openWith(ctx, engines, true)
}

// openWith is open with a daemon that may probe engines or not.
func (b *bench) openWith(ctx context.Context, engines int, probes bool) (*rig, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{sessions: make(chan *standin.Client, mostSessions), rng: rand.New(rand.NewSource(b.seed)), cancel: cancel}
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
	r.daemon, err = daemon.Start(ctx, daemon.Options{Binary: b.mintkeel, Folder: dir, Name: daemonName, Feed: r.feed.Addr,
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

// traffic is what all engines counted.
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

// statement is a query as a client writes it.
type statement struct {
	id, class, fields, text string
}

// Work of an ordinary statement at its engine, and how many table groups there are.
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

func (r *rig) usual() statement {
	return r.statement(daemon.LookupClass, usualWork*(0.5+r.rng.Float64()))
}

// workers are how many sessions are opened or touched at one time.
const workers = 64

// inParallel calls f for each of n, some at one time, and returns the first error.
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

// connect opens sessions until there are n, each with a first query, without which none stays.
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
		r.firsts.add(verdict, time.Since(began))
		return nil
	})
}

// touch gives a sign of life on each idle session: the daemon ends those that are silent for 5 s. It returns how many
// had ended.
func (r *rig) touch() (ended int) {
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

// service is what clients saw in a time under load.
type service struct {
	asked, answered, shed, failed, lost int
	took                                []float64 // ms of those that were answered, sorted
}

// quantile is that of the times of answers, in ms.
func (s service) quantile(q float64) float64 { return quantile(s.took, q) }

func (s service) String() string {
	text := fmt.Sprintf("%d of %d answered", s.answered, s.asked)
	for _, other := range []struct {
		count int
		word  string
	}{{s.shed, "rejected"}, {s.failed, "failed"}, {s.lost, "without an answer"}} {
		if other.count > 0 {
			text += fmt.Sprintf(", %d %s", other.count, other.word)
		}
	}
	return text
}

// add counts an answer.
func (s *service) add(verdict standin.Verdict, took time.Duration) {
	s.asked++
	switch verdict {
	case standin.Answered:
		s.answered++
		s.took = append(s.took, float64(took)/1e6)
	case standin.Shed:
		s.shed++
	case standin.Failed:
		s.failed++
	case standin.Lost:
		s.lost++
	}
}

// load has statements come at a rate for so long, each on the session that was idle for the longest time, and waits
// for their answers.
func (r *rig) load(ctx context.Context, rate float64, long time.Duration, draw func() statement) service {
	var out service
	r.drive(ctx, rate, long, draw, func(_ statement, verdict standin.Verdict, took time.Duration) { out.add(verdict, took) })
	slices.Sort(out.took)
	return out
}

// drive is load with each answer told, one at a time.
func (r *rig) drive(ctx context.Context, rate float64, long time.Duration, draw func() statement,
	told func(s statement, verdict standin.Verdict, took time.Duration)) {
	var group sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for at := 0.0; ctx.Err() == nil; {
		at += r.rng.ExpFloat64() / rate
		if at > long.Seconds() {
			break
		}
		s := draw()
		time.Sleep(time.Until(began.Add(time.Duration(at * 1e9))))
		group.Go(func() {
			verdict, took := r.ask(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			told(s, verdict, took)
		})
	}
	group.Wait()
}

// ask has one statement answered, on an idle session or, where there is none, a new one.
func (r *rig) ask(ctx context.Context, s statement) (standin.Verdict, time.Duration) {
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

// quantile of sorted values; 0 of none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
