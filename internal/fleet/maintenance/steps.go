package maintenance

import (
	"fmt"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// maxListedNames bounds the names that a reason lists.
const maxListedNames = 5

// advance determines the next move of any task and proposes the state after it.
func (j *Job) advance(jobContext job.Context) {
	v := j.view(jobContext)
	for _, task := range j.agreed.Tasks {
		if move := j.step(jobContext, task); move != nil {
			j.move(jobContext, v, *move)
			return
		}
	}
	limits := core.DefaultLimits()
	limits.PrepareTimeout = float64(j.block.Load().Prepare) / float64(time.Millisecond)
	move, reasons := core.Decide(v, limits)
	j.reasons = reasons
	if move != nil {
		j.move(jobContext, v, *move)
	}
}

// step returns the next move of a task that follows from programs, confirmations and operators. It
// returns nil if the task waits, for the reason in j.waitReasons, or if core.Decide determines the
// next move.
func (j *Job) step(jobContext job.Context, task core.Task) *core.Move {
	to, reason := j.nextStep(jobContext, task)
	if reason != "" {
		j.waitReasons[task.Engine] = reason
		return nil
	}
	delete(j.waitReasons, task.Engine)
	if to == task.Step {
		return nil
	}
	return &core.Move{Engine: task.Engine, Plan: task.Plan, From: task.Step, To: to}
}

// nextStep returns the step that follows a task's current one, or the reason why the task waits. It
// returns the current step if core.Decide determines its end.
func (j *Job) nextStep(jobContext job.Context, task core.Task) (next core.Step, reason string) {
	block := j.block.Load()
	switch task.Step {
	case core.Draining:
		return core.Free, j.drainReason(jobContext, block, task)
	case core.Free:
		return core.Working, ""
	case core.Working:
		return core.Returning, j.workReason(block, task)
	case core.Returning:
		_, reason := j.runHook(backHook, block.Back, task)
		return task.Step, reason
	default:
		return task.Step, ""
	}
}

// drainReason returns why an engine is not free yet; "" if it is. An engine is free once its drain
// program has ended, each controller has confirmed, and the endpoint list no longer offers it to
// controllers that start.
func (j *Job) drainReason(jobContext job.Context, block *Block, task core.Task) string {
	if done, reason := j.runHook(drainHook, block.Drain, task); !done {
		return reason
	}
	if names := j.unconfirmed(jobContext, task.Engine); len(names) > 0 {
		return "not confirmed by " + summarizeNames(names)
	}
	if block.List && j.listedState(task.Engine) == router.Ready {
		return "the list still tells that it is there for work: " +
			"a controller that starts now would send to it"
	}
	return ""
}

// workReason returns why the work on an engine is not done; "" if it is. Without a program, a
// person does the work and confirms it.
func (j *Job) workReason(block *Block, task core.Task) string {
	if block.Work != "" {
		_, reason := j.runHook(workHook, block.Work, task)
		return reason
	}
	if j.agreed.ConfirmedWork[hookKey(workHook, task.Engine)] != task.Sequence {
		return "a person's word that the work is done"
	}
	return ""
}

// summarizeNames lists up to maxListedNames names and the number of the rest.
func summarizeNames(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%v and %d more", names[:maxListedNames], len(names)-maxListedNames)
	}
	return fmt.Sprint(names)
}

// move proposes the state after a move.
func (j *Job) move(jobContext job.Context, v core.View, move core.Move) {
	engine := core.Engine{ID: move.Engine}
	for _, e := range v.Engines {
		if e.ID == move.Engine {
			engine = e
		}
	}
	tasks, ok := core.Apply(j.agreed.Tasks, move, engine, v.Now)
	if !ok {
		return
	}
	state := j.agreed
	state.Tasks = tasks
	state.Known = j.knownEngines(v)
	j.host.Log.Info("maintenance: step", "engine", string(move.Engine), "to", move.To.String())
	j.propose(jobContext, state)
}
