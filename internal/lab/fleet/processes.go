package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet"
	"mintkeel/internal/lab/standin"
)

// Scene is what is played with processes: real daemons on loopback, with stand-in engines and a feed, a switch between
// each pair, clients, and an endpoint that the works' effects go to.
type Scene struct {
	Mintkeel string // a daemon built with the tag mintkeel_lab
	Seed     int64
	Nodes    int
	Council  int
	Works    int
	Lease    time.Duration
	Rate     float64 // commands a second at each node
	Digest   bool    // the fleet's digest is one of the works
	Engines  int     // stand-ins; 0: two
	Withdraw bool    // the plan is withdrawn when the first engine is back
	AtOnce   int     // engines that maintenance may have out, all of which it takes out once; 0: there is none
	Config   bool    // the daemons agree on a configuration
	Script   Script
	Settle   time.Duration
	Tell     func(string)
}

// UsualScene is one with a script drawn from a seed.
func UsualScene(mintkeel string, seed int64, nodes, faults int) Scene {
	rng := rand.New(rand.NewSource(seed))
	s := Scene{Mintkeel: mintkeel, Seed: seed, Nodes: nodes, Council: 3, Works: 3, Lease: 2 * time.Second, Rate: 5,
		Settle: 60 * time.Second}
	if nodes >= 5 && rng.Intn(2) == 0 {
		s.Council = 5
	}
	s.Script = DrawScript(rng, nodes, s.Council, faults, 12000)
	for i := range s.Script { // a history takes seconds here
		s.Script[i].For = min(s.Script[i].For, 8000)
		s.Script[i].Amount = min(s.Script[i].Amount, 3000)
		if s.Script[i].Kind == Jump {
			s.Script[i].Kind = Pause
		}
	}
	return s
}

// Report is what a history told.
type Report struct {
	Broken   string // empty: nothing
	Effects  int    // that the endpoint took
	Refused  int    // and refused, by their epoch
	Taken    int    // that other controllers took
	Commands int
	Answered int
	Shed     int
	Failed   int
	Lost     int // at nodes that ran
	Digests  int // starts at which something of the fleet's digest was believed

	Back, MostOut int // engines that were out and are back; out at once
	Maintained    time.Duration
	Whole         time.Duration

	ConfigProposals, ConfigAgreed, ConfigApplied, ConfigRefused, ConfigStatuses int
	ConfigCatchUp                                                               time.Duration // after all was whole, until the newest was in force at all
	ConfigAfterPut                                                              time.Duration

	Free []time.Duration // between the last effect of one owner and the first of the next
}

type machineProc struct {
	number  int
	name    string
	serve   string // where clients go
	fleet   string // where other controllers go
	dir     string
	cmd     *exec.Cmd
	gone    chan struct{}
	down    time.Time // it did not run, or stood still, until then
	stopped bool
	copies  []string
	runs    int // starts
	folder  int // its generation: one more when it is emptied or an older copy is put back
	mu      sync.Mutex
}

type rig struct {
	Scene
	dir      string
	rng      *rand.Rand
	engines  []*standin.Engine
	feed     *standin.Feed
	nodes    []*machineProc
	sw       *Switch
	endpoint net.Listener
	judge    *Judge
	report   Report
	mu       sync.Mutex
	began    time.Time
	ctx      context.Context
	group    sync.WaitGroup
	yard     *yard
	config   *configRig // nil: the daemons agree on none
}

// PlayProcesses plays a scene. It leaves no process behind.
func PlayProcesses(ctx context.Context, s Scene) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	r := &rig{Scene: s, dir: dir, rng: rand.New(rand.NewSource(s.Seed + 77)), judge: NewJudge(), ctx: ctx, began: time.Now()}
	defer r.close()
	if s.Config {
		r.openConfig()
	}
	if err := r.open(); err != nil {
		return r.report, err
	}
	for _, n := range r.nodes {
		r.group.Go(func() { r.clients(n) })
	}
	r.group.Go(r.copyFolders)
	if r.AtOnce > 0 {
		r.plan()
	}
	r.play()
	r.settle()
	if r.config != nil {
		r.configSettled()
	}
	if r.Withdraw {
		r.withdrawn()
	} else if r.AtOnce > 0 {
		r.finished()
	}
	cancel()
	r.group.Wait()
	r.read()
	if r.config != nil {
		r.judgeConfig()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Broken == "" {
		r.report.Broken = r.judge.Broken
	}
	if r.report.Broken == "" && r.report.Lost > 0 {
		r.report.Broken = fmt.Sprintf("%d commands had no final answer at controllers that ran", r.report.Lost)
	}
	return r.report, nil
}

