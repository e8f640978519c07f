package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/lab/standin"
)

// platform is where the engines of a scene are worked on: it stands in for the installation's programs and its platform, which
// drain by the list, and keeps the checker's own count of which are out.
type platform struct {
	rig    *rig
	mu     sync.Mutex
	out    map[string]string // engine by its step: "drain", "work"
	done   map[string]int    // times that one came back
	maxOut int
}

// hookScript is the program that the operator's file names: it passes its three words on to the yard.
const hookScript = "#!/bin/bash\nexec 3<>/dev/tcp/%s/%s || exit 1\necho \"$1 $2 $3\" >&3\nread -r -t 20 word <&3\n[ \"$word\" = ok ]\n"

func (r *rig) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p := &platform{rig: r, out: map[string]string{}, done: map[string]int{}}
	r.platform = p
	context.AfterFunc(r.ctx, func() { listener.Close() })
	host, port, _ := net.SplitHostPort(listener.Addr().String())
	if err := os.WriteFile(filepath.Join(r.dir, "hook"), fmt.Appendf(nil, hookScript, host, port), 0o700); err != nil {
		return err
	}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(20 * time.Second))
				line, err := bufio.NewReader(conn).ReadString('\n')
				words := strings.Fields(line)
				if err == nil && len(words) == 3 && p.runHook(words[0], words[1]) {
					conn.Write([]byte("ok\n"))
				} else {
					conn.Write([]byte("no\n"))
				}
			}()
		}
	})
	return nil
}

// runHook does what the installation's program asks. Each may be asked twice, or for what is over: then it is done already.
func (p *platform) runHook(step, id string) bool {
	n, err := strconv.ParseUint(strings.TrimPrefix(id, "s-"), 16, 32)
	if err != nil || n == 0 || int(n) > len(p.rig.engines) {
		return false
	}
	e := p.rig.engines[n-1]
	p.mu.Lock()
	current := p.out[id]
	p.mu.Unlock()
	switch step {
	case "drain":
		if current != "" {
			return true
		}
		p.mu.Lock()
		p.out[id] = "drain"
		if p.maxOut = max(p.maxOut, len(p.out)); len(p.out) > p.rig.MaxUnavailable {
			p.rig.fail("%d engines are out, %d may be: %v", len(p.out), p.rig.MaxUnavailable, p.out)
		}
		p.mu.Unlock()
		p.rig.feed.Tell(uint32(n), e.Addr, standin.Draining, 0)
		p.rig.logf("%s drains", id)
	case "work":
		if current == "" {
			p.rig.fail("%s is to be worked on and was not drained", id)
			return false
		}
		e.SetFree(true) // from now on somebody has its cover off
		time.Sleep(400 * time.Millisecond)
		if unexpected := e.SetFree(true); unexpected > 0 {
			p.rig.fail("%d commands came to %s while it was worked on", unexpected, id)
		}
		p.mu.Lock()
		p.out[id] = "work"
		p.mu.Unlock()
	case "back":
		if current == "" {
			return true
		}
		if current != "work" {
			p.rig.fail("%s is to come back, and its work was not done", id)
			return false
		}
		if unexpected := e.SetFree(false); unexpected > 0 {
			p.rig.fail("%d commands came to %s after it was told free", unexpected, id)
		}
		p.mu.Lock()
		delete(p.out, id)
		p.done[id]++
		p.mu.Unlock()
		p.rig.feed.Tell(uint32(n), e.Addr, standin.Ready, uint64(time.Now().UnixMilli()))
		p.rig.logf("%s is back", id)
	}
	return true
}

// sendMaintenanceRequest has some controller pass an order on to who conducts, until one does.
func (r *rig) sendMaintenanceRequest(request maintenance.Request) {
	began := time.Now()
	for r.ctx.Err() == nil {
		why := ""
		for _, n := range r.nodes {
			ctx, cancel := context.WithTimeout(r.ctx, 8*time.Second)
			s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "maintenance", Maintenance: &request})
			if cancel(); err == nil && s.Maintenance != nil {
				r.logf("%s done, conducted by %s", request.Action, s.Maintenance.Holder)
				return
			} else if err != nil {
				why = err.Error()
			}
		}
		if time.Since(began) > r.Settle {
			r.fail("%s was not done: %s", request.Action, why)
			return
		}
		r.sleep(200 * time.Millisecond)
	}
}

// submitPlan has the whole fleet of engines taken out once.
func (r *rig) submitPlan() {
	r.sendMaintenanceRequest(maintenance.Request{Action: "plan", Plans: []core.Plan{{ID: "all", Select: core.Selection{Kinds: []core.Kind{"std"}},
		WorkTime: 1000, MaxUnavailable: r.MaxUnavailable}}})
}

// awaitWithdrawal has the plan withdrawn when an engine is back, and waits until nobody is out and none has been taken for a while.
func (r *rig) awaitWithdrawal() {
	began, quiet, ordered := time.Now(), time.Time{}, false
	for r.ctx.Err() == nil && time.Since(began) < r.Settle {
		r.platform.mu.Lock()
		back, out := len(r.platform.done), len(r.platform.out)
		r.platform.mu.Unlock()
		r.mu.Lock()
		r.report.Returned, r.report.MaxOut = back, r.platform.maxOut
		r.mu.Unlock()
		if back > 0 && !ordered {
			r.sendMaintenanceRequest(maintenance.Request{Action: "withdraw", Name: "all"})
			ordered = true
		}
		switch {
		case !ordered || out > 0:
			quiet = time.Now()
		case time.Since(quiet) > 8*time.Second:
			if back == len(r.engines) {
				r.fail("all %d engines were taken out, though the plan was withdrawn after the first", back)
			}
			return
		}
		r.sleep(100 * time.Millisecond)
	}
	r.fail("engines are out %v after the plan was withdrawn", r.Settle)
}

// awaitMaintenance waits until all engines have been out and are back.
func (r *rig) awaitMaintenance() {
	began := time.Now()
	for r.ctx.Err() == nil {
		r.platform.mu.Lock()
		back, out, twice := len(r.platform.done), len(r.platform.out), ""
		for id, n := range r.platform.done {
			if n > 1 {
				twice = id
			}
		}
		r.platform.mu.Unlock()
		r.mu.Lock()
		broken := r.report.Broken != ""
		r.report.Returned, r.report.MaxOut = back, r.platform.maxOut
		r.mu.Unlock()
		switch {
		case broken:
			return
		case twice != "":
			r.fail("%s was taken out twice", twice)
			return
		case back == len(r.engines) && out == 0:
			r.mu.Lock()
			r.report.Maintained = time.Since(began)
			r.mu.Unlock()
			return
		case time.Since(began) > r.Settle+time.Minute:
			status := "nobody tells"
			for _, n := range r.nodes {
				ctx, cancel := context.WithTimeout(r.ctx, 8*time.Second)
				s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "maintenance", Maintenance: &maintenance.Request{Action: "status"}})
				if cancel(); err == nil {
					status = fmt.Sprintf("%+v", *s.Maintenance)
					break
				}
			}
			r.fail("%d of %d engines are back and %d out: %s", back, len(r.engines), out, status)
			return
		}
		r.sleep(200 * time.Millisecond)
	}
}
