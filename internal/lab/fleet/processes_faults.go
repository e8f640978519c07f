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

func (r *rig) playScript() {
	for _, f := range r.Script {
		if !r.sleep(time.Until(r.began.Add(time.Duration(f.At * 1e6)))) {
			return
		}
		r.logf("%v", f)
		r.faults.Go(func() { r.fault(f) })
	}
	r.sleep(time.Until(r.began.Add(time.Duration(r.Script.End() * 1e6))))
}

// fault causes a fault, and returns when it is over or the switch has been set to end it.
func (r *rig) fault(f Fault) {
	n := r.nodes[f.A%len(r.nodes)]
	duration := time.Duration(f.For * 1e6)
	switch f.Kind {
	case Kill:
		r.killFor(n, duration, nil)
	case EmptyFolder:
		r.killFor(n, duration, func() { r.emptyFolder(n) })
	case OldCopy:
		r.killFor(n, duration, func() { r.putBackCopy(n, f.Amount) })
	case Pause:
		r.pause(n, duration)
	case SlowDisk:
		r.setDiskFor(n, f.Amount, duration)
	case DiskFull:
		r.setDiskFor(n, diskFull, duration)
	case ClockRate:
		r.setClockAndDisk(n, f.Amount, 0)
	case KillAll:
		r.killAll(f.N, duration)
	case RestartLoop:
		r.killInLoop(n, duration)
	case HandOver:
		r.handOver(n, f)
	default:
		if !r.networkFault(f, time.Now().Add(duration)) {
			r.configFault(f)
		}
	}
}

// diskFull is the disk delay that stands for a full disk.
const diskFull = -1

// killDowntime kills a daemon, changes its folder, and starts it again after a while.
func (r *rig) killFor(n *machineProc, duration time.Duration, change func()) {
	const rediscovery = 3 * time.Second // until other controllers consider it alive again
	n.markOut(time.Now().Add(duration + startTime + rediscovery))
	r.kill(n)
	if change != nil {
		change()
	}
	r.sleep(duration)
	if err := r.start(n); err != nil {
		r.fail("%s does not start: %v", n.name, err)
	}
}

func (r *rig) emptyFolder(n *machineProc) {
	os.RemoveAll(filepath.Join(n.dir, "fleet"))
	n.changeFolder()
}

// putBackCopy replaces a folder by a copy that is age ms old, or by the oldest copy.
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

// pause suspends a daemon's process for a while.
func (r *rig) pause(n *machineProc, duration time.Duration) {
	const rediscovery = 4 * time.Second // until other controllers consider it alive again
	n.mu.Lock()
	cmd := n.cmd
	n.stopped = true
	n.mu.Unlock()
	n.markOut(time.Now().Add(duration + rediscovery))
	if cmd != nil {
		cmd.Process.Signal(syscall.SIGSTOP)
		r.sleep(duration)
		cmd.Process.Signal(syscall.SIGCONT)
	}
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
}

func (r *rig) setDiskFor(n *machineProc, diskMS float64, duration time.Duration) {
	r.setClockAndDisk(n, 1, diskMS)
	r.sleep(duration)
	r.setClockAndDisk(n, 1, 0)
}

// killAll kills all daemons but one at the same time, and starts them again after a while.
func (r *rig) killAll(spared int, duration time.Duration) {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		if n.number != spared {
			all.Go(func() { r.killFor(n, duration, nil) })
		}
	}
	all.Wait()
}

// killInLoop kills and restarts a daemon repeatedly.
func (r *rig) killInLoop(n *machineProc, duration time.Duration) {
	const down, up = 300 * time.Millisecond, 700 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end) && r.ctx.Err() == nil; {
		r.killFor(n, down, nil)
		r.sleep(up)
	}
}

// handOver sends a controller an operator's request to hand a lease over to another controller.
func (r *rig) handOver(n *machineProc, f Fault) {
	const within = 2 * time.Second
	ctx, cancel := context.WithTimeout(r.ctx, within)
	defer cancel()
	request := control.Request{Action: "handover", Lease: fmt.Sprintf("work-%d", f.N%r.Leases), To: r.nodes[f.B].name}
	control.Call(ctx, filepath.Join(n.dir, "fleet"), request)
}

// networkFault causes a fault of the network until a time; it reports false for other faults.
func (r *rig) networkFault(f Fault, until time.Time) bool {
	switch f.Kind {
	case Cut:
		r.sw.Block(f.A, f.B, until)
	case CutBoth:
		r.sw.Block(f.A, f.B, until)
		r.sw.Block(f.B, f.A, until)
	case Isolate, CutInbound, CutOutbound:
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

// isolate blocks a node's inbound messages, its outbound messages, or both, by the kind of fault.
func (r *rig) isolate(f Fault, until time.Time) {
	for i := range r.nodes {
		if f.Kind != CutOutbound {
			r.sw.Block(i, f.A, until)
		}
		if f.Kind != CutInbound {
			r.sw.Block(f.A, i, until)
		}
	}
}

// split partitions the nodes below a number from the others.
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

// copyFolders copies the folders at intervals, for the fault OldCopy.
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