func (r *rig) tell(format string, args ...any) {
	if r.Tell != nil {
		r.Tell(fmt.Sprintf("%6.2f s ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

var histories atomic.Int64

// ownAddr is a loopback address that no other history of this machine has: a free port of the usual one may be taken by
// any connection that somebody opens before the daemon listens.
func ownAddr() string {
	n, pid := histories.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%224, pid/224%250, 1+n%250)
}

func (r *rig) open() error {
	for i := range max(2, r.Engines) {
		e, err := standin.NewEngine(fmt.Sprintf("s-%08x", i+1), standin.Model{Cores: 64, Slow: 1, Sessions: 1000, Warm: 50, ColdCost: 1}, r.Seed)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
	}
	var err error
	if r.feed, err = standin.NewFeed(r.ctx); err != nil {
		return err
	}
	if r.endpoint, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	context.AfterFunc(r.ctx, func() { r.endpoint.Close() })
	if r.AtOnce > 0 {
		if err := r.openYard(); err != nil {
			return err
		}
	}
	r.group.Go(r.serveEndpoint)
	var addrs []string
	ip := ownAddr()
	for i := range r.Nodes {
		n := &machineProc{number: i, name: fmt.Sprintf("n%d", i), dir: filepath.Join(r.dir, fmt.Sprintf("n%d", i))}
		n.serve, n.fleet = fmt.Sprintf("%s:%d", ip, 20000+i), fmt.Sprintf("%s:%d", ip, 21000+i)
		if err := os.Mkdir(n.dir, 0o700); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		addrs = append(addrs, n.fleet)
	}
	if r.sw, err = NewSwitch(addrs, r.Seed); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, "key"), []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		return err
	}
	for _, n := range r.nodes {
		if err := r.configure(n); err != nil {
			return err
		}
		if err := r.start(n); err != nil {
			return err
		}
	}
	return nil
}

// usualKind is the kind of engine that controllers' settings name.
const usualKind = "std"

func (r *rig) configure(n *machineProc) error {
	type object = map[string]any
	var hosts []object
	for _, e := range r.engines {
		hosts = append(hosts, object{"host": e.ID, "dial": e.Addr, "site": "east", "class": usualKind, "health": "active"})
	}
	config, err := json.Marshal(object{"name": n.name, "listen": n.serve, "seed": fmt.Sprintf("%016x", r.Seed),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"bulletin": r.feed.Addr,
		"known":    object{"no": 1, "items": []object{{"no": 1, "roster": object{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": object{"n_instances": r.Nodes, "me": n.number, "zone": "east", "failure_domains": []string{"east"}, "kinds": []string{usualKind},
			"report":      object{"fields": []string{"util", "inflight"}},
			"family_info": object{"size_cores": []float64{64}, "size_mb": []float64{64000}, "width_by_class": []int{1}},
			"bounds": object{"cancel": true, "probes": true, "send_cap": 3, "connect_timeout_ns": 250000000,
				"max_streams": 100, "retry_after": true, "max_retry_after_ns": 500000000},
			"contract": object{"cold_share": 0.5, "cold_ns": 2000000000, "overload_factor": 4, "tip_after_ns": 1000000000},
			"services": []object{{"name": "lookup", "effect": "free", "promise_ns": 1000000000, "hard_limit_ns": 3000000000,
				"late_worth": 0.1}}}})
	if err != nil {
		return err
	}
	if r.ofOtherKind(n) {
		config = bytes.ReplaceAll(config, []byte(strconv.Quote(usualKind)), []byte(strconv.Quote(otherKind)))
	}
	if err := os.WriteFile(filepath.Join(n.dir, "config.json"), config, 0o600); err != nil {
		return err
	}
	var council []string
	for _, m := range r.nodes[:r.Council] {
		council = append(council, fmt.Sprintf("%s = %q", m.name, m.fleet))
	}
	var names []string
	for i := range r.Works {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("work-%d", i)))
	}
	if r.Digest {
		names = append(names, `"digest"`)
	}
	hcl := fmt.Sprintf("log {\n  burst = 1000\n}\nfleet {\n  name = \"rig\"\n  listen = %q\n  key_file = %q\n  folder = %q\n  council = { %s }\n  works = [%s]\n  lease = %q\n}\n",
		n.fleet, filepath.Join(r.dir, "key"), filepath.Join(n.dir, "fleet"), strings.Join(council, ", "), strings.Join(names, ", "), r.Lease)
	if r.AtOnce > 0 {
		hook := filepath.Join(r.dir, "hook")
		hcl += fmt.Sprintf("maintenance {\n  drain = %q\n  work = %q\n  back = %q\n  within = \"20s\"\n  prepare = \"1s\"\n}\n", hook, hook, hook)
	}
	if r.Config {
		hcl += "config {\n  wait = \"1s\"\n}\n"
	}
	if err := os.WriteFile(filepath.Join(n.dir, "operator.hcl"), []byte(hcl), 0o600); err != nil {
		return err
	}
	return r.lever(n, 1, 0)
}

// lever sets a node's clock and disk.
func (r *rig) lever(n *machineProc, rate, diskMS float64) error {
	b := binary.BigEndian.AppendUint64(nil, math.Float64bits(rate))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(diskMS))
	f, err := os.OpenFile(filepath.Join(n.dir, "clock"), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteAt(b, 0)
	return err
}

func (r *rig) start(n *machineProc) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || r.ctx.Err() != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.markStart(n, log)
	cmd := exec.Command(r.Mintkeel, "serve", "--config", filepath.Join(n.dir, "config.json"), "--operator",
		filepath.Join(n.dir, "operator.hcl"))
	cmd.Env = append(os.Environ(), "MINTKEEL_LAB_SWITCH="+r.sw.At(n.number), "MINTKEEL_LAB_CLOCK="+filepath.Join(n.dir, "clock"),
		"MINTKEEL_LAB_ENDPOINT="+r.endpoint.Addr().String())
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the rig itself is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	n.cmd, n.gone, n.stopped = cmd, gone, false
	go func() {
		cmd.Wait()
		close(gone)
		n.mu.Lock()
		crashed := n.cmd == cmd
		if crashed {
			n.cmd = nil
		}
		n.mu.Unlock()
		if crashed && r.ctx.Err() == nil {
			tail, _ := os.ReadFile(filepath.Join(n.dir, "log"))
			r.broke("%s ended by itself: %s", n.name, tail[max(0, len(tail)-1500):])
		}
	}()
	return nil
}

func (r *rig) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Broken == "" {
		r.report.Broken = fmt.Sprintf("%.2f s: ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	}
}

func (r *rig) kill(n *machineProc) {
	n.mu.Lock()
	cmd, gone := n.cmd, n.gone
	n.cmd = nil
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-gone
	}
}

func (r *rig) close() {
	for _, n := range r.nodes {
		r.kill(n)
	}
	if r.sw != nil {
		r.sw.Close()
	}
	if r.endpoint != nil {
		r.endpoint.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
}

// out says that a node is not to be counted on for a while.
func (n *machineProc) out(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.down) {
		n.down = until
	}
}

func (n *machineProc) isOut(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Before(n.down) || n.cmd == nil || n.stopped
}

// changeFolder notes that the folder is another one from now on.
func (n *machineProc) changeFolder() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.folder++
}

