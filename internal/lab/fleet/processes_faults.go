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

	"mintkeel/internal/fleet"
)

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
