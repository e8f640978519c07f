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

// Command is the command that runs ServeChild in a child process.
type Command func(ctx context.Context) *exec.Cmd

// Fleet is a fleet of hollow controllers in child processes.
type Fleet struct {
	spec      Spec
	folder    string
	processes []*process
}

// process is a child with its part of the fleet.
type process struct {
	numbers []int
	command *exec.Cmd
	in      interface{ Close() error }
	mu      sync.Mutex // one request at a time
	write   *json.Encoder
	read    *json.Decoder
}

// controllersPerProcess is how many ordinary controllers share a process: with 64 connections out and as many in at the start of a
// fleet they stay below 20,000 descriptors.
const controllersPerProcess = 110

// Layout is which controllers share a process: each voter and one ordinary controller have one of their own, whose costs
// are theirs alone; the others share.
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

// Open starts the processes of a fleet, without controllers yet.
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

// Times within which children answer.
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
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt is for the parent, which ends its children
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{numbers: numbers, command: command, in: in, write: json.NewEncoder(in), read: json.NewDecoder(out)}
	return p, nil
}

// call has a child do something. A child that does not answer in time is ended, and is an error from then on.
func (p *process) call(within time.Duration, r request) (answer reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timer := time.AfterFunc(within, func() { p.command.Process.Kill() })
	defer timer.Stop()
	if err = p.write.Encode(r); err == nil {
		err = p.read.Decode(&answer)
	}
	if err != nil {
		return answer, fmt.Errorf("the process of n%d, asked for %q: %w", p.numbers[0], r.Action, err)
	}
	if answer.Error != "" {
		return answer, fmt.Errorf("%s: %s", r.Action, answer.Error)
	}
	return answer, nil
}

// shutDown ends a child: by its closed input, or by force after a while.
func (p *process) shutDown() {
	p.in.Close()
	timer := time.AfterFunc(exitTimeout, func() { p.command.Process.Kill() })
	defer timer.Stop()
	p.command.Wait()
}

// callAll asks all children at once; a nil request leaves one out.
func (f *Fleet) callAll(within time.Duration, of func(*process) *request) ([]reply, error) {
	replies := make([]reply, len(f.processes))
	errs := make([]error, len(f.processes))
	var group sync.WaitGroup
	for i, p := range f.processes {
		if r := of(p); r != nil {
			group.Go(func() { replies[i], errs[i] = p.call(within, *r) })
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

// Close ends all processes and removes what they stored.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, p := range f.processes {
		group.Go(p.shutDown)
	}
	group.Wait()
	os.RemoveAll(f.folder)
}

// Start starts controllers at once, which note when they know of so many members alive.
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

// Stop ends controllers as a crash would.
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

// AwaitMembers has the running controllers note when they know of so many members alive.
func (f *Fleet) AwaitMembers(expect int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionAwaitMembers, Expect: expect} })
	return err
}

// AwaitRestarts has the running controllers note when they know of so many members alive, some of which have restarted
// since.
func (f *Fleet) AwaitRestarts(ctx context.Context, expect int, of []int) error {
	const noted = 2 * pollInterval * time.Millisecond // until all have seen which runs are the old ones
	_, err := f.callAll(requestTimeout, func(*process) *request {
		return &request{Action: actionAwaitRestart, Expect: expect, Numbers: of}
	})
	if err != nil {
		return err
	}
	return sleep(ctx, noted)
}

// AwaitLoss has the running controllers note when they know that one is gone.
func (f *Fleet) AwaitLoss(number int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionAwaitLoss, Lost: number} })
	return err
}

// Views are what all running controllers have seen.
func (f *Fleet) Views() ([]View, error) {
	replies, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionViews} })
	var views []View
	for _, r := range replies {
		views = append(views, r.Views...)
	}
	return views, err
}

// QuorumViews are how the running voters see the quorum.
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

// Samples are samples of all processes, in the layout's order.
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
