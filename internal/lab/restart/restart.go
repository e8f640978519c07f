// Package restart measures the value of persisted statistics ("memory"): a controller process is killed under load and
// started again, with stand-ins for engines, feed and clients on loopback. The benefit in the first seconds after the restart
// is compared with that of runs without memory, with wrong memory, and without a kill.
package restart

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/lab/standin"
	"mintkeel/internal/memory"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Variant is the memory that the controller finds when it starts again.
type Variant int

// The variants that are compared.
const (
	Unbroken  Variant = iota // the controller is not killed
	Without                  // no memory
	With                     // its own memory
	Aged                     // its own memory, dated back by a day
	Swapped                  // its own memory, with the records of each engine under another engine's ID
	Yesterday                // memory of another day: three slow engines, another hot table group, tables warm elsewhere
	Unaged                   // as Yesterday, but dated as fresh: the plain baseline
)

var variantNames = [...]string{"unbroken", "without", "with", "aged a day", "engines swapped", "yesterday's",
	"yesterday's, believed without ageing"}

func (v Variant) String() string { return variantNames[v] }

// Variants returns all variants.
func Variants() []Variant {
	return []Variant{Unbroken, Without, With, Aged, Swapped, Yesterday, Unaged}
}

// Scene describes the engines and the load of a run, which takes place in real time.
type Scene struct {
	Mintkeel string // path of the daemon
	Bounds   snapshots.Bounds
	Seed     int64
	Engines  int
	Groups   int
	Rate     float64 // commands a second
	Learn    time.Duration
	Measure  time.Duration
	Slow     float64 // factor of the duration at the slow engine
	Hot      float64 // share of the commands on the hot table group
	Cold     float64 // factor of the work of a command whose tables are not warm
	Sockets  int     // limit of the daemon; 0: 1024
	Clients  int     // least number of open client connections, which are used in turn
	Work     float64 // ms on one core for each command; 0: 30 for a lookup and 140 for a report
	Relay    bool    // the relay takes the place of the daemon, with engines that have ample cores and sessions
}

// Usual returns the scene with which the published results were measured.
func Usual() Scene {
	return Scene{Engines: 8, Groups: 24, Rate: 420, Learn: 14 * time.Second, Measure: 10 * time.Second, Slow: 6, Hot: 0.3,
		Cold: 3}
}

// Outcome is the result of one variant of a scene.
type Outcome struct {
	Benefit  float64 // mean over all commands, each 0 to 1
	First    float64 // mean over the commands of the first 2 s
	Commands int
	Cold     int // commands whose tables were cold at their engine
}

const (
	cores, sessions, warm            = 4.0, 60, 5
	lookupMS, reportMS               = 30.0, 140.0
	lookupObjective, reportObjective = 150 * time.Millisecond, 700 * time.Millisecond
	lookupTimeout, reportTimeout     = 1200 * time.Millisecond, 3000 * time.Millisecond
	lateBenefit                      = 0.3
	reportShare                      = 0.15 // of the commands
)

// environment is what surrounds the controller in a scene: engines, the feed, clients and its files.
type environment struct {
	Scene
	engines []*standin.Engine
	feed    *standin.Feed
	addr    string
	dir     string
	rules   string // of the operator's file
	shift   int    // selects the slow engines and the hot table group
	idle    chan *standin.Client
}

// Run plays one variant of a scene.
func Run(ctx context.Context, s Scene, v Variant) (out Outcome, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.Learn+s.Measure+20*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "restart")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	if v == Yesterday || v == Unaged { // play the day before first, for its memory
		dayBefore, err := open(ctx, s, dir, 3)
		if err != nil {
			return out, err
		}
		p, err := dayBefore.start(ctx)
		if err != nil {
			return out, err
		}
		dayBefore.play(ctx, s.Learn, nil)
		p.kill()
		dayBefore.close()
		if err := os.Rename(filepath.Join(dir, "kept"), filepath.Join(dir, "yesterday")); err != nil {
			return out, err
		}
	}
	w, err := open(ctx, s, dir, 0)
	if err != nil {
		return out, err
	}
	defer w.close()
	p, err := w.start(ctx)
	if err != nil {
		return out, err
	}
	defer func() { p.kill() }()
	w.play(ctx, s.Learn, nil)
	if v != Unbroken {
		p.kill()
		w.closeIdle()
		if err := w.prepareMemory(v); err != nil {
			return out, err
		}
		if p, err = w.start(ctx); err != nil {
			return out, err
		}
	}
	cold := w.coldCommands()
	w.play(ctx, s.Measure, &out)
	out.Cold = w.coldCommands() - cold
	return out, ctx.Err()
}

