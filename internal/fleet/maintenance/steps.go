package maintenance

import (
	"context"
	"fmt"
	"os/exec"
	"slices"
	"strconv"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// hookRun is the last run of a program of the installation.
type hookRun struct {
	number  uint64 // of the task
	running bool
	done    bool
	err     error
	at      time.Time
}

// view is what the decisions of core/fleet/maintenance go by.
func (j *Job) view(jobContext job.Context) core.View {
	engines := j.currentEngines()
	v := core.View{Now: j.now(), Tasks: j.agreed.Tasks, Plans: j.agreed.Plans, DrainsListed: j.block.Load().List}
	if len(engines) == 0 {
		v.StaleReason = "the engines have not been looked at yet"
	}
	for _, e := range engines {
		if e.State != router.Gone {
			v.Engines = append(v.Engines, j.viewEngine(e))
		}
	}
	v.Lost = j.lostEngines(v)
	for _, kinds := range j.host.Bounds {
		v.Requirements = append(v.Requirements, j.bound(kinds, v.Engines))
	}
	for _, m := range jobContext.Members() {
		if m.State == members.Suspect {
			v.StaleReason = string(m.ID) + " does not answer just now"
		}
	}
	return v
}

// kindName is the name of a kind; empty: it is not known.
func (j *Job) kindName(k router.KindID) string {
	if int(k) < 0 || int(k) >= len(j.host.Kinds) {
		return ""
	}
	return j.host.Kinds[k]
}

func (j *Job) viewEngine(e router.EngineStatus) core.Engine {
	viewed := core.Engine{
		ID:        core.EngineID(e.Engine),
		Zone:      core.Zone(e.Zone),
		Kind:      core.Kind(j.kindName(e.Kind)),
		Cores:     e.Cores,
		Ready:     e.State == router.Ready,
		StartedAt: e.StartedAt,
		WarmAt:    e.WarmAt,
		Load:      min(1, e.Load),
	}
	if slices.Contains(j.held.Engines, e.Engine) { // maintenance itself has it drain: whether it is back, the list tells
		viewed.Ready = e.ListedState == router.Ready
	}
	for _, t := range e.Tables {
		viewed.Groups = append(viewed.Groups, core.HostedGroup{Group: core.Group(t.Tables), Demand: t.Demand, WarmReplicas: t.OtherEngines})
	}
	return viewed
}

// lostEngines are the known engines that are missing and that nobody took out, until they count as left for good.
func (j *Job) lostEngines(v core.View) (lost []core.Engine) {
	for _, id := range j.agreed.Known {
		ready := slices.ContainsFunc(v.Engines, func(e core.Engine) bool { return e.ID == id && e.Ready })
		takenOut := slices.ContainsFunc(v.Tasks, func(t core.Task) bool {
			return t.Engine == id && t.Step != core.Done
		})
		if ready || takenOut {
			delete(j.engineLostFrom, id)
			continue
		}
		if j.engineLostFrom[id] == 0 {
			j.engineLostFrom[id] = v.Now
		}
		if v.Now < j.engineLostFrom[id]+lostEngineTime {
			lost = append(lost, core.Engine{ID: id})
		}
	}
	return lost
}

// bound is the need of the query classes that run on some kinds alone: all that runs there may be of them.
func (j *Job) bound(kinds []router.KindID, engines []core.Engine) core.Requirement {
	b := core.Requirement{}
	for _, k := range kinds {
		if int(k) >= 0 && int(k) < len(j.host.Kinds) {
			b.Kinds = append(b.Kinds, core.Kind(j.host.Kinds[k]))
		}
	}
	for _, e := range engines {
		if slices.Contains(b.Kinds, e.Kind) {
			b.Cores += e.Load * e.Cores
		}
	}
	return b
}

// advance makes the next step, if there is one, and has it agreed on.
func (j *Job) advance(jobContext job.Context) {
	v := j.view(jobContext)
	for _, t := range j.agreed.Tasks {
		if m := j.step(jobContext, v, t); m != nil {
			j.move(jobContext, v, *m)
			return
		}
	}
	limits := core.DefaultLimits()
	limits.PrepareTimeout = float64(j.block.Load().Prepare) / 1e6
	m, reasons := core.Decide(v, limits)
	j.reasons = reasons
	if m != nil {
		j.move(jobContext, v, *m)
	}
}

// step is the next move of a task by its programs, confirmations and operators; nil: it waits, and waits says for what.
func (j *Job) step(jobContext job.Context, _ core.View, t core.Task) *core.Move {
	to := func(s core.Step) *core.Move {
		return &core.Move{Engine: t.Engine, Plan: t.Plan, From: t.Step, To: s}
	}
	wait := func(format string, args ...any) *core.Move {
		j.waits[t.Engine] = fmt.Sprintf(format, args...)
		return nil
	}
	delete(j.waits, t.Engine)
	block := j.block.Load()
	switch t.Step {
	case core.Draining:
		if done, why := j.runHook("drain", block.Drain, t); !done {
			return wait("%s", why)
		}
		if list := j.unconfirmed(jobContext, t.Engine); len(list) > 0 {
			return wait("not confirmed by %s", firstNames(list))
		}
		if block.List && j.listedState(t.Engine) == router.Ready {
			return wait("the list still tells that it is there for work: a controller that starts now would send to it")
		}
		return to(core.Free)
	case core.Free:
		return to(core.Working)
	case core.Working:
		if block.Work == "" {
			if j.agreed.Hooked["work "+string(t.Engine)] != t.Sequence {
				return wait("a person's word that the work is done")
			}
		} else if done, why := j.runHook("work", block.Work, t); !done {
			return wait("%s", why)
		}
		return to(core.Returning)
	case core.Returning:
		if done, why := j.runHook("back", block.Back, t); !done {
			return wait("%s", why)
		}
	}
	return nil
}

// namesShown is how many names a reason lists.
const namesShown = 5

func firstNames(list []string) string {
	if len(list) > namesShown {
		return fmt.Sprintf("%v and %d more", list[:namesShown], len(list)-namesShown)
	}
	return fmt.Sprint(list)
}

// listedState is what the endpoint list says of an engine, whether or not this controller holds it.
func (j *Job) listedState(id core.EngineID) router.EngineState {
	for _, e := range j.currentEngines() {
		if core.EngineID(e.Engine) == id {
			return e.ListedState
		}
	}
	return router.Gone
}

// move proposes the state after a move.
func (j *Job) move(jobContext job.Context, v core.View, m core.Move) {
	engine := core.Engine{ID: m.Engine}
	for _, e := range v.Engines {
		if e.ID == m.Engine {
			engine = e
		}
	}
	tasks, ok := core.Apply(j.agreed.Tasks, m, engine, v.Now)
	if !ok {
		return
	}
	state := j.agreed
	state.Tasks = tasks
	state.Known = j.knownEngines(v)
	j.host.Log.Info("maintenance: step", "engine", string(m.Engine), "to", m.To.String())
	j.propose(jobContext, state)
}

// knownEngines are the engines that there should be: all that were ever there while there were plans, but for those that
// left for good.
func (j *Job) knownEngines(v core.View) []core.EngineID {
	list := slices.DeleteFunc(slices.Clone(j.agreed.Known), func(id core.EngineID) bool {
		return j.engineLostFrom[id] > 0 && v.Now >= j.engineLostFrom[id]+lostEngineTime
	})
	for _, e := range v.Engines {
		if e.Ready && !slices.Contains(list, e.ID) && len(list) < maxKnownEngines {
			list = append(list, e.ID)
		}
	}
	slices.Sort(list)
	return list
}

// runHook has a program of the installation do its part, once for each number of a task. If a holder died meanwhile, the
// next one runs it again, with the same number.
func (j *Job) runHook(step, path string, t core.Task) (done bool, why string) {
	if path == "" {
		return true, ""
	}
	key := step + " " + string(t.Engine)
	j.mu.Lock()
	defer j.mu.Unlock()
	run := j.hooks[key]
	if run.number != t.Sequence {
		run = hookRun{number: t.Sequence}
	}
	switch {
	case run.done:
		return true, ""
	case run.running:
		return false, step + " is under way"
	case run.err != nil && time.Since(run.at) < hookBackoff:
		return false, fmt.Sprintf("%s: %v; tried again after 10 s", step, run.err)
	}
	run.running = true
	j.hooks[key] = run
	within := j.block.Load().Within
	j.group.Go(func() {
		err := j.execute(path, step, t, within)
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.hooks[key].number == t.Sequence {
			j.hooks[key] = hookRun{number: t.Sequence, done: err == nil, err: err, at: time.Now()}
		}
	})
	return false, step + " is under way"
}

// execute runs a program to its end, or until its time is up.
func (j *Job) execute(path, step string, t core.Task, within time.Duration) error {
	ctx, cancel := context.WithTimeout(j.ctx, within)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, step, string(t.Engine), strconv.FormatUint(t.Sequence, 10))
	cmd.WaitDelay = hookWaitDelay
	err := cmd.Run()
	if ctx.Err() != nil {
		return fmt.Errorf("not done within %v", within)
	}
	return err
}
