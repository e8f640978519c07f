package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/lab/standin"
)

// Scene is a history of processes: daemons on loopback with stand-ins for engines and the feed, a switch between each pair
// of daemons, clients, and an endpoint that receives the effects of the lease holders.
type Scene struct {
	Mintkeel       string // a daemon built with the tag mintkeel_lab
	Seed           int64
	Nodes          int
	Voters         int
	Leases         int
	Lease          time.Duration
	Rate           float64 // commands a second at each node
	Digest         bool    // the fleet's digest has a lease
	Engines        int     // stand-ins; 0: two
	Withdraw       bool    // the maintenance plan is withdrawn when the first engine is back
	MaxUnavailable int     // engines that a plan for all engines may have out at once; 0: there is no maintenance
	Config         bool    // the daemons agree on a configuration
	Script         Script
	Settle         time.Duration
	Log            func(string)
}

// UsualScene returns a scene with a script drawn from a seed.
func UsualScene(mintkeel string, seed int64, nodes, faults int) Scene {
	rng := rand.New(rand.NewSource(seed))
	s := Scene{Mintkeel: mintkeel, Seed: seed, Nodes: nodes, Voters: 3, Leases: 3, Lease: 2 * time.Second, Rate: 5,
		Settle: 60 * time.Second}
	if nodes >= 5 && rng.Intn(2) == 0 {
		s.Voters = 5
	}
	s.Script = DrawScript(rng, nodes, s.Voters, faults, 12000)
	for i := range s.Script { // histories run in real time: faults are kept short
		s.Script[i].For = min(s.Script[i].For, 8000)
		s.Script[i].Amount = min(s.Script[i].Amount, 3000)
		if s.Script[i].Kind == ClockJump {
			s.Script[i].Kind = Pause
		}
	}
	return s
}

// Report is the result of a history.
type Report struct {
	Broken      string // the first violation; empty: none
	Effects     int    // effects that the endpoint accepted
	Refused     int    // effects that the endpoint refused by their token
	PeerEffects int    // effects that other controllers accepted
	Commands    int
	Answered    int
	Shed        int
	Failed      int
	Lost        int // commands without a final answer at nodes that ran
	Digests     int // starts at which some of the fleet's digest was restored

	Returned, MaxOut int // engines that were out and are back; engines out at once, at most
	Maintained       time.Duration
	Recovery         time.Duration

	ConfigProposals, ConfigAgreed, ConfigApplied, ConfigRefused, ConfigStatuses int
	ConfigCatchUp                                                               time.Duration // from the recovery until the newest version was in force at all
	ConfigAfterPut                                                              time.Duration

	HolderGaps []time.Duration // between the last effect of a holder and the first of the next
}

// rig is a scene that is being played.
type rig struct {
	Scene
	dir      string
	engines  []*standin.Engine
	feed     *standin.Feed
	nodes    []*machineProc
	sw       *Switch
	endpoint net.Listener
	checker  *Checker
	report   Report
	mu       sync.Mutex
	began    time.Time
	ctx      context.Context
	group    sync.WaitGroup
	faults   sync.WaitGroup // of the script; requests to a paused controller may end late
	platform *platform
	config   *configRig // nil: the daemons have no configuration to agree on
}

// PlayProcesses plays a scene, and ends all its processes.
func PlayProcesses(ctx context.Context, s Scene) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	r := &rig{Scene: s, dir: dir, checker: NewChecker(), ctx: ctx, began: time.Now()}
	defer r.close()
	if s.Config {
		r.initConfig()
	}
	if err := r.open(); err != nil {
		return r.report, err
	}
	for _, n := range r.nodes {
		r.group.Go(func() { r.sendCommands(n) })
	}
	r.group.Go(r.copyFolders)
	if r.MaxUnavailable > 0 {
		r.submitPlan()
	}
	r.playScript()
	r.settle()
	if r.config != nil {
		r.settleConfig()
	}
	if r.Withdraw {
		r.awaitWithdrawal()
	} else if r.MaxUnavailable > 0 {
		r.awaitMaintenance()
	}
	cancel()
	r.faults.Wait()
	r.group.Wait()
	r.checkAccepted()
	if r.config != nil {
		r.checkConfigEvents()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Broken == "" {
		r.report.Broken = r.checker.Broken
	}
	if r.report.Broken == "" && r.report.Lost > 0 {
		r.report.Broken = fmt.Sprintf("%d commands had no final answer at controllers that ran", r.report.Lost)
	}
	return r.report, nil
}

func (r *rig) logf(format string, args ...any) {
	if r.Log != nil {
		r.Log(fmt.Sprintf("%6.2f s ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
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
	if r.MaxUnavailable > 0 {
		if err := r.startPlatform(); err != nil {
			return err
		}
	}
	r.group.Go(r.serveEndpoint)
	var addrs []string
	ip := ownAddr()
	for i := range r.Nodes {
		n := &machineProc{number: i, name: fmt.Sprintf("n%d", i), dir: filepath.Join(r.dir, fmt.Sprintf("n%d", i))}
		n.serveAddr, n.fleetAddr = fmt.Sprintf("%s:%d", ip, 20000+i), fmt.Sprintf("%s:%d", ip, 21000+i)
		if err := os.Mkdir(n.dir, 0o700); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		addrs = append(addrs, n.fleetAddr)
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

func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Broken == "" {
		r.report.Broken = fmt.Sprintf("%.2f s: ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
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

func (r *rig) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startTime is how long after its start a node must answer every command that it accepts.
const startTime = 1500 * time.Millisecond

// digestLine matches the log line of a start at which some of the digest was restored.
var digestLine = regexp.MustCompile(`restored statistics from fleet digest.*believed=[1-9]`)
