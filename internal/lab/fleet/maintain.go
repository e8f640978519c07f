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

// platform stands in for the platform and the operator's maintenance programs: it drains engines through the endpoint list,
// and records which engines are out of service, to check the order of steps and the limit.
type platform struct {
	rig    *rig
	mu     sync.Mutex
	out    map[string]string // the step of each engine that is out: "drain" or "work"
	done   map[string]int    // how often each engine came back
	maxOut int               // engines that were out at once
}

// hookScript is the program that the operator's file names: it sends its three arguments to the platform.
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

// runHook carries out a step for an engine, and reports whether it succeeded. A step may be requested twice, or after it is
// over: then there is nothing left to do.
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
			p.rig.fail("%d engines are out at once, want %d at most: %v", len(p.out), p.rig.MaxUnavailable, p.out)
		}
		p.mu.Unlock()
		p.rig.feed.Publish(uint32(n), e.Addr, standin.Draining, 0)
		p.rig.logf("%s drains", id)
	case "work":
		if current == "" {
			p.rig.fail("work on %s was requested before it was drained", id)
			return false
		}
		e.SetOutOfService(true) // the engine must get no commands from now on
		time.Sleep(400 * time.Millisecond)
		if unexpected := e.SetOutOfService(true); unexpected > 0 {
			p.rig.fail("%d commands came to %s during its work", unexpected, id)
		}
		p.mu.Lock()
		p.out[id] = "work"
		p.mu.Unlock()
	case "back":
		if current == "" {
			return true
		}
		if current != "work" {
			p.rig.fail("the return of %s was requested before its work was done", id)
			return false
		}
		if unexpected := e.SetOutOfService(false); unexpected > 0 {
			p.rig.fail("%d commands came to %s between its drain and its return", unexpected, id)
		}
		p.mu.Lock()
		delete(p.out, id)
		p.done[id]++
		p.mu.Unlock()
		p.rig.feed.Publish(uint32(n), e.Addr, standin.Ready, uint64(time.Now().UnixMilli()))
		p.rig.logf("%s is back", id)
	}
	return true
}

// sendMaintenanceRequest sends a request to one controller after another, which passes it on to the holder of the maintenance
// lease, until one succeeds.
func (r *rig) sendMaintenanceRequest(request maintenance.Request) {
	began := time.Now()
	for r.ctx.Err() == nil {
		why := ""
		for _, n := range r.nodes {
			ctx, cancel := context.WithTimeout(r.ctx, 8*time.Second)
			s, err := control.Call(ctx, filepath.Join(n.dir, "fleet"), control.Request{Action: "maintenance", Maintenance: &request})
			if cancel(); err == nil && s.Maintenance != nil {
				r.logf("%s done by the holder %s", request.Action, s.Maintenance.Holder)
				return
			} else if err != nil {
				why = err.Error()
			}
		}
		if time.Since(began) > r.Settle {
			r.fail("the maintenance request %s failed: %s", request.Action, why)
			return
		}
		r.sleep(200 * time.Millisecond)
	}
}

// submitPlan submits a plan that takes every engine out of service once.
func (r *rig) submitPlan() {
	r.sendMaintenanceRequest(maintenance.Request{Action: "plan", Plans: []core.Plan{{ID: "all", Select: core.Selection{Kinds: []core.Kind{"std"}},
		WorkTime: 1000, MaxUnavailable: r.MaxUnavailable}}})
}

// awaitWithdrawal withdraws the plan when the first engine is back, and waits until no engine has been out for 8 s.
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
				r.fail("all %d engines were taken out, though the plan was withdrawn after the first was back", back)
			}
			return
		}
		r.sleep(100 * time.Millisecond)
	}
	r.fail("engines are still out after %v, though the plan is to be withdrawn", r.Settle)
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
			status := "no controller reports the status"
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
