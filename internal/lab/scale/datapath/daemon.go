package datapath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"mintkeel/internal/lab/loopback"
	"mintkeel/internal/lab/standin"
)

// build builds the daemon as it is shipped.
func build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "mintkeel")
	command := exec.CommandContext(ctx, "go", "build", "-o", path, "mintkeel/cmd/mintkeel")
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the daemon: %w\n%s", err, out)
	}
	return path, nil
}

// What an emulated engine is like. It is large, so that no row measures engines that are full.
const (
	engineCores   = 64.0
	engineMemory  = 256000.0
	engineSlots   = 1 << 20
	warmGroups    = 1 << 10
	daemonMemory  = 2048 // MB
	daemonCores   = 1.0
	deadline      = 8 * time.Second
	startTime     = 20 * time.Second
	lookupName    = "lookup"
	loadName      = "load"
	writeName     = "write"
	reportName    = "report"
	knownSequence = 1
)

// object is a nested value of the configuration.
type object = map[string]any

// deploymentSettings are those of a fleet of the size that is built for, with a query class of each effect.
func deploymentSettings(controllers int, probes bool) object {
	class := func(name, effect string, objective time.Duration) object {
		return object{"name": name, "effect": effect, "dedup_scope": "all", "repeat_window_ns": int64(time.Minute),
			"promise_ns": int64(objective), "hard_limit_ns": int64(deadline), "late_worth": 0.3}
	}
	const soon, later = 500 * time.Millisecond, 6 * time.Second
	return object{
		"n_instances": controllers, "zone": "east", "failure_domains": []string{"east"}, "kinds": []string{"std"},
		"report": object{"fields": []string{"util", "inflight"}},
		"family_info": object{"size_cores": []float64{engineCores}, "size_mb": []float64{engineMemory},
			"width_by_class": []int{1, 1, 1, 1}},
		"bounds": object{"cancel": true, "probes": probes, "send_cap": 3, "connect_timeout_ns": int64(250 * time.Millisecond),
			"max_streams": 100, "retry_after": true, "max_retry_after_ns": int64(500 * time.Millisecond)},
		"contract": object{"cold_share": 0.5, "cold_ns": int64(2 * time.Second), "overload_factor": 4,
			"tip_after_ns": int64(time.Second)},
		"services": []object{class(lookupName, "free", soon), class(loadName, "guarded", soon),
			class(writeName, "single_shot", soon), class(reportName, "free", later)},
	}
}

// daemon is a controller as a process.
type daemon struct {
	cmd   *exec.Cmd
	addr  string
	ended chan struct{} // closed when the process has ended
}

// startAttempts bounds the addresses that are tried: another listener may come to one between its choice and its use.
const startAttempts = 3

// startDaemon starts a controller before these engines and waits until it serves.
func startDaemon(ctx context.Context, mintkeel, dir, feed string, engines []*standin.Engine, seed int64,
	probes bool) (d *daemon, err error) {
	for range startAttempts {
		d, err = tryDaemon(ctx, mintkeel, dir, feed, engines, seed, probes)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return d, err
}

func tryDaemon(ctx context.Context, mintkeel, dir, feed string, engines []*standin.Engine, seed int64,
	probes bool) (*daemon, error) {
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	path, err := writeConfiguration(dir, addr, feed, engines, seed, probes)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d := &daemon{cmd: exec.CommandContext(ctx, mintkeel, "serve", "--config", path), addr: addr, ended: make(chan struct{})}
	d.cmd.Stderr = log
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		d.cmd.Wait()
		close(d.ended)
	}()
	if err := d.await(ctx); err != nil {
		d.stop()
		said, _ := os.ReadFile(log.Name())
		return nil, fmt.Errorf("%w\n%s", err, said)
	}
	return d, nil
}

func writeConfiguration(dir, addr, feed string, engines []*standin.Engine, seed int64, probes bool) (string, error) {
	var hosts []object
	for _, e := range engines {
		hosts = append(hosts, object{"host": e.ID, "dial": e.Addr, "site": "east", "class": "std", "health": "active"})
	}
	roster := object{"seq": knownSequence, "whole": true, "hosts": hosts}
	text, err := json.Marshal(object{
		"name": "n1", "listen": addr, "seed": fmt.Sprintf("%016x", uint64(seed)), "bulletin": feed,
		"limits":   object{"cores": daemonCores, "memory_mb": daemonMemory, "sockets": descriptorLimit()},
		"known":    object{"no": knownSequence, "items": []object{{"no": knownSequence, "roster": roster}}},
		"settings": deploymentSettings(controllers, probes),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

func (d *daemon) await(ctx context.Context) error {
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; {
		if c, err := standin.Dial(ctx, d.addr, time.Second); err == nil {
			c.Close()
			return nil
		}
		select {
		case <-d.ended:
			return errors.New("the daemon has ended")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return errors.New("the daemon does not answer")
}

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	d.cmd.Process.Kill()
	<-d.ended
}

// processor is the time that the process has had on processors, in seconds: the sum of its threads', which the kernel
// counts in nanoseconds. The Go runtime ends threads rarely, and then their time is lost.
func (d *daemon) processor() (sum float64, err error) {
	tasks, err := os.ReadDir(d.proc("task"))
	if err != nil {
		return 0, err
	}
	for _, task := range tasks {
		text, err := os.ReadFile(filepath.Join(d.proc("task"), task.Name(), "schedstat"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		seconds, err := parseProcessor(string(text))
		if err != nil {
			return 0, err
		}
		sum += seconds
	}
	return sum, nil
}

func (d *daemon) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(d.cmd.Process.Pid), name)
}

// parseProcessor reads a thread's time on processors, the first of three figures, in seconds.
func parseProcessor(schedstat string) (float64, error) {
	fields := strings.Fields(schedstat)
	if len(fields) != 3 {
		return 0, errors.New("the kernel's form of schedstat is not known")
	}
	nanoseconds, err := strconv.ParseFloat(fields[0], 64)
	return nanoseconds / 1e9, err
}

// resident is the process's memory in the machine, in MB of 2^20 bytes; buffers of its sockets are the kernel's and
// are not part of it.
func (d *daemon) resident() (float64, error) {
	text, err := os.ReadFile(d.proc("status"))
	if err != nil {
		return 0, err
	}
	return parseResident(string(text))
}

func parseResident(status string) (float64, error) {
	for line := range strings.Lines(status) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kilobytes / 1024, err
		}
	}
	return 0, errors.New("the kernel's form of status is not known")
}

// descriptors is how many the process has open.
func (d *daemon) descriptors() (float64, error) {
	entries, err := os.ReadDir(d.proc("fd"))
	return float64(len(entries)), err
}