func (r *rig) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *rig) play() {
	for _, f := range r.Script {
		if !r.sleep(time.Until(r.began.Add(time.Duration(f.At * 1e6)))) {
			return
		}
		r.tell("%v", f)
		r.group.Go(func() { r.fault(f) })
	}
	r.sleep(time.Until(r.began.Add(time.Duration(r.Script.End() * 1e6))))
}

const startTime = 1500 * time.Millisecond // from a start until a node must answer all it takes

func (r *rig) fault(f Fault) {
	n := r.nodes[f.A%len(r.nodes)]
	long := time.Duration(f.For * 1e6)
	until := time.Now().Add(long)
	again := func(n *machineProc, after time.Duration, change func()) {
		n.out(time.Now().Add(after + startTime + 3*time.Second))
		r.kill(n)
		if change != nil {
			change()
		}
		r.sleep(after)
		if err := r.start(n); err != nil {
			r.broke("%s does not start: %v", n.name, err)
		}
	}
	switch f.Kind {
	case Kill:
		again(n, long, nil)
	case Empty:
		again(n, long, func() {
			os.RemoveAll(filepath.Join(n.dir, "fleet"))
			n.changeFolder()
		})
	case OldCopy:
		again(n, long, func() {
			n.mu.Lock()
			copies := slices.Clone(n.copies)
			n.mu.Unlock()
			if len(copies) > 0 {
				os.RemoveAll(filepath.Join(n.dir, "fleet"))
				os.CopyFS(filepath.Join(n.dir, "fleet"), os.DirFS(copies[max(0, len(copies)-1-int(f.Amount/500))]))
				n.changeFolder()
			}
		})
	case Pause:
		n.mu.Lock()
		cmd := n.cmd
		n.stopped = true
		n.mu.Unlock()
		n.out(until.Add(4 * time.Second))
		if cmd != nil {
			cmd.Process.Signal(syscall.SIGSTOP)
			r.sleep(long)
			cmd.Process.Signal(syscall.SIGCONT)
		}
		n.mu.Lock()
		n.stopped = false
		n.mu.Unlock()
	case Cut:
		r.sw.Block(f.A, f.B, until)
	case CutBoth:
		r.sw.Block(f.A, f.B, until)
		r.sw.Block(f.B, f.A, until)
	case Isolate, Deaf, Mute:
		for i := range r.nodes {
			if f.Kind != Mute {
				r.sw.Block(i, f.A, until)
			}
			if f.Kind != Deaf {
				r.sw.Block(f.A, i, until)
			}
		}
	case Split:
		for i := range r.nodes {
			for j := range r.nodes {
				if (i < f.N) != (j < f.N) {
					r.sw.Block(i, j, until)
				}
			}
		}
	case Drop:
		r.sw.Drop(f.Amount, until)
	case Delay:
		r.sw.Delay(time.Duration(f.Amount*1e6), until)
	case Slow:
		r.lever(n, 1, f.Amount)
		r.sleep(long)
		r.lever(n, 1, 0)
	case Full:
		r.lever(n, 1, -1)
		r.sleep(long)
		r.lever(n, 1, 0)
	case Clock:
		r.lever(n, f.Amount, 0)
	case KillAll:
		var all sync.WaitGroup
		for _, n := range r.nodes {
			if n.number != f.N {
				all.Go(func() { again(n, long, nil) })
			}
		}
		all.Wait()
	case Loop:
		for end := time.Now().Add(long); time.Now().Before(end) && r.ctx.Err() == nil; {
			again(n, 300*time.Millisecond, nil)
			r.sleep(700 * time.Millisecond)
		}
	case HandOver:
		ctx, cancel := context.WithTimeout(r.ctx, 2*time.Second)
		defer cancel()
		fleet.Call(ctx, filepath.Join(n.dir, "fleet"), fleet.Request{Do: "handover", Work: fmt.Sprintf("work-%d", f.N%r.Works), To: r.nodes[f.B].name})
	default:
		r.configFault(f)
	}
}

