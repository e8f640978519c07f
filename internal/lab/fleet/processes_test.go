package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Histories of daemons as processes, each with a combination of faults that drawn scripts rarely have. `mintkeel-lab fleet`
// plays drawn ones.
func TestProcesses(t *testing.T) {
	if testing.Short() || historiesPlayed < 50 {
		t.Skip("daemons as processes are played once, without the race detector")
	}
	daemon := filepath.Join(t.TempDir(), "mintkeel")
	if out, err := exec.Command("go", "build", "-tags", "mintkeel_lab", "-o", daemon, "mintkeel/cmd/mintkeel").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	scene := func(faults ...Fault) Scene {
		return Scene{Mintkeel: daemon, Seed: 5, Nodes: 4, Voters: 3, Leases: 3, Lease: 2 * time.Second, Rate: 5, Settle: time.Minute, Script: faults}
	}
	var group sync.WaitGroup
	digestRestored := scene(Fault{At: 15000, For: 500, Kind: Kill, A: 3}, Fault{At: 20000, Kind: ClockRate, A: 2, Amount: 1})
	digestRestored.Digest = true
	maintenance := scene(Fault{At: 9000, For: 1000, Kind: Kill, A: 0}, Fault{At: 14000, For: 4000, Kind: Pause, A: 1}, Fault{At: 20000, For: 1000, Kind: Kill, A: 2})
	maintenance.Engines, maintenance.MaxUnavailable = 5, 1
	withdrawn := scene(Fault{At: 5000, Kind: ClockRate, A: 3, Amount: 1})
	withdrawn.Engines, withdrawn.MaxUnavailable, withdrawn.Withdraw = 8, 1, true
	halves := scene(Fault{At: 9000, For: 800, Kind: Kill, A: 0}, Fault{At: 9000, For: 800, Kind: Kill, A: 3}, Fault{At: 14000, For: 7000, Kind: Split, N: 2})
	halves.Engines, halves.MaxUnavailable = 4, 1
	for name, s := range map[string]Scene{
		"a holder is paused for longer than its lease and continues": scene(Fault{At: 6000, For: 7000, Kind: Pause, A: 0},
			Fault{At: 6000, For: 7000, Kind: Pause, A: 1}),
		"all but one restart at once, and again": scene(Fault{At: 6000, For: 500, Kind: KillAll, N: 3}, Fault{At: 8000, For: 500, Kind: KillAll, N: 3}),
		"a member's folder is lost, another's is replaced by an old copy": scene(Fault{At: 6000, For: 500, Kind: EmptyFolder, A: 0},
			Fault{At: 14000, For: 500, Kind: OldCopy, A: 1, Amount: 3000}),
		"a disk is full, then slow": scene(Fault{At: 6000, For: 3000, Kind: DiskFull, A: 0}, Fault{At: 12000, For: 5000, Kind: SlowDisk, A: 1, Amount: 5000}),
		"a voter's outbound messages are blocked, another's inbound ones, and their clocks are fast": scene(Fault{At: 5000, Kind: ClockRate, A: 0, Amount: 1.2},
			Fault{At: 5000, Kind: ClockRate, A: 1, Amount: 1.2}, Fault{At: 7000, For: 6000, Kind: CutOutbound, A: 0}, Fault{At: 14000, For: 6000, Kind: CutInbound, A: 1}),
		"all engines are taken out once, while controllers are killed and paused":               maintenance,
		"a plan is withdrawn in the middle":                                                     withdrawn,
		"half of the controllers restart, then the fleet is split, while engines are taken out": halves,
		"a restarted controller restores the fleet's digest":                                    digestRestored,
	} {
		group.Go(func() {
			var logged []string
			s.Log = func(line string) { logged = append(logged, line) }
			r, err := PlayProcesses(ctx, s)
			switch {
			case err != nil:
				t.Errorf("%s: %v", name, err)
			case r.Broken != "":
				t.Errorf("%s: %s\n%s", name, r.Broken, strings.Join(logged, "\n"))
			case r.Effects < 50 || r.PeerEffects < 20 || r.Answered < 50:
				t.Errorf("%s: want at least 50 effects, 20 effects at peers and 50 answers, got %+v", name, r)
			case s.MaxUnavailable > 0 && r.Shed*20 > r.Commands:
				t.Errorf("%s: %d of %d commands were shed, want a twentieth at most", name, r.Shed, r.Commands)
			case s.Withdraw && r.Returned >= 1 && r.Returned < s.Engines:
			case s.MaxUnavailable > 0 && (r.Returned != s.Engines || r.MaxOut != s.MaxUnavailable):
				t.Errorf("%s: %d engines are back, want all; %d were out at once, want the most that is allowed", name, r.Returned, r.MaxOut)
			case s.Digest && r.Digests == 0:
				t.Errorf("%s: no start restored the digest, want at least one", name)
			}
		})
	}
	group.Wait()
}

// A drawn history of daemons that agree on a configuration, then a put while bytes are corrupted in transit, and a version
// that one controller can't use. `mintkeel-lab fleet --config --processes` plays more.
func TestConfigurationProcesses(t *testing.T) {
	if testing.Short() || historiesPlayed < 50 {
		t.Skip("daemons as processes are played once, without the race detector")
	}
	daemon := filepath.Join(t.TempDir(), "mintkeel")
	if out, err := exec.Command("go", "build", "-tags", "mintkeel_lab", "-o", daemon, "mintkeel/cmd/mintkeel").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	var logged []string
	s := ConfigurationScene(daemon, 3, 4, 4)
	end := s.Script.End()
	s.Script = append(s.Script, Fault{At: end + 500, Kind: Corrupt, For: 2500}, Fault{At: end + 1000, Kind: Put, A: 1, B: 1, Amount: 100 << 10, N: -1})
	s.Log = func(line string) { logged = append(logged, line) }
	r, err := PlayProcesses(ctx, s)
	if err != nil || r.Broken != "" {
		t.Fatalf("%v, %s\n%s", err, r.Broken, strings.Join(logged, "\n"))
	}
	if r.ConfigAgreed == 0 || r.ConfigApplied < 4*r.ConfigAgreed/2 || r.ConfigStatuses == 0 || r.ConfigRefused == 0 {
		t.Errorf("want agreed versions, at least two applications for each, statuses and refusals, got %+v", r)
	}
}