func open(ctx context.Context, s Scene, dir string, shift int) (*environment, error) {
	w := &environment{Scene: s, dir: dir, shift: shift, idle: make(chan *standin.Client, max(400, s.Clients))}
	for i := range s.Engines {
		m := standin.Model{Cores: cores, Slow: 1, Sessions: sessions, Warm: warm, ColdCost: s.Cold}
		if s.Relay {
			m.Cores, m.Sessions = 100000, 100000
		}
		if i == (2+shift)%s.Engines || shift > 0 && (i == (3+shift)%s.Engines || i == (4+shift)%s.Engines) {
			m.Slow = s.Slow // three engines on the other day, else one
		}
		e, err := standin.NewEngine(fmt.Sprintf("s-%08x", i+1), m, s.Seed)
		if err != nil {
			return nil, err
		}
		w.engines = append(w.engines, e)
	}
	var err error
	if w.feed, err = standin.NewFeed(ctx); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = listener.Addr().String()
	return w, listener.Close()
}

func (w *environment) close() {
	w.closeIdle()
	for _, e := range w.engines {
		e.Close()
	}
}

// closeIdle closes all idle client connections.
func (w *environment) closeIdle() {
	for {
		select {
		case c := <-w.idle:
			c.Close()
		default:
			return
		}
	}
}

func (w *environment) coldCommands() (n int) {
	for _, e := range w.engines {
		_, cold, _ := e.Counts()
		n += cold
	}
	return n
}

type process struct {
	cmd  *exec.Cmd
	once sync.Once
}