// copyFolders keeps copies of the folders, for those that get an old one back.
func (r *rig) copyFolders() {
	for i := 0; r.sleep(500 * time.Millisecond); i++ {
		copied := r.nodes[:r.Council]
		if r.Config {
			copied = r.nodes
		}
		for _, n := range copied {
			if n.isOut(time.Now()) {
				continue
			}
			to := filepath.Join(r.dir, fmt.Sprintf("copy-%s-%d", n.name, i))
			if copyFolder(filepath.Join(n.dir, "fleet"), to) == nil {
				n.mu.Lock()
				n.copies = append(n.copies, to)
				n.mu.Unlock()
			}
		}
	}
}

func copyRecords(from, to string) error {
	files, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	if err := os.Mkdir(to, 0o700); err != nil {
		return err
	}
	for _, f := range files {
		if !strings.HasPrefix(f.Name(), "records-") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, f.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, f.Name()), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// serveEndpoint is the endpoint outside: it remembers the highest epoch of each work, and refuses lower ones.
func (r *rig) serveEndpoint() {
	gate := lease.NewFencingCheck(nil)
	last := map[lease.Name]struct {
		epoch lease.Token
		at    time.Time
	}{}
	for {
		conn, err := r.endpoint.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			defer context.AfterFunc(r.ctx, func() { conn.Close() })()
			in := bufio.NewReader(conn)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				words := strings.Fields(line)
				if len(words) != 4 {
					return
				}
				epoch, _ := strconv.ParseUint(words[1], 10, 64)
				id, _ := strconv.ParseUint(words[2], 10, 64)
				claim := lease.Grant{Name: lease.Name(words[0]), Token: lease.Token(epoch)}
				from, _ := strconv.Atoi(strings.TrimPrefix(words[3], "n"))
				r.mu.Lock()
				ok, _ := gate.Pass(claim.Name, claim.Token)
				if ok {
					now := time.Now()
					if was := last[claim.Name]; was.epoch != claim.Token && was.epoch != 0 {
						r.report.Free = append(r.report.Free, now.Sub(was.at))
					}
					last[claim.Name] = struct {
						epoch lease.Token
						at    time.Time
					}{claim.Token, now}
					r.report.Effects++
					r.judge.took("endpoint", from, node.Effect{Claim: claim, ID: id}, float64(now.Sub(r.began))/1e6)
				} else {
					r.report.Refused++
				}
				r.mu.Unlock()
				reply := "ok\n"
				if !ok {
					reply = "refused\n"
				}
				if _, err := conn.Write([]byte(reply)); err != nil {
					return
				}
			}
		}()
	}
}

