package maintenance

import (
	"context"
	"fmt"
	"os/exec"
	"strconv"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
)

// Names of the steps for which the installation may have a program. A name is the program's first
// argument, and the first word of the keys of Job.hooks and agreedState.ConfirmedWork.
const (
	drainHook = "drain"
	workHook  = "work"
	backHook  = "back"
)

// hookRun is the last run of a program of the installation for an engine.
type hookRun struct {
	sequence uint64 // of the task
	running  bool
	done     bool
	err      error
	endedAt  time.Time
}

// hookKey returns the key of a step's program for an engine.
func hookKey(step string, engine core.EngineID) string { return step + " " + string(engine) }

// runHook runs a program of the installation until it succeeds once for the sequence number of a
// task. It returns at once; until the program is done, reason is what the task waits for. If the
// lease holder fails meanwhile, the next holder runs the program again with the same number.
func (j *Job) runHook(step, path string, task core.Task) (done bool, reason string) {
	if path == "" {
		return true, ""
	}
	key := hookKey(step, task.Engine)
	j.mu.Lock()
	defer j.mu.Unlock()
	run := j.hooks[key]
	if run.sequence != task.Sequence {
		run = hookRun{sequence: task.Sequence}
	}
	switch {
	case run.done:
		return true, ""
	case run.running:
		return false, step + " is running"
	case run.err != nil && time.Since(run.endedAt) < hookBackoff:
		return false, fmt.Sprintf("%s: %v; retried after %v s", step, run.err,
			hookBackoff.Seconds())
	}
	run.running = true
	j.hooks[key] = run
	timeout := j.block.Load().Within
	j.group.Go(func() {
		j.recordHookResult(key, task.Sequence, j.runProgram(path, step, task, timeout))
	})
	return false, step + " is running"
}

// recordHookResult records how a program ended, unless the engine has a later task.
func (j *Job) recordHookResult(key string, sequence uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hooks[key].sequence == sequence {
		j.hooks[key] = hookRun{sequence: sequence, done: err == nil, err: err, endedAt: time.Now()}
	}
}

// runProgram runs a program until it ends or times out. The program's arguments are the step, the
// engine and the sequence number of the task.
func (j *Job) runProgram(path, step string, task core.Task, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	command := exec.CommandContext(ctx, path, step, string(task.Engine),
		strconv.FormatUint(task.Sequence, 10))
	command.WaitDelay = hookWaitDelay
	err := command.Run()
	if ctx.Err() != nil {
		return fmt.Errorf("did not end within %v", timeout)
	}
	return err
}
