package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

// pendingRequest is a request that waits for the holder's next step.
type pendingRequest struct {
	from members.ID // the controller that the operator asked
	ref  uint64     // number that this controller gave the request
	Request
}

// requestRun is a request that is being carried out: the state that it would have agreed on, and
// its answer.
type requestRun struct {
	state   agreedState
	changed bool // the state is to be agreed on
	status  Status
}

// ErrNoHolder means that no controller holds the maintenance lease, as far as this one knows.
var ErrNoHolder = errors.New("nobody conducts maintenance now, as far as this controller knows")

// Durations in ms that plans are checked with, of steps that end when the installation is ready.
const (
	expectedDrainTime = 10000.0
	expectedWarmTime  = 30000.0
)

// SendRequest passes an operator's request on to the holder of the lease. The answer comes on the
// returned channel, which has room for it, or is lost: the caller waits for a bounded time. The
// error is ErrNoHolder where there is none.
func (j *Job) SendRequest(
	jobContext job.Context, holder members.ID, request Request,
) (chan Status, error) {
	if holder == "" {
		return nil, ErrNoHolder
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if len(j.replies) >= maxPendingRequests {
		clear(j.replies) // their callers have given up: there are never as many at once
	}
	j.lastRequest++
	reply := make(chan Status, 1)
	j.replies[j.lastRequest] = reply
	sendMessage(jobContext, holder, message{Request: &encodedRequest{Ref: j.lastRequest, JSON: data}})
	return reply, nil
}

// receiveRequest enqueues a request where this controller holds the lease.
func (j *Job) receiveRequest(jobContext job.Context, from members.ID, encoded *encodedRequest) {
	var request Request
	accepted := j.holdsLease && j.stateRead && len(j.requests) < maxPendingRequests
	if !accepted || json.Unmarshal(encoded.JSON, &request) != nil {
		j.reply(jobContext, from, encoded.Ref, Status{
			Error: "this controller does not conduct maintenance now: ask again",
		})
		return
	}
	j.requests = append(j.requests, pendingRequest{from: from, ref: encoded.Ref, Request: request})
}

// reply sends the answer to a request.
func (j *Job) reply(jobContext job.Context, to members.ID, ref uint64, s Status) {
	if data, err := json.Marshal(s); err == nil {
		sendMessage(jobContext, to, message{Answer: &encodedAnswer{Ref: ref, JSON: data}})
	}
}

// executeRequest does what an operator asks for, and answers with the state after it.
func (j *Job) executeRequest(jobContext job.Context, request pendingRequest) {
	run := &requestRun{state: j.agreed}
	run.state.Plans = slices.Clone(run.state.Plans)
	run.state.Excluded = slices.Clone(run.state.Excluded)
	v := j.view(jobContext)
	switch request.Action {
	case ActionStatus:
	case ActionPlan, ActionCheck:
		run.addPlans(request.Plans, v, int(j.serial+1), request.Action == ActionPlan)
	case ActionHalt, ActionResume:
		run.setHalted(request.Name, request.Action == ActionHalt)
	case ActionWithdraw:
		run.withdraw(request.Name)
	case ActionDone:
		run.markDone(request.Name)
	case ActionWithout:
		run.excludeController(members.ID(request.Name))
	default:
		run.status.Error = fmt.Sprintf("%.64q is not known", request.Action)
	}
	if run.changed {
		j.propose(jobContext, run.state)
	}
	j.fillStatus(jobContext, run.state, &run.status)
	j.reply(jobContext, request.from, request.ref, run.status)
}

// setHalted has a plan take no further engine, or go on.
func (r *requestRun) setHalted(name string, halted bool) {
	if plan := r.findPlan(name); plan != nil {
		plan.Halted = halted
		r.changed = true
	}
}

// findPlan is the plan of a name; nil, with an error in the answer: there is none.
func (r *requestRun) findPlan(name string) *core.Plan {
	for i := range r.state.Plans {
		if string(r.state.Plans[i].ID) == name {
			return &r.state.Plans[i]
		}
	}
	r.status.Error = fmt.Sprintf("%.64q is no plan", name)
	return nil
}

// addPlans checks plans and takes them into the state; commit: it is to be agreed on if they have
// no problems.
func (r *requestRun) addPlans(plans []core.Plan, v core.View, version int, commit bool) {
	durations := core.StepDurations{Drain: expectedDrainTime, Warm: expectedWarmTime}
	for _, plan := range plans {
		plan.Version = version
		problems := core.Check(plan, r.state.Plans, v.Engines, v.Requirements, v.Now, durations)
		for _, problem := range problems {
			r.status.Problems = append(r.status.Problems,
				fmt.Sprintf("plan %s: %s", plan.ID, problem.Error()))
		}
		r.state.Plans = slices.DeleteFunc(r.state.Plans, func(q core.Plan) bool { return q.ID == plan.ID })
		r.state.Plans = append(r.state.Plans, plan)
	}
	if len(r.state.Plans) > maxPlans {
		r.status.Problems = append(r.status.Problems,
			fmt.Sprintf("there would be over %d plans: withdraw some", maxPlans))
	}
	r.changed = commit && r.status.Problems == nil
	if commit && r.status.Problems != nil {
		r.status.Error = "not taken over"
	}
}

// withdraw ends a plan: the engines on which its work has begun are brought back, the others are
// left alone.
func (r *requestRun) withdraw(name string) {
	plan := r.findPlan(name)
	if plan == nil {
		return
	}
	plan.Withdrawn = true
	r.changed = true
	r.state.Tasks = slices.DeleteFunc(slices.Clone(r.state.Tasks), func(t core.Task) bool {
		begun := t.Step != core.Done && t.Step != core.Preparing
		return t.Plan == plan.ID && !begun
	})
}

// markDone takes in that a person has done the work on an engine.
func (r *requestRun) markDone(engine string) {
	i := slices.IndexFunc(r.state.Tasks, func(t core.Task) bool {
		return string(t.Engine) == engine && t.Step == core.Working
	})
	if i < 0 {
		r.status.Error = fmt.Sprintf("%.64q is not being worked on", engine)
		return
	}
	hooked := map[string]uint64{}
	maps.Copy(hooked, r.state.ConfirmedWork)
	hooked[hookKey(workHook, r.state.Tasks[i].Engine)] = r.state.Tasks[i].Sequence
	r.state.ConfirmedWork = hooked
	r.changed = true
}

// excludeController has the confirmation of a controller no longer waited for.
func (r *requestRun) excludeController(id members.ID) {
	if !slices.Contains(r.state.Excluded, id) && len(r.state.Excluded) < maxExcluded {
		r.state.Excluded = append(r.state.Excluded, id)
		r.changed = true
	}
}
