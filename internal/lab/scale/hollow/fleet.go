package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Command returns a command that runs ServeChild in a child process.
type Command func(ctx context.Context) *exec.Cmd

// Fleet is a fleet of hollow controllers in child processes.
type Fleet struct {
	spec      Spec
	folder    string
	processes []*process
}

// process is a child process with its share of the fleet.
type process struct {
	numbers []int
	command *exec.Cmd
	in      interface{ Close() error }
	mu      sync.Mutex // one request at a time
	write   *json.Encoder
	read    *json.Decoder
}

// controllersPerProcess bounds the ordinary controllers that share a process. With 64 connections out and as many in at the
// start of a fleet, the process stays below 20,000 descriptors.
const controllersPerProcess = 110

// Layout returns the controllers of each process. Each voter and one ordinary controller have a process of their own, so that
// its costs are theirs alone; the others share processes.
func Layout(s Spec) [][]int {
	var layout [][]int
	alone := min(s.Voters+1, s.Controllers)
	for number := range alone {
		layout = append(layout, []int{number})
	}
	var rest []int
	for number := alone; number < s.Controllers; number++ {
		rest = append(rest, number)
	}
	shares := (len(rest) + controllersPerProcess - 1) / controllersPerProcess
	for i := range shares {
		layout = append(layout, rest[len(rest)*i/shares:len(rest)*(i+1)/shares])
	}
	return layout
}

// Open starts the processes of a fleet. They run no controllers yet.
func Open(ctx context.Context, s Spec, command Command) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, err
	}
	f := &Fleet{spec: s, folder: folder}
	if err := WriteKey(folder); err != nil {
		f.Close()
		return nil, err
	}
	for _, numbers := range Layout(s) {
		p, err := startProcess(command(ctx), numbers)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.processes = append(f.processes, p)
	}
	_, err = f.callAll(openTimeout, func(*process) *request { return &request{Action: actionOpen, Spec: &s, Folder: folder} })
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Timeouts of the requests to child processes.
const (
	openTimeout    = 20 * time.Second
	startTimeout   = 60 * time.Second
	requestTimeout = 20 * time.Second
	exitTimeout    = 8 * time.Second
)

func startProcess(command *exec.Cmd, numbers []int) (*process, error) {
	in, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // interrupts reach only the parent, which stops its children
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{numbers: numbers, command: command, in: in, write: json.NewEncoder(in), read: json.NewDecoder(out)}
	return p, nil
}

// call sends a request to a child and waits for the reply. A child that does not reply in time is killed, and all later
// calls return an error.
func (p *process) call(timeout time.Duration, r request) (answer reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timer := time.AfterFunc(timeout, func() { p.command.Process.Kill() })
	defer timer.Stop()
	if err = p.write.Encode(r); err == nil {
		err = p.read.Decode(&answer)
	}
	if err != nil {
		return answer, fmt.Errorf("process of n%d, request %q: %w", p.numbers[0], r.Action, err)
	}
	if answer.Error != "" {
		return answer, fmt.Errorf("%s: %s", r.Action, answer.Error)
	}
	return answer, nil
}

// shutDown closes the input of a child, waits until it exits, and kills it after exitTimeout.
func (p *process) shutDown() {
	p.in.Close()
	timer := time.AfterFunc(exitTimeout, func() { p.command.Process.Kill() })
	defer timer.Stop()
	p.command.Wait()
}

// callAll calls all children at the same time, except those for which the request is nil.
func (f *Fleet) callAll(timeout time.Duration, of func(*process) *request) ([]reply, error) {
	replies := make([]reply, len(f.processes))
	errs := make([]error, len(f.processes))
	var group sync.WaitGroup
	for i, p := range f.processes {
		if r := of(p); r != nil {
			group.Go(func() { replies[i], errs[i] = p.call(timeout, *r) })
		}
	}
	group.Wait()
	return replies, errors.Join(errs...)
}

func (f *Fleet) layout() [][]int {
	layout := make([][]int, len(f.processes))
	for i, p := range f.processes {
		layout[i] = p.numbers
	}
	return layout
}

// Close stops all processes and removes the files that they stored.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, p := range f.processes {
		group.Go(p.shutDown)
	}
	group.Wait()
	os.RemoveAll(f.folder)
}

// Start starts controllers at the same time. They record when they know the expected number of members to be alive.
func (f *Fleet) Start(numbers []int, expect int) error {
	_, err := f.callAll(startTimeout, func(p *process) *request {
		own := intersection(p.numbers, numbers)
		if len(own) == 0 {
			return nil
		}
		return &request{Action: actionStart, Numbers: own, Expect: expect}
	})
	return err
}

// Stop stops controllers as a crash would.
func (f *Fleet) Stop(numbers []int) error {
	_, err := f.callAll(startTimeout, func(p *process) *request {
		own := intersection(p.numbers, numbers)
		if len(own) == 0 {
			return nil
		}
		return &request{Action: actionStop, Numbers: own}
	})
	return err
}

func intersection(a, b []int) []int {
	var both []int
	for _, x := range a {
		if slices.Contains(b, x) {
			both = append(both, x)
		}
	}
	return both
}

// AwaitMembers makes the running controllers record when they know the expected number of members to be alive.
func (f *Fleet) AwaitMembers(expect int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionAwaitMembers, Expect: expect} })
	return err
}

// AwaitRestarts makes the running controllers record when they know the expected number of members to be alive, the given
// ones in a later run than now.
func (f *Fleet) AwaitRestarts(ctx context.Context, expect int, of []int) error {
	const recordTime = 2 * pollInterval * time.Millisecond // until all controllers have recorded the current runs
	_, err := f.callAll(requestTimeout, func(*process) *request {
		return &request{Action: actionAwaitRestart, Expect: expect, Numbers: of}
	})
	if err != nil {
		return err
	}
	return sleep(ctx, recordTime)
}

// AwaitLoss makes the running controllers record when they know that one controller is gone.
func (f *Fleet) AwaitLoss(number int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionAwaitLoss, Lost: number} })
	return err
}

// Views returns what all running controllers have seen.
func (f *Fleet) Views() ([]View, error) {
	replies, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionViews} })
	var views []View
	for _, r := range replies {
		views = append(views, r.Views...)
	}
	return views, err
}

// QuorumViews returns the state of the quorum as seen by the running voters.
func (f *Fleet) QuorumViews() ([]QuorumView, error) {
	replies, err := f.callAll(requestTimeout, func(p *process) *request {
		if p.numbers[0] >= f.spec.Voters {
			return nil
		}
		return &request{Action: actionStandings}
	})
	var list []QuorumView
	for _, r := range replies {
		list = append(list, r.QuorumViews...)
	}
	return list, err
}

// Samples returns a sample of each process, in the layout's order.
func (f *Fleet) Samples() ([]Sample, error) {
	replies, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionSample} })
	if err != nil {
		return nil, err
	}
	samples := make([]Sample, len(replies))
	for i, r := range replies {
		samples[i] = *r.Sample
	}
	return samples, nil
}
