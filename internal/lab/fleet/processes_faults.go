package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mintkeel/internal/fleet/control"
)

func (r *rig) play() {
	for _, f := range r.Script {
		if !r.sleep(time.Until(r.began.Add(time.Duration(f.At * 1e6)))) {
			return
		}
		r.tell("%v", f)
		r.faults.Go(func() { r.fault(f) })
	}
	r.sleep(time.Until(r.began.Add(time.Duration(r.Script.End() * 1e6))))
}

// fault has something break, and returns when it is over.
func (r *rig) fault(f Fault) {
	n := r.nodes[f.A%len(r.nodes)]
	long := time.Duration(f.For * 1e6)
	switch f.Kind {
	case Kill:
		r.killFor(n, long, nil)
	case Empty:
		r.killFor(n, long, func() { r.emptyFolder(n) })
	case OldCopy:
		r.killFor(n, long, func() { r.putBackCopy(n, f.Amount) })
	case Pause:
		r.pause(n, long)
	case Slow:
		r.setDiskFor(n, f.Amount, long)
	case Full:
		r.setDiskFor(n, diskFull, long)
	case Clock:
		r.lever(n, f.Amount, 0)
	case KillAll:
		r.killAll(f.N, long)
	case Loop:
		r.killInLoop(n, long)
	case HandOver:
		r.handOver(n, f)
	default:
		if !r.networkFault(f, time.Now().Add(long)) {
			r.configFault(f)
		}
	}
}

// diskFull is the lever's value of a disk that takes nothing.
const diskFull = -1

// killFor kills a daemon, changes its folder, and starts it again after a while.
func (r *rig) killFor(n *machineProc, long time.Duration, change func()) {
	const known = 3 * time.Second // until others take it for alive again
	n.out(time.Now().Add(long + startTime + known))
	r.kill(n)
	if change != nil {
		change()
	}
	r.sleep(long)
	if err := r.start(n); err != nil {
		r.broke("%s does not start: %v", n.name, err)
	}
}

func (r *rig) emptyFolder(n *machineProc) {
	os.RemoveAll(filepath.Join(n.dir, "fleet"))
	n.changeFolder()
}

// putBackCopy puts an older copy of a folder back, of so many ms ago.
func (r *rig) putBackCopy(n *machineProc, age float64) {
	n.mu.Lock()
	copies := slices.Clone(n.copies)
	n.mu.Unlock()
	if len(copies) == 0 {
		return
	}
	chosen := max(0, len(copies)-1-int(age/copyEach))
	os.RemoveAll(filepath.Join(n.dir, "fleet"))
	os.CopyFS(filepath.Join(n.dir, "fleet"), os.DirFS(copies[chosen]))
	n.changeFolder()
}

// pause has a daemon stand still for a while.
func (r *rig) pause(n *machineProc, long time.Duration) {
	const known = 4 * time.Second // until others take it for alive again
	n.mu.Lock()
	cmd := n.cmd
	n.stopped = true
	n.mu.Unlock()
	n.out(time.Now().Add(long + known))
	if cmd != nil {
		cmd.Process.Signal(syscall.SIGSTOP)
		r.sleep(long)
		cmd.Process.Signal(syscall.SIGCONT)
	}
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
}

func (r *rig) setDiskFor(n *machineProc, diskMS float64, long time.Duration) {
	r.lever(n, 1, diskMS)
	r.sleep(long)
	r.lever(n, 1, 0)
}

// killAll kills all daemons but one at once.
func (r *rig) killAll(spared int, long time.Duration) {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		if n.number != spared {
			all.Go(func() { r.killFor(n, long, nil) })
		}
	}
	all.Wait()
}

// killInLoop kills a daemon again and again.
func (r *rig) killInLoop(n *machineProc, long time.Duration) {
	const down, up = 300 * time.Millisecond, 700 * time.Millisecond
	for end := time.Now().Add(long); time.Now().Before(end) && r.ctx.Err() == nil; {
		r.killFor(n, down, nil)
		r.sleep(up)
	}
}

// handOver asks a controller to have a lease handed over, by an operator's command.
func (r *rig) handOver(n *machineProc, f Fault) {
	const within = 2 * time.Second
	ctx, cancel := context.WithTimeout(r.ctx, within)
	defer cancel()
	request := control.Request{Action: "handover", Lease: fmt.Sprintf("work-%d", f.N%r.Leases), To: r.nodes[f.B].name}
	control.Call(ctx, filepath.Join(n.dir, "fleet"), request)
}

// networkFault has the switch do something until a time, and tells whether the fault is one of the network.
func (r *rig) networkFault(f Fault, until time.Time) bool {
	switch f.Kind {
	case Cut:
		r.sw.Block(f.A, f.B, until)
	case CutBoth:
		r.sw.Block(f.A, f.B, until)
		r.sw.Block(f.B, f.A, until)
	case Isolate, Deaf, Mute:
		r.isolate(f, until)
	case Split:
		r.split(f.N, until)
	case Drop:
		r.sw.Drop(f.Amount, until)
	case Delay:
		r.sw.Delay(time.Duration(f.Amount*1e6), until)
	default:
		return false
	}
	return true
}

// isolate has one neither hear nor be heard, or only one of both.
func (r *rig) isolate(f Fault, until time.Time) {
	for i := range r.nodes {
		if f.Kind != Mute {
			r.sw.Block(i, f.A, until)
		}
		if f.Kind != Deaf {
			r.sw.Block(f.A, i, until)
		}
	}
}

// split parts the first ones from the rest.
func (r *rig) split(first int, until time.Time) {
	for i := range r.nodes {
		for j := range r.nodes {
			if (i < first) != (j < first) {
				r.sw.Block(i, j, until)
			}
		}
	}
}

// copyEach is the time between two copies of a folder, in ms.
const copyEach = 500

// copyFolders keeps copies of the folders, for those that get an old one back.
func (r *rig) copyFolders() {
	for i := 0; r.sleep(copyEach * time.Millisecond); i++ {
		copied := r.nodes[:r.Voters]
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