var digestLine = regexp.MustCompile(`fleet: the digest.*believed=[1-9]`)

// read judges what other controllers wrote down that they took.
func (r *rig) read() {
	for _, n := range r.nodes {
		log, _ := os.ReadFile(filepath.Join(n.dir, "log"))
		r.report.Digests += len(digestLine.FindAll(log, -1))
		text, err := os.ReadFile(filepath.Join(n.dir, "fleet-taken"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			words := strings.Fields(line)
			if len(words) != 5 || !strings.HasSuffix(line, "\n") {
				continue // it was killed as it wrote
			}
			at, _ := strconv.ParseInt(words[0], 10, 64)
			epoch, _ := strconv.ParseUint(words[2], 10, 64)
			from, _ := strconv.Atoi(strings.TrimPrefix(words[4], "n"))
			claim := lease.Grant{Name: lease.Name(words[1]), Token: lease.Token(epoch)}
			r.report.Taken++
			r.mu.Lock()
			if was, ok := r.judge.owner[claim]; ok && was != from {
				r.judge.fail(float64(time.Unix(0, at).Sub(r.began))/1e6, "%s had effects of n%d and n%d in epoch %d", claim.Name, was, from, epoch)
			}
			r.judge.owner[claim] = from
			r.mu.Unlock()
		}
	}
}

// clients has commands asked of a node, and counts their answers. A node that was killed or stood still meanwhile owes none.
func (r *rig) clients(n *machineProc) {
	rng := rand.New(rand.NewSource(r.Seed*31 + int64(n.number)))
	r.sleep(startTime)
	var group sync.WaitGroup
	defer group.Wait()
	for r.sleep(time.Duration(rng.ExpFloat64() / r.Rate * 1e9)) {
		id, group_ := rng.Uint64(), rng.Intn(8)
		began := time.Now()
		if n.isOut(began) {
			continue
		}
		group.Go(func() {
			const limit = 1500 * time.Millisecond
			c, err := standin.Dial(context.Background(), n.serve, time.Second)
			verdict := standin.Lost
			if err == nil {
				verdict, _ = c.Query(fmt.Sprintf("verb=lookup,txn=%016x,cpu=5.0", id), fmt.Sprintf("SELECT WORK(5) FROM sales_%d.orders", group_), limit)
				c.Close()
			}
			n.mu.Lock()
			out := n.cmd == nil || n.stopped || began.Before(n.down)
			n.mu.Unlock()
			r.mu.Lock()
			defer r.mu.Unlock()
			if out || r.ctx.Err() != nil {
				return
			}
			r.report.Commands++
			switch verdict {
			case standin.Answered:
				r.report.Answered++
			case standin.Shed:
				r.report.Shed++
				r.tell("%s sheds", n.name)
			case standin.Failed:
				r.report.Failed++
			case standin.Lost:
				r.report.Lost++
			}
		})
	}
}

// settle waits until all is well again.
func (r *rig) settle() {
	began, why := time.Now(), ""
	for time.Since(began) < r.Settle && r.ctx.Err() == nil {
		if why = r.whole(); why == "" {
			r.mu.Lock()
			r.report.Whole = time.Since(began)
			r.mu.Unlock()
			r.tell("whole after %v", time.Since(began).Round(time.Millisecond))
			return
		}
		r.sleep(200 * time.Millisecond)
	}
	if r.ctx.Err() == nil {
		r.broke("not whole %v after the last fault: %s", r.Settle, why)
	}
}

func (r *rig) whole() string {
	owners := map[string]int{}
	for _, n := range r.nodes {
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		s, err := fleet.Call(ctx, filepath.Join(n.dir, "fleet"), fleet.Request{Do: "status"})
		cancel()
		if err != nil {
			return fmt.Sprintf("%s: %v", n.name, err)
		}
		alive := 0
		for _, m := range s.Members {
			if m.State == "alive" {
				alive++
			}
		}
		if alive != r.Nodes {
			return fmt.Sprintf("%s takes %d of %d as alive", n.name, alive, r.Nodes)
		}
		for _, w := range s.Holds {
			owners[w]++
		}
		if n.number < r.Council && s.Council.Standing != "voting" {
			return fmt.Sprintf("%s is %s in the council: %s", n.name, s.Council.Standing, s.Council.Why)
		}
	}
	for i := range r.Works {
		if name := fmt.Sprintf("work-%d", i); owners[name] != 1 {
			return fmt.Sprintf("%s has %d owners", name, owners[name])
		}
	}
	return ""
}
