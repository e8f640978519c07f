package fleet

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machineProc is a controller with its daemon's process and folder.
type machineProc struct {
	number           int
	name             string
	serveAddr        string // for clients
	fleetAddr        string // for other controllers
	dir              string
	cmd              *exec.Cmd
	exited           chan struct{}
	downUntil        time.Time // until then it is down, paused or starting
	stopped          bool
	copies           []string
	runs             int // number of starts
	folderGeneration int // incremented when the folder is emptied or an older copy is restored
	mu               sync.Mutex
}

var histories atomic.Int64

// ownAddr returns a loopback address that no other history on this machine uses. With a shared address, an outgoing
// connection of another process could take a free port before the daemon listens on it.
func ownAddr() string {
	n, pid := histories.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%224, pid/224%250, 1+n%250)
}

// usualKind is the machine kind that controllers' settings name.
const usualKind = "std"

func (r *rig) configure(n *machineProc) error {
	type object = map[string]any
	var hosts []object
	for _, e := range r.engines {
		hosts = append(hosts, object{"host": e.ID, "dial": e.Addr, "site": "east", "class": usualKind, "health": "active"})
	}
	config, err := json.Marshal(object{"name": n.name, "listen": n.serveAddr, "seed": fmt.Sprintf("%016x", r.Seed),
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
	if r.hasOtherKind(n) {
		config = bytes.ReplaceAll(config, []byte(strconv.Quote(usualKind)), []byte(strconv.Quote(otherKind)))
	}
	if err := os.WriteFile(filepath.Join(n.dir, "config.json"), config, 0o600); err != nil {
		return err
	}
	var council []string
	for _, m := range r.nodes[:r.Voters] {
		council = append(council, fmt.Sprintf("%s = %q", m.name, m.fleetAddr))
	}
	var names []string
	for i := range r.Leases {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("work-%d", i)))
	}
	if r.Digest {
		names = append(names, `"digest"`)
	}
	hcl := fmt.Sprintf("log {\n  burst = 1000\n}\nfleet {\n  name = \"rig\"\n  listen = %q\n  key_file = %q\n  folder = %q\n  council = { %s }\n  works = [%s]\n  lease = %q\n}\n",
		n.fleetAddr, filepath.Join(r.dir, "key"), filepath.Join(n.dir, "fleet"), strings.Join(council, ", "), strings.Join(names, ", "), r.Lease)
	if r.MaxUnavailable > 0 {
		hook := filepath.Join(r.dir, "hook")
		hcl += fmt.Sprintf("maintenance {\n  drain = %q\n  work = %q\n  back = %q\n  within = \"20s\"\n  prepare = \"1s\"\n}\n", hook, hook, hook)
	}
	if r.Config {
		hcl += "config {\n  wait = \"1s\"\n}\n"
	}
	if err := os.WriteFile(filepath.Join(n.dir, "operator.hcl"), []byte(hcl), 0o600); err != nil {
		return err
	}
	return r.setClockAndDisk(n, 1, 0)
}

// setClockAndDisk sets the rate of a node's clock and the delay of its disk in ms, in a file that the daemon reads.
func (r *rig) setClockAndDisk(n *machineProc, rate, diskMS float64) error {
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the daemon if the rig is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.stopped = cmd, exited, false
	go func() {
		cmd.Wait()
		close(exited)
		n.mu.Lock()
		crashed := n.cmd == cmd
		if crashed {
			n.cmd = nil
		}
		n.mu.Unlock()
		if crashed && r.ctx.Err() == nil {
			tail, _ := os.ReadFile(filepath.Join(n.dir, "log"))
			r.fail("%s exited unexpectedly: %s", n.name, tail[max(0, len(tail)-1500):])
		}
	}()
	return nil
}

func (r *rig) kill(n *machineProc) {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// markOut excuses a node from answering commands until a time.
func (n *machineProc) markOut(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.downUntil) {
		n.downUntil = until
	}
}

func (n *machineProc) isOut(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Before(n.downUntil) || n.cmd == nil || n.stopped
}

// changeFolder records that the folder was emptied or replaced by an older copy.
func (n *machineProc) changeFolder() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.folderGeneration++
}
