// Package daemon runs the shipped daemon as a process, configured as a controller of a deployment of the target size, and
// reads the processor time, memory and descriptors that the process uses.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mintkeel/internal/lab/loopback"
	"mintkeel/internal/lab/standin"
)

const (
	// StartTimeout bounds the time from a daemon's start until it serves.
	StartTimeout = 20 * time.Second

	// startAttempts bounds the addresses that are tried: another listener may take an address after it was chosen and before
	// the daemon listens on it.
	startAttempts = 3
	dialTimeout   = time.Second
	pollInterval  = 5 * time.Millisecond
)

var (
	errExited     = errors.New("the daemon exited before it served")
	errNotServing = errors.New("the daemon accepts no connection within its start timeout")
)

// Options configure a daemon process.
type Options struct {
	Binary        string // path that Build returned
	Folder        string // for the daemon's files
	Name          string
	DiscoveryAddr string            // address of the discovery service
	Engines       []*standin.Engine // in the initial configuration
	Controllers   int               // in the deployment
	Seed          int64
	Probes        bool   // whether health probes are allowed
	OperatorFile  string // path of the operator's file; empty: none
}

// Process is a running daemon.
type Process struct {
	Addr string // for clients

	cmd     *exec.Cmd
	logPath string        // its path
	exited  chan struct{} // closed when the process has ended
}

// Build builds the daemon without build tags into a folder and returns its path.
func Build(ctx context.Context, folder string) (string, error) {
	path := filepath.Join(folder, "mintkeel")
	command := exec.CommandContext(ctx, "go", "build", "-o", path, "mintkeel/cmd/mintkeel")
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the daemon: %w\n%s", err, out)
	}
	return path, nil
}

// Start starts a daemon, on another address if the first attempt fails, and waits until it serves.
func Start(ctx context.Context, o Options) (p *Process, err error) {
	for range startAttempts {
		p, err = o.startOnce(ctx)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return p, err
}

func (o Options) startOnce(ctx context.Context) (*Process, error) {
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	path, err := o.WriteConfiguration(addr)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.Folder, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	arguments := []string{"serve", "--config", path}
	if o.OperatorFile != "" {
		arguments = append(arguments, "--operator", o.OperatorFile)
	}
	p := &Process{cmd: exec.CommandContext(ctx, o.Binary, arguments...), logPath: log.Name(), Addr: addr, exited: make(chan struct{})}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // interrupts reach only the parent, which stops its children
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	if err := p.awaitServing(ctx); err != nil {
		p.Stop()
		logged, _ := p.Log()
		return nil, fmt.Errorf("%w\n%s", err, logged)
	}
	return p, nil
}

func (p *Process) awaitServing(ctx context.Context) error {
	for end := time.Now().Add(StartTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if c, err := standin.Dial(ctx, p.Addr, dialTimeout); err == nil {
			c.Close()
			return nil
		}
		select {
		case <-p.exited:
			return errExited
		case <-time.After(pollInterval):
		}
	}
	return errNotServing
}

// Stop kills the process and waits until it has exited.
func (p *Process) Stop() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Log returns the daemon's log since its start.
func (p *Process) Log() (string, error) {
	text, err := os.ReadFile(p.logPath)
	return string(text), err
}

// ProcessorTime returns the processor time of the process in seconds, as the sum over its threads, which the kernel counts
// in nanoseconds. The time of a thread that has ended is missing; the Go runtime rarely ends threads.
func (p *Process) ProcessorTime() (sum float64, err error) {
	tasks, err := os.ReadDir(p.procPath("task"))
	if err != nil {
		return 0, err
	}
	for _, task := range tasks {
		text, err := os.ReadFile(filepath.Join(p.procPath("task"), task.Name(), "schedstat"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		seconds, err := parseProcessorTime(string(text))
		if err != nil {
			return 0, err
		}
		sum += seconds
	}
	return sum, nil
}

func (p *Process) procPath(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// parseProcessorTime reads a thread's processor time in seconds, the first of the three fields of schedstat.
func parseProcessorTime(schedstat string) (float64, error) {
	fields := strings.Fields(schedstat)
	if len(fields) != 3 {
		return 0, errors.New("schedstat does not have three fields")
	}
	nanoseconds, err := strconv.ParseFloat(fields[0], 64)
	return nanoseconds / 1e9, err
}

// Resident returns the resident memory of the process in units of 2^20 bytes. It excludes the socket buffers, which belong
// to the kernel.
func (p *Process) Resident() (float64, error) {
	text, err := os.ReadFile(p.procPath("status"))
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
	return 0, errors.New("the status of the process has no VmRSS line")
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors() (float64, error) {
	entries, err := os.ReadDir(p.procPath("fd"))
	return float64(len(entries)), err
}