func (p *process) kill() {
	p.once.Do(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
}

// start writes the settings, starts the daemon or the relay, and waits until it answers.
func (w *environment) start(ctx context.Context) (*process, error) {
	if w.Relay {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		return w.await(ctx, exec.Command(self, "relay", "--listen", w.addr, "--engine", w.engines[0].Addr))
	}
	type object = map[string]any
	var hosts []object
	for _, e := range w.engines {
		hosts = append(hosts, object{"host": e.ID, "dial": e.Addr, "site": "east", "class": "std", "health": "active"})
	}
	config, err := json.Marshal(object{"name": "n1", "listen": w.addr, "seed": fmt.Sprintf("%016x", w.Seed),
		"limits":   object{"cores": 1, "memory_mb": max(192, w.Sockets/8), "sockets": cmp.Or(w.Sockets, 1024)},
		"bulletin": w.feed.Addr,
		"known":    object{"no": 1, "items": []object{{"no": 1, "roster": object{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": object{"n_instances": 1, "zone": "east", "failure_domains": []string{"east"}, "kinds": []string{"std"},
			"report":      object{"fields": []string{"util", "inflight"}},
			"family_info": object{"size_cores": []float64{cores}, "size_mb": []float64{16000}, "width_by_class": []int{1, 1}},
			"bounds": object{"cancel": true, "probes": true, "send_cap": 3, "connect_timeout_ns": 250000000,
				"max_streams": 100, "retry_after": true, "max_retry_after_ns": 500000000},
			"contract": object{"cold_share": 0.5, "cold_ns": 2000000000, "overload_factor": 4, "tip_after_ns": 1000000000},
			"services": []object{
				{"name": "lookup", "effect": "free", "promise_ns": int64(lookupObjective), "hard_limit_ns": int64(lookupTimeout),
					"late_worth": lateBenefit},
				{"name": "report", "effect": "free", "promise_ns": int64(reportObjective), "hard_limit_ns": int64(reportTimeout),
					"late_worth": lateBenefit}}}})
	if err != nil {
		return nil, err
	}
	path, hcl := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "operator.hcl")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	block := fmt.Sprintf("memory {\n  folder = %q\n  pace = \"1s\"\n}\n", filepath.Join(w.dir, "kept")) + w.rules
	if err := os.WriteFile(hcl, []byte(block), 0o600); err != nil {
		return nil, err
	}
	return w.await(ctx, exec.Command(w.Mintkeel, "serve", "--config", path, "--operator", hcl))
}

// await starts a process, waits until it serves clients, and opens the client connections.
func (w *environment) await(ctx context.Context, cmd *exec.Cmd) (*process, error) {
	p := &process{cmd: cmd}
	log, err := os.OpenFile(filepath.Join(w.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(10 * time.Second); ; {
		if c, err := standin.Dial(ctx, w.addr, time.Second); err == nil {
			w.idle <- c
			return p, w.openClients(ctx)
		}
		if time.Now().After(end) || ctx.Err() != nil {
			p.kill()
			return nil, errors.New("the process accepts no client")
		}
		time.Sleep(time.Millisecond)
	}
}

// openClients opens idle client connections up to Scene.Clients.
func (w *environment) openClients(ctx context.Context) error {
	for len(w.idle) < w.Clients {
		c, err := standin.Dial(ctx, w.addr, time.Second)
		if err != nil {
			return err
		}
		w.idle <- c
	}
	return nil
}

// play sends commands at random times for a duration and, if out is not nil, records their benefit there.
func (w *environment) play(ctx context.Context, duration time.Duration, out *Outcome) {
	rng := rand.New(rand.NewSource(w.Seed + int64(duration)))
	var mu sync.Mutex
	var group sync.WaitGroup
	sum, earlyBenefit, earlyCommands := 0.0, 0.0, 0
	began := time.Now()
	for at := 0.0; ctx.Err() == nil; {
		at += rng.ExpFloat64() / w.Rate
		if at > duration.Seconds() {
			break
		}
		command := w.drawCommand(rng)
		time.Sleep(time.Until(began.Add(time.Duration(at * 1e9))))
		early := at < 2
		if early {
			earlyCommands++
		}
		if out != nil {
			out.Commands++
		}
		group.Go(func() {
			b := w.send(ctx, command)
			mu.Lock()
			defer mu.Unlock()
			if sum += b; early {
				earlyBenefit += b
			}
		})
	}
	group.Wait()
	if out != nil && out.Commands > 0 {
		out.Benefit, out.First = sum/float64(out.Commands), earlyBenefit/float64(max(1, earlyCommands))
	}
}

type command struct {
	fields, statement  string
	objective, timeout time.Duration
}

func (w *environment) drawCommand(rng *rand.Rand) command {
	d := command{objective: lookupObjective, timeout: lookupTimeout}
	verb, work := "lookup", lookupMS*(0.5+rng.Float64())
	if rng.Float64() < reportShare {
		verb, work, d.objective, d.timeout = "report", reportMS*(0.5+rng.Float64()), reportObjective, reportTimeout
	}
	if w.Work > 0 {
		work = w.Work * (0.5 + rng.Float64())
	}
	group := rng.Intn(w.Groups)
	if rng.Float64() < w.Hot {
		group = w.shift
	}
	d.fields = fmt.Sprintf("verb=%s,txn=%016x,cpu=%.1f", verb, rng.Uint64(), work*(0.7+0.6*rng.Float64()))
	d.statement = fmt.Sprintf("SELECT WORK(%.3f) FROM sales_%d.orders", work, group)
	return d
}

// send sends a command on a connection that serves no other command meanwhile, and returns its benefit.
func (w *environment) send(ctx context.Context, d command) float64 {
	var c *standin.Client
	select {
	case c = <-w.idle:
	default:
		var err error
		if c, err = standin.Dial(ctx, w.addr, time.Second); err != nil {
			return 0
		}
	}
	began := time.Now()
	verdict, err := c.Query(d.fields, d.statement, d.timeout)
	took := time.Since(began)
	if err != nil {
		c.Close()
		return 0
	}
	select {
	case w.idle <- c:
	default:
		c.Close()
	}
	switch {
	case verdict != standin.Answered:
		return 0
	case took > d.objective:
		return lateBenefit
	}
	return 1
}

// prepareMemory changes the stored memory to what the variant finds at the restart.
func (w *environment) prepareMemory(v Variant) error {
	kept := filepath.Join(w.dir, "kept")
	switch v {
	case Without:
		return os.RemoveAll(kept)
	case Yesterday, Unaged:
		if err := os.RemoveAll(kept); err != nil {
			return err
		}
		if err := os.Rename(filepath.Join(w.dir, "yesterday"), kept); err != nil {
			return err
		}
	}
	now, day := float64(time.Now().UnixMilli()), float64(24*3600*1000)
	return memory.RewriteNewest(disk.Folder(kept), w.Bounds, func(l *router.Statistics) {
		switch v {
		case Aged, Yesterday:
			shiftTimes(l, func(at float64) float64 { return at - day })
		case Unaged:
			shiftTimes(l, func(float64) float64 { return now })
		}
		switch v {
		case Swapped, Yesterday, Unaged:
			n := len(l.Engines)
			next := map[router.EngineID]router.EngineID{}
			for i, e := range l.Engines {
				next[e.Engine] = l.Engines[(i+n/2)%n].Engine
			}
			for i := range l.Engines {
				e := &l.Engines[i]
				e.Engine, e.PoolLeader = next[e.Engine], next[e.PoolLeader]
			}
			for i := range l.Tables {
				for k, home := range l.Tables[i].PoolLeaders {
					l.Tables[i].PoolLeaders[k] = next[home]
				}
			}
		}
	})
}

func shiftTimes(l *router.Statistics, to func(at float64) float64) {
	for i := range l.Engines {
		l.Engines[i].At = to(l.Engines[i].At)
	}
	for i := range l.Tables {
		l.Tables[i].At = to(l.Tables[i].At)
	}
	for i := range l.Classes {
		l.Classes[i].At = to(l.Classes[i].At)
	}
	for i := range l.Traffic {
		l.Traffic[i].At = to(l.Traffic[i].At)
	}
}

// Summary is the mean of a variant over several seeds, compared by seed with Without and Unbroken.
type Summary struct {
	Variant                  Variant
	Benefit, First           float64
	Cold                     float64 // share of the commands on cold tables
	OverWithout, Interval    float64 // mean of the differences by seed, and half the width of its 95% confidence interval
	GapShare                 float64 // of the gap from Without to Unbroken
	FirstOver, FirstInterval float64 // as OverWithout and Interval, in the first 2 s
}

// Summarize returns a summary of each variant over the outcomes of all seeds.
func Summarize(all []map[Variant]Outcome) (sums []Summary) {
	gap := 0.0
	for _, by := range all {
		gap += by[Unbroken].Benefit - by[Without].Benefit
	}
	for _, v := range Variants() {
		s := Summary{Variant: v}
		var over, first []float64
		for _, by := range all {
			n := float64(len(all))
			s.Benefit += by[v].Benefit / n
			s.First += by[v].First / n
			s.Cold += float64(by[v].Cold) / float64(max(1, by[v].Commands)) / n
			over = append(over, by[v].Benefit-by[Without].Benefit)
			first = append(first, by[v].First-by[Without].First)
		}
		s.OverWithout, s.Interval = MeanInterval(over)
		s.FirstOver, s.FirstInterval = MeanInterval(first)
		if gap != 0 {
			s.GapShare = s.OverWithout * float64(len(all)) / gap
		}
		sums = append(sums, s)
	}
	return sums
}

// studentT has the 97.5% quantiles of Student's t-distribution, for 1 degree of freedom and up.
var studentT = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13}

// MeanInterval returns the mean of some values and half the width of its 95% confidence interval.
func MeanInterval(xs []float64) (mean, half float64) {
	n := float64(len(xs))
	for _, x := range xs {
		mean += x / n
	}
	sum := 0.0
	for _, x := range xs {
		sum += (x - mean) * (x - mean)
	}
	if n < 2 {
		return mean, math.Inf(1)
	}
	return mean, studentT[min(len(xs)-2, len(studentT)-1)] * math.Sqrt(sum/(n-1)/n)
}

// Table formats summaries as a Markdown table.
func Table(sums []Summary) string {
	var b strings.Builder
	b.WriteString("| memory | benefit, 10 s | over without | share of the gap | benefit, first 2 s | over without | on cold tables |\n" +
		"| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range sums {
		fmt.Fprintf(&b, "| %v | %.3f | %+.3f ±%.3f | %.2f | %.3f | %+.3f ±%.3f | %.3f |\n", s.Variant, s.Benefit,
			s.OverWithout, s.Interval, s.GapShare, s.First, s.FirstOver, s.FirstInterval, s.Cold)
	}
	return b.String()
}
